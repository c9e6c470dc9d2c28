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
	s := Startup{Directors: []int{40}, PhaseDuration: 1500 * time.Millisecond, Seed: 1, Argv: program(t), CacheNodes: 4, Clients: 60, Load: 0.2, Peers: true, CompareAlone: true,
		Faults: []string{"away", "event"}, CallsPerSecond: 400, EventsPerSecond: 40_000, MaxAnswerDelay: 500 * time.Millisecond}
	r, err := s.Execute(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Broken()) > 0 || len(r.Runs) != 2 {
		t.Fatalf("%v: %s", r.Broken(), r.Table())
	}
	for _, run := range r.Runs {
		if c := run.ColdStart; c.Requests < 60 || c.PeakLoad > 0.5 || c.PeakLoad <= 0 || c.RulesBroken+c.Lost+c.OverloadedNodes+c.Unfinished > 0 {
			t.Errorf("on cold caches: %+v", c)
		}
		for _, p := range run.Phases {
			switch {
			case p.Name == "away" && (p.OverCalm > 1.8 || p.PeakShare > 0.5), p.Name == "back" && p.PeakShare > 0.5:
				t.Errorf("alone %v: %+v", run.Alone, p)
			case p.Name == "calm" && !run.Alone && p.CallRate > 24:
				t.Errorf("%v calls a second where three are to ask", p.CallRate)
			}
		}
		if run.ListKnownP99 > 3000 || run.EventKnownP99 > 1000 {
			t.Errorf("alone %v: known after %v and %v ms", run.Alone, run.ListKnownP99, run.EventKnownP99)
		}
	}
	if t.Failed() {
		t.Log(r.Table())
	}
	if _, err := (&Startup{Directors: []int{0}}).Execute(t.Context()); err == nil {
		t.Error("no director was taken for a start")
	}
}

// The same in simulated time: the channel's calls are as many for 300 as for 100, a few call while it is away, and an event is known by
// 99 of 100 within 300 ms.
func TestStartSimulated(t *testing.T) {
	calls := map[int]float64{}
	for _, n := range []int{100, 300} {
		alone, few := simulateStartup(n, true, 5, fakes.ChannelCapacity{}, 2*time.Second), simulateStartup(n, false, 5, fakes.ChannelCapacity{}, 2*time.Second)
		if again := simulateStartup(n, false, 5, fakes.ChannelCapacity{}, 2*time.Second); again.EventKnownP99 != few.EventKnownP99 || again.Phases[0] != few.Phases[0] {
			t.Errorf("played again: %+v, before %+v", again, few)
		}
		if few.NeverKnown+alone.NeverKnown > 0 || few.EventKnownP99 > 300 || few.ListKnownP99 > 3000 {
			t.Errorf("%+v", few)
		}
		for i, p := range few.Phases {
			if p.CallRate > alone.Phases[i].CallRate/2 || p.Name != "start" && p.PeakShare > 0.15 {
				t.Errorf("%+v, alone %+v", p, alone.Phases[i])
			}
		}
		calls[n] = few.Phases[1].CallRate
	}
	if calls[300] > 1.5*calls[100] {
		t.Errorf("calls grow with the fleet: %v", calls)
	}
}
