package routing

import (
	"slices"
	"testing"

	"tallyproxy/policy"
)

// TestSlowStartReports guards against an overload of a cold endpoint that the log of a single run
// cannot explain: the age that the router gave the endpoint, the figures of its budget, what it
// sent, and when the budget first bound.
func TestSlowStartReports(t *testing.T) {
	for _, c := range []struct {
		name   string
		finish func(r *testRouter) // ends the slow start
	}{
		{"warm", func(r *testRouter) { r.now += r.settings.EdgeSlowStart.Duration; r.serve(40, ms, policy.Hit) }},
		{"removed", func(r *testRouter) {
			r.updateEndpoints(policy.Endpoint{ID: "e9", Zone: 1, State: policy.Removed})
		}},
		{"restarted", func(r *testRouter) { r.updateEndpoints(policy.Endpoint{ID: "e9", Zone: 1, Started: r.now}) }},
		{"missing in a complete list", func(r *testRouter) { r.UpdateEndpoints(r.now, nil, true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRouter(settings(), 1, 1)
			var reports []SlowStartReport
			r.SetOptions(Options{OnSlowStartReport: func(_ policy.Micros, report SlowStartReport) { reports = append(reports, report) }})
			r.updateEndpoints(policy.Endpoint{ID: "e9", Zone: 1, Started: r.now - policy.Second})
			if len(reports) != 1 || reports[0].Event != SlowStartBegan || reports[0].Age != policy.Second || reports[0].Endpoint != "e9" {
				t.Fatalf("reports of the start: %+v", reports)
			}
			for range 50 {
				r.serve(40, ms, policy.Filled)
			}
			c.finish(r)
			var events []SlowStartEvent
			for _, report := range reports {
				events = append(events, report.Event)
			}
			if !slices.Contains(events, SlowStartLimited) || !slices.Contains(events, SlowStartHalfWindow) {
				t.Errorf("events %v lack a binding budget or a half window", events)
			}
			ended := reports[slices.Index(events, SlowStartEnded)]
			if ended.Sent == 0 || ended.Deferred == 0 || ended.PeakWork == 0 || ended.Budget == 0 || ended.MissRatio == 0 || ended.Capacity == 0 {
				t.Errorf("report of the end lacks a figure: %+v", ended)
			}
			if limited := slices.Index(events, SlowStartLimited); slices.Contains(events[limited+1:], SlowStartLimited) && c.name != "restarted" {
				t.Errorf("events %v report the binding budget again", events)
			}
		})
	}
}
