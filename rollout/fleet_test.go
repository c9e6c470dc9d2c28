package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	d "tallyproxy/policy"
)

func sum(script string) string { return "sum of " + script }

// machine is an agent with what it has stored and what its directors run.
type machine struct {
	*Agent
	settler *Recovery
	stored  []byte
	runs    map[string]string
	do      []Command
	down    bool
}

// world is a fleet with a network that loses, repeats, delays and mixes up.
type world struct {
	now      d.Micros
	machines map[string]*machine
	names    []string
	tools    map[int]*Coordinator // running, by ballot number
	flight   []item
	n        int64
	refuse   map[string]bool // directors that would not have what their agent checked
	chosen   map[string]Outcome
	went     map[string]bool // change and instance that were driven
	err      error
}

type item struct {
	to    string // an agent, or a tool's number
	from  string
	send  *Message
	reply *Reply
}

func newWorld(agents int) *world {
	w := &world{
		now: d.Second, machines: map[string]*machine{}, tools: map[int]*Coordinator{}, refuse: map[string]bool{},
		chosen: map[string]Outcome{}, went: map[string]bool{},
	}
	for i := range agents {
		w.names = append(w.names, fmt.Sprint("a", i))
	}
	for i, name := range w.names {
		m := &machine{runs: map[string]string{}}
		s := State{ActiveScripts: map[string]string{}}
		for j := range 2 {
			instance := fmt.Sprintf("n%d%d", i, j)
			s.ActiveScripts[instance], m.runs[instance] = "base", "base"
		}
		w.machines[name] = m
		m.stored, _ = json.Marshal(s)
		w.boot(name)
	}
	return w
}

// boot starts an agent from what it had stored.
func (w *world) boot(name string) {
	m := w.machines[name]
	var s State
	if err := json.Unmarshal(m.stored, &s); err != nil {
		panic(err)
	}
	check := func(_, script string) error {
		if strings.Contains(script, "faulty") {
			return errors.New("faulty")
		}
		return nil
	}
	m.Agent, m.down = NewAgent(w.now, name, s, 10*d.Second, check, sum), false
	m.settler = NewRecovery(w.now, m.Agent, w.names, DefaultTimeouts())
	m.do = m.UnfinishedCommands()
	w.store(m)
}

// settle has an agent's settler do something; what it says leaves once it is stored.
func (w *world) settle(m *machine, act func() ([]Envelope, []Command)) {
	if m.down {
		return
	}
	sends, do := act()
	w.store(m)
	m.do = append(m.do, do...)
	w.out(m.Name, sends)
}

func (w *world) tick(m *machine) {
	w.settle(m, func() ([]Envelope, []Command) { return m.settler.Tick(w.now) })
}

func (w *world) store(m *machine) {
	if m.TakeDirty() {
		m.stored, _ = json.Marshal(m.State)
	}
	for _, e := range m.State.Entries {
		if e.Outcome == Undecided {
			continue
		}
		if old, ok := w.chosen[e.Change.ID]; ok && old != e.Outcome {
			w.err = fmt.Errorf("%s was decided as %s and as %s", e.Change.ID, old, e.Outcome)
		}
		w.chosen[e.Change.ID] = e.Outcome
	}
}

func (w *world) tool(change *Change) *Coordinator {
	w.n++
	c := NewCoordinator(fmt.Sprint("op", w.n), w.n, w.names, change, DefaultTimeouts(), nil)
	w.tools[int(w.n)] = c
	w.out(fmt.Sprint(w.n), c.Start(w.now))
	return c
}

func (w *world) out(from string, sends []Envelope) {
	for _, s := range sends {
		m := s.Message
		w.flight = append(w.flight, item{to: s.To, from: from, send: &m})
	}
}

// deliver delivers one thing.
func (w *world) deliver(it item) {
	if it.send != nil {
		m := w.machines[it.to]
		if m.down {
			return
		}
		r, do := m.Handle(w.now, *it.send)
		w.store(m)
		m.do = append(m.do, do...)
		w.flight = append(w.flight, item{to: it.from, from: it.to, reply: &r})
		return
	}
	if m := w.machines[it.to]; m != nil { // an answer to its settler
		w.settle(m, func() ([]Envelope, []Command) { return m.settler.HandleReply(w.now, it.from, *it.reply) })
		return
	}
	var n int
	fmt.Sscan(it.to, &n)
	if c := w.tools[n]; c != nil {
		w.out(it.to, c.HandleReply(w.now, it.from, *it.reply))
	}
}

