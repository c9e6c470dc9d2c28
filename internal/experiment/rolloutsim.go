package experiment

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"tallyproxy/policy"
	"tallyproxy/rollout"
)

const (
	toolTickInterval  = 50 * millisecond
	agentTickInterval = 2 * toolTickInterval
	rolloutDeadline   = 600 * policy.Second // simulated time by which a schedule must have ended

	changeID       = "c1"
	instancePrefix = "n-" // a director's name is this prefix and its agent's name
	oldScript      = "old"
	newScript      = "new"
)

// checksum returns a stand-in for the digest of a script.
func checksum(script string) string { return "sum " + script }

// rolloutAgent is the machine of an agent and its director.
type rolloutAgent struct {
	*rollout.Agent // the process; every start creates a new one
	recovery       *rollout.Recovery
	stored         rollout.State // state on disk, which survives a crash
	running        string        // script that the director runs
	// starts is the number of starts; timers and replies of an earlier process are ignored.
	starts      int
	up          bool
	partitioned bool // reaches only agents that are partitioned too
}

// rolloutSim simulates one schedule: agents, a tool and the network between them. Only the
// goroutine of the schedule uses it.
type rolloutSim struct {
	eventQueue
	options       *Rollout
	random        *rand.Rand
	agents        map[string]*rolloutAgent
	names         []string // of all agents, in order
	toolMessages  int      // sent by tools
	agentMessages int      // sent between agents
	eventsRun     int
	eventBudget   int
	toolCut       bool // the tool reaches only agents that are partitioned
	coordinator   *rollout.Coordinator
	trace         func(format string, args ...any) // nil for none
}

// newRolloutSim creates a fleet of n agents and starts all of them. The random generator depends on
// seed, n and the schedule's number.
func newRolloutSim(options *Rollout, n int, number uint64) *rolloutSim {
	f := &rolloutSim{
		options:    options,
		random:     rand.New(rand.NewPCG(options.Seed, uint64(n)<<32|number)),
		eventQueue: eventQueue{now: policy.Second},
		agents:     map[string]*rolloutAgent{},
	}
	f.eventBudget = options.MaxEvents
	if f.eventBudget == 0 {
		f.eventBudget = max(20_000, 2_000*n)
	}
	if options.OnlySchedule >= 0 {
		f.trace = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	}
	for i := range n {
		name := fmt.Sprintf("a%04d", i)
		f.agents[name] = &rolloutAgent{running: oldScript, stored: rollout.State{ActiveScripts: map[string]string{instancePrefix + name: oldScript}}}
		f.names = append(f.names, name)
	}
	for _, name := range f.names {
		f.startAgent(name)
	}
	return f
}

// candidates returns all directors, ten per location.
func (f *rolloutSim) candidates() (candidates []rollout.Candidate) {
	for i, name := range f.names {
		candidates = append(candidates, rollout.Candidate{Instance: instancePrefix + name, Agent: name, Depot: fmt.Sprint(i / 10), Script: oldScript})
	}
	return candidates
}

// runUntil runs events up to the given time or until done returns true. It advances the clock to
// that time even if no event falls on it. It stops early when the schedule has used up its events.
func (f *rolloutSim) runUntil(until policy.Micros, done func() bool) {
	for at, ok := f.next(); ok && at <= until && f.eventsRun < f.eventBudget; at, ok = f.next() {
		if done() {
			return
		}
		f.eventsRun++
		f.runNext()
	}
	if f.eventsRun < f.eventBudget && !done() {
		f.now = max(f.now, until)
	}
}

func never() bool { return false }

// deliver calls receive after a network delay: once, twice or never.
func (f *rolloutSim) deliver(receive func()) {
	times := 1
	switch x := f.random.Float64(); {
	case x < f.options.LossRate:
		times = 0
	case x < f.options.LossRate+f.options.DuplicateRate:
		times = 2
	}
	for range times {
		f.after(policy.Micros(1000+f.random.IntN(20_000)), receive)
	}
}

