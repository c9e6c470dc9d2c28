package routing

import (
	"fmt"
	"testing"

	"tallyproxy/policy"
)

// TestUnexplainedErrors guards against wrong blame for errors without a reported cause: they are
// attributed to the client if two endpoints agree, and to the endpoint if another endpoint
// succeeds.
func TestUnexplainedErrors(t *testing.T) {
	cases := []struct {
		name         string
		secondResult policy.Result
		wantAction   policy.Action // expected after the second result
		wantEjected  bool
	}{
		{"another endpoint errs too", policy.Failed, policy.Reject, false},
		{"another endpoint succeeds", policy.Succeeded, policy.None, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus = true
			r := newTestRouter(s, 3, 2)
			for _, object := range r.objects("e1", 2*failureThreshold) {
				request, decision := r.route(object)
				if decision.Endpoint.ID != "e1" {
					break // e1 is ejected
				}
				if decision := r.finish(request, ms, policy.Failed, policy.Unknown); decision.Action != policy.Send || decision.Endpoint.ID == "e1" {
					t.Fatalf("after the first error: %+v", decision)
				}
				if decision := r.finish(request, ms, c.secondResult, policy.Unknown); decision.Action != c.wantAction {
					t.Fatalf("after the second endpoint: %+v", decision)
				}
			}
			if ejected := r.endpoints["e1"].ejectedUntil > r.now; ejected != c.wantEjected {
				t.Errorf("e1 ejected: %v", ejected)
			}
			if r.fillLatency > 0 && !c.wantEjected {
				t.Errorf("an immediate error counts as a slow fill: fill latency %v", r.fillLatency)
			}
		})
	}
}

// TestUnknownCacheStatus checks answers that report neither a hit nor a fill: quick ones end a
// congestion and clear the failures of their parent, and none of them changes the miss ratio.
func TestUnknownCacheStatus(t *testing.T) {
	for _, c := range []struct {
		name      string
		duration  policy.Micros
		congested bool
	}{{"quick", 50 * ms, false}, {"slow", 900 * ms, true}} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRouter(settings(), 2, 2)
			r.fillLatency, r.congestedAt = 2, r.now
			r.endpoints["p0"].consecutiveFailures, r.endpoints["p1"].consecutiveFailures = 5, 5
			for i := range 60 {
				r.now += 100 * ms
				request, decision := r.route(fmt.Sprint(i))
				// Edge caches are asked first while fills are congested.
				for decision.Action == policy.Send && decision.Source == decision.Endpoint {
					decision = r.finish(request, ms, policy.CacheMiss, policy.Unknown)
				}
				if decision.Action == policy.Send {
					r.finish(request, c.duration, policy.Succeeded, policy.Unknown)
				}
			}
			if congested := r.fillLatency > congestionThreshold; congested != c.congested || r.missRatio != 0.5 {
				t.Errorf("fill latency %.2f, miss ratio %.2f", r.fillLatency, r.missRatio)
			}
			if !c.congested && (r.endpoints["p0"].consecutiveFailures != 0 || r.endpoints["p1"].consecutiveFailures != 0) {
				t.Errorf("parents still have %d and %d consecutive failures", r.endpoints["p0"].consecutiveFailures, r.endpoints["p1"].consecutiveFailures)
			}
		})
	}
}
