package routing

import (
	"testing"

	"tallyproxy/policy"
)

// TestDirectToParent: without an edge cache requests go straight to a parent, within the fill limiter.
func TestDirectToParent(t *testing.T) {
	cases := []struct {
		name     string
		direct   bool
		change   policy.Endpoint
		endpoint string
	}{
		{"no edge cache left", true, policy.Endpoint{ID: "e0", Zone: 1, State: policy.Removed}, "p0"},
		{"not allowed", false, policy.Endpoint{ID: "e0", Zone: 1, State: policy.Removed}, ""},
		{"one cache", true, policy.Endpoint{ID: "e0", Zone: 1}, "e0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.AllowDirect = c.direct
			b := newTestRouter(s, 1, 1)
			b.updateEndpoints(c.change)
			request, decision := b.route("a")
			if decision.Endpoint == nil != (c.endpoint == "") || decision.Endpoint != nil && decision.Endpoint.ID != c.endpoint {
				t.Fatalf("%+v", decision)
			}
			if c.endpoint != "p0" {
				return
			}
			if decision.Source.ID != "o" || b.fillLimiter.inFlight != 1 {
				t.Errorf("%+v, %d in the fill limiter", decision, b.fillLimiter.inFlight)
			}
			b.fillLimiter.limit = 1
			if _, decision := b.route("b"); decision.Action != policy.Queue {
				t.Errorf("past what the link carries: %+v", decision)
			}
			b.finish(request, ms, policy.Succeeded, policy.Filled)
			if b.fillLimiter.inFlight != 0 {
				t.Error("still counted")
			}
		})
	}
}

// TestNotAfter: a request with a key is not sent again after its dedup window, however long its attempt waits to be written.
func TestNotAfter(t *testing.T) {
	cases := []struct {
		name   string
		repeat policy.RetrySafety
		window policy.Micros
		before policy.Micros // of the second attempt, after the first was sent
	}{
		{"idempotent", policy.Idempotent, policy.Second, 3 * policy.Second},
		{"with a key, a short window", policy.IdempotentWithKey, policy.Second, policy.Second},
		{"with a key, a long window", policy.IdempotentWithKey, 9 * policy.Second, 3 * policy.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRouter(settings(), 3, 1)
			b.t.RetrySafety, b.t.DedupWindow = c.repeat, c.window
			begun := b.now
			request, first := b.route("a")
			if first.Action != policy.Send || first.NotAfter != request.Deadline {
				t.Fatalf("first %+v", first)
			}
			second := b.finish(request, 10*ms, policy.Failed, policy.CacheFull)
			if second.Action != policy.Send || second.NotAfter != begun+c.before {
				t.Errorf("second attempt %+v, want it before %d", second, begun+c.before)
			}
		})
	}
}
