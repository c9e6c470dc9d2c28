package faulttest

import (
	"fmt"
	"slices"
	"testing"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/logevent"
	"tallyproxy/stall"
)

// TestFaults plays several directors as processes, under load, and faults of links, processes, caches and channel. In each case the rules
// hold by the fakes' statistics, no request is lost, no cold cache is pushed over, the quotas sum up within bounds at every instant, and
// all have one view in the end.
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
				t.Errorf("%d updates were received by three directors, of a drain and 128 purges", o.UpdatesReceived)
			}
		}},
		{"one that starts while it can't reach the channel", 6, []Fault{{Kind: ChannelUnreachable, AtMS: 500, ForMS: durationMS(5000, 20000)},
			{Kind: Drain, AtMS: 1500, ForMS: durationMS(6000, 20000)}, {Kind: Purge, AtMS: 2800}, {Kind: Restart, AtMS: 3000, Targets: []int{1, 3}}},
			func(t *testing.T, o Outcome) {
				for _, e := range o.History.Entries() {
					if e.Event == logevent.ClockStallResolved && e.Attributes["result"] == stall.ByTimeout.String() {
						t.Errorf("n%d reached nobody in time who confirms its view", e.Director)
					}
				}
			}},
		{"one that starts while it can reach nobody", 3, []Fault{{Kind: ChannelUnreachable, AtMS: 500, ForMS: 6000}, {Kind: Purge, AtMS: 1900},
			{Kind: CutLinks, AtMS: 500, ForMS: 6000, Targets: []int{1}, Peers: []int{0, 2}, Both: true}, {Kind: Restart, AtMS: 2000, Targets: []int{1}}},
			func(t *testing.T, o Outcome) {
				changes := 0 // of whether its view is unconfirmed
				for _, e := range o.History.Entries() {
					changes += boolean.Int(e.Event == logevent.ViewUnconfirmed && e.Director == 1)
					if e.Director == 1 && e.Event == logevent.GossipReceived && changes == 2 {
						t.Errorf("n1 takes its view for confirmed, and only then receives a purge that was published before: %v", e.Attributes)
						break
					}
				}
				if changes != 2 {
					t.Errorf("%d lines say that its view is unconfirmed, or no longer is, want 2", changes)
				}
			}},
		{"restarted before anyone noticed", 5, []Fault{{Kind: Restart, AtMS: 500, Targets: []int{0}}, {Kind: Restart, AtMS: 2000, Targets: []int{3}}}, nil},
		{"seven in ten killed at once, and back", 10, []Fault{{Kind: Kill, AtMS: 500, ForMS: durationMS(8000, 15000), Targets: []int{0, 1, 2, 3, 4, 5, 6}},
			{Kind: ColdCaches, AtMS: 600, Targets: []int{0, 1, 2, 3, 4, 5}}}, func(t *testing.T, o Outcome) {
			if len(o.DetectionMS) != 7 {
				t.Errorf("%d of 7 deaths became known: %v", len(o.DetectionMS), o.DetectionMS)
			}
			raised := 0
			for _, e := range o.History.Entries() {
				raised += boolean.Int(e.Event == logevent.Quota && e.Attributes["zone"] == "2")
			}
			if raised == 0 {
				t.Error("none of the three that were left used more than its fixed quota")
			}
		}},
		{"a link that flaps", 5, []Fault{{Kind: FlappingLinks, AtMS: 500, ForMS: duration, Targets: []int{0, 1}, Peers: []int{2, 3, 4}}}, nil},
		{"two processes under one name", 4, []Fault{{Kind: DuplicateInstance, AtMS: 500, ForMS: durationMS(3000, 10000), Targets: []int{1}}}, func(t *testing.T, o Outcome) {
			if o.NameConflicts < 1 || o.NameConflicts > 2 {
				t.Errorf("%d lines say that a name is taken, want one of each of the two at the most", o.NameConflicts)
			}
		}},
		{"a director that claims that all caches are dead", 4, []Fault{{Kind: FalseHints, AtMS: 500, ForMS: duration}}, func(t *testing.T, o Outcome) {
			if o.SuccessRate < 0.97 {
				t.Errorf("%v of the requests succeeded", o.SuccessRate)
			}
			if o.HintProbes > 4*6*6 {
				t.Errorf("%d probes after hints", o.HintProbes)
			}
		}},
		{"five percent loss with all cores busy", 5, []Fault{{Kind: LossyLinks, AtMS: 0, ForMS: durationMS(6000, 60000), Rate: 0.05},
			{Kind: BusyCores, AtMS: 0, ForMS: durationMS(6000, 60000), Rate: 8}}, func(t *testing.T, o Outcome) {
			if o.FalseFailures > 0 {
				t.Errorf("%d were taken for failed", o.FalseFailures)
			}
		}},
		{"SIGTERM during a partition", 6, []Fault{{Kind: Partition, AtMS: 500, ForMS: duration, Groups: [][]int{{0, 1, 2}, {3, 4, 5}}},
			{Kind: Terminate, AtMS: 2500, ForMS: 2500, Targets: []int{0, 4}}}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if !slices.ContainsFunc(c.faults, func(f Fault) bool { return f.Kind == BusyCores || f.Kind == ChannelUnreachable }) {
				parallel(t) // the others need the processors to themselves, for their load or for a purge within half a second
			}
			o, err := Run(t.Context(), testSpec(t), testSchedule(1, c.directors, c.faults), nil)
			checkOutcome(t, o, err)
			if c.check != nil && o.History != nil {
				c.check(t, o)
			}
		})
	}
}

// TestRandomSchedules plays schedules that were drawn, with several faults at once.
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
