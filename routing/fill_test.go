package routing

import (
	"fmt"
	"testing"

	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

// TestCongestedFills: while fills are congested an edge is asked first, then a parent, then the origin, each within its limit.
func TestCongestedFills(t *testing.T) {
	b := newTestRouter(settings(), 1, 1)
	b.serve(10, 900*ms, policy.Filled)
	if b.congestedAt == 0 {
		t.Fatal("fills are not congested")
	}
	request, first := b.route("a")
	if first.Source != first.Endpoint {
		t.Fatalf("not asked first: %+v", first)
	}
	second := b.finish(request, ms, policy.CacheMiss, policy.Unknown)
	if second.Action != policy.Send || second.Endpoint != first.Endpoint || second.Source.ID != "p0" || !second.OnlyIfCached {
		t.Fatalf("a miss: %+v", second)
	}
	if fill := b.finish(request, ms, policy.CacheMiss, policy.Unknown); fill.Action != policy.Send || fill.Source.ID != "p0" || fill.OnlyIfCached {
		t.Fatalf("a miss there too: %+v", fill)
	}
	b.fillLimiter.limit = 1
	other, _ := b.route("b")
	if decision := b.finish(other, ms, policy.CacheMiss, policy.Unknown); decision.Action != policy.Queue {
		t.Errorf("a miss before a full limiter: %+v", decision)
	}
	b.finish(request, ms, policy.Succeeded, policy.Filled)
	if decision := b.Route(b.now, other); decision.Action != policy.Send || !decision.OnlyIfCached {
		t.Errorf("once there is room: %+v", decision)
	}
	if b.fillLimiter.limit, b.originLimiter.limit = 4, 2; b.originLimiter.inFlight != 0 || b.fillLimiter.inFlight != 1 {
		t.Errorf("%d in the fill limiter, %d of them to the origin", b.fillLimiter.inFlight, b.originLimiter.inFlight)
	}
	for i := range 3 {
		request, _ := b.route(fmt.Sprint("c", i))
		b.finish(request, ms, policy.CacheMiss, policy.Unknown)
		if decision := b.finish(request, ms, policy.CacheMiss, policy.Unknown); (decision.Action == policy.Send) != (i < 2) {
			t.Errorf("fill %d from the origin: %+v", i, decision)
		}
	}
	b.fillLimiter.inFlight, b.originLimiter.inFlight = 1, 0
	b.finish(other, ms, policy.Succeeded, policy.Filled)
	b.now += 11 * policy.Second
	b.serve(1, ms, policy.Hit)
	if _, decision := b.route("c"); decision.Source == decision.Endpoint || b.fillLimiter.inFlight != 0 {
		t.Errorf("the congestion did not end: %+v", decision)
	}
}

// TestCostlyObjectsQueue: while the limit of fills from the origin is below 1, a share of the objects may go there, and a smaller share of
// those that are costly.
func TestCostlyObjectsQueue(t *testing.T) {
	cases := []struct {
		name string
		size float64 // of the request, where most have 200
		want float64 // share of the objects
	}{{"as most", 200, 0.5}, {"twice as long", 400, 0.5 / 7.8}, {"half as long", 100, 0.5}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRouter(settings(), 1, 2)
			went := 0
			const count = 1000
			for i := range count {
				b.congestedAt, b.fillLimiter.inFlight, b.originLimiter.inFlight, b.originLimiter.limit, b.averageCost = b.now, 0, 0, 0.5, runningMean{200_000, meanSamples}
				request := b.request(fmt.Sprint("x", i))
				request.SizeKB = c.size
				b.Route(b.now, request)
				b.finish(request, 0, policy.CacheMiss, policy.Unknown)
				decision := b.finish(request, 0, policy.CacheMiss, policy.Unknown)
				went += boolean.Int(decision.Action == policy.Send)
				request.Done = true
				if decision.Action == policy.Send {
					b.finish(request, 0, policy.Succeeded, policy.Filled)
				}
			}
			if part := float64(went) / count; part < c.want-0.05 || part > c.want+0.05 {
				t.Errorf("%.3f of the objects went, want %.3f", part, c.want)
			}
		})
	}
}

// TestFillIncreaseWithoutCacheStatus: where answers report nothing of a rejection's cause, the limits of fills gain twice as much by what
// goes well.
func TestFillIncreaseWithoutCacheStatus(t *testing.T) {
	for _, c := range []struct {
		reported bool
		want     float64
	}{{true, concurrencyIncrease}, {false, 2 * concurrencyIncrease}} {
		t.Run(fmt.Sprint("cache status reported: ", c.reported), func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus = c.reported
			b := newTestRouter(s, 1, 1)
			a := &attempt{endpoint: b.endpoints["e0"], source: b.endpoints["p0"], countedAsFill: true, mayReachOrigin: true}
			fills, origin := b.fillLimiter.limit, b.originLimiter.limit
			b.fillLimiter.inFlight, b.originLimiter.inFlight = int(fills), int(origin)
			b.observeFill(b.now, a, 0, true)
			if got := b.originLimiter.limit - origin; got != c.want || b.fillLimiter.limit-fills != c.want {
				t.Errorf("gains of %v and %v, want %v", got, b.fillLimiter.limit-fills, c.want)
			}
		})
	}
}

// TestFillWithoutParents: with no parent left to ask, fills go to the origin, for the share of the objects that its limit leaves.
func TestFillWithoutParents(t *testing.T) {
	b := newTestRouter(settings(), 1, 1)
	b.endpoints["p0"].ejectedUntil = b.now + 100*policy.Second
	went := 0
	const count = 2000
	for i := range count {
		b.congestedAt, b.fillLimiter.inFlight, b.originLimiter.inFlight, b.originLimiter.limit = b.now, 0, 0, 0.25
		request, _ := b.route(fmt.Sprint("x", i))
		decision := b.finish(request, 0, policy.CacheMiss, policy.Unknown)
		if went += boolean.Int(decision.Action == policy.Send); decision.Action == policy.Send && (decision.Source.ID != "o" || decision.OnlyIfCached || b.originLimiter.inFlight != 1) {
			t.Fatalf("%+v, %d counted", decision, b.originLimiter.inFlight)
		}
		request.Done = true
		if decision.Action == policy.Send {
			b.finish(request, 0, policy.Succeeded, policy.FilledByOrigin)
		}
	}
	if part := float64(went) / count; part < 0.2 || part > 0.3 {
		t.Errorf("%.3f of the objects went, want 0.25", part)
	}
}

// TestSecondEdgeQueried: while fills are congested, an object that its home lacks may be at the next edge in hash order, where it went while
// the home was full, slow or away. That edge is asked once before a fill, which is still the home's.
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
			b := newTestRouter(settings(), c.edges, 1)
			request, decision := b.route("x")
			home := decision.Endpoint.ID
			b.finish(request, ms, policy.Succeeded, policy.Hit)
			if !c.congested {
				b.endpoints[home].halfOpen = true // then the home alone is asked
			} else {
				b.congestedAt = b.now
			}
			request, decision = b.route("x")
			if decision.Endpoint.ID != home || decision.Source != decision.Endpoint {
				t.Fatalf("the home was not asked: %+v", decision)
			}
			decision = b.finish(request, ms, policy.CacheMiss, policy.Unknown)
			if another := c.edges > 1 && c.congested; another != (decision.Endpoint.ID != home && decision.Source == decision.Endpoint) {
				t.Fatalf("after the home: %+v", decision)
			} else if another {
				decision = b.finish(request, ms, c.second, policy.Hit)
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
