package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"tallyproxy/policy"
)

// testChecksum returns a fake checksum of a script.
func testChecksum(script string) string { return "sum of " + script }

// machine is an agent with its store and its directors.
type machine struct {
	*Agent
	recovery *Recovery
	stored   []byte
	running  map[string]string
	commands []Command
	down     bool
}

// fleet is a simulated fleet with a network that loses, repeats, delays and reorders messages.
type fleet struct {
	now        policy.Micros
	machines   map[string]*machine
	names      []string
	tools      map[int]*Coordinator // running coordinators, by ballot number
	inFlight   []delivery
	lastBallot int64
	rejects    map[string]bool // directors that reject scripts that their agent has accepted
	chosen     map[string]Outcome
	commanded  map[string]bool // change ID and instance of each command that was carried out
	err        error           // first violation
}

type delivery struct {
	to      string // an agent, or the ballot number of a tool
	from    string
	message *Message
	reply   *Reply
}

func newFleet(agents int) *fleet {
	f := &fleet{
		now: policy.Second, machines: map[string]*machine{}, tools: map[int]*Coordinator{}, rejects: map[string]bool{},
		chosen: map[string]Outcome{}, commanded: map[string]bool{},
	}
	for i := range agents {
		f.names = append(f.names, fmt.Sprint("a", i))
	}
	for i, name := range f.names {
		m := &machine{running: map[string]string{}}
		s := State{ActiveScripts: map[string]string{}}
		for j := range 2 {
			instance := fmt.Sprintf("n%d%d", i, j)
			s.ActiveScripts[instance], m.running[instance] = "base", "base"
		}
		f.machines[name] = m
		m.stored, _ = json.Marshal(s)
		f.boot(name)
	}
	return f
}

// boot starts an agent from its stored state.
func (f *fleet) boot(name string) {
	m := f.machines[name]
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
	m.Agent, m.down = NewAgent(f.now, name, s, 10*policy.Second, check, testChecksum), false
	m.recovery = NewRecovery(f.now, m.Agent, f.names, DefaultTimeouts())
	m.commands = m.UnfinishedCommands()
	f.store(m)
}

// runRecovery runs an action of an agent's recovery. The messages of the action are sent after the
// state is stored.
func (f *fleet) runRecovery(m *machine, action func() ([]Envelope, []Command)) {
	if m.down {
		return
	}
	envelopes, commands := action()
	f.store(m)
	m.commands = append(m.commands, commands...)
	f.enqueue(m.Name, envelopes)
}

func (f *fleet) tickRecovery(m *machine) {
	f.runRecovery(m, func() ([]Envelope, []Command) { return m.recovery.Tick(f.now) })
}

func (f *fleet) store(m *machine) {
	if m.TakeDirty() {
		m.stored, _ = json.Marshal(m.State)
	}
	for _, e := range m.State.Entries {
		if e.Outcome == Undecided {
			continue
		}
		if old, ok := f.chosen[e.Change.ID]; ok && old != e.Outcome {
			f.err = fmt.Errorf("%s was decided as %s and as %s", e.Change.ID, old, e.Outcome)
		}
		f.chosen[e.Change.ID] = e.Outcome
	}
}

func (f *fleet) startTool(change *Change) *Coordinator {
	f.lastBallot++
	c := NewCoordinator(fmt.Sprint("op", f.lastBallot), f.lastBallot, f.names, change, DefaultTimeouts(), nil)
	f.tools[int(f.lastBallot)] = c
	f.enqueue(fmt.Sprint(f.lastBallot), c.Start(f.now))
	return c
}

func (f *fleet) enqueue(from string, envelopes []Envelope) {
	for _, s := range envelopes {
		m := s.Message
		f.inFlight = append(f.inFlight, delivery{to: s.To, from: from, message: &m})
	}
}

// deliver delivers one message or reply.
func (f *fleet) deliver(d delivery) {
	if d.message != nil {
		m := f.machines[d.to]
		if m.down {
			return
		}
		reply, commands := m.Handle(f.now, *d.message)
		f.store(m)
		m.commands = append(m.commands, commands...)
		f.inFlight = append(f.inFlight, delivery{to: d.from, from: d.to, reply: &reply})
		return
	}
	if m := f.machines[d.to]; m != nil { // a reply to the agent's recovery
		f.runRecovery(m, func() ([]Envelope, []Command) { return m.recovery.HandleReply(f.now, d.from, *d.reply) })
		return
	}
	var n int
	if _, err := fmt.Sscan(d.to, &n); err != nil {
		f.err = err
	}
	if c := f.tools[n]; c != nil {
		f.enqueue(d.to, c.HandleReply(f.now, d.from, *d.reply))
	}
}