// startAgent starts an agent from its stored state.
func (f *rolloutSim) startAgent(name string) {
	a := f.agents[name]
	timeouts := rollout.DefaultTimeouts()
	accept := func(string, string) error { return nil }
	a.Agent = rollout.NewAgent(f.now, name, a.stored.Clone(), timeouts.Lease, accept, checksum)
	a.recovery = rollout.NewRecovery(f.now, a.Agent, f.names, timeouts)
	a.up = true
	a.starts++
	f.execute(a, a.UnfinishedCommands())
	a.store()
	f.scheduleAgentTick(a, a.starts)
}

// store saves the agent's state if it has changed.
func (a *rolloutAgent) store() {
	if a.TakeDirty() {
		a.stored = a.State.Clone()
	}
}

// isProcess reports whether the process of the given start is still running.
func (a *rolloutAgent) isProcess(start int) bool { return a.up && a.starts == start }

// scheduleAgentTick ticks an agent's recovery for as long as its process runs.
func (f *rolloutSim) scheduleAgentTick(a *rolloutAgent, start int) {
	f.after(agentTickInterval, func() {
		if a.isProcess(start) {
			f.agentStep(a, start, func() ([]rollout.Envelope, []rollout.Command) { return a.recovery.Tick(f.now) })
			f.scheduleAgentTick(a, start)
		}
	})
}

// agentStep runs one step of an agent's recovery. Its messages are sent after its state is stored.
func (f *rolloutSim) agentStep(a *rolloutAgent, start int, act func() ([]rollout.Envelope, []rollout.Command)) {
	envelopes, commands := act()
	a.store()
	f.execute(a, commands)
	for _, envelope := range envelopes {
		f.agentMessages++
		other := f.agents[envelope.To]
		f.deliver(func() {
			if !other.up || other.partitioned != a.partitioned {
				return
			}
			reply := f.handle(a.Name, other, envelope.Message)
			f.deliver(func() {
				if a.isProcess(start) && other.partitioned == a.partitioned {
					f.agentStep(a, start, func() ([]rollout.Envelope, []rollout.Command) {
						return a.recovery.HandleReply(f.now, other.Name, reply)
					})
				}
			})
		})
	}
}

// handle passes a message to an agent and returns the reply.
func (f *rolloutSim) handle(from string, a *rolloutAgent, m rollout.Message) rollout.Reply {
	reply, commands := a.Handle(f.now, m)
	a.store()
	f.execute(a, commands)
	if f.trace != nil {
		f.trace("%8.3f s  %s to %s: %v %v waves %d -> %v %s", float64(f.now)/1e6, from, a.Name, m.Type, m.Outcome, m.AllowedWaves, reply.OK, reply.Reason)
	}
	return reply
}

// execute carries out an agent's commands on its director, each after a delay, unless the agent
// crashes before.
func (f *rolloutSim) execute(a *rolloutAgent, commands []rollout.Command) {
	for _, command := range commands {
		start := a.starts
		f.after(policy.Micros(20_000+f.random.IntN(180_000)), func() {
			if a.isProcess(start) {
				a.running = command.Script
				a.CommandDone(command, "")
				a.store()
			}
		})
	}
}

// rolloutTool is an operator's tool that drives a change.
type rolloutTool struct {
	sim         *rolloutSim
	coordinator *rollout.Coordinator
	name        string
	crashAt     policy.Micros // 0: never
}

