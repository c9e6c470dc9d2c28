package faulttest

import (
	"testing"
	"time"

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/logevent"
)

// TestRelayDelegates plays fleets of which a few directors poll the channel for the rest. In each case the rules hold by the fakes'
// statistics, no request is lost, no cold cache is pushed over, and the channel's calls are those of a few.
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
	seven := make([]int, directors*7/10)
	for i := range seven {
		seven[i] = i
	}
	down := func(how fakes.ChannelMode) func(*Harness) {
		return func(r *Harness) { r.Cluster.SetChannelMode(how, 0) }
	}
	cases := []struct {
		name   string
		cold   bool
		before func(*Harness)
		faults []Fault
		most   float64 // calls a second that the channel may see; 0 for any
		also   func(t *testing.T, o Outcome)
	}{
		{"all start cold under load", true, nil, []Fault{{Kind: Purge, AtMS: 1000}}, 40, nil},
		{"all start cold, and the channel is there four seconds later", true, down(fakes.ChannelUnavailable), []Fault{{Kind: ChannelOutage, AtMS: 0, ForMS: 4000, Rate: 1}},
			60, func(t *testing.T, o Outcome) { // nobody can vouch for what is in force until then, whatever they answer each other
				careful := map[int]time.Time{}
				for _, e := range o.History.Entries() {
					if on := e.Attributes["active"] == "true"; e.Event == logevent.ViewUnconfirmed && on {
						careful[e.Director] = e.At
					} else if e.Event == logevent.ViewUnconfirmed && e.At.Sub(careful[e.Director]) < time.Second {
						t.Errorf("n%d went carefully for %v", e.Director, e.At.Sub(careful[e.Director]))
					}
				}
				if len(careful) < directors/2 {
					t.Errorf("%d went carefully", len(careful))
				}
			}},
		{"the channel is away, purges and a drain are told meanwhile", false, nil, []Fault{{Kind: ChannelOutage, AtMS: 500, ForMS: durationMS(4000, 60000), Rate: 1},
			{Kind: Purge, AtMS: 2000}, {Kind: Drain, AtMS: 1500, ForMS: durationMS(5000, 62000)}}, 40, nil},
		{"it hangs, and starts anew with fewer events", false, nil, []Fault{{Kind: ChannelOutage, AtMS: 500, ForMS: 2000, Rate: 2},
			{Kind: ChannelRollback, AtMS: 3000}, {Kind: Purge, AtMS: 4500}}, 40, nil},
		{"seven in ten killed and back", false, nil, []Fault{{Kind: Kill, AtMS: 500, ForMS: durationMS(4000, 12000), Targets: seven}, {Kind: Purge, AtMS: 2500}}, 80, nil},
		{"all who follow are killed while an event passes through them", false, nil, []Fault{{Kind: KillDelegates, AtMS: 1000, ForMS: 3000},
			{Kind: Drain, AtMS: 2000, ForMS: 2500}}, 80, nil},
		{"halves, and the channel on one side", false, nil, []Fault{{Kind: Partition, AtMS: 500, ForMS: 4000, Groups: [][]int{odd, even}},
			{Kind: ChannelUnreachable, AtMS: 500, ForMS: 4000}}, 0, nil},
		{"a purge before, at and after a start", false, nil, []Fault{{Kind: Restart, AtMS: 1000, Targets: seven[:8]}, {Kind: Purge, AtMS: 900},
			{Kind: Purge, AtMS: 1010}, {Kind: Purge, AtMS: 1100}, {Kind: Drain, AtMS: 800, ForMS: 3000}}, 40, nil},
		{"all are told within a second that the channel moves", false, nil, []Fault{{Kind: ChannelMove, AtMS: 500}, {Kind: Purge, AtMS: 1200}, {Kind: Purge, AtMS: 3000},
			{Kind: Drain, AtMS: 3000, ForMS: 2000}}, 40, nil},
		{"one among those to be heard tells rubbish, and another fleet's list", false, nil, []Fault{{Kind: MalformedRelay, AtMS: 500, ForMS: 4000},
			{Kind: Purge, AtMS: 2000}, {Kind: Drain, AtMS: 1500, ForMS: 2500}}, 40, func(t *testing.T, o Outcome) {
			if o.SuccessRate < 0.97 {
				t.Errorf("%v of the downloads were fulfilled", o.SuccessRate)
			}
		}},
		{"a roll of a tenth at a time while half of the caches are replaced", false, nil, []Fault{{Kind: RollingRestart, AtMS: 500, ForMS: 4000},
			{Kind: ReplaceCaches, AtMS: 500, ForMS: 4000}}, 60, func(t *testing.T, o Outcome) {
			if o.ListsRelayed < directors/2 {
				t.Errorf("%d lists were taken from others", o.ListsRelayed)
			}
		}},
	}
	built := buildProgram(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := Schedule{Seed: 3, Directors: directors, Faults: c.faults}
			for _, f := range c.faults {
				s.LengthMS = max(s.LengthMS, f.AtMS+f.ForMS+500)
			}
			o, err := Run(t.Context(), Spec{Argv: built, CacheNodes: 8, Clients: 160, LoadFactor: 0.3, WarmCaches: !c.cold, LoadBefore: 500 * time.Millisecond,
				LoadAfter: time.Second, BeforeStart: c.before, EarlyClients: c.cold}, s, nil)
			checkOutcome(t, o, err)
			if c.also != nil && err == nil {
				c.also(t, o)
			}
			if c.most > 0 && o.CallsPerSecond > c.most {
				t.Errorf("%v calls a second", o.CallsPerSecond)
			}
			t.Logf("%v calls a second, %d lists, %d words, %v fulfilled, cold peak %v, one view after %v ms, %v MB", o.CallsPerSecond, o.ListsRelayed, o.UpdatesReceived, o.SuccessRate,
				o.ColdPeakLoad, o.ConvergenceMS, o.MemoryMB)
		})
	}
}
