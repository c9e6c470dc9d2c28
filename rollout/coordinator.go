package rollout

import (
	"fmt"
	"maps"
	"slices"

	"tallyproxy/policy"
)

// Timeouts are how long a coordinator waits, in microseconds.
type Timeouts struct {
	Lease  policy.Micros // lease of the right to change; it is renewed three times as often
	Resend policy.Micros // until a message that has no reply is sent again
	Step   policy.Micros // for an agent to answer in a step, before the step goes on without it
	Wave   policy.Micros // for the directors of a wave to run their scripts
}

// DefaultTimeouts suit agents that are a few milliseconds apart.
func DefaultTimeouts() Timeouts {
	return Timeouts{Lease: 3 * policy.Second, Resend: policy.Second / 2, Step: 5 * policy.Second, Wave: 20 * policy.Second}
}

// Step is the step that a coordinator is in.
type Step int

// The steps of a coordinator, in their order. StepRecover is repeated for each undecided change of an earlier holder; StepQuery is
// entered only where another holder has taken over.
const (
	StepPromise Step = iota // asks for the right to change
	StepRecover             // decides a change that an earlier holder left open
	StepPrepare             // has its own change checked and stored
	StepDecide              // has its own change's outcome accepted
	StepApply               // has the chosen outcome learned, wave by wave
	StepQuery               // asks what became of its change
	StepDone                // the result is complete
)

var stepNames = [...]string{"promising", "settling", "preparing", "deciding", "putting in force", "finding out", "ended"}

// String returns the name that tools print.
func (s Step) String() string { return stepNames[s] }

// HealthCheck is asked between waves until it has answered. A stopReason that is not empty stops the change before its next wave.
type HealthCheck func() (stopReason string, answered bool)

// Coordinator is the state machine that takes one change through, or completes the changes that earlier holders left open. Its driver
// sends the envelopes that Start, Tick and HandleReply return, until Step is StepDone.
type Coordinator struct {
	agents      []string // all of the fleet, sorted
	timeouts    Timeouts
	ballot      Ballot
	ownChange   *Change // nil once it is current, or where there is none
	healthCheck HealthCheck
	recoverOnly bool // begins no wave that no one has begun: whether to go on is an operator's decision

	// The present step.
	step            Step
	stepStarted     policy.Micros
	leaseRenewed    policy.Micros
	seq             int                // counts steps
	unanswered      map[string]Message // by agent
	sentAt          map[string]policy.Micros
	replies         map[string]Reply
	accepts, denies int // of replies

	// The change that is being decided or applied.
	current        *Change
	targetsByAgent map[string][]Target
	targetStates   map[string]TargetState // the latest known, by instance
	outcome        Outcome
	wave           int
	stopReason     string // why no further wave is begun; empty while one may

	undecided     []*Entry // of earlier holders, still to be completed
	lostToAnother bool     // another holder has, or took over, the right to change
	result        Result
}

// NewCoordinator makes a coordinator that proposes as holder. The number must be higher than that of any ballot the holder has used
// before, agents are all of the fleet, and a nil change means to complete what others left open. The health check may be nil.
func NewCoordinator(holder string, number int64, agents []string, change *Change, timeouts Timeouts, healthCheck HealthCheck) *Coordinator {
	c := &Coordinator{
		agents: slices.Sorted(slices.Values(agents)), timeouts: timeouts, ownChange: change, ballot: Ballot{number, holder},
		targetStates: map[string]TargetState{}, healthCheck: healthCheck,
	}
	if change != nil {
		c.result.ID = change.ID
	}
	return c
}

// Start returns the first messages.
func (c *Coordinator) Start(now policy.Micros) []Envelope {
	return c.enter(now, StepPromise, c.agents, Message{Type: Promise, Lease: c.timeouts.Lease, Change: c.ownChange})
}

// Step returns the present step.
func (c *Coordinator) Step() Step { return c.step }

// Wave returns the wave that is being applied.
func (c *Coordinator) Wave() int { return c.wave }

// Result returns what is known of the result; it is complete in StepDone.
func (c *Coordinator) Result() Result { return c.result }

// DebugString tells the step and the agents it waits for.
func (c *Coordinator) DebugString() string {
	return fmt.Sprintf("%v %s since %v, for %v", c.step, c.result.ID, c.stepStarted, slices.Sorted(maps.Keys(c.unanswered)))
}