// carry has an agent carry out what it was told.
func (w *world) carry(m *machine) {
	if len(m.do) == 0 || m.down {
		return
	}
	c := m.do[0]
	m.do = m.do[1:]
	w.went[c.ChangeID+" "+c.Instance] = true
	if w.chosen[c.ChangeID] != Commit {
		w.err = fmt.Errorf("%s: %s was driven though the change was %s", c.ChangeID, c.Instance, w.chosen[c.ChangeID])
	}
	why := ""
	if w.refuse[c.Instance] {
		why = "it would not have it"
		m.runs[c.Instance] = c.PreviousScript
	} else {
		m.runs[c.Instance] = c.Script
	}
	m.CommandDone(c, why)
	w.store(m)
}

// calm lets all that is under way come to its end.
func (w *world) calm(rounds int) {
	for range rounds {
		for len(w.flight) > 0 {
			it := w.flight[0]
			w.flight = w.flight[1:]
			w.deliver(it)
		}
		for _, name := range w.names {
			for m := w.machines[name]; len(m.do) > 0 && !m.down; {
				w.carry(m)
			}
		}
		w.now += d.Second / 4
		for _, name := range w.names {
			w.tick(w.machines[name])
		}
		for _, n := range slices.Sorted(maps.Keys(w.tools)) {
			w.out(fmt.Sprint(n), w.tools[n].Tick(w.now))
		}
	}
}

func (w *world) change(id, script string, waves int) *Change {
	c := &Change{ID: id, Author: "op", Note: "x"}
	i := 0
	for _, name := range w.names {
		m := w.machines[name]
		for _, instance := range slices.Sorted(maps.Keys(m.runs)) {
			c.Targets = append(c.Targets, Target{
				Instance: instance, Agent: name, Base: sum(m.State.ActiveScripts[instance]), Script: script, Wave: 1 + i%waves,
			})
			i++
		}
	}
	return c
}

func TestWholeChange(t *testing.T) {
	cases := []struct {
		name    string
		waves   int
		script  string
		before  func(w *world)
		outcome Outcome
		states  string // of all directors, counted
		refused string
	}{
		{"all at once", 1, "new", func(*world) {}, Commit, "changed:6", ""},
		{"in three waves", 3, "new", func(*world) {}, Commit, "changed:6", ""},
		{"a faulty script", 1, "faulty", func(*world) {}, Abort, "untouched:6", "a0: n00: faulty"},
		{"one agent is down", 1, "new", func(w *world) { w.machines["a1"].down = true }, Abort, "untouched:6", "a1: does not answer"},
		{"a majority is down", 1, "new", func(w *world) {
			w.machines["a1"].down, w.machines["a2"].down = true, true
		}, Undecided, "", "no majority of the agents answers"},
		{"a director would not have it: the waves stop", 2, "new", func(w *world) { w.refuse["n00"] = true }, Commit,
			"changed:2 untouched:4", ""},
		{"something else is in force", 1, "new", func(w *world) { w.machines["a2"].State.ActiveScripts["n21"] = "other" }, Abort,
			"untouched:6", "a2: n21: something else is in force than the change was made for"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(3)
			change := w.change("c1", c.script, c.waves)
			c.before(w)
			tool := w.tool(change)
			w.calm(200)
			r := tool.Result()
			counts := map[string]int{}
			for _, e := range r.Targets {
				counts[e.State]++
			}
			var got []string
			for _, state := range slices.Sorted(maps.Keys(counts)) {
				got = append(got, fmt.Sprint(state, ":", counts[state]))
			}
			if tool.Step() != StepDone || r.Outcome != c.outcome || strings.Join(got, " ") != c.states || r.RefusalReason != c.refused || w.err != nil {
				t.Errorf("%v: %+v, %v", tool.Step(), r, w.err)
			}
		})
	}
}

