package routing

import (
	"fmt"
	"slices"
	"testing"

	"tallyproxy/policy"
)

// TestUncacheableSendingTime guards against an unknown transfer time of uncacheable requests. They
// are never hits, so their transfer time is learned from any answer of a lightly loaded endpoint.
// Otherwise it would be taken to be the whole latency objective, and a site with mostly writes
// could not use a cold edge.
func TestUncacheableSendingTime(t *testing.T) {
	for _, c := range []struct {
		name        string
		uncacheable bool
		status      policy.CacheStatus
		wantLearned bool
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
			r := newTestRouter(s, 3, 1)
			route := func(object string) (*policy.Request, policy.Decision) {
				request := r.request(object)
				request.SizeKB = 0
				return request, r.Route(r.now, request)
			}
			// sentToCold returns the number of attempts sent to a cold endpoint in one overload
			// window.
			sentToCold := func() (n int) {
				r.missRatio = 0.5
				r.updateEndpoints(policy.Endpoint{ID: "e9", Zone: 1, Started: r.now})
				for until := r.now + s.EdgeSlowStart.OverloadWindow; r.now < until; r.now += 50 * ms {
					for i := range 20 {
						request, decision := route(fmt.Sprint("cold", r.now, " ", i))
						if decision.Action == policy.Send && decision.Endpoint.ID == "e9" {
							n++
						}
						if decision.Action == policy.Send {
							request.Done = true // the client has disconnected
							r.finish(request, 0, policy.NotSent, policy.Unknown)
						}
					}
				}
				r.updateEndpoints(policy.Endpoint{ID: "e9", State: policy.Removed})
				return n
			}
			before := sentToCold()
			for i := range 200 {
				request, decision := route(fmt.Sprint(i))
				if decision.Action != policy.Send {
					t.Fatalf("%+v", decision)
				}
				r.finish(request, s.ContentTypes[0].LatencyObjective/20, policy.Succeeded, c.status)
			}
			if after := sentToCold(); (after > 3*before) != c.wantLearned {
				t.Errorf("a cold endpoint was sent %d attempts in a window, %d before the transfer time was known", after, before)
			}
		})
	}
}

// TestSlowStartWork guards against the overload of a cold endpoint by directors that take a content
// type's transfers to be short before they have seen enough of them: the first transfer is far
// shorter than the mean, and the mean may be as long as the latency objective.
func TestSlowStartWork(t *testing.T) {
	const objective, mean = 400 * ms, 360 * ms
	for _, c := range []struct {
		name      string
		transfers []policy.Micros
		fills     []policy.Micros
		min, max  policy.Micros
	}{
		{"none seen", nil, nil, objective, objective},
		{"a short one", []policy.Micros{10 * ms}, nil, objective * 3 / 5, objective},
		{"many", slices.Repeat([]policy.Micros{mean}, 200), nil, mean, mean + mean/20},
		{"many long ones", slices.Repeat([]policy.Micros{2 * objective}, 200), nil, 2 * objective, 2 * objective},
		{"a short fill", nil, []policy.Micros{10 * ms}, objective * 3 / 5, objective},
		{"many fills", nil, slices.Repeat([]policy.Micros{mean}, 200), mean, mean + mean/20},
		{"many slow fills", nil, slices.Repeat([]policy.Micros{3 * objective}, 200), 3 * objective, 3 * objective},
		{"many after many slow fills", slices.Repeat([]policy.Micros{mean}, 200), slices.Repeat([]policy.Micros{3 * objective}, 200), mean, mean + mean/5},
		{"a short one after many fills", []policy.Micros{10 * ms}, slices.Repeat([]policy.Micros{mean}, 200), mean * 3 / 5, mean},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRouter(settings(), 1, 1)
			for _, transfer := range c.transfers {
				r.transferTimes[r.contentType].add(float64(transfer))
			}
			for _, fill := range c.fills {
				r.fillTimes[r.contentType].add(float64(fill))
			}
			if work := policy.Micros(r.slowStartWork(r.contentType)); work < c.min || work > c.max {
				t.Errorf("work %v ms, want %v to %v ms", work/ms, c.min/ms, c.max/ms)
			}
		})
	}
}
