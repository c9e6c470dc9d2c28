package routing

import (
	"fmt"
	"testing"

	"tallyproxy/overload"
	"tallyproxy/policy"
)

// TestOrdinaryPath: two routers send all objects to the same home edges and parents, an even share to each.
func TestOrdinaryPath(t *testing.T) {
	a, b := newTestRouter(settings(), 4, 3), newTestRouter(settings(), 4, 3)
	times := map[string]int{}
	for i := range 400 {
		request, decision := a.route(fmt.Sprint(i))
		other, second := b.route(fmt.Sprint(i))
		if decision.Endpoint.ID != second.Endpoint.ID || decision.Source.ID != second.Source.ID {
			t.Fatalf("object %d: two instances disagree: %+v and %+v", i, decision, second)
		}
		if decision.Action != policy.Send || decision.CacheRank != 2 || !decision.Coalesce || decision.OnlyIfCached || decision.Timeout != 3*policy.Second {
			t.Fatalf("object %d: %+v", i, decision)
		}
		times[decision.Endpoint.ID]++
		times[decision.Source.ID]++
		a.finish(request, ms, policy.Succeeded, policy.Hit)
		b.finish(other, ms, policy.Succeeded, policy.Hit)
	}
	for id, n := range times {
		if n < 60 || n > 180 {
			t.Errorf("%s has %d of 400 objects", id, n)
		}
	}
	if len(times) != 7 {
		t.Errorf("used %v", times)
	}
}

// TestReservedSlotsInAStorm: in a storm on cold caches a rejected client is given a slot, and one that comes early the same slot again.
func TestReservedSlotsInAStorm(t *testing.T) {
	b := newTestRouter(settings(), 2, 1)
	rows := []policy.Endpoint{{ID: "e0", Zone: 1, Started: b.now}, {ID: "e1", Zone: 1, Started: b.now}}
	b.updateEndpoints(rows...)
	o := overload.DefaultSettings()
	o.Mode = overload.ModeReserve
	b.SetOptions(Options{Overload: o})
	route := func(i int, isRetry bool) (*policy.Request, policy.Decision) {
		request := b.request(fmt.Sprint("o", i))
		request.ClientHash, request.IsRetry = uint64(i+1), isRetry
		return request, b.Route(b.now, request)
	}
	retryAt := map[int]policy.Micros{} // by client
	queued := map[int]*policy.Request{}
	for i := range 300 {
		b.now += ms
		b.ClientConnected(b.now)
		request, decision := route(i, false)
		switch decision.Action {
		case policy.Queue:
			queued[i] = request
		case policy.Reject:
			retryAt[i] = b.now + decision.RetryAfter
		}
	}
	b.now += 400 * ms
	for i := range 300 {
		if request := queued[i]; request != nil {
			if decision := b.Route(b.now, request); decision.Action == policy.Reject {
				retryAt[i] = b.now + decision.RetryAfter
			}
		}
	}
	if b.overload.State() == overload.Calm || len(retryAt) < 50 {
		t.Fatalf("state %v, %d rejected", b.overload.State(), len(retryAt))
	}
	times := map[policy.Micros]bool{}
	for i := range 300 {
		if at := retryAt[i]; at > b.now+100*ms {
			times[at] = true
			_, decision := route(i, true)
			if decision.Action != policy.Reject || b.now+decision.RetryAfter != at {
				t.Fatalf("early: %+v, was given %d ms", decision, (at-b.now)/ms)
			}
		}
	}
	if len(times) < 10 {
		t.Errorf("all are given %d times", len(times))
	}
}
