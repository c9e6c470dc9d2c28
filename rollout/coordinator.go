package rollout

import (
	"fmt"
	"maps"
	"slices"

	"tallyproxy/policy"
)

// Timeouts are the times that a coordinator waits, in microseconds.
type Timeouts struct {
	Lease  policy.Micros // lease of the right to change, renewed after a third of it
	Resend policy.Micros // until an unanswered message is sent again
	Step   policy.Micros // for an agent to answer; then the step continues without it
	Wave   policy.Micros // for the directors of a wave to run their scripts
}

// DefaultTimeouts returns timeouts for agents that are a few milliseconds apart.
func DefaultTimeouts() Timeouts {
	return Timeouts{Lease: 3 * policy.Second, Resend: policy.Second / 2, Step: 5 * policy.Second, Wave: 20 * policy.Second}
}

// Step is a step of a coordinator.
type Step int

// The steps of a coordinator, in their order. StepRecover is repeated for each undecided change of
// an earlier holder. StepQuery is entered only if another holder has taken over.
const (
	StepPromise Step = iota // requests the right to change
	StepRecover             // decides a change that an earlier holder left undecided
	StepPrepare             // has the agents check and store the coordinator's own change
	StepDecide              // has the agents accept the outcome of the coordinator's own change
	StepApply               // has the agents learn the chosen outcome, wave by wave
	StepQuery               // asks the agents for the outcome of the coordinator's change
	StepDone                // the result is complete
)

var stepNames = [...]string{"promising", "settling", "preparing", "deciding", "putting in force", "finding out", "ended"}

// String returns the name that tools print.
func (s Step) String() string { return stepNames[s] }

// HealthCheck is called between waves until it has answered. A non-empty stopReason stops the
// change before its next wave.
type HealthCheck func() (stopReason string, answered bool)

// Coordinator is the state machine that carries out one change, or completes the changes that
// earlier holders left undecided. Its driver sends the envelopes that Start, Tick and HandleReply
// return, until Step returns StepDone.
type Coordinator struct {
	agents      []string // all agents of the fleet, sorted
	timeouts    Timeouts
	ballot      Ballot
	ownChange   *Change // nil once it is current, or if there is none
	healthCheck HealthCheck
	// If set, the coordinator starts no wave that has not been started before: whether to continue
	// is an operator's decision.
	recoverOnly bool

	// State of the current step.
	step            Step
	stepStarted     policy.Micros
	leaseRenewed    policy.Micros
	seq             int                // number of steps entered
	unanswered      map[string]Message // messages without a final reply, by agent
	sentAt          map[string]policy.Micros
	replies         map[string]Reply
	accepts, denies int // numbers of replies

	// The change that is being decided or applied.
	current        *Change
	targetsByAgent map[string][]Target
	targetStates   map[string]TargetState // latest known states, by instance
	outcome        Outcome
	wave           int
	stopReason     string // why no further wave is started; empty if one may be started

	undecided     []*Entry // changes of earlier holders that are still to be completed
	lostToAnother bool     // another holder has the right to change, or took it over
	result        Result
}

// NewCoordinator returns a coordinator that proposes as holder. The number must be higher than that
// of any ballot that the holder has used before, and agents must be all agents of the fleet. If
// change is nil, the coordinator completes the changes that others left undecided. The health check
// may be nil.
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

// Start returns the messages of the first step.
func (c *Coordinator) Start(now policy.Micros) []Envelope {
	return c.enter(now, StepPromise, c.agents, Message{Type: Promise, Lease: c.timeouts.Lease, Change: c.ownChange})
}

// Step returns the current step.
func (c *Coordinator) Step() Step { return c.step }

// Wave returns the wave that is being applied.
func (c *Coordinator) Wave() int { return c.wave }

// Result returns the result as far as it is known. It is complete in StepDone.
func (c *Coordinator) Result() Result { return c.result }

// DebugString describes the current step and the agents that it waits for.
func (c *Coordinator) DebugString() string {
	return fmt.Sprintf("%v %s since %v, waiting for %v", c.step, c.result.ID, c.stepStarted, slices.Sorted(maps.Keys(c.unanswered)))
}

// Tick does what is due at the given time: it ends steps that have timed out, resends messages and
// renews the lease. It must be called several times per Timeouts.Resend.
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

// HandleReply processes an agent's reply. A reply to an earlier step only updates the known states
// of the targets.
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
	case c.step == StepQuery && (c.outcome == Undecided || !c.targetsDone(from)):
		// The message is sent again.
	case c.step != StepApply || !reply.OK || c.targetsDone(from):
		delete(c.unanswered, from)
	}
	return c.proceed(now)
}

// Release gives the right to change back, at the end or in the middle of a change. Other holders
// can then complete undecided changes at once.
func (c *Coordinator) Release() []Envelope {
	return c.broadcast(Message{Type: Release, Ballot: c.ballot})
}

// count adds a reply to accepts or denies, or subtracts it again.
func (c *Coordinator) count(reply Reply, delta int) {
	if reply.OK {
		c.accepts += delta
	} else {
		c.denies += delta
	}
}

func (c *Coordinator) isMajority(agents int) bool { return agents > len(c.agents)/2 }

// outvoted reports whether so many agents have denied that a majority can no longer accept.
func (c *Coordinator) outvoted() bool { return !c.isMajority(len(c.agents) - c.denies) }

// enter begins a step by sending a message to the given agents.
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

// send returns the messages of the step that have not been sent yet, or have been unanswered for
// Timeouts.Resend since they were last sent.
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

// broadcast returns a message to all agents that expects no reply.
func (c *Coordinator) broadcast(m Message) (out []Envelope) {
	for _, agent := range c.agents {
		out = append(out, Envelope{agent, m})
	}
	c.result.MessagesSent += len(out)
	return out
}

// updateTargets updates the known states of the current change's targets from a reply. In
// StepQuery, it also takes the outcome of the change from the reply.
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

// targetsDone reports whether no target of an agent is pending.
func (c *Coordinator) targetsDone(agent string) bool {
	return !slices.ContainsFunc(c.targetsByAgent[agent], c.isPending)
}

// isPending reports whether a target has not reached a final phase yet. If the change is committed,
// targets of later waves are not pending. If it is not, targets of unknown state are not pending.
func (c *Coordinator) isPending(t Target) bool {
	if c.outcome == Commit && t.Wave > c.wave {
		return false
	}
	state, known := c.targetStates[t.Instance]
	return !state.IsTerminal() && (known || c.outcome == Commit)
}
