package faulttest

import (
	"testing"
	"time"

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/logevent"
)

// TestRelayDelegates guards against faults of fleets in which a few directors poll the channel for
// the others. In each case the fakes find no broken rule, no request is lost, no cold cache is
// overloaded, and the rate of calls to the channel is that of a few directors.
func TestRelayDelegates(t *testing.T) {
	directors := 40
	if longRun {
		directors = 300
	}
	odd, even := []int{}, []int{}
	for i := range directors {
		if i%2 == 1 {
			odd = append(odd, i)
		} else {
			even = append(even, i)
		}
	}
	sevenInTen := make([]int, directors*7/10)
	for i := range sevenInTen {
		sevenInTen[i] = i
	}
	withChannel := func(mode fakes.ChannelMode) func(*Harness) {
		return func(h *Harness) { h.Cluster.SetChannelMode(mode, 0) }
	}
	cases := []struct {
		name     string
		cold     bool // caches and directors start together, under load
		before   func(*Harness)
		faults   []Fault
		maxCalls float64 // upper bound of calls per second to the channel; 0 for none
		check    func(t *testing.T, o Outcome)
	}{
		{"all start cold under load", true, nil, []Fault{{Kind: Purge, AtMS: 1000}}, 40, nil},
		{"all start cold, and the channel is there four seconds later", true, withChannel(fakes.ChannelUnavailable), []Fault{{Kind: ChannelOutage, AtMS: 0, ForMS: 4000, Rate: 1}},
			60, checkUnconfirmedViews},
		{"the channel is away, purges and a drain are told meanwhile", false, nil, []Fault{{Kind: ChannelOutage, AtMS: 500, ForMS: durationMS(4000, 60000), Rate: 1},
			{Kind: Purge, AtMS: 2000}, {Kind: Drain, AtMS: 1500, ForMS: durationMS(5000, 62000)}}, 40, nil},
		{"it hangs, and starts anew with fewer events", false, nil, []Fault{{Kind: ChannelOutage, AtMS: 500, ForMS: 2000, Rate: 2},
			{Kind: ChannelRollback, AtMS: 3000}, {Kind: Purge, AtMS: 4500}}, 40, nil},
		{"seven in ten killed and back", false, nil, []Fault{{Kind: Kill, AtMS: 500, ForMS: durationMS(4000, 12000), Targets: sevenInTen}, {Kind: Purge, AtMS: 2500}}, 80, nil},
		{"all who follow are killed while an event passes through them", false, nil, []Fault{{Kind: KillDelegates, AtMS: 1000, ForMS: 3000},
			{Kind: Drain, AtMS: 2000, ForMS: 2500}}, 80, nil},
		{"halves, and the channel on one side", false, nil, []Fault{{Kind: Partition, AtMS: 500, ForMS: 4000, Groups: [][]int{odd, even}},
			{Kind: ChannelUnreachable, AtMS: 500, ForMS: 4000}}, 0, nil},
		{"a purge before, at and after a start", false, nil, []Fault{{Kind: Restart, AtMS: 1000, Targets: sevenInTen[:8]}, {Kind: Purge, AtMS: 900},
			{Kind: Purge, AtMS: 1010}, {Kind: Purge, AtMS: 1100}, {Kind: Drain, AtMS: 800, ForMS: 3000}}, 40, nil},
		{"all are told within a second that the channel moves", false, nil, []Fault{{Kind: ChannelMove, AtMS: 500}, {Kind: Purge, AtMS: 1200}, {Kind: Purge, AtMS: 3000},
			{Kind: Drain, AtMS: 3000, ForMS: 2000}}, 40, nil},
		{"one among those to be heard tells rubbish, and another fleet's list", false, nil, []Fault{{Kind: MalformedRelay, AtMS: 500, ForMS: 4000},
			{Kind: Purge, AtMS: 2000}, {Kind: Drain, AtMS: 1500, ForMS: 2500}}, 40, func(t *testing.T, o Outcome) {
			if o.SuccessRate < 0.97 {
				t.Errorf("success rate %v, want at least 0.97", o.SuccessRate)
			}
		}},
		{"a roll of a tenth at a time while half of the caches are replaced", false, nil, []Fault{{Kind: RollingRestart, AtMS: 500, ForMS: 4000},
			{Kind: ReplaceCaches, AtMS: 500, ForMS: 4000}}, 60, func(t *testing.T, o Outcome) {
			if o.ListsRelayed < directors/2 {
				t.Errorf("%d endpoint lists relayed, want at least one per two directors", o.ListsRelayed)
			}
		}},
	}
	argv := buildProgram(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			spec := Spec{Argv: argv, CacheNodes: 8, Clients: 160, LoadFactor: 0.3, WarmCaches: !c.cold, LoadBefore: 500 * time.Millisecond,
				LoadAfter: time.Second, BeforeStart: c.before, EarlyClients: c.cold}
			o, err := Run(t.Context(), spec, testSchedule(3, directors, c.faults), nil)
			checkOutcome(t, o, err)
			if c.check != nil && err == nil {
				c.check(t, o)
			}
			if c.maxCalls > 0 && o.CallsPerSecond > c.maxCalls {
				t.Errorf("%v calls per second to the channel", o.CallsPerSecond)
			}
			t.Logf("%v calls per second, %d lists, %d updates, success rate %v, cold peak %v, converged after %v ms, %v MB", o.CallsPerSecond,
				o.ListsRelayed, o.UpdatesReceived, o.SuccessRate, o.ColdPeakLoad, o.ConvergenceMS, o.MemoryMB)
		})
	}
}

// checkUnconfirmedViews checks that at least half of the directors marked their views as
// unconfirmed while the channel was unavailable, and for at least a second. Only the channel can
// confirm the state in force: while it is unavailable, directors must not confirm the state to each
// other.
func checkUnconfirmedViews(t *testing.T, o Outcome) {
	since := map[int]time.Time{}
	for _, e := range o.History.Entries() {
		if e.Event != logevent.ViewUnconfirmed {
			continue
		}
		if e.Attributes["active"] == "true" {
			since[e.Director] = e.At
		} else if lasted := e.At.Sub(since[e.Director]); lasted < time.Second {
			t.Errorf("n%d marked its view as unconfirmed for only %v", e.Director, lasted)
		}
	}
	if len(since) < o.Schedule.Directors/2 {
		t.Errorf("%d directors marked their views as unconfirmed, want at least half", len(since))
	}
}
