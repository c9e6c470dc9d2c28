package experiment

import (
	"testing"
	"time"

	"tallyproxy/internal/fakes"
)

// Forty directors that start at once, and a list service that is away: alone they neither call in step nor hold it down (before their
// manners they made 13 times the calls of a calm moment, all in the same tenth of a second); those that know each other have a few of
// them ask, and all know what was told before long.
func TestStart(t *testing.T) {
	s := Start{Directors: []int{40}, Phase: 1500 * time.Millisecond, Seed: 1, Argv: program(t), Boxes: 4, Clients: 60, Load: 0.2, Peers: true, Beside: true,
		Faults: []string{"away", "event"}, Service: 400, Lines: 40_000, Patience: 500 * time.Millisecond}
	r, err := s.Play(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Broken()) > 0 || len(r.Runs) != 2 {
		t.Fatalf("%v: %s", r.Broken(), r.Table())
	}
	for _, run := range r.Runs {
		if c := run.Cold; c.Asked < 60 || c.Peak > 0.5 || c.Peak <= 0 || c.Rules+c.Lost+c.Fallen+c.Unended > 0 {
			t.Errorf("on cold caches: %+v", c)
		}
		for _, p := range run.Phases {
			switch {
			case p.Name == "away" && (p.Over > 1.8 || p.Peak > 0.5), p.Name == "back" && p.Peak > 0.5:
				t.Errorf("alone %v: %+v", run.Alone, p)
			case p.Name == "calm" && !run.Alone && p.Rate > 24:
				t.Errorf("%v calls a second where three are to ask", p.Rate)
			}
		}
		if run.List > 3000 || run.Event > 1000 {
			t.Errorf("alone %v: known after %v and %v ms", run.Alone, run.List, run.Event)
		}
	}
	if t.Failed() {
		t.Log(r.Table())
	}
	if _, err := (&Start{Directors: []int{0}}).Play(t.Context()); err == nil {
		t.Error("no director was taken for a start")
	}
}

// The same in simulated time: the channel's calls are as many for 300 as for 100, a few call while it is away, and an event is known by
// 99 of 100 within 300 ms.
func TestStartSimulated(t *testing.T) {
	calls := map[int]float64{}
	for _, n := range []int{100, 300} {
		alone, few := simulateStart(n, true, 5, fakes.ChannelCapacity{}, 2*time.Second), simulateStart(n, false, 5, fakes.ChannelCapacity{}, 2*time.Second)
		if again := simulateStart(n, false, 5, fakes.ChannelCapacity{}, 2*time.Second); again.Event != few.Event || again.Phases[0] != few.Phases[0] {
			t.Errorf("played again: %+v, before %+v", again, few)
		}
		if few.Unknown+alone.Unknown > 0 || few.Event > 300 || few.List > 3000 {
			t.Errorf("%+v", few)
		}
		for i, p := range few.Phases {
			if p.Rate > alone.Phases[i].Rate/2 || p.Name != "start" && p.Peak > 0.15 {
				t.Errorf("%+v, alone %+v", p, alone.Phases[i])
			}
		}
		calls[n] = few.Phases[1].Rate
	}
	if calls[300] > 1.5*calls[100] {
		t.Errorf("calls grow with the fleet: %v", calls)
	}
}
