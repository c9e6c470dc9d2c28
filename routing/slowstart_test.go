package routing

import (
	"fmt"
	"math"
	"testing"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// TestSlowStartBudget guards against overload of an endpoint in slow start (rule 4). Directors
// that do not communicate stay within its budget in every window, regardless of the demand, and
// work that does not fit goes to other endpoints.
func TestSlowStartBudget(t *testing.T) {
	cases := []struct {
		name           string
		edges, parents int
		cold           policy.Endpoint
		status         policy.CacheStatus
		directors      int
	}{
		{"edge, one director", 3, 1, policy.Endpoint{ID: "e9", Zone: 1}, policy.Hit, 1},
		{"edge, four directors", 3, 1, policy.Endpoint{ID: "e9", Zone: 1}, policy.Hit, 4},
		{"only edge", 0, 1, policy.Endpoint{ID: "e9", Zone: 1}, policy.Hit, 2},
		{"parent", 3, 1, policy.Endpoint{ID: "p9", Kind: 1}, policy.Filled, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ZoneDirectors = c.directors
			var routers []*testRouter
			// The link carries four transfers at once, and half of the attempts miss.
			slowStart, capacity := s.EdgeSlowStart, 4/float64(c.edges+1)/0.5
			if c.cold.Kind == 1 {
				slowStart, capacity = s.ParentSlowStart, 4/float64(c.parents+1)
			}
			for range c.directors {
				r := newTestRouter(s, c.edges, c.parents)
				c.cold.Started = r.now
				r.updateEndpoints(c.cold)
				routers = append(routers, r)
			}
			sent, other, budget := 0.0, 0, 0.0
			for i := range 2 * int(slowStart.OverloadWindow/ms) {
				for _, r := range routers {
					r.now += ms
					request, decision := r.route(fmt.Sprint(i))
					switch {
					case decision.Action != policy.Send:
						continue
					case decision.Endpoint.ID == c.cold.ID:
						sent += 0.2
					case decision.Source.ID == c.cold.ID:
						sent += 0.2 // every attempt is a fill
					default:
						other++
					}
					r.finish(request, 0, policy.Succeeded, c.status)
				}
				budget += slowStart.OverloadFactor * capacity * slowStartShare(routers[0].now, routers[0].endpoints[c.cold.ID], slowStart) / 1000
			}
			if sent == 0 || sent > budget {
				t.Errorf("sent %.1f of a budget of %.1f", sent, budget)
			}
			if c.edges > 0 && other == 0 {
				t.Error("nothing was sent to the other endpoints")
			}
			if share := slowStartShare(c.cold.Started+slowStart.Duration, routers[0].endpoints[c.cold.ID], slowStart); share != 1 {
				t.Errorf("slow-start share %.2f after the slow start", share)
			}
		})
	}
}

// TestCapacityWithoutLink checks that the capacity follows from the caches' sizes if the capacity
// of the link is unknown. Otherwise any demand would count as a retry storm.
func TestCapacityWithoutLink(t *testing.T) {
	for _, c := range []struct {
		name            string
		weightsAreSizes bool
		want            float64
	}{{"sizes known", true, 10.0 / 4}, {"sizes not known", false, 0}} {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.FillLinkKBPerSecond, s.WeightsAreSizes, s.ZoneDirectors = 0, c.weightsAreSizes, 4
			r := newTestRouter(s, 0, 1)
			r.updateEndpoints(policy.Endpoint{ID: "e0", Zone: 1, Weight: 4}, policy.Endpoint{ID: "e1", Zone: 1, Weight: 6})
			if got := r.Capacity(r.now); got != c.want || r.WarmCapacity() != c.want {
				t.Errorf("capacity %v, %v when warm, want %v", got, r.WarmCapacity(), c.want)
			}
		})
	}
}

