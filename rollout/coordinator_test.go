package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"tallyproxy/policy"
)

// TestCoordinatorResult guards against a result that does not match the state of the fleet, for
// complete, refused and stopped changes.
func TestCoordinatorResult(t *testing.T) {
	cases := []struct {
		name          string
		waves         int
		script        string
		setUp         func(f *fleet)
		outcome       Outcome
		states        string // number of directors in each state
		refusalReason string
	}{
		{"all at once", 1, "new", func(*fleet) {}, Commit, "changed:6", ""},
		{"in three waves", 3, "new", func(*fleet) {}, Commit, "changed:6", ""},
		{"a faulty script", 1, "faulty", func(*fleet) {}, Abort, "untouched:6", "a0: n00: faulty"},
		{"one agent is down", 1, "new", func(f *fleet) { f.machines["a1"].down = true }, Abort, "untouched:6", "a1: does not answer"},
		{"a majority is down", 1, "new", func(f *fleet) {
			f.machines["a1"].down, f.machines["a2"].down = true, true
		}, Undecided, "", "no majority of the agents answers"},
		{"a director rejects its script: the waves stop", 2, "new", func(f *fleet) { f.rejects["n00"] = true }, Commit,
			"changed:2 untouched:4", ""},
		{"something else is in force", 1, "new", func(f *fleet) { f.machines["a2"].State.ActiveScripts["n21"] = "other" }, Abort,
			"untouched:6", "a2: n21: something else is in force than the change was made for"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(3)
			change := f.newChange("c1", c.script, c.waves)
			c.setUp(f)
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
			if tool.Step() != StepDone || r.Outcome != c.outcome || strings.Join(got, " ") != c.states || r.RefusalReason != c.refusalReason || f.err != nil {
				t.Errorf("%v: %+v, %v", tool.Step(), r, f.err)
			}
		})
	}
}

// TestTwoOperators guards against two tools that hold the right to change at the same time: a
// second tool must wait for the lease, and late messages of the first one must be rejected.
func TestTwoOperators(t *testing.T) {
	f := newFleet(3)
	first := f.startTool(f.newChange("c1", "one", 1))
	for range 6 { // the right to change is granted, but nothing is decided
		d := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		f.deliver(d)
	}
	f.now += 2 * policy.Second
	f.inFlight = nil
	second := f.startTool(f.newChange("c2", "two", 1))
	for len(f.inFlight) > 0 {
		d := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		f.deliver(d)
	}
	if r := second.Result(); second.Step() != StepDone || r.Holder != "op1" || r.HeldFor != 2*policy.Second || r.LeaseLeft <= 0 {
		t.Fatalf("the second tool: %+v", r)
	}
	delete(f.tools, 1) // the first tool crashes, and its lease expires
	f.now += 20 * policy.Second
	third := f.startTool(f.newChange("c3", "three", 1))
	f.runRounds(100)
	if r := third.Result(); r.Outcome != Commit || !r.AllOrNone() {
		t.Fatalf("the third tool: %+v", r)
	}
	f.tools[1] = first // late messages of the first tool must be rejected
	for _, a := range f.names {
		for _, messageType := range []MessageType{Prepare, Accept} {
			r, commands := f.machines[a].Handle(f.now, Message{Type: messageType, Ballot: Ballot{1, "op1"}, Change: f.newChange("c1", "one", 1), Outcome: Commit})
			if r.OK || len(commands) > 0 || !strings.Contains(r.Reason, "taken over by op3") {
				t.Errorf("%s: %+v", a, r)
			}
		}
	}
}