func TestTwoOperators(t *testing.T) {
	w := newWorld(3)
	first := w.tool(w.change("c1", "one", 1))
	for range 6 { // the right is given, nothing is decided
		it := w.flight[0]
		w.flight = w.flight[1:]
		w.deliver(it)
	}
	w.now += 2 * d.Second
	w.flight = nil
	second := w.tool(w.change("c2", "two", 1))
	for len(w.flight) > 0 {
		it := w.flight[0]
		w.flight = w.flight[1:]
		w.deliver(it)
	}
	if r := second.Result(); second.Step() != StepDone || r.Holder != "op1" || r.HeldFor != 2*d.Second || r.LeaseLeft <= 0 {
		t.Fatalf("the second: %+v", r)
	}
	delete(w.tools, 1) // the first dies; its lease runs out
	w.now += 20 * d.Second
	third := w.tool(w.change("c3", "three", 1))
	w.calm(100)
	if r := third.Result(); r.Outcome != Commit || !r.AllOrNone() {
		t.Fatalf("the third: %+v", r)
	}
	w.tools[1] = first // late messages of the first are fenced off
	for _, a := range w.names {
		for _, verb := range []MessageType{Prepare, Accept} {
			r, do := w.machines[a].Handle(w.now, Message{Type: verb, Ballot: Ballot{1, "op1"}, Change: w.change("c1", "one", 1), Outcome: Commit})
			if r.OK || len(do) > 0 || !strings.Contains(r.Reason, "taken over by op3") {
				t.Errorf("%s: %+v", a, r)
			}
		}
	}
}

// Killed at any step, the tool leaves a fleet that another tool brings to one end, and says which.
func TestToolKilledAtEveryStep(t *testing.T) {
	for after := range 60 {
		for _, down := range []string{"", "a1"} {
			w := newWorld(3)
			w.tool(w.change("c1", "new", 2))
			for n := 0; n < after; n++ {
				if len(w.flight) == 0 {
					w.calm(1)
					continue
				}
				it := w.flight[0]
				w.flight = w.flight[1:]
				w.deliver(it)
				if n%4 == 3 {
					for _, name := range w.names {
						w.carry(w.machines[name])
					}
				}
			}
			w.tools, w.flight = map[int]*Coordinator{}, nil
			if down != "" { // and an agent with it, which comes back from what it stored
				w.machines[down].down = true
			}
			w.now += 20 * d.Second
			w.tool(nil)
			w.calm(200)
			if down != "" {
				w.boot(down)
				w.calm(50)
			}
			w.tool(nil)
			w.calm(200)
			w.whole(t.Errorf, fmt.Sprint("after ", after, " steps, down ", down))
		}
	}
}

// whole checks that every director runs one change's script whole, that the decision is one, and that nothing is left open.
func (w *world) whole(fail func(string, ...any), when string) {
	if w.err != nil {
		fail("%s: %v", when, w.err)
	}
	for _, name := range w.names {
		m := w.machines[name]
		for _, e := range m.State.Entries {
			for _, t := range e.Change.Targets { // decided to go means prepared everywhere
				other := w.machines[t.Agent].Entry(e.Change.ID)
				if past := w.machines[t.Agent].past(e.Change.ID); past != nil && past.Outcome == e.Outcome {
					continue
				}
				if e.Outcome == Commit && (other == nil || other.TargetStates[t.Instance] == nil || other.TargetStates[t.Instance].Phase == PhaseRefused) {
					fail("%s: %s was decided though %s could not take it", when, e.Change.ID, t.Instance)
				}
			}
			for instance, l := range e.TargetStates {
				runs := m.runs[instance]
				switch want := ""; {
				case !l.IsTerminal():
					fail("%s: %s of %s is left %v, %s is %v", when, instance, name, l.Phase, e.Change.ID, e.Outcome)
				case l.Phase == PhaseApplied:
					for _, t := range e.Change.Targets {
						if t.Instance == instance {
							want = t.Script
						}
					}
					if e == m.State.Entries[len(m.State.Entries)-1] && runs != want {
						fail("%s: %s runs %q though %s is in force", when, instance, runs, e.Change.ID)
					}
				case w.went[e.Change.ID+" "+instance] && l.Phase != PhaseFailed:
					fail("%s: %s was driven to %s, and is told to be %v", when, instance, e.Change.ID, l.Phase)
				}
			}
			if e.Outcome == Undecided && len(e.TargetStates) > 0 {
				fail("%s: %s is left open at %s", when, e.Change.ID, name)
			}
		}
		for instance, script := range m.State.ActiveScripts {
			if m.runs[instance] != script {
				fail("%s: %s runs %q, its agent takes it for %q", when, instance, m.runs[instance], script)
			}
		}
	}
}

// Any history of losses, repeats, delays, deaths and several tools ends, once all is calm, with every director fully changed or
// untouched and every decision one: whoever is left to end it, and in a bounded time.
func TestAnyHistory(t *testing.T) {
	cases := []struct {
		name  string
		waves int
		end   func(w *world)
	}{
		{"another tool", 3, func(w *world) {
			w.tools = map[int]*Coordinator{} // the tools die, what they said still comes
			w.now += 30 * d.Second
			w.tool(nil)
		}},
		{"the tools that live", 3, func(*world) {}},
		{"the agents alone", 1, func(w *world) { w.tools = map[int]*Coordinator{} }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { history(t, c.waves, c.end) }) })
	}
}