// TestColdEndpointUnderManyDirectors guards against overload of a cold endpoint by many directors
// that do not communicate and all receive more requests than fit (rule 4). Together they stay
// within the endpoint's capacity in every window, up to random variation, and do not leave most of
// it unused.
func TestColdEndpointUnderManyDirectors(t *testing.T) {
	for _, directors := range []int{1, 3, 8, 20, 30, 60, 300} {
		for _, loadFactor := range []int{1, 12} { // relative load of the first director
			t.Run(fmt.Sprint(directors, " directors, one asked ", loadFactor, " times as much"), func(t *testing.T) {
				s := settings()
				s.ZoneDirectors = directors
				var routers []*testRouter
				for i := range directors {
					s.Seed = hash.Mix(uint64(i))
					r := newTestRouter(s, 3, 1)
					r.updateEndpoints(policy.Endpoint{ID: "e9", Zone: 1, Started: r.now})
					routers = append(routers, r)
				}
				start, requests := routers[0].now, 0
				var sent []policy.Micros
				for routers[0].now < start+s.EdgeSlowStart.Duration {
					for i, r := range routers {
						times := 1
						if i == 0 {
							times = loadFactor
						}
						for range times * max(1, 240/directors) {
							requests++
							request, decision := r.route(fmt.Sprint(requests))
							if decision.Action != policy.Send {
								continue
							}
							if decision.Endpoint.ID == "e9" {
								sent = append(sent, r.now)
							}
							r.finish(request, 0, policy.Succeeded, policy.Hit)
						}
						r.now += 100 * ms
					}
				}
				// capacityAt returns the number of attempts that the endpoint can take in a
				// window. The link carries four transfers at once, half of the attempts miss, and
				// each attempt is 0.2 s of work.
				capacityAt := func(at policy.Micros) float64 {
					return s.EdgeSlowStart.OverloadFactor * 4 / 4 / 0.5 * slowStartShare(at, routers[0].endpoints["e9"], s.EdgeSlowStart) / 0.2 * 2
				}
				total := 0.0
				for i, at := range sent {
					last := i
					for last < len(sent) && sent[last] < at+s.EdgeSlowStart.OverloadWindow {
						last++
					}
					if n := capacityAt(at); float64(last-i) > n+2*math.Sqrt(n)+2 {
						t.Fatalf("%d attempts in the window from %d ms, whose capacity is %.1f", last-i, (at-start)/ms, n)
					}
				}
				for at := start; at < start+s.EdgeSlowStart.Duration; at += s.EdgeSlowStart.OverloadWindow {
					total += capacityAt(at)
				}
				if float64(len(sent)) < total/5 {
					t.Errorf("%d attempts in total, capacity %.0f", len(sent), total)
				}
			})
		}
	}
}

// TestHitsReturnParentBudget guards against a cold parent that gets almost nothing because hits at
// edge caches use up its budget, and against one that gets refreshes beyond its budget.
func TestHitsReturnParentBudget(t *testing.T) {
	for _, c := range []struct {
		name   string
		ttl    policy.Micros
		status policy.CacheStatus
		counts bool // the attempts stay counted
	}{
		{"hits", 0, policy.Hit, false},
		{"fills", 0, policy.Filled, true},
		{"hits that may refresh the copy", policy.Second, policy.Hit, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRouter(settings(), 3, 1)
			r.contentType.TTL = c.ttl
			r.updateEndpoints(policy.Endpoint{ID: "p0", Kind: 1, Started: r.now})
			sent := 0
			for i := range 40 {
				request, decision := r.route(fmt.Sprint(i))
				if decision.Action != policy.Send || decision.Source.ID != "p0" {
					continue
				}
				sent++
				if r.endpoints["p0"].slowStart.halfWork == 0 {
					t.Fatal("an attempt in flight is not counted")
				}
				r.finish(request, ms, policy.Succeeded, c.status)
			}
			if work := r.endpoints["p0"].slowStart.halfWork; sent == 0 || work > 0 != c.counts {
				t.Errorf("%d attempts leave %.0f µs of work counted", sent, work)
			}
		})
	}
}