// runTool runs a tool until it ends, or until it crashes after crashAfter unless that is 0. The
// tool drives the given change; if change is nil, it resumes the one that the agents know.
func (f *rolloutSim) runTool(change *rollout.Change, crashAfter policy.Micros) *rollout.Coordinator {
	number := int64(1) // ballot above every ballot that an agent has promised
	for _, name := range f.names {
		number = max(number, f.agents[name].State.Promised.Number+1)
	}
	t := &rolloutTool{
		sim:         f,
		coordinator: rollout.NewCoordinator(fmt.Sprint("op/", number), number, f.names, change, rollout.DefaultTimeouts(), nil),
		name:        fmt.Sprint("tool ", number),
	}
	if crashAfter != 0 {
		t.crashAt = f.now + crashAfter
	}
	f.coordinator = t.coordinator
	t.send(t.coordinator.Start(f.now))
	f.after(toolTickInterval, t.tick)
	f.runUntil(rolloutDeadline, func() bool { return !t.running() })
	return t.coordinator
}

func (t *rolloutTool) running() bool {
	return (t.crashAt == 0 || t.sim.now < t.crashAt) && t.coordinator.Step() != rollout.StepDone
}

func (t *rolloutTool) tick() {
	if t.running() {
		t.send(t.coordinator.Tick(t.sim.now))
		t.sim.after(toolTickInterval, t.tick)
	}
}

// send sends messages to agents and handles their replies.
func (t *rolloutTool) send(envelopes []rollout.Envelope) {
	f := t.sim
	for _, envelope := range envelopes {
		f.toolMessages++
		f.deliver(func() {
			a := f.agents[envelope.To]
			if !a.up || f.toolCut != a.partitioned {
				return
			}
			reply := f.handle(t.name, a, envelope.Message)
			f.deliver(func() {
				if t.running() && f.toolCut == a.partitioned {
					t.send(t.coordinator.HandleReply(f.now, envelope.To, reply))
				}
			})
		})
	}
}

// scheduleFaults draws the faults during the change and returns the time when the last one is over.
func (f *rolloutSim) scheduleFaults() (last policy.Micros) {
	last = f.now
	for _, name := range f.names {
		if f.random.Float64() < f.options.AgentCrashRate {
			last = max(last, f.scheduleCrash(name))
		}
	}
	if f.random.Float64() < f.options.PartitionRate {
		last = max(last, f.schedulePartition())
	}
	return last
}

// scheduleCrash makes an agent crash and start again. It returns the time of the start.
func (f *rolloutSim) scheduleCrash(name string) (over policy.Micros) {
	a := f.agents[name]
	at := policy.Micros(f.random.IntN(2_000_000))
	down := policy.Micros(100_000 + f.random.IntN(3_000_000))
	f.after(at, func() { a.up = false })
	f.after(at+down, func() { f.startAgent(name) })
	return f.now + at + down
}

// schedulePartition partitions the fleet for some time and returns when that ends.
func (f *rolloutSim) schedulePartition() (over policy.Micros) {
	share := f.random.Float64()
	at := policy.Micros(f.random.IntN(1_500_000))
	duration := policy.Micros(500_000 + f.random.IntN(8_000_000))
	f.after(at, func() {
		f.toolCut = f.random.Float64() < 0.3
		for _, name := range f.names {
			f.agents[name].partitioned = f.random.Float64() < share
		}
	})
	f.after(at+duration, func() {
		f.toolCut = false
		for _, name := range f.names {
			f.agents[name].partitioned = false
		}
	})
	return f.now + at + duration
}

// debugString describes what the tool and each unfinished agent wait for.
func (f *rolloutSim) debugString() string {
	out := []string{fmt.Sprintf("after %.1f s and %d events: tool %v", float64(f.now)/1e6, f.eventsRun, f.coordinator.DebugString())}
	for _, name := range f.names {
		a := f.agents[name]
		entry := a.Entry(changeID)
		switch {
		case !a.up:
			out = append(out, name+" is down")
		case entry != nil && !entry.IsComplete():
			out = append(out, fmt.Sprintf("%s, director runs %q", a.recovery.DebugString(f.now), a.running))
		}
		if len(out) > maxProblems/2 {
			return strings.Join(append(out, "..."), "; ")
		}
	}
	return strings.Join(out, "; ")
}
