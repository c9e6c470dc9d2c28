package experiment

import (
	"testing"
	"time"
)

// TestMembershipSimulated: in simulated time the sum of the quotas is within its bound at every step, all have one view in the end, and
// where some are down for long the others raise their quotas.
func TestMembershipSimulated(t *testing.T) {
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
				if repeated := simulateMembership(s); repeated != r {
					t.Errorf("played again: %+v, before %+v", repeated, r)
				}
			}
		})
	}
}

// TestMembershipProcesses runs the experiment with processes.
func TestMembershipProcesses(t *testing.T) {
	p := Membership{Directors: []int{3}, Faults: []string{"restart"}, Schedules: 1, OnlySchedule: -1, Seed: 1, CacheNodes: 6, Clients: 80, Load: 0.3, Argv: selfAsDirector(t)}
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
		t.Error("one director was accepted")
	}
	if (MembershipResult{QuotaExceeded: 1, Unfinished: 2}).Broken() == nil {
		t.Error("broken rules were not reported")
	}
}
