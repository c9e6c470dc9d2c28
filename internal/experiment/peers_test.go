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
				s := Named(c.kind, 11, i, c.n)
				r := simulate(s)
				if r.Over > 0 || r.Unended || c.raised && !r.Raised || c.kind == "none" && r.Peak > 1 {
					t.Errorf("%+v\n%v", r, s)
				}
				if again := simulate(s); again != r {
					t.Errorf("played again: %+v, before %+v", again, r)
				}
			}
		})
	}
}

// The experiment from end to end, as a command runs it: with processes, and the exit that goes by what came of it.
func TestPeersCommand(t *testing.T) {
	p := Peers{Instances: []int{3}, Faults: []string{"restart"}, Schedules: 1, Only: -1, Seed: 1, Boxes: 6, Clients: 80, Load: 0.3, Argv: argv(t)}
	begun := time.Now()
	r, err := p.Play(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if broken := r.Broken(); len(broken) > 0 || r.Schedules != 1 || len(r.Runs) != 1 || r.Runs[0].Share < 0.8 {
		t.Errorf("%v after %v: %+v", broken, time.Since(begun), r.Runs[0])
	}
	p.Instances = []int{1}
	if _, err := p.Play(t.Context()); err == nil {
		t.Error("one director was taken for several")
	}
	if (PeersResult{Over: 1, Unended: 2}).Broken() == nil {
		t.Error("broken rules were not told")
	}
}

// Detectors alone, in one process: each death becomes known to all, and all have one view after.
func TestTogether(t *testing.T) {
	r, err := Together{Directors: 8, Dying: 2, Times: 1}.Play(t.Context())
	if err != nil || r.Unended > 0 || len(r.deaths) != 2 || r.DeathP99 <= 0 || r.DeathP99 > 20_000 {
		t.Errorf("%+v, %v", r, err)
	}
	for _, g := range []Together{{Directors: 2, Dying: 1, Times: 1}, {Directors: 10, Dying: 3, Times: 3}, {Directors: 5}} {
		if _, err := g.Play(t.Context()); err == nil {
			t.Errorf("%+v was played", g)
		}
	}
}
