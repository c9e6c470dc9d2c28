package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"tallyproxy/policy"
)

func TestCoordinatorResult(t *testing.T) {
	cases := []struct {
		name    string
		waves   int
		script  string
		before  func(f *fleet)
		outcome Outcome
		states  string // of all directors, counted
		refused string
	}{
		{"all at once", 1, "new", func(*fleet) {}, Commit, "changed:6", ""},
		{"in three waves", 3, "new", func(*fleet) {}, Commit, "changed:6", ""},
		{"a faulty script", 1, "faulty", func(*fleet) {}, Abort, "untouched:6", "a0: n00: faulty"},
		{"one agent is down", 1, "new", func(f *fleet) { f.machines["a1"].down = true }, Abort, "untouched:6", "a1: does not answer"},
		{"a majority is down", 1, "new", func(f *fleet) {
			f.machines["a1"].down, f.machines["a2"].down = true, true
		}, Undecided, "", "no majority of the agents answers"},
		{"a director would not have it: the waves stop", 2, "new", func(f *fleet) { f.rejects["n00"] = true }, Commit,
			"changed:2 untouched:4", ""},
		{"something else is in force", 1, "new", func(f *fleet) { f.machines["a2"].State.ActiveScripts["n21"] = "other" }, Abort,
			"untouched:6", "a2: n21: something else is in force than the change was made for"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(3)
			change := f.newChange("c1", c.script, c.waves)
			c.before(f)
			tool := f.startTool(change)
			f.runRounds(200)
			r := tool.Result()
			counts := map[string]int{}
			for _, e := range r.Targets {
				counts[e.State]++
			}
			var got []string
			for _, state := range slices.Sorted(maps.Keys(counts)) {
				got = append(got, fmt.Sprint(state, ":", counts[state]))
			}
			if tool.Step() != StepDone || r.Outcome != c.outcome || strings.Join(got, " ") != c.states || r.RefusalReason != c.refused || f.err != nil {
				t.Errorf("%v: %+v, %v", tool.Step(), r, f.err)
			}
		})
	}
}

func TestTwoOperators(t *testing.T) {
	f := newFleet(3)
	first := f.startTool(f.newChange("c1", "one", 1))
	for range 6 { // the right to change is given, nothing is decided
		it := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		f.deliver(it)
	}
	f.now += 2 * policy.Second
	f.inFlight = nil
	second := f.startTool(f.newChange("c2", "two", 1))
	for len(f.inFlight) > 0 {
		it := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		f.deliver(it)
	}
	if r := second.Result(); second.Step() != StepDone || r.Holder != "op1" || r.HeldFor != 2*policy.Second || r.LeaseLeft <= 0 {
		t.Fatalf("the second: %+v", r)
	}
	delete(f.tools, 1) // the first crashes; its lease expires
	f.now += 20 * policy.Second
	third := f.startTool(f.newChange("c3", "three", 1))
	f.runRounds(100)
	if r := third.Result(); r.Outcome != Commit || !r.AllOrNone() {
		t.Fatalf("the third: %+v", r)
	}
	f.tools[1] = first // late messages of the first are rejected
	for _, a := range f.names {
		for _, verb := range []MessageType{Prepare, Accept} {
			r, do := f.machines[a].Handle(f.now, Message{Type: verb, Ballot: Ballot{1, "op1"}, Change: f.newChange("c1", "one", 1), Outcome: Commit})
			if r.OK || len(do) > 0 || !strings.Contains(r.Reason, "taken over by op3") {
				t.Errorf("%s: %+v", a, r)
			}
		}
	}
}

