package routing

import (
	"fmt"

	"tallyproxy/policy"
)

const ms policy.Micros = 1000

// testRouter is a router in zone 1 with edges e0, e1, ... in its own zone, parents p0, p1, ... in
// zone 0, and the origin o.
type testRouter struct {
	*Router
	contentType *policy.ContentType
	now         policy.Micros
}

// settings returns the settings of most tests: one director in zone 1 and one content type.
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

// newTestRouter returns a router with the given numbers of edges and parents.
func newTestRouter(s policy.Settings, edges, parents int) *testRouter {
	r := &testRouter{Router: New(s, Options{}), contentType: s.ContentTypes[0], now: 100 * policy.Second}
	var entries []policy.Endpoint
	for i := range edges {
		entries = append(entries, policy.Endpoint{ID: fmt.Sprint("e", i), Zone: 1})
	}
	for i := range parents {
		entries = append(entries, policy.Endpoint{ID: fmt.Sprint("p", i), Kind: 1})
	}
	r.UpdateEndpoints(r.now, append(entries, policy.Endpoint{ID: "o", Kind: 2}), true)
	return r
}

// updateEndpoints applies changed entries of the endpoint list.
func (r *testRouter) updateEndpoints(entries ...policy.Endpoint) {
	r.UpdateEndpoints(r.now, entries, false)
}

// request returns a new request for the object.
func (r *testRouter) request(object string) *policy.Request {
	return &policy.Request{Type: r.contentType, Object: object, Group: 7, SizeKB: 200, ArrivedAt: r.now, Deadline: r.now + 3*policy.Second}
}

// route routes a new request for the object.
func (r *testRouter) route(object string) (*policy.Request, policy.Decision) {
	request := r.request(object)
	return request, r.Route(r.now, request)
}

// finish reports the end of the request's last attempt after a delay.
func (r *testRouter) finish(request *policy.Request, delay policy.Micros, result policy.Result, status policy.CacheStatus) policy.Decision {
	r.now += delay
	last := len(request.PolicyState.(*requestState).attempts) - 1
	request.Done = request.Done || result == policy.Succeeded
	return r.AttemptDone(r.now, request, policy.Outcome{Attempt: last, Result: result, CacheStatus: status, Final: request.Done})
}

// serve routes requests for n objects one after another. Each request succeeds after a delay.
func (r *testRouter) serve(n int, delay policy.Micros, status policy.CacheStatus) {
	for i := range n {
		if request, decision := r.route(fmt.Sprint("s", i)); decision.Action == policy.Send {
			r.finish(request, delay, policy.Succeeded, status)
		}
	}
}

// objects returns n objects whose home is the given edge. It finds them by routing requests, all
// of which succeed.
func (r *testRouter) objects(home string, n int) (found []string) {
	for i := 0; len(found) < n; i++ {
		request, decision := r.route(fmt.Sprint("/o/", i))
		if decision.Endpoint.ID == home {
			found = append(found, request.Object)
		}
		r.finish(request, ms, policy.Succeeded, policy.Hit)
	}
	return found
}