// until delivers one thing after another, time going on where there is none.
func (w *world) until(reached func() bool) {
	for !reached() {
		if len(w.flight) == 0 {
			w.now += d.Second / 4
			for _, n := range slices.Sorted(maps.Keys(w.tools)) {
				w.out(fmt.Sprint(n), w.tools[n].Tick(w.now))
			}
			continue
		}
		it := w.flight[0]
		w.flight = w.flight[1:]
		w.deliver(it)
	}
}

// left says whether a wave is left that only an operator may begin.
func (w *world) left() bool {
	for _, name := range w.names {
		for _, e := range w.machines[name].State.Entries {
			if e.Outcome == Commit && !e.Final && e.AllowedWaves < e.Change.WaveCount() {
				return true
			}
		}
	}
	return false
}

func history(t *rapid.T, waves int, end func(*world)) {
	w := newWorld(rapid.IntRange(1, 4).Draw(t, "agents"))
	changes := 0
	for range rapid.IntRange(1, 150).Draw(t, "steps") {
		name := rapid.SampledFrom(w.names).Draw(t, "agent")
		m := w.machines[name]
		switch what := rapid.IntRange(0, 14).Draw(t, "what"); {
		case what == 0 && changes < 4:
			changes++
			script := rapid.SampledFrom([]string{"x", "y", "faulty"}).Draw(t, "script")
			w.tool(w.change(fmt.Sprint("c", changes), fmt.Sprint(script, changes), rapid.IntRange(1, waves).Draw(t, "waves")))
		case what == 1:
			m.down = true
			m.do = nil
		case what == 2 && m.down:
			w.boot(name)
		case what == 3 && len(w.tools) > 0:
			tools := slices.Sorted(maps.Keys(w.tools))
			delete(w.tools, rapid.SampledFrom(tools).Draw(t, "tool"))
		case what == 4 && len(w.tools) < 3:
			w.tool(nil)
		case what == 5:
			w.now += d.Micros(rapid.IntRange(1, 20_000_000).Draw(t, "time"))
			for _, n := range slices.Sorted(maps.Keys(w.tools)) {
				w.out(fmt.Sprint(n), w.tools[n].Tick(w.now))
			}
		case what == 6:
			w.carry(m)
		case what == 7:
			w.tick(m)
		case what == 8:
			w.refuse[fmt.Sprint("n", name[1:], "0")] = rapid.Bool().Draw(t, "refuses")
		case len(w.flight) > 0:
			i := rapid.IntRange(0, len(w.flight)-1).Draw(t, "message")
			it := w.flight[i]
			if what == 9 { // lost
				w.flight = slices.Delete(w.flight, i, i+1)
				continue
			}
			if what != 10 { // else it comes again
				w.flight = slices.Delete(w.flight, i, i+1)
			}
			w.deliver(it)
		}
		if w.err != nil {
			t.Fatal(w.err)
		}
	}
	w.refuse = map[string]bool{}
	for _, name := range w.names {
		if w.machines[name].down {
			w.boot(name)
		}
	}
	end(w)
	w.calm(600)
	for n, c := range w.tools {
		if c.Step() != StepDone {
			t.Fatalf("tool %d never returns: %s", n, c.DebugString())
		}
	}
	for range 3 { // each open rolling change waits for an operator who goes on
		if w.left() {
			w.tool(nil)
			w.calm(200)
		}
	}
	w.whole(t.Fatalf, "at the end")
}

// What an agent has been through with is told to whoever takes the right to change: one that knows of it no more than that it was
// prepared would else drop what was decided to go.
func TestDoneIsTold(t *testing.T) {
	cases := []struct {
		name   string
		forget int // changes after it
	}{{"its entry is there", 0}, {"its entry made room", keptEntries + 10}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(3)
			change := w.change("c0", "new", 1)
			say := func(name string, m Message) Reply {
				r, do := w.machines[name].Handle(w.now, m)
				w.machines[name].do = do
				w.store(w.machines[name])
				w.carry(w.machines[name])
				w.carry(w.machines[name])
				return r
			}
			b := Ballot{1, "op1"}
			for _, name := range w.names { // all have prepared it, two have decided it, one of these is through with it
				say(name, Message{Type: Prepare, Ballot: b, Change: change})
			}
			for _, name := range w.names[1:] {
				say(name, Message{Type: Accept, Ballot: b, Change: change, Outcome: Commit})
			}
			w.chosen["c0"] = Commit
			say("a2", Message{Type: Learn, Change: change, Outcome: Commit, AllowedWaves: 1, Final: true})
			for i := range c.forget {
				say("a2", Message{Type: Learn, Change: &Change{ID: fmt.Sprint("x", i)}, Outcome: Abort})
			}
			w.machines["a1"].down = true // the majority that is left: one that knows nothing, one that is done
			w.now += 20 * d.Second
			tool := w.tool(nil)
			w.until(func() bool { return tool.Step() != StepPromise })
			w.boot("a1") // and then another: of its vote nobody was told
			w.machines["a2"].down = true
			w.calm(50)
			w.boot("a2")
			w.calm(100)
			w.whole(t.Errorf, c.name)
			if got := w.machines["a0"].runs["n00"]; got != "new" || w.err != nil {
				t.Errorf("a0 runs %q, %v", got, w.err)
			}
		})
	}
}