// A tool that crashes at any step leaves a fleet that another tool brings to one outcome, which it reports.
func TestToolKilledAtEveryStep(t *testing.T) {
	for after := range 60 {
		for _, down := range []string{"", "a1"} {
			f := newFleet(3)
			f.startTool(f.newChange("c1", "new", 2))
			for n := 0; n < after; n++ {
				if len(f.inFlight) == 0 {
					f.runRounds(1)
					continue
				}
				it := f.inFlight[0]
				f.inFlight = f.inFlight[1:]
				f.deliver(it)
				if n%4 == 3 {
					for _, name := range f.names {
						f.carryOutNext(f.machines[name])
					}
				}
			}
			f.tools, f.inFlight = map[int]*Coordinator{}, nil
			if down != "" { // and an agent with it, which restarts from its store
				f.machines[down].down = true
			}
			f.now += 20 * policy.Second
			f.startTool(nil)
			f.runRounds(200)
			if down != "" {
				f.boot(down)
				f.runRounds(50)
			}
			f.startTool(nil)
			f.runRounds(200)
			f.checkConsistent(t.Errorf, fmt.Sprint("after ", after, " steps, down ", down))
		}
	}
}

// An agent reports its completed changes to whoever takes the right to change: a holder that only knows of them as prepared would
// otherwise abort what was committed.
func TestPromiseReportsCompletedChanges(t *testing.T) {
	cases := []struct {
		name   string
		forget int // changes after it
	}{{"its entry is there", 0}, {"its entry made room", maxEntries + 10}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(3)
			change := f.newChange("c0", "new", 1)
			send := func(name string, m Message) Reply {
				r, do := f.machines[name].Handle(f.now, m)
				f.machines[name].commands = do
				f.store(f.machines[name])
				f.carryOutNext(f.machines[name])
				f.carryOutNext(f.machines[name])
				return r
			}
			b := Ballot{1, "op1"}
			for _, name := range f.names { // all have prepared it, two have accepted the outcome, one of these has completed it
				send(name, Message{Type: Prepare, Ballot: b, Change: change})
			}
			for _, name := range f.names[1:] {
				send(name, Message{Type: Accept, Ballot: b, Change: change, Outcome: Commit})
			}
			f.chosen["c0"] = Commit
			send("a2", Message{Type: Learn, Change: change, Outcome: Commit, AllowedWaves: 1, Final: true})
			for i := range c.forget {
				send("a2", Message{Type: Learn, Change: &Change{ID: fmt.Sprint("x", i)}, Outcome: Abort})
			}
			f.machines["a1"].down = true // the majority that is left: one that knows no outcome, one that is done
			f.now += 20 * policy.Second
			tool := f.startTool(nil)
			f.deliverUntil(func() bool { return tool.Step() != StepPromise })
			f.boot("a1") // then another majority, whose vote nobody was told of
			f.machines["a2"].down = true
			f.runRounds(50)
			f.boot("a2")
			f.runRounds(100)
			f.checkConsistent(t.Errorf, c.name)
			if got := f.machines["a0"].running["n00"]; got != "new" || f.err != nil {
				t.Errorf("a0 runs %q, %v", got, f.err)
			}
		})
	}
}

// A tool that proposes again a change that all are done with, as after a lost reply, is told its result.
func TestRepeatedChangeReportsResult(t *testing.T) {
	f := newFleet(3)
	change := f.newChange("c1", "new", 2)
	for range 2 {
		tool := f.startTool(change)
		f.runRounds(100)
		if r := tool.Result(); tool.Step() != StepDone || r.Outcome != Commit || len(r.Targets) != 6 || !r.AllOrNone() || r.RefusalReason+r.StopReason != "" {
			t.Errorf("%v: %+v", tool.Step(), r)
		}
	}
	f.checkConsistent(t.Errorf, "again")
}