// carryOutNext makes an agent carry out its next command.
func (f *fleet) carryOutNext(m *machine) {
	if len(m.commands) == 0 || m.down {
		return
	}
	c := m.commands[0]
	m.commands = m.commands[1:]
	f.commanded[c.ChangeID+" "+c.Instance] = true
	if f.chosen[c.ChangeID] != Commit {
		f.err = fmt.Errorf("%s: the script was applied to %s although the outcome is %s", c.ChangeID, c.Instance, f.chosen[c.ChangeID])
	}
	failure := ""
	if f.rejects[c.Instance] {
		failure = "the director rejected the script"
		m.running[c.Instance] = c.PreviousScript
	} else {
		m.running[c.Instance] = c.Script
	}
	m.CommandDone(c, failure)
	f.store(m)
}

// runRounds delivers all messages and carries out all commands in rounds of a quarter of a second.
func (f *fleet) runRounds(rounds int) {
	for range rounds {
		for len(f.inFlight) > 0 {
			d := f.inFlight[0]
			f.inFlight = f.inFlight[1:]
			f.deliver(d)
		}
		for _, name := range f.names {
			for m := f.machines[name]; len(m.commands) > 0 && !m.down; {
				f.carryOutNext(m)
			}
		}
		f.now += policy.Second / 4
		for _, name := range f.names {
			f.tickRecovery(f.machines[name])
		}
		for _, n := range slices.Sorted(maps.Keys(f.tools)) {
			f.enqueue(fmt.Sprint(n), f.tools[n].Tick(f.now))
		}
	}
}

func (f *fleet) newChange(id, script string, waves int) *Change {
	c := &Change{ID: id, Author: "op", Note: "x"}
	i := 0
	for _, name := range f.names {
		m := f.machines[name]
		for _, instance := range slices.Sorted(maps.Keys(m.running)) {
			c.Targets = append(c.Targets, Target{
				Instance: instance, Agent: name, Base: testChecksum(m.State.ActiveScripts[instance]), Script: script, Wave: 1 + i%waves,
			})
			i++
		}
	}
	return c
}

// checkConsistent checks that every director runs exactly the script that its agent reports, that
// each change has one outcome, and that no change is left undecided.
func (f *fleet) checkConsistent(fail func(string, ...any), when string) {
	if f.err != nil {
		fail("%s: %v", when, f.err)
	}
	for _, name := range f.names {
		m := f.machines[name]
		for _, e := range m.State.Entries {
			for _, t := range e.Change.Targets { // a committed change must be prepared everywhere
				other := f.machines[t.Agent].Entry(e.Change.ID)
				if completed := f.machines[t.Agent].State.completed(e.Change.ID); completed != nil && completed.Outcome == e.Outcome {
					continue
				}
				if e.Outcome == Commit && (other == nil || other.TargetStates[t.Instance] == nil || other.TargetStates[t.Instance].Phase == PhaseRefused) {
					fail("%s: %s was committed although %s was not prepared", when, e.Change.ID, t.Instance)
				}
			}
			for instance, state := range e.TargetStates {
				runs := m.running[instance]
				switch want := ""; {
				case !state.IsTerminal():
					fail("%s: %s of %s is left in phase %v, the outcome of %s is %v", when, instance, name, state.Phase, e.Change.ID, e.Outcome)
				case state.Phase == PhaseApplied:
					for _, t := range e.Change.Targets {
						if t.Instance == instance {
							want = t.Script
						}
					}
					if e == m.State.Entries[len(m.State.Entries)-1] && runs != want {
						fail("%s: %s runs %q although %s was applied", when, instance, runs, e.Change.ID)
					}
				case f.commanded[e.Change.ID+" "+instance] && state.Phase != PhaseFailed:
					fail("%s: %s was given the script of %s, but its phase is %v", when, instance, e.Change.ID, state.Phase)
				}
			}
			if e.Outcome == Undecided && len(e.TargetStates) > 0 {
				fail("%s: %s is left undecided at %s", when, e.Change.ID, name)
			}
		}
		for instance, script := range m.State.ActiveScripts {
			if m.running[instance] != script {
				fail("%s: %s runs %q, but its agent reports %q", when, instance, m.running[instance], script)
			}
		}
	}
}

// deliverUntil delivers one message after another until a condition holds. If there is no message,
// it advances the time.
func (f *fleet) deliverUntil(reached func() bool) {
	for !reached() {
		if len(f.inFlight) == 0 {
			f.now += policy.Second / 4
			for _, n := range slices.Sorted(maps.Keys(f.tools)) {
				f.enqueue(fmt.Sprint(n), f.tools[n].Tick(f.now))
			}
			continue
		}
		d := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		f.deliver(d)
	}
}
