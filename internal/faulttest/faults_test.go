package faulttest

import (
	"fmt"
	"slices"
	"testing"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/logevent"
	"tallyproxy/stall"
)

// TestFaults guards against broken rules under faults of links, processes, caches and the channel,
// with several directors as processes under load. In each case the fakes find no broken rule, no
// request is lost, no cold cache is overloaded, the quotas sum up within bounds at every instant,
// and all directors have the same view in the end.
func TestFaults(t *testing.T) {
	duration := durationMS(4000, 10000)
	cases := []struct {
		name      string
		directors int
		faults    []Fault
		check     func(t *testing.T, o Outcome)
	}{
		{"A hears B, B does not hear A", 5, []Fault{{Kind: CutLinks, AtMS: 500, ForMS: duration, Targets: []int{1}, Peers: []int{0}}}, nil},
		{"halves", 6, []Fault{{Kind: Partition, AtMS: 500, ForMS: duration, Groups: [][]int{{0, 1, 2}, {3, 4, 5}}}, {Kind: Purge, AtMS: 2000}}, nil},
		{"three groups", 6, []Fault{{Kind: Partition, AtMS: 500, ForMS: duration, Groups: [][]int{{0, 1}, {2, 3}, {4, 5}}},
			{Kind: Drain, AtMS: 2000, ForMS: 2000}}, nil},
		{"one is stopped while caches restart cold, and goes on", 5, []Fault{{Kind: Pause, AtMS: 500, ForMS: durationMS(6000, 30000), Targets: []int{2}},
			{Kind: ColdCaches, AtMS: 1500, Targets: []int{0, 1, 2, 3, 4, 5}}, {Kind: Purge, AtMS: 2000}}, nil},
		{"half of them can't reach the channel, which tells a drain and purges", 6, []Fault{{Kind: ChannelUnreachable, AtMS: 500, ForMS: durationMS(5000, 20000)},
			{Kind: Drain, AtMS: 1500, ForMS: durationMS(6000, 20000)}, {Kind: Purge, AtMS: 2000}}, func(t *testing.T, o Outcome) {
			if o.UpdatesReceived < 3*129 {
				t.Errorf("three directors received %d updates of a drain and 128 purges in total", o.UpdatesReceived)
			}
		}},
		{"one that starts while it can't reach the channel", 6, []Fault{{Kind: ChannelUnreachable, AtMS: 500, ForMS: durationMS(5000, 20000)},
			{Kind: Drain, AtMS: 1500, ForMS: durationMS(6000, 20000)}, {Kind: Purge, AtMS: 2800}, {Kind: Restart, AtMS: 3000, Targets: []int{1, 3}}},
			func(t *testing.T, o Outcome) {
				for _, e := range o.History.Entries() {
					if e.Event == logevent.ClockStallResolved && e.Attributes["result"] == stall.ByTimeout.String() {
						t.Errorf("n%d found no director in time that confirmed its view", e.Director)
					}
				}
			}},
		{"one that starts while it can reach nobody", 3, []Fault{{Kind: ChannelUnreachable, AtMS: 500, ForMS: 6000}, {Kind: Purge, AtMS: 1900},
			{Kind: CutLinks, AtMS: 500, ForMS: 6000, Targets: []int{1}, Peers: []int{0, 2}, Both: true}, {Kind: Restart, AtMS: 2000, Targets: []int{1}}},
			func(t *testing.T, o Outcome) {
				changes := 0 // of n1 between a confirmed and an unconfirmed view
				for _, e := range o.History.Entries() {
					changes += boolean.Int(e.Event == logevent.ViewUnconfirmed && e.Director == 1)
					if e.Director == 1 && e.Event == logevent.GossipReceived && changes == 2 {
						t.Errorf("n1 marked its view as confirmed before it received an earlier purge: %v", e.Attributes)
						break
					}
				}
				if changes != 2 {
					t.Errorf("n1 logged %d changes between a confirmed and an unconfirmed view, want 2", changes)
				}
			}},
		{"restarted before anyone noticed", 5, []Fault{{Kind: Restart, AtMS: 500, Targets: []int{0}}, {Kind: Restart, AtMS: 2000, Targets: []int{3}}}, nil},
		{"seven in ten killed at once, and back", 10, []Fault{{Kind: Kill, AtMS: 500, ForMS: durationMS(8000, 15000), Targets: []int{0, 1, 2, 3, 4, 5, 6}},
			{Kind: ColdCaches, AtMS: 600, Targets: []int{0, 1, 2, 3, 4, 5}}}, func(t *testing.T, o Outcome) {
			if len(o.DetectionMS) != 7 {
				t.Errorf("%d of 7 deaths detected: %v", len(o.DetectionMS), o.DetectionMS)
			}
			raised := 0
			for _, e := range o.History.Entries() {
				raised += boolean.Int(e.Event == logevent.Quota && e.Attributes["zone"] == "2")
			}
			if raised == 0 {
				t.Error("none of the three remaining directors raised its quota")
			}
		}},
		{"a link that flaps", 5, []Fault{{Kind: FlappingLinks, AtMS: 500, ForMS: duration, Targets: []int{0, 1}, Peers: []int{2, 3, 4}}}, nil},
		{"two processes under one name", 4, []Fault{{Kind: DuplicateInstance, AtMS: 500, ForMS: durationMS(3000, 10000), Targets: []int{1}}}, func(t *testing.T, o Outcome) {
			if o.NameConflicts < 1 || o.NameConflicts > 2 {
				t.Errorf("%d name conflicts logged, want at least 1 and at most 1 per process", o.NameConflicts)
			}
		}},
		{"a director that claims that all caches are dead", 4, []Fault{{Kind: FalseHints, AtMS: 500, ForMS: duration}}, func(t *testing.T, o Outcome) {
			if o.SuccessRate < 0.97 {
				t.Errorf("success rate %v, want at least 0.97", o.SuccessRate)
			}
			if o.HintProbes > 4*6*6 {
				t.Errorf("%d probes after hints", o.HintProbes)
			}
		}},
		{"five percent loss with all cores busy", 5, []Fault{{Kind: LossyLinks, AtMS: 0, ForMS: durationMS(6000, 60000), Rate: 0.05},
			{Kind: BusyCores, AtMS: 0, ForMS: durationMS(6000, 60000), Rate: 8}}, func(t *testing.T, o Outcome) {
			if o.FalseFailures > 0 {
				t.Errorf("%d directors falsely marked as failed", o.FalseFailures)
			}
		}},
		{"SIGTERM during a partition", 6, []Fault{{Kind: Partition, AtMS: 500, ForMS: duration, Groups: [][]int{{0, 1, 2}, {3, 4, 5}}},
			{Kind: Terminate, AtMS: 2500, ForMS: 2500, Targets: []int{0, 4}}}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if !slices.ContainsFunc(c.faults, func(f Fault) bool { return f.Kind == BusyCores || f.Kind == ChannelUnreachable }) {
				// The others need all processors for their load, or for a purge within half a
				// second.
				parallel(t)
			}
			o, err := Run(t.Context(), testSpec(t), testSchedule(1, c.directors, c.faults), nil)
			checkOutcome(t, o, err)
			if c.check != nil && o.History != nil {
				c.check(t, o)
			}
		})
	}
}

// TestRandomSchedules guards against violations under several random faults at once.
func TestRandomSchedules(t *testing.T) {
	n := 4
	if longRun {
		n = 200
	}
	for i := range n {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			parallel(t)
			o, err := Run(t.Context(), testSpec(t), RandomSchedule(7, i, 5, 5000), nil)
			checkOutcome(t, o, err)
			if t.Failed() {
				t.Logf("%v", o.Schedule)
			}
		})
	}
}
