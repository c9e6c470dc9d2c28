package routing

import (
	"testing"

	"tallyproxy/policy"
)

// TestMissingEndpoints: where requests go while edges, parents or the origin are missing.
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
			b := newTestRouter(settings(), c.edges, c.parents)
			b.updateEndpoints(c.change...)
			request, decision := b.route("a")
			if decision.Action != c.action || decision.Source != nil && decision.Source.ID != c.source {
				t.Fatalf("%+v", decision)
			}
			if c.action == policy.Queue {
				if wait := b.RecheckAfter(b.now, request); wait <= 0 || wait > b.t.LatencyObjective {
					t.Errorf("held for %d", wait)
				}
				b.now += 2 * policy.Second
				if decision := b.Route(b.now, request); decision.Action != policy.Reject || decision.RetryAfter <= 0 {
					t.Errorf("after its target time: %+v", decision)
				}
			}
		})
	}
	t.Run("a complete list leaves out the rest", func(t *testing.T) {
		b := newTestRouter(settings(), 3, 1)
		b.UpdateEndpoints(b.now, []policy.Endpoint{{ID: "e1", Zone: 1}}, true)
		if _, decision := b.route("a"); decision.Endpoint.ID != "e1" || decision.Source.ID != "e1" || len(b.endpoints) != 1 {
			t.Errorf("%+v", decision)
		}
	})
}
