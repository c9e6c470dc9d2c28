package routing

import (
	"testing"

	"tallyproxy/policy"
)

// TestDirectToParent checks that requests go directly to a parent if there is no edge cache,
// within the limit of the fill limiter.
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
			r := newTestRouter(s, 1, 1)
			r.updateEndpoints(c.change)
			request, decision := r.route("a")
			if decision.Endpoint == nil != (c.endpoint == "") || decision.Endpoint != nil && decision.Endpoint.ID != c.endpoint {
				t.Fatalf("%+v", decision)
			}
			if c.endpoint != "p0" {
				return
			}
			if decision.Source.ID != "o" || r.fillLimiter.inFlight != 1 {
				t.Errorf("%+v, %d in the fill limiter", decision, r.fillLimiter.inFlight)
			}
			r.fillLimiter.limit = 1
			if _, decision := r.route("b"); decision.Action != policy.Queue {
				t.Errorf("with a full fill limiter: %+v", decision)
			}
			r.finish(request, ms, policy.Succeeded, policy.Filled)
			if r.fillLimiter.inFlight != 0 {
				t.Error("the fill limiter still counts the attempt")
			}
		})
	}
}

// TestNotAfter guards against a second run of a request with a key after its dedup window, even if
// its attempt waits a long time to be written.
func TestNotAfter(t *testing.T) {
	cases := []struct {
		name        string
		retrySafety policy.RetrySafety
		window      policy.Micros
		// wantNotAfter is that of the second attempt, relative to the time when the first was
		// sent.
		wantNotAfter policy.Micros
	}{
		{"idempotent", policy.Idempotent, policy.Second, 3 * policy.Second},
		{"with a key, a short window", policy.IdempotentWithKey, policy.Second, policy.Second},
		{"with a key, a long window", policy.IdempotentWithKey, 9 * policy.Second, 3 * policy.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRouter(settings(), 3, 1)
			r.contentType.RetrySafety, r.contentType.DedupWindow = c.retrySafety, c.window
			start := r.now
			request, first := r.route("a")
			if first.Action != policy.Send || first.NotAfter != request.Deadline {
				t.Fatalf("first attempt %+v", first)
			}
			second := r.finish(request, 10*ms, policy.Failed, policy.CacheFull)
			if second.Action != policy.Send || second.NotAfter != start+c.wantNotAfter {
				t.Errorf("second attempt %+v, want NotAfter %d", second, start+c.wantNotAfter)
			}
		})
	}
}
