package routing

import (
	"testing"

	"tallyproxy/policy"
)

// TestMissingEndpoints checks where requests go while edges, parents or the origin are missing,
// and that a complete list removes endpoints that it does not contain.
func TestMissingEndpoints(t *testing.T) {
	cases := []struct {
		name           string
		edges, parents int
		change         []policy.Endpoint
		action         policy.Action
		source         string
	}{
		{"no parents", 2, 0, nil, policy.Send, "o"},
		{"one of each", 1, 1, nil, policy.Send, "p0"},
		{"no edges yet", 0, 1, nil, policy.Queue, ""},
		{"draining parent", 1, 1, []policy.Endpoint{{ID: "p0", Kind: 1, State: policy.Draining}}, policy.Send, "o"},
		{"gone parent", 1, 1, []policy.Endpoint{{ID: "p0", Kind: 1, State: policy.Removed}}, policy.Send, "o"},
		{"draining edge", 1, 1, []policy.Endpoint{{ID: "e0", Zone: 1, State: policy.Draining}}, policy.Queue, ""},
		{"edge of another zone", 0, 1, []policy.Endpoint{{ID: "x", Zone: 2}}, policy.Queue, ""},
		{"no origin", 1, 0, []policy.Endpoint{{ID: "o", Kind: 2, State: policy.Removed}}, policy.Send, "e0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRouter(settings(), c.edges, c.parents)
			r.updateEndpoints(c.change...)
			request, decision := r.route("a")
			if decision.Action != c.action || decision.Source != nil && decision.Source.ID != c.source {
				t.Fatalf("%+v", decision)
			}
			if c.action == policy.Queue {
				if wait := r.RecheckAfter(r.now, request); wait <= 0 || wait > r.contentType.LatencyObjective {
					t.Errorf("RecheckAfter = %d", wait)
				}
				r.now += 2 * policy.Second
				if decision := r.Route(r.now, request); decision.Action != policy.Reject || decision.RetryAfter <= 0 {
					t.Errorf("after the latency objective: %+v", decision)
				}
			}
		})
	}
	t.Run("a complete list leaves out the rest", func(t *testing.T) {
		r := newTestRouter(settings(), 3, 1)
		r.UpdateEndpoints(r.now, []policy.Endpoint{{ID: "e1", Zone: 1}}, true)
		if _, decision := r.route("a"); decision.Endpoint.ID != "e1" || decision.Source.ID != "e1" || len(r.endpoints) != 1 {
			t.Errorf("%+v", decision)
		}
	})
}