// A tool does not wait for a majority that can't come any more, such as when half of an even fleet has promised a higher ballot.
func TestSplitVote(t *testing.T) {
	for _, agents := range []int{2, 4, 5} {
		t.Run(fmt.Sprint(agents, " agents"), func(t *testing.T) {
			f := newFleet(agents)
			tool := f.startTool(f.newChange("c1", "new", 1))
			f.deliverUntil(func() bool { return tool.Step() == StepDecide })
			for _, name := range f.names[:(agents+1)/2] { // half of them have promised another ballot, whose holder has crashed
				f.machines[name].State.Promised = Ballot{9, "op9"}
			}
			begun := f.now
			for tool.Step() != StepDone && f.now < begun+200*policy.Second {
				f.runRounds(1)
			}
			r := tool.Result()
			if tool.Step() != StepDone || r.Outcome == Undecided || !r.AllOrNone() {
				t.Errorf("after %v: %s, %+v", f.now-begun, tool.DebugString(), r)
			}
			f.runRounds(100)
			f.checkConsistent(t.Errorf, "split")
		})
	}
}

// Waves that no majority hears of, or whose health check does not answer, are stopped in a bounded time.
func TestWavesEnd(t *testing.T) {
	cases := []struct {
		name    string
		worse   func() (string, bool)
		mute    bool
		stopped string
	}{
		{"no majority hears", nil, true, "no majority of the agents knows of wave 2"},
		{"nobody says how things look", func() (string, bool) { return "", false }, false, "after wave 1 nobody could say how things look"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(5)
			change := f.newChange("c1", "new", 10)
			f.lastBallot++
			tool := NewCoordinator("op1", 1, f.names, change, DefaultTimeouts(), c.worse)
			f.tools[1] = tool
			f.enqueue("1", tool.Start(f.now))
			begun := f.now
			for tool.Step() != StepDone && f.now < begun+300*policy.Second {
				if c.mute && tool.Step() == StepApply {
					for _, name := range f.names[1:] {
						f.machines[name].down = true
					}
				}
				f.runRounds(1)
			}
			if r := tool.Result(); tool.Step() != StepDone || r.StopReason != c.stopped || f.now-begun > 100*policy.Second {
				t.Errorf("after %v: %s, %+v", f.now-begun, tool.DebugString(), r)
			}
		})
	}
}

// Of two accepted outcomes the one of the higher ballot holds: the lower one can't have been chosen.
func TestHigherVoteHolds(t *testing.T) {
	for _, outcome := range []Outcome{Commit, Abort} {
		f := newFleet(3)
		change := f.newChange("c1", "new", 1)
		for _, name := range f.names {
			f.machines[name].Handle(f.now, Message{Type: Prepare, Ballot: Ballot{1, "x"}, Change: change})
		}
		other := Commit + Abort - outcome
		f.machines["a0"].Handle(f.now, Message{Type: Accept, Ballot: Ballot{1, "x"}, Change: change, Outcome: other})
		f.machines["a1"].Handle(f.now, Message{Type: Accept, Ballot: Ballot{2, "y"}, Change: change, Outcome: outcome})
		f.machines["a2"].down = true
		f.lastBallot, f.now = 10, f.now+30*policy.Second
		f.startTool(nil)
		f.runRounds(200)
		if got := f.machines["a0"].Entry("c1").Outcome; got != outcome {
			t.Errorf("%v was decided, want %v", got, outcome)
		}
	}
}

// Guards against a repeated Prepare that names another target's refusal than the first: the same events are to give the same reply.
func TestRepeatedPrepareReason(t *testing.T) {
	f := newFleet(1)
	change := f.newChange("c1", "faulty", 1)
	for i := range 8 {
		change.Targets = append(change.Targets, Target{Instance: fmt.Sprint("stranger", i), Agent: "a0", Script: "x", Wave: 1})
	}
	prepare := Message{Type: Prepare, Ballot: Ballot{1, "op1"}, Change: change}
	first, _ := f.machines["a0"].Handle(f.now, prepare)
	for range 50 {
		if repeated, _ := f.machines["a0"].Handle(f.now, prepare); first.OK || repeated.Reason != first.Reason {
			t.Fatalf("%q, then %q", first.Reason, repeated.Reason)
		}
	}
}
