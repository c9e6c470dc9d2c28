package routing

import (
	"fmt"
	"testing"

	"tallyproxy/policy"
)

// TestUnexplainedErrors: errors that name no cause are the client's where two endpoints agree, and an endpoint's where another does what was
// asked.
func TestUnexplainedErrors(t *testing.T) {
	cases := []struct {
		name   string
		then   policy.Result
		action policy.Action // decided after it
		ejects bool
	}{
		{"another endpoint errs too", policy.Failed, policy.Reject, false},
		{"another endpoint succeeds", policy.Succeeded, policy.None, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus = true
			b := newTestRouter(s, 3, 2)
			for _, o := range b.objects("e1", 2*failureThreshold) {
				request, decision := b.route(o)
				if decision.Endpoint.ID != "e1" {
					break // it is ejected
				}
				if decision := b.finish(request, ms, policy.Failed, policy.Unknown); decision.Action != policy.Send || decision.Endpoint.ID == "e1" {
					t.Fatalf("after the first error: %+v", decision)
				}
				if decision := b.finish(request, ms, c.then, policy.Unknown); decision.Action != c.action {
					t.Fatalf("after the second endpoint: %+v", decision)
				}
			}
			if ejected := b.endpoints["e1"].ejectedUntil > b.now; ejected != c.ejects {
				t.Errorf("ejected: %v", ejected)
			}
			if b.fillLatency > 0 && !c.ejects {
				t.Errorf("an error at once counts as a slow fill: %v", b.fillLatency)
			}
		})
	}
}

// TestUnknownCacheStatus: where answers report neither hit nor fill, quick ones end a congestion and clear the parent that they came through;
// they don't move the miss ratio.
func TestUnknownCacheStatus(t *testing.T) {
	for _, c := range []struct {
		name      string
		took      policy.Micros
		congested bool
	}{{"quick", 50 * ms, false}, {"slow", 900 * ms, true}} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRouter(settings(), 2, 2)
			b.fillLatency, b.congestedAt = 2, b.now
			b.endpoints["p0"].consecutiveFailures, b.endpoints["p1"].consecutiveFailures = 5, 5
			for i := range 60 {
				b.now += 100 * ms
				request, decision := b.route(fmt.Sprint(i))
				for decision.Action == policy.Send && decision.Source == decision.Endpoint { // edge caches are asked first while fills are congested
					decision = b.finish(request, ms, policy.CacheMiss, policy.Unknown)
				}
				if decision.Action == policy.Send {
					b.finish(request, c.took, policy.Succeeded, policy.Unknown)
				}
			}
			if congested := b.fillLatency > congestionThreshold; congested != c.congested || b.missRatio != 0.5 {
				t.Errorf("fill latency %.2f, miss ratio %.2f", b.fillLatency, b.missRatio)
			}
			if !c.congested && (b.endpoints["p0"].consecutiveFailures != 0 || b.endpoints["p1"].consecutiveFailures != 0) {
				t.Errorf("parents still marked: %d, %d", b.endpoints["p0"].consecutiveFailures, b.endpoints["p1"].consecutiveFailures)
			}
		})
	}
}