// Tick goes on where a time has come: it is to be called several times in Timeouts.Resend.
func (c *Coordinator) Tick(now policy.Micros) []Envelope {
	if c.step == StepDone {
		return nil
	}
	out := c.proceed(now)
	if c.step == StepDone {
		return out
	}
	out = append(out, c.send(now)...)
	if c.step > StepPromise && c.step < StepQuery && now-c.leaseRenewed >= c.timeouts.Lease/3 {
		c.leaseRenewed = now
		out = append(out, c.broadcast(Message{Type: Renew, Ballot: c.ballot, Lease: c.timeouts.Lease})...)
	}
	return out
}

// HandleReply takes an agent's reply. One of an earlier step only updates what is known of the targets.
func (c *Coordinator) HandleReply(now policy.Micros, from string, reply Reply) []Envelope {
	if c.step == StepDone || reply.Type == Renew || reply.Type == Release {
		return nil
	}
	c.updateTargets(reply)
	message, waiting := c.unanswered[from]
	if !waiting || reply.Seq != c.seq || reply.Type != message.Type {
		return nil
	}
	if earlier, repeated := c.replies[from]; repeated {
		c.count(earlier, -1)
	}
	c.count(reply, +1)
	c.replies[from] = reply
	switch {
	case c.step == StepQuery && (c.outcome == Undecided || !c.targetsDone(from)): // it is asked again
	case c.step != StepApply || !reply.OK || c.targetsDone(from):
		delete(c.unanswered, from)
	}
	return c.proceed(now)
}

// Release gives the right to change back, at the end or in the middle of a change: others may then complete at once what is open.
func (c *Coordinator) Release() []Envelope {
	return c.broadcast(Message{Type: Release, Ballot: c.ballot})
}

// count adds a reply to the accepts or denies, or takes it away again.
func (c *Coordinator) count(reply Reply, by int) {
	if reply.OK {
		c.accepts += by
	} else {
		c.denies += by
	}
}

func (c *Coordinator) isMajority(agents int) bool { return agents > len(c.agents)/2 }

// outvoted reports whether so many agents have denied that no majority can accept any more.
func (c *Coordinator) outvoted() bool { return !c.isMajority(len(c.agents) - c.denies) }

// enter begins a step by sending a message to some agents.
func (c *Coordinator) enter(now policy.Micros, step Step, to []string, m Message) []Envelope {
	c.step, c.stepStarted = step, now
	c.unanswered, c.sentAt, c.replies = map[string]Message{}, map[string]policy.Micros{}, map[string]Reply{}
	c.accepts, c.denies = 0, 0
	c.seq++
	m.Ballot, m.Seq = c.ballot, c.seq
	for _, agent := range to {
		c.unanswered[agent] = m
	}
	return c.send(now)
}

// send returns the step's messages that were not sent yet, or were sent and not answered for Timeouts.Resend.
func (c *Coordinator) send(now policy.Micros) (out []Envelope) {
	for _, agent := range slices.Sorted(maps.Keys(c.unanswered)) {
		if at, sent := c.sentAt[agent]; !sent || now-at >= c.timeouts.Resend {
			c.sentAt[agent] = now
			out = append(out, Envelope{agent, c.unanswered[agent]})
		}
	}
	c.result.MessagesSent += len(out)
	return out
}

// broadcast returns a message to all agents that waits for no reply.
func (c *Coordinator) broadcast(m Message) (out []Envelope) {
	for _, agent := range c.agents {
		out = append(out, Envelope{agent, m})
	}
	c.result.MessagesSent += len(out)
	return out
}

// updateTargets takes from a reply how the targets of the current change are, and what became of it.
func (c *Coordinator) updateTargets(reply Reply) {
	for _, e := range reply.Entries {
		if c.current == nil || e.Change.ID != c.current.ID {
			continue
		}
		for instance, state := range e.TargetStates {
			if known, ok := c.targetStates[instance]; !ok || !known.IsTerminal() {
				c.targetStates[instance] = *state
			}
		}
		if c.step == StepQuery && e.Outcome != Undecided {
			c.outcome, c.wave = e.Outcome, max(c.wave, e.AllowedWaves)
		}
	}
}

// targetsDone reports whether all targets of an agent in the waves so far have come to their end.
func (c *Coordinator) targetsDone(agent string) bool {
	return !slices.ContainsFunc(c.targetsByAgent[agent], c.isPending)
}

// isPending reports whether a target of the waves so far has not come to its end.
func (c *Coordinator) isPending(t Target) bool {
	if c.outcome == Commit && t.Wave > c.wave {
		return false
	}
	state, known := c.targetStates[t.Instance]
	return !state.IsTerminal() && (known || c.outcome == Commit)
}
