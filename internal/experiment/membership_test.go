package experiment

import (
	"testing"
	"time"
)

// TestMembershipSimulated checks in simulated time that the sum of the quotas never exceeds its
// bound, that all directors reach a common view, that the remaining directors raise their quotas if
// others are down for long, and that a schedule gives the same result twice.
func TestMembershipSimulated(t *testing.T) {
	for _, c := range []struct {
		kind         string
		n, schedules int
		raised       bool
	}{
		{"drawn", 5, 60, false}, {"drawn", 12, 20, false}, {"halves", 8, 5, true}, {"thirds", 9, 5, true}, {"seven", 10, 5, true},
		{"stop", 5, 5, false}, {"flap", 6, 5, false}, {"none", 6, 2, false},
	} {
		t.Run(c.kind, func(t *testing.T) {
			t.Parallel()
			for i := range c.schedules {
				s := NamedSchedule(c.kind, 11, i, c.n)
				r := simulateMembership(s)
				if r.QuotaExceeded > 0 || r.Unfinished || c.raised && !r.QuotaRaised || c.kind == "none" && r.PeakQuotaSum > 1 {
					t.Errorf("%+v\n%v", r, s)
				}
				if repeated := simulateMembership(s); repeated != r {
					t.Errorf("second run: %+v, first run: %+v", repeated, r)
				}
			}
		})
	}
}

// TestMembershipProcesses checks that no rule is broken when directors that run as processes are
// restarted, and that the result reports broken rules.
func TestMembershipProcesses(t *testing.T) {
	p := Membership{Directors: []int{3}, Faults: []string{"restart"}, Schedules: 1, OnlySchedule: -1, Seed: 1, CacheNodes: 6, Clients: 80, Load: 0.3, Argv: selfAsDirector(t)}
	startedAt := time.Now()
	r, err := p.Execute(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if broken := r.Broken(); len(broken) > 0 || r.Schedules != 1 || len(r.Runs) != 1 || r.Runs[0].SuccessShare < 0.8 {
		t.Errorf("%v after %v: %+v", broken, time.Since(startedAt), r.Runs[0])
	}
	p.Directors = []int{1}
	if _, err := p.Execute(t.Context()); err == nil {
		t.Error("one director was accepted")
	}
	if (MembershipResult{QuotaExceeded: 1, Unfinished: 2}).Broken() == nil {
		t.Error("broken rules were not reported")
	}
}
