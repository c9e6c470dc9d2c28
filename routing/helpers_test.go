package routing

import (
	"fmt"

	"tallyproxy/policy"
)

const ms policy.Micros = 1000

// testRouter is a router with edges e0, e1, ... in its own zone 1, parents p0, p1, ... in zone 0, and the origin o.
type testRouter struct {
	*Router
	t   *policy.ContentType
	now policy.Micros
}

func settings() policy.Settings {
	return policy.Settings{
		Zone: 1, ZoneDirectors: 1, ParentKind: 1, OriginKind: 2, CanCancel: true, MaxAttempts: 6, TransferKBPerSecond: 1000,
		FillLinkKBPerSecond: 4000, PurgeRetention: 6 * policy.Second, MaxRetryAfter: policy.Second, CoalesceFills: true,
		EdgeSlowStart:   policy.SlowStart{InitialShare: 0.2, Duration: 10 * policy.Second, OverloadFactor: 2.5, OverloadWindow: 2 * policy.Second},
		ParentSlowStart: policy.SlowStart{InitialShare: 0.1, Duration: 20 * policy.Second, OverloadFactor: 2, OverloadWindow: 2 * policy.Second},
		ContentTypes: []*policy.ContentType{{
			LatencyObjective: 400 * ms, TransferFactor: 2, Timeout: 5 * policy.Second, DedupWindow: 3 * policy.Second, PriorityWeight: 1,
		}},
	}
}

func newTestRouter(s policy.Settings, edges, parents int) *testRouter {
	b := &testRouter{Router: New(s, Options{}), t: s.ContentTypes[0], now: 100 * policy.Second}
	var rows []policy.Endpoint
	for i := range edges {
		rows = append(rows, policy.Endpoint{ID: fmt.Sprint("e", i), Zone: 1})
	}
	for i := range parents {
		rows = append(rows, policy.Endpoint{ID: fmt.Sprint("p", i), Kind: 1})
	}
	b.UpdateEndpoints(b.now, append(rows, policy.Endpoint{ID: "o", Kind: 2}), true)
	return b
}

func (b *testRouter) updateEndpoints(rows ...policy.Endpoint) { b.UpdateEndpoints(b.now, rows, false) }

func (b *testRouter) request(object string) *policy.Request {
	return &policy.Request{Type: b.t, Object: object, Group: 7, SizeKB: 200, ArrivedAt: b.now, Deadline: b.now + 3*policy.Second}
}

// route routes a new request for the object.
func (b *testRouter) route(object string) (*policy.Request, policy.Decision) {
	request := b.request(object)
	return request, b.Route(b.now, request)
}

// finish reports the end of the request's last attempt after a while.
func (b *testRouter) finish(request *policy.Request, after policy.Micros, result policy.Result, status policy.CacheStatus) policy.Decision {
	b.now += after
	last := len(request.PolicyState.(*requestState).attempts) - 1
	request.Done = request.Done || result == policy.Succeeded
	return b.AttemptDone(b.now, request, policy.Outcome{Attempt: last, Result: result, CacheStatus: status, Final: request.Done})
}

// serve routes requests for n objects one after another, and each succeeds.
func (b *testRouter) serve(n int, after policy.Micros, status policy.CacheStatus) {
	for i := range n {
		if request, decision := b.route(fmt.Sprint("s", i)); decision.Action == policy.Send {
			b.finish(request, after, policy.Succeeded, status)
		}
	}
}

// objects returns n objects whose home is the edge, by routing requests that all succeed.
func (b *testRouter) objects(home string, n int) (found []string) {
	for i := 0; len(found) < n; i++ {
		request, decision := b.route(fmt.Sprint("/o/", i))
		if decision.Endpoint.ID == home {
			found = append(found, request.Object)
		}
		b.finish(request, ms, policy.Succeeded, policy.Hit)
	}
	return found
}
