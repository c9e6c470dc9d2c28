package routing

import (
	"fmt"
	"testing"

	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

// TestCongestedFills checks that, while fills are congested, a request asks an edge first, then a
// parent, then the origin, each within its limit, and that the congestion ends.
func TestCongestedFills(t *testing.T) {
	r := newTestRouter(settings(), 1, 1)
	r.serve(10, 900*ms, policy.Filled)
	if r.congestedAt == 0 {
		t.Fatal("fills are not congested")
	}
	request, first := r.route("a")
	if first.Source != first.Endpoint {
		t.Fatalf("the edge was not asked first: %+v", first)
	}
	second := r.finish(request, ms, policy.CacheMiss, policy.Unknown)
	if second.Action != policy.Send || second.Endpoint != first.Endpoint || second.Source.ID != "p0" || !second.OnlyIfCached {
		t.Fatalf("after a miss at the edge: %+v", second)
	}
	if fill := r.finish(request, ms, policy.CacheMiss, policy.Unknown); fill.Action != policy.Send || fill.Source.ID != "p0" || fill.OnlyIfCached {
		t.Fatalf("after a miss at the parent: %+v", fill)
	}
	r.fillLimiter.limit = 1
	other, _ := r.route("b")
	if decision := r.finish(other, ms, policy.CacheMiss, policy.Unknown); decision.Action != policy.Queue {
		t.Errorf("after a miss with a full fill limiter: %+v", decision)
	}
	r.finish(request, ms, policy.Succeeded, policy.Filled)
	if decision := r.Route(r.now, other); decision.Action != policy.Send || !decision.OnlyIfCached {
		t.Errorf("after the fill limiter has room: %+v", decision)
	}
	if r.fillLimiter.limit, r.originLimiter.limit = 4, 2; r.originLimiter.inFlight != 0 || r.fillLimiter.inFlight != 1 {
		t.Errorf("%d fills in flight, %d of them to the origin", r.fillLimiter.inFlight, r.originLimiter.inFlight)
	}
	for i := range 3 {
		request, _ := r.route(fmt.Sprint("c", i))
		r.finish(request, ms, policy.CacheMiss, policy.Unknown)
		if decision := r.finish(request, ms, policy.CacheMiss, policy.Unknown); (decision.Action == policy.Send) != (i < 2) {
			t.Errorf("fill %d from the origin: %+v", i, decision)
		}
	}
	r.fillLimiter.inFlight, r.originLimiter.inFlight = 1, 0
	r.finish(other, ms, policy.Succeeded, policy.Filled)
	r.now += 11 * policy.Second
	r.serve(1, ms, policy.Hit)
	if _, decision := r.route("c"); decision.Source == decision.Endpoint || r.fillLimiter.inFlight != 0 {
		t.Errorf("the congestion did not end: %+v", decision)
	}
}

// TestCostlyObjectsQueue checks that, while the limit of fills from the origin is below 1, only a
// share of the objects may be filled from the origin, and a smaller share of costly objects.
func TestCostlyObjectsQueue(t *testing.T) {
	cases := []struct {
		name string
		size float64 // size of the request; most requests have 200
		want float64 // share of the objects filled from the origin
	}{{"as most", 200, 0.5}, {"twice as long", 400, 0.5 / 7.8}, {"half as long", 100, 0.5}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRouter(settings(), 1, 2)
			sent := 0
			const count = 1000
			for i := range count {
				r.congestedAt, r.fillLimiter.inFlight, r.originLimiter.inFlight, r.originLimiter.limit, r.averageCost = r.now, 0, 0, 0.5, runningMean{200_000, meanSamples}
				request := r.request(fmt.Sprint("x", i))
				request.SizeKB = c.size
				r.Route(r.now, request)
				r.finish(request, 0, policy.CacheMiss, policy.Unknown)
				decision := r.finish(request, 0, policy.CacheMiss, policy.Unknown)
				sent += boolean.Int(decision.Action == policy.Send)
				request.Done = true
				if decision.Action == policy.Send {
					r.finish(request, 0, policy.Succeeded, policy.Filled)
				}
			}
			if share := float64(sent) / count; share < c.want-0.05 || share > c.want+0.05 {
				t.Errorf("%.3f of the objects were filled from the origin, want %.3f", share, c.want)
			}
		})
	}
}

