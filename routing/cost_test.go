package routing

import (
	"fmt"
	"testing"

	"tallyproxy/policy"
)

// TestUncacheableSendingTime: uncacheable requests are never hits, so their sending time is learned from any answer of an endpoint that is
// not near its limit. Otherwise it would be taken for the whole latency objective, and a site with mostly writes could not use a cold edge.
func TestUncacheableSendingTime(t *testing.T) {
	for _, c := range []struct {
		name        string
		uncacheable bool
		status      policy.CacheStatus
		learned     bool
	}{
		{"uncacheable", true, policy.FilledByOrigin, true},
		{"uncacheable, no cache status", true, policy.Unknown, true},
		{"a hit", false, policy.Hit, true},
		{"a fill", false, policy.FilledByOrigin, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus = c.status != policy.Unknown
			s.ContentTypes[0].Uncacheable = c.uncacheable
			b := newTestRouter(s, 3, 1)
			route := func(object string) (*policy.Request, policy.Decision) {
				request := b.request(object)
				request.SizeKB = 0
				return request, b.Route(b.now, request)
			}
			sent := func() (n int) { // to a cold endpoint in a window
				b.missRatio = 0.5
				b.updateEndpoints(policy.Endpoint{ID: "e9", Zone: 1, Started: b.now})
				for until := b.now + s.EdgeSlowStart.OverloadWindow; b.now < until; b.now += 50 * ms {
					for i := range 20 {
						request, decision := route(fmt.Sprint("cold", b.now, " ", i))
						if decision.Action == policy.Send && decision.Endpoint.ID == "e9" {
							n++
						}
						if decision.Action == policy.Send {
							request.Done = true // its client has left
							b.finish(request, 0, policy.NotSent, policy.Unknown)
						}
					}
				}
				b.updateEndpoints(policy.Endpoint{ID: "e9", State: policy.Removed})
				return n
			}
			before := sent()
			for i := range 200 {
				request, decision := route(fmt.Sprint(i))
				if decision.Action != policy.Send {
					t.Fatalf("%+v", decision)
				}
				b.finish(request, s.ContentTypes[0].LatencyObjective/20, policy.Succeeded, c.status)
			}
			if after := sent(); (after > 3*before) != c.learned {
				t.Errorf("a cold endpoint had %d in a window, %d before anything was known", after, before)
			}
		})
	}
}
