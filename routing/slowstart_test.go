package routing

import (
	"fmt"
	"math"
	"testing"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// TestSlowStartBudget: rule 4, directors that know nothing of one another keep the budget of an endpoint in slow start in every window,
// whatever is requested, and what does not fit goes elsewhere.
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
			warm, capacity := s.EdgeSlowStart, 4/float64(c.edges+1)/0.5 // of the link's four transfers; half of attempts miss
			if c.cold.Kind == 1 {
				warm, capacity = s.ParentSlowStart, 4/float64(c.parents+1)
			}
			for range c.directors {
				b := newTestRouter(s, c.edges, c.parents)
				c.cold.Started = b.now
				b.updateEndpoints(c.cold)
				routers = append(routers, b)
			}
			sent, other, budget := 0.0, 0, 0.0
			for i := range 2 * int(warm.OverloadWindow/ms) {
				for _, b := range routers {
					b.now += ms
					b.missRatio = 0.5
					request, decision := b.route(fmt.Sprint(i))
					switch {
					case decision.Action != policy.Send:
						continue
					case decision.Endpoint.ID == c.cold.ID:
						sent += 0.2
					case decision.Source.ID == c.cold.ID:
						sent += 0.2 * b.missRatio // the others are hits
					default:
						other++
					}
					b.finish(request, 0, policy.Succeeded, c.status)
				}
				budget += warm.OverloadFactor * capacity * slowStartShare(routers[0].now, routers[0].endpoints[c.cold.ID], warm) / 1000
			}
			if sent == 0 || sent > budget {
				t.Errorf("sent %.1f of a budget of %.1f", sent, budget)
			}
			if c.edges > 0 && other == 0 {
				t.Error("nothing went to the others")
			}
			if w := slowStartShare(c.cold.Started+warm.Duration, routers[0].endpoints[c.cold.ID], warm); w != 1 {
				t.Errorf("still at %.2f after its time", w)
			}
		})
	}
}

// TestCapacityWithoutLink: where the link is not known, the capacity follows from the caches' sizes; otherwise any demand would be a storm.
func TestCapacityWithoutLink(t *testing.T) {
	for _, c := range []struct {
		name  string
		sized bool
		want  float64
	}{{"sizes vouched for", true, 10.0 / 4}, {"not", false, 0}} {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.FillLinkKBPerSecond, s.WeightsAreSizes, s.ZoneDirectors = 0, c.sized, 4
			b := newTestRouter(s, 0, 1)
			b.updateEndpoints(policy.Endpoint{ID: "e0", Zone: 1, Weight: 4}, policy.Endpoint{ID: "e1", Zone: 1, Weight: 6})
			if got := b.Capacity(b.now); got != c.want || b.WarmCapacity() != c.want {
				t.Errorf("capacity %v, %v when warm, want %v", got, b.WarmCapacity(), c.want)
			}
		})
	}
}

// TestColdEndpointUnderManyDirectors: rule 4 with many directors that know nothing of one another and are all asked for more than fits. They
// keep what a cold endpoint bears in every window, up to chance, and don't leave most of it unused either.
func TestColdEndpointUnderManyDirectors(t *testing.T) {
	for _, directors := range []int{1, 3, 8, 20, 30, 60, 300} {
		for _, busy := range []int{1, 12} { // how much more one of them is asked for
			t.Run(fmt.Sprint(directors, " directors, one asked ", busy, " times as much"), func(t *testing.T) {
				s := settings()
				s.ZoneDirectors = directors
				var routers []*testRouter
				for i := range directors {
					s.Seed = hash.Mix(uint64(i))
					b := newTestRouter(s, 3, 1)
					b.updateEndpoints(policy.Endpoint{ID: "e9", Zone: 1, Started: b.now})
					routers = append(routers, b)
				}
				begun, number := routers[0].now, 0
				var sent []policy.Micros
				for routers[0].now < begun+s.EdgeSlowStart.Duration {
					for i, b := range routers {
						times := 1
						if i == 0 {
							times = busy
						}
						for range times * max(1, 240/directors) {
							number++
							b.missRatio = 0.5
							request, decision := b.route(fmt.Sprint(number))
							if decision.Action != policy.Send {
								continue
							}
							if decision.Endpoint.ID == "e9" {
								sent = append(sent, b.now)
							}
							b.finish(request, 0, policy.Succeeded, policy.Hit)
						}
						b.now += 100 * ms
					}
				}
				bears := func(at policy.Micros) float64 { // of the link's four transfers; half of attempts miss; 0.2 s of work each
					return s.EdgeSlowStart.OverloadFactor * 4 / 4 / 0.5 * slowStartShare(at, routers[0].endpoints["e9"], s.EdgeSlowStart) / 0.2 * 2
				}
				all := 0.0
				for i, at := range sent {
					last := i
					for last < len(sent) && sent[last] < at+s.EdgeSlowStart.OverloadWindow {
						last++
					}
					if n := bears(at); float64(last-i) > n+2*math.Sqrt(n)+2 {
						t.Fatalf("%d in the window from %d ms, which bears %.1f", last-i, (at-begun)/ms, n)
					}
				}
				for at := begun; at < begun+s.EdgeSlowStart.Duration; at += s.EdgeSlowStart.OverloadWindow {
					all += bears(at)
				}
				if float64(len(sent)) < all/5 {
					t.Errorf("%d in all, where %.0f would have been borne", len(sent), all)
				}
			})
		}
	}
}