// TestFillIncreaseWithoutCacheStatus checks that successful fills raise the limits of fills by
// twice as much if answers do not report the cause of a rejection.
func TestFillIncreaseWithoutCacheStatus(t *testing.T) {
	for _, c := range []struct {
		reportsStatus bool
		want          float64
	}{{true, concurrencyIncrease}, {false, 2 * concurrencyIncrease}} {
		t.Run(fmt.Sprint("cache status reported: ", c.reportsStatus), func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus = c.reportsStatus
			r := newTestRouter(s, 1, 1)
			a := &attempt{endpoint: r.endpoints["e0"], source: r.endpoints["p0"], countedAsFill: true, mayReachOrigin: true}
			fills, origin := r.fillLimiter.limit, r.originLimiter.limit
			r.fillLimiter.inFlight, r.originLimiter.inFlight = int(fills), int(origin)
			r.observeFill(r.now, a, 0, true)
			if got := r.originLimiter.limit - origin; got != c.want || r.fillLimiter.limit-fills != c.want {
				t.Errorf("limits rose by %v and %v, want %v", got, r.fillLimiter.limit-fills, c.want)
			}
		})
	}
}

// TestFillWithoutParents checks that, with no usable parent, fills go to the origin for the share
// of the objects that its limit allows.
func TestFillWithoutParents(t *testing.T) {
	r := newTestRouter(settings(), 1, 1)
	r.endpoints["p0"].ejectedUntil = r.now + 100*policy.Second
	sent := 0
	const count = 2000
	for i := range count {
		r.congestedAt, r.fillLimiter.inFlight, r.originLimiter.inFlight, r.originLimiter.limit = r.now, 0, 0, 0.25
		request, _ := r.route(fmt.Sprint("x", i))
		decision := r.finish(request, 0, policy.CacheMiss, policy.Unknown)
		if sent += boolean.Int(decision.Action == policy.Send); decision.Action == policy.Send && (decision.Source.ID != "o" || decision.OnlyIfCached || r.originLimiter.inFlight != 1) {
			t.Fatalf("%+v, %d in the origin limiter", decision, r.originLimiter.inFlight)
		}
		request.Done = true
		if decision.Action == policy.Send {
			r.finish(request, 0, policy.Succeeded, policy.FilledByOrigin)
		}
	}
	if share := float64(sent) / count; share < 0.2 || share > 0.3 {
		t.Errorf("%.3f of the objects were filled from the origin, want 0.25", share)
	}
}

// TestSecondEdgeQueried guards against unnecessary fills while fills are congested. An object that
// its home lacks may be at the next edge in hash order, where it was stored while the home was
// full, slow or unavailable. That edge is asked once before a fill, and the home still makes the
// fill.
func TestSecondEdgeQueried(t *testing.T) {
	cases := []struct {
		name      string
		edges     int
		congested bool
		second    policy.Result
	}{
		{"it holds it", 3, true, policy.Succeeded},
		{"it lacks it too", 3, true, policy.CacheMiss},
		{"there is none", 1, true, policy.CacheMiss},
		{"nothing is congested", 3, false, policy.CacheMiss},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRouter(settings(), c.edges, 1)
			request, decision := r.route("x")
			home := decision.Endpoint.ID
			r.finish(request, ms, policy.Succeeded, policy.Hit)
			if !c.congested {
				r.endpoints[home].halfOpen = true // only the home is asked, because it is half-open
			} else {
				r.congestedAt = r.now
			}
			request, decision = r.route("x")
			if decision.Endpoint.ID != home || decision.Source != decision.Endpoint {
				t.Fatalf("the home was not asked: %+v", decision)
			}
			decision = r.finish(request, ms, policy.CacheMiss, policy.Unknown)
			if wantSecondEdge := c.edges > 1 && c.congested; wantSecondEdge != (decision.Endpoint.ID != home && decision.Source == decision.Endpoint) {
				t.Fatalf("after the home: %+v", decision)
			} else if wantSecondEdge {
				decision = r.finish(request, ms, c.second, policy.Hit)
			}
			if c.second == policy.Succeeded {
				return
			}
			if decision.Action != policy.Send || decision.Endpoint.ID != home || decision.Source.ID != "p0" {
				t.Errorf("the fill: %+v", decision)
			}
		})
	}
}
