package experiment

import (
	"testing"
	"time"
)

// Schedules of faults in simulated time: the parts are within bounds at every step, all have one view in the end, and where some
// are dead for long the others use more than their fixed parts.
func TestPeerSim(t *testing.T) {
	for _, c := range []struct {
		kind   string
		n, of  int
		raised bool
	}{
		{"drawn", 5, 60, false}, {"drawn", 12, 20, false}, {"halves", 8, 5, true}, {"thirds", 9, 5, true}, {"seven", 10, 5, true},
		{"stop", 5, 5, false}, {"flap", 6, 5, false}, {"none", 6, 2, false},
	} {
		t.Run(c.kind, func(t *testing.T) {
			t.Parallel()
			for i := range c.of {
				s := NamedSchedule(c.kind, 11, i, c.n)
				r := simulateMembership(s)
				if r.QuotaExceeded > 0 || r.Unfinished || c.raised && !r.QuotaRaised || c.kind == "none" && r.PeakQuotaSum > 1 {
					t.Errorf("%+v\n%v", r, s)
				}
				if again := simulateMembership(s); again != r {
					t.Errorf("played again: %+v, before %+v", again, r)
				}
			}
		})
	}
}

// The experiment from end to end, as a command runs it: with processes, and the exit that goes by what came of it.
func TestPeersCommand(t *testing.T) {
	p := Membership{Directors: []int{3}, Faults: []string{"restart"}, Schedules: 1, OnlySchedule: -1, Seed: 1, CacheNodes: 6, Clients: 80, Load: 0.3, Argv: argv(t)}
	begun := time.Now()
	r, err := p.Execute(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if broken := r.Broken(); len(broken) > 0 || r.Schedules != 1 || len(r.Runs) != 1 || r.Runs[0].SuccessShare < 0.8 {
		t.Errorf("%v after %v: %+v", broken, time.Since(begun), r.Runs[0])
	}
	p.Directors = []int{1}
	if _, err := p.Execute(t.Context()); err == nil {
		t.Error("one director was taken for several")
	}
	if (MembershipResult{QuotaExceeded: 1, Unfinished: 2}).Broken() == nil {
		t.Error("broken rules were not told")
	}
}

// Detectors alone, in one process: each death becomes known to all, and all have one view after.
func TestTogether(t *testing.T) {
	r, err := DetectorTrial{Directors: 8, Failing: 2, Rounds: 1}.Execute(t.Context())
	if err != nil || r.Unfinished > 0 || len(r.detections) != 2 || r.DetectionP99 <= 0 || r.DetectionP99 > 20_000 {
		t.Errorf("%+v, %v", r, err)
	}
	for _, g := range []DetectorTrial{{Directors: 2, Failing: 1, Rounds: 1}, {Directors: 10, Failing: 3, Rounds: 3}, {Directors: 5}} {
		if _, err := g.Execute(t.Context()); err == nil {
			t.Errorf("%+v was played", g)
		}
	}
}
