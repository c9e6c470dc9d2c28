package experiment

import (
	"testing"
	"time"

	"tallyproxy/internal/fakes"
)

// TestStartup starts forty directors at the same time and makes the command channel unavailable for
// some time. Directors without a cluster must neither call in step nor overload the channel:
// without backoff they made 13 times the calls of a calm phase, all in the same tenth of a second.
// In a cluster only the delegates may poll, and all directors must soon know of what was announced.
func TestStartup(t *testing.T) {
	s := Startup{Directors: []int{40}, PhaseDuration: 1500 * time.Millisecond, Seed: 1, Argv: buildDirector(t), CacheNodes: 4, Clients: 60, Load: 0.2, Peers: true, CompareAlone: true,
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
			t.Errorf("start with cold caches: %+v", c)
		}
		for _, p := range run.Phases {
			switch {
			case p.Name == "away" && (p.RelativeRate > 1.8 || p.PeakShare > 0.5), p.Name == "back" && p.PeakShare > 0.5:
				t.Errorf("alone %v: %+v", run.Alone, p)
			case p.Name == "calm" && !run.Alone && p.CallRate > 24:
				t.Errorf("%v calls per second, although only three directors should poll", p.CallRate)
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
		t.Error("no director was accepted")
	}
}

// TestStartupSimulated checks in simulated time that 300 directors make about as many calls as 100,
// that they make few calls while the channel is unavailable, and that 99 % know of an event within
// 300 ms.
func TestStartupSimulated(t *testing.T) {
	calls := map[int]float64{}
	for _, n := range []int{100, 300} {
		alone, clustered := simulateStartup(n, true, 5, fakes.ChannelCapacity{}, 2*time.Second), simulateStartup(n, false, 5, fakes.ChannelCapacity{}, 2*time.Second)
		if repeated := simulateStartup(n, false, 5, fakes.ChannelCapacity{}, 2*time.Second); repeated.EventKnownP99 != clustered.EventKnownP99 || repeated.Phases[0] != clustered.Phases[0] {
			t.Errorf("second run: %+v, first run: %+v", repeated, clustered)
		}
		if clustered.NeverKnown+alone.NeverKnown > 0 || clustered.EventKnownP99 > 300 || clustered.ListKnownP99 > 3000 {
			t.Errorf("%+v", clustered)
		}
		for i, p := range clustered.Phases {
			if p.CallRate > alone.Phases[i].CallRate/2 || p.Name != "start" && p.PeakShare > 0.15 {
				t.Errorf("%+v, alone %+v", p, alone.Phases[i])
			}
		}
		calls[n] = clustered.Phases[1].CallRate
	}
	if calls[300] > 1.5*calls[100] {
		t.Errorf("the call rate grows with the fleet: %v", calls)
	}
}