// TestToolKilledAtEveryStep guards against a tool whose crash leaves a change incomplete: another
// tool must bring the change to one outcome and report it.
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
				d := f.inFlight[0]
				f.inFlight = f.inFlight[1:]
				f.deliver(d)
				if n%4 == 3 {
					for _, name := range f.names {
						f.carryOutNext(f.machines[name])
					}
				}
			}
			f.tools, f.inFlight = map[int]*Coordinator{}, nil
			if down != "" { // an agent crashes as well and restarts from its store
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

// TestPromiseReportsCompletedChanges guards against a new holder that aborts a committed change
// because it knows only agents that have prepared it. Agents must report completed changes to it.
func TestPromiseReportsCompletedChanges(t *testing.T) {
	cases := []struct {
		name         string
		laterChanges int // number of changes after the tested one
	}{{"its entry is kept", 0}, {"its entry was dropped", maxEntries + 10}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(3)
			change := f.newChange("c0", "new", 1)
			send := func(name string, m Message) Reply {
				r, commands := f.machines[name].Handle(f.now, m)
				f.machines[name].commands = commands
				f.store(f.machines[name])
				f.carryOutNext(f.machines[name])
				f.carryOutNext(f.machines[name])
				return r
			}
			ballot := Ballot{1, "op1"}
			// All agents have prepared the change, two have accepted the outcome, and one of these
			// has completed the change.
			for _, name := range f.names {
				send(name, Message{Type: Prepare, Ballot: ballot, Change: change})
			}
			for _, name := range f.names[1:] {
				send(name, Message{Type: Accept, Ballot: ballot, Change: change, Outcome: Commit})
			}
			f.chosen["c0"] = Commit
			send("a2", Message{Type: Learn, Change: change, Outcome: Commit, AllowedWaves: 1, Final: true})
			for i := range c.laterChanges {
				send("a2", Message{Type: Learn, Change: &Change{ID: fmt.Sprint("x", i)}, Outcome: Abort})
			}
			// The remaining majority is one agent that knows no outcome and one that has completed
			// the change.
			f.machines["a1"].down = true
			f.now += 20 * policy.Second
			tool := f.startTool(nil)
			f.deliverUntil(func() bool { return tool.Step() != StepPromise })
			// Another majority then includes a1, whose vote no other agent knows.
			f.boot("a1")
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

// TestRepeatedChangeReportsResult guards against a tool that gets no result when it proposes a
// change again that all agents have completed, for example after a lost reply.
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

// TestSplitVote guards against a tool that waits for a majority that can no longer be reached, for
// example because half of an even fleet has promised a higher ballot.
func TestSplitVote(t *testing.T) {
	for _, agents := range []int{2, 4, 5} {
		t.Run(fmt.Sprint(agents, " agents"), func(t *testing.T) {
			f := newFleet(agents)
			tool := f.startTool(f.newChange("c1", "new", 1))
			f.deliverUntil(func() bool { return tool.Step() == StepDecide })
			// Half of the agents have promised another ballot, whose holder has crashed.
			for _, name := range f.names[:(agents+1)/2] {
				f.machines[name].State.Promised = Ballot{9, "op9"}
			}
			start := f.now
			for tool.Step() != StepDone && f.now < start+200*policy.Second {
				f.runRounds(1)
			}
			r := tool.Result()
			if tool.Step() != StepDone || r.Outcome == Undecided || !r.AllOrNone() {
				t.Errorf("after %v: %s, %+v", f.now-start, tool.DebugString(), r)
			}
			f.runRounds(100)
			f.checkConsistent(t.Errorf, "split")
		})
	}
}

// TestWavesEnd guards against a change that does not end in a bounded time because no majority
// learns of a wave or because its health check does not answer.
func TestWavesEnd(t *testing.T) {
	cases := []struct {
		name         string
		healthCheck  func() (string, bool)
		majorityDown bool
		stopReason   string
	}{
		{"no majority learns of the wave", nil, true, "no majority of the agents knows of wave 2"},
		{"the health check does not answer", func() (string, bool) { return "", false }, false, "the health check after wave 1 did not answer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(5)
			change := f.newChange("c1", "new", 10)
			f.lastBallot++
			tool := NewCoordinator("op1", 1, f.names, change, DefaultTimeouts(), c.healthCheck)
			f.tools[1] = tool
			f.enqueue("1", tool.Start(f.now))
			start := f.now
			for tool.Step() != StepDone && f.now < start+300*policy.Second {
				if c.majorityDown && tool.Step() == StepApply {
					for _, name := range f.names[1:] {
						f.machines[name].down = true
					}
				}
				f.runRounds(1)
			}
			if r := tool.Result(); tool.Step() != StepDone || r.StopReason != c.stopReason || f.now-start > 100*policy.Second {
				t.Errorf("after %v: %s, %+v", f.now-start, tool.DebugString(), r)
			}
		})
	}
}

// TestHigherVoteHolds guards against recovering the wrong outcome of two accepted ones: the one
// with the lower ballot cannot have been chosen.
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

// TestRepeatedPrepareReason guards against a repeated Prepare that names the refusal of another
// target than the first one: the same messages must get the same reply.
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
