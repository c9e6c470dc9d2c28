package routing

import (
	"fmt"
	"testing"

	"tallyproxy/overload"
	"tallyproxy/policy"
)

// TestOrdinaryPath checks that two routers send each object to the same home edge and parent, and
// that every endpoint gets about an equal share of the objects.
func TestOrdinaryPath(t *testing.T) {
	first, second := newTestRouter(settings(), 4, 3), newTestRouter(settings(), 4, 3)
	counts := map[string]int{}
	for i := range 400 {
		request, decision := first.route(fmt.Sprint(i))
		otherRequest, otherDecision := second.route(fmt.Sprint(i))
		if decision.Endpoint.ID != otherDecision.Endpoint.ID || decision.Source.ID != otherDecision.Source.ID {
			t.Fatalf("object %d: two routers disagree: %+v and %+v", i, decision, otherDecision)
		}
		if decision.Action != policy.Send || decision.CacheRank != 2 || !decision.Coalesce || decision.OnlyIfCached || decision.Timeout != 3*policy.Second {
			t.Fatalf("object %d: %+v", i, decision)
		}
		counts[decision.Endpoint.ID]++
		counts[decision.Source.ID]++
		first.finish(request, ms, policy.Succeeded, policy.Hit)
		second.finish(otherRequest, ms, policy.Succeeded, policy.Hit)
	}
	for id, n := range counts {
		if n < 60 || n > 180 {
			t.Errorf("%s has %d of 400 objects", id, n)
		}
	}
	if len(counts) != 7 {
		t.Errorf("endpoints used: %v", counts)
	}
}

// TestReservedSlotsInAStorm checks that, in a retry storm on cold caches, a rejected client is
// assigned a retry slot, and that a client that retries too early is assigned the same slot again.
func TestReservedSlotsInAStorm(t *testing.T) {
	r := newTestRouter(settings(), 2, 1)
	entries := []policy.Endpoint{{ID: "e0", Zone: 1, Started: r.now}, {ID: "e1", Zone: 1, Started: r.now}}
	r.updateEndpoints(entries...)
	options := overload.DefaultSettings()
	options.Mode = overload.ModeReserve
	r.SetOptions(Options{Overload: options})
	route := func(i int, isRetry bool) (*policy.Request, policy.Decision) {
		request := r.request(fmt.Sprint("o", i))
		request.ClientHash, request.IsRetry = uint64(i+1), isRetry
		return request, r.Route(r.now, request)
	}
	retryAt := map[int]policy.Micros{} // by client
	queued := map[int]*policy.Request{}
	for i := range 300 {
		r.now += ms
		r.ClientConnected(r.now)
		request, decision := route(i, false)
		switch decision.Action {
		case policy.Queue:
			queued[i] = request
		case policy.Reject:
			retryAt[i] = r.now + decision.RetryAfter
		}
	}
	r.now += 400 * ms
	for i := range 300 {
		if request := queued[i]; request != nil {
			if decision := r.Route(r.now, request); decision.Action == policy.Reject {
				retryAt[i] = r.now + decision.RetryAfter
			}
		}
	}
	if r.overload.State() == overload.Calm || len(retryAt) < 50 {
		t.Fatalf("state %v, %d rejected", r.overload.State(), len(retryAt))
	}
	retryTimes := map[policy.Micros]bool{}
	for i := range 300 {
		if at := retryAt[i]; at > r.now+100*ms {
			retryTimes[at] = true
			_, decision := route(i, true)
			if decision.Action != policy.Reject || r.now+decision.RetryAfter != at {
				t.Fatalf("early retry: %+v, want a retry after %d ms", decision, (at-r.now)/ms)
			}
		}
	}
	if len(retryTimes) < 10 {
		t.Errorf("only %d distinct retry times", len(retryTimes))
	}
}