// A tool that comes again with a change that all are done with, as after an answer that got lost, is told what came of it.
func TestOwnChangeAgain(t *testing.T) {
	w := newWorld(3)
	change := w.change("c1", "new", 2)
	for range 2 {
		tool := w.tool(change)
		w.calm(100)
		if r := tool.Result(); tool.Step() != StepDone || r.Outcome != Commit || len(r.Targets) != 6 || !r.AllOrNone() || r.RefusalReason+r.StopReason != "" {
			t.Errorf("%v: %+v", tool.Step(), r)
		}
	}
	w.whole(t.Errorf, "again")
}

// Where no majority can come any more a tool does not wait for one: half of an even fleet that was taken over has answered too.
func TestSplitVote(t *testing.T) {
	for _, agents := range []int{2, 4, 5} {
		t.Run(fmt.Sprint(agents, " agents"), func(t *testing.T) {
			w := newWorld(agents)
			tool := w.tool(w.change("c1", "new", 1))
			w.until(func() bool { return tool.Step() == StepDecide })
			for _, name := range w.names[:(agents+1)/2] { // another right is given by half of them, and its holder dies
				w.machines[name].State.Promised = Ballot{9, "op9"}
			}
			begun := w.now
			for tool.Step() != StepDone && w.now < begun+200*d.Second {
				w.calm(1)
			}
			r := tool.Result()
			if tool.Step() != StepDone || r.Outcome == Undecided || !r.AllOrNone() {
				t.Errorf("after %v: %s, %+v", w.now-begun, tool.DebugString(), r)
			}
			w.calm(100)
			w.whole(t.Errorf, "split")
		})
	}
}

// Waves that nobody knows of any more, or that nobody can judge, are stopped in a bounded time.
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
			w := newWorld(5)
			change := w.change("c1", "new", 10)
			w.n++
			tool := NewCoordinator("op1", 1, w.names, change, DefaultTimeouts(), c.worse)
			w.tools[1] = tool
			w.out("1", tool.Start(w.now))
			begun := w.now
			for tool.Step() != StepDone && w.now < begun+300*d.Second {
				if c.mute && tool.Step() == StepApply {
					for _, name := range w.names[1:] {
						w.machines[name].down = true
					}
				}
				w.calm(1)
			}
			if r := tool.Result(); tool.Step() != StepDone || r.StopReason != c.stopped || w.now-begun > 100*d.Second {
				t.Errorf("after %v: %s, %+v", w.now-begun, tool.DebugString(), r)
			}
		})
	}
}

// Of two decisions that were accepted somewhere, the one of the higher ballot holds: the lower one can't have been chosen.
func TestHigherVoteHolds(t *testing.T) {
	for _, outcome := range []Outcome{Commit, Abort} {
		w := newWorld(3)
		change := w.change("c1", "new", 1)
		for _, name := range w.names {
			w.machines[name].Handle(w.now, Message{Type: Prepare, Ballot: Ballot{1, "x"}, Change: change})
		}
		other := Commit + Abort - outcome
		w.machines["a0"].Handle(w.now, Message{Type: Accept, Ballot: Ballot{1, "x"}, Change: change, Outcome: other})
		w.machines["a1"].Handle(w.now, Message{Type: Accept, Ballot: Ballot{2, "y"}, Change: change, Outcome: outcome})
		w.machines["a2"].down = true
		w.n, w.now = 10, w.now+30*d.Second
		w.tool(nil)
		w.calm(200)
		if got := w.machines["a0"].Entry("c1").Outcome; got != outcome {
			t.Errorf("%v was decided, want %v", got, outcome)
		}
	}
}
