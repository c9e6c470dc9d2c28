package faulttest

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/logevent"
)

// program is the director as it is built for use: forty of them, several times slower under the race detector, would test the machine.
// The cases of TestFaults run it under the detector.
func program(t *testing.T) []string {
	path := filepath.Join(t.TempDir(), "tallyproxy")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, "tallyproxy/cmd/tallyproxy").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return []string{path}
}

// Fleets of which a few directors follow the channel for the rest. In each case the rules hold by the stand-ins' books, no download is
// lost, no cold cache is pushed over, and the channel's calls are those of a few.
func TestFollowers(t *testing.T) {
	directors := 40
	if long {
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
	down := func(how fakes.ChannelMode) func(*Rig) { return func(r *Rig) { r.World.SetChannelMode(how, 0) } }
	cases := []struct {
		name   string
		cold   bool
		before func(*Rig)
		faults []Fault
		most   float64 // calls a second that the channel may see; 0 for any
		also   func(t *testing.T, o Outcome)
	}{
		{"all start cold under load", true, nil, []Fault{{Kind: Purge, At: 1000}}, 40, nil},
		{"all start cold, and the channel is there four seconds later", true, down(fakes.ChannelUnavailable), []Fault{{Kind: Service, At: 0, For: 4000, Rate: 1}},
			60, func(t *testing.T, o Outcome) { // nobody can vouch for what is in force until then, whatever they answer each other
				careful := map[int]time.Time{}
				for _, e := range o.History.Entries() {
					if on := e.Of["active"] == "true"; e.Event == logevent.ViewUnconfirmed && on {
						careful[e.Who] = e.At
					} else if e.Event == logevent.ViewUnconfirmed && e.At.Sub(careful[e.Who]) < time.Second {
						t.Errorf("n%d went carefully for %v", e.Who, e.At.Sub(careful[e.Who]))
					}
				}
				if len(careful) < directors/2 {
					t.Errorf("%d went carefully", len(careful))
				}
			}},
		{"the channel is away, purges and a drain are told meanwhile", false, nil, []Fault{{Kind: Service, At: 500, For: ms(4000, 60000), Rate: 1},
			{Kind: Purge, At: 2000}, {Kind: Drain, At: 1500, For: ms(5000, 62000)}}, 40, nil},
		{"it hangs, and starts anew with fewer events", false, nil, []Fault{{Kind: Service, At: 500, For: 2000, Rate: 2},
			{Kind: Forget, At: 3000}, {Kind: Purge, At: 4500}}, 40, nil},
		{"seven in ten killed and back", false, nil, []Fault{{Kind: Kill, At: 500, For: ms(4000, 12000), Who: seven}, {Kind: Purge, At: 2500}}, 80, nil},
		{"all who follow are killed while an event passes through them", false, nil, []Fault{{Kind: Followers, At: 1000, For: 3000},
			{Kind: Drain, At: 2000, For: 2500}}, 80, nil},
		{"halves, and the channel on one side", false, nil, []Fault{{Kind: Groups, At: 500, For: 4000, Groups: [][]int{odd, even}},
			{Kind: Away, At: 500, For: 4000}}, 0, nil},
		{"a purge before, at and after a start", false, nil, []Fault{{Kind: Restart, At: 1000, Who: seven[:8]}, {Kind: Purge, At: 900},
			{Kind: Purge, At: 1010}, {Kind: Purge, At: 1100}, {Kind: Drain, At: 800, For: 3000}}, 40, nil},
		{"all are told within a second that the channel moves", false, nil, []Fault{{Kind: Move, At: 500}, {Kind: Purge, At: 1200}, {Kind: Purge, At: 3000},
			{Kind: Drain, At: 3000, For: 2000}}, 40, nil},
		{"one among those to be heard tells rubbish, and another fleet's list", false, nil, []Fault{{Kind: Rubbish, At: 500, For: 4000},
			{Kind: Purge, At: 2000}, {Kind: Drain, At: 1500, For: 2500}}, 40, func(t *testing.T, o Outcome) {
			if o.Share < 0.97 {
				t.Errorf("%v of the downloads were fulfilled", o.Share)
			}
		}},
		{"a roll of a tenth at a time while half of the caches are replaced", false, nil, []Fault{{Kind: Roll, At: 500, For: 4000},
			{Kind: Replace, At: 500, For: 4000}}, 60, func(t *testing.T, o Outcome) {
			if o.Lists < directors/2 {
				t.Errorf("%d lists were taken from others", o.Lists)
			}
		}},
	}
	built := program(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := Schedule{Seed: 3, Directors: directors, Faults: c.faults}
			for _, f := range c.faults {
				s.Length = max(s.Length, f.At+f.For+500)
			}
			o, err := Run(t.Context(), Spec{Argv: built, Boxes: 8, Clients: 160, Load: 0.3, Warm: !c.cold, Settle: 500 * time.Millisecond,
				After: time.Second, Before: c.before, Early: c.cold}, s, nil)
			check(t, o, err)
			if c.also != nil && err == nil {
				c.also(t, o)
			}
			if c.most > 0 && o.Calls > c.most {
				t.Errorf("%v calls a second", o.Calls)
			}
			t.Logf("%v calls a second, %d lists, %d words, %v fulfilled, cold peak %v, one view after %v ms, %v MB", o.Calls, o.Lists, o.Words, o.Share,
				o.ColdPeak, o.OneView, o.Memory)
		})
	}
}
