package rollout

import (
	"fmt"
	"maps"
	"slices"

	"tallyproxy/policy"
)

// Agent is the state machine of the agent of one machine. Its driver stores State whenever
// TakeDirty returns true, before it sends the reply or carries out the commands that depend on that
// state.
type Agent struct {
	Name  string // this agent's name in the inventory
	State State  // accessed from outside only by the driver, to load and store it

	checkScript func(instance, script string) error
	checksum    func(script string) string

	// The lease is not stored. After a restart of the agent, the holder has a full lease again.
	defaultLease  policy.Micros // lease of a ballot that is first seen in a Prepare or Accept
	leaseEnd      policy.Micros // when the lease of the promised ballot expires
	leaseReleased bool          // the holder released the lease before it expired
	promisedAt    policy.Micros
	dirty         bool
}

// NewAgent returns an agent that continues from its stored state. At the first start, that state
// contains only ActiveScripts. The lease is the one of the fleet's inventory. checkScript reports
// whether a director could run a script, and checksum computes the value of Target.Base; both must
// be pure functions.
func NewAgent(now policy.Micros, name string, state State, lease policy.Micros, checkScript func(instance, script string) error,
	checksum func(script string) string) *Agent {
	a := &Agent{Name: name, State: state, checkScript: checkScript, checksum: checksum, defaultLease: lease, promisedAt: now}
	if state.Promised.Number > 0 {
		a.leaseEnd = now + lease
	}
	if a.State.ActiveScripts == nil {
		a.State.ActiveScripts = map[string]string{}
	}
	return a
}

// TakeDirty reports whether State has changed since the last call and must be stored.
func (a *Agent) TakeDirty() bool {
	dirty := a.dirty
	a.dirty = false
	return dirty
}

// Entry returns the entry of a change, or nil if the agent does not know the change.
func (a *Agent) Entry(id string) *Entry { return a.State.entry(id) }

// Handle processes a message and returns the reply. The caller carries out the commands and reports
// the result of each command to CommandDone.
func (a *Agent) Handle(now policy.Micros, m Message) (reply Reply, commands []Command) {
	reply = Reply{Type: m.Type, Seq: m.Seq}
	switch m.Type {
	case Promise:
		reply.OK, reply.Reason = a.promise(now, m)
	case Renew:
		if reply.OK = m.Ballot == a.State.Promised; reply.OK {
			a.leaseEnd, a.leaseReleased = now+m.Lease, false
		}
	case Release:
		if reply.OK = m.Ballot == a.State.Promised; reply.OK {
			a.leaseEnd, a.leaseReleased = now, true
		}
	case Prepare:
		reply.OK, reply.Reason = a.prepare(now, m)
	case Accept:
		reply.OK, reply.Reason = a.accept(now, m)
	case Learn:
		reply.OK, reply.Reason, commands = a.learn(m)
	case Query:
		reply.OK = true
	}
	reply.Promised, reply.HeldFor, reply.LeaseLeft = a.State.Promised, now-a.promisedAt, max(0, a.leaseEnd-now)
	if m.Type == Promise {
		reply.Entries = a.allEntries()
	} else {
		reply.Entries = a.entriesOf(m)
	}
	return reply, commands
}

// allEntries returns every incomplete entry and the outcome of every complete one, for a new holder
// of the right to change. Without these outcomes, a holder would abort a committed change if its
// majority consisted of agents that have not learned the outcome and agents that have completed the
// change.
func (a *Agent) allEntries() (entries []Entry) {
	for _, c := range a.State.Completed {
		entries = append(entries, c.entry())
	}
	for _, e := range a.State.Entries {
		if e.IsComplete() {
			entries = append(entries, e.completed().entry())
		} else {
			entries = append(entries, e.clone())
		}
	}
	return entries
}

// entriesOf returns the entry of the change that a message refers to. The change in the entry has
// only its ID, because the sender either has the rest or does not need it.
func (a *Agent) entriesOf(m Message) (entries []Entry) {
	for _, e := range a.State.Entries {
		if m.ChangeID == e.Change.ID || m.Change != nil && m.Change.ID == e.Change.ID {
			entry := e.clone()
			entry.Change = &Change{ID: e.Change.ID}
			entries = append(entries, entry)
		}
	}
	if m.Type == Query && len(entries) == 0 {
		if c := a.State.completed(m.ChangeID); c != nil {
			entries = append(entries, c.entry())
		}
	}
	return entries
}

// promise grants the right to change to a higher ballot, unless the lease of another holder has not
// expired yet.
func (a *Agent) promise(now policy.Micros, m Message) (ok bool, reason string) {
	current := a.State.Promised
	switch {
	case m.Ballot == current: // the message was repeated because its reply was lost
	case !current.Less(m.Ballot):
		return false, fmt.Sprintf("a higher right was given, to %s", current.Holder)
	case current.Number > 0 && current.Holder != m.Ballot.Holder && a.leaseEnd > now:
		return false, fmt.Sprintf("held by %s", current.Holder)
	default:
		a.State.Promised, a.dirty, a.promisedAt = m.Ballot, true, now
	}
	a.leaseEnd, a.leaseReleased = now+m.Lease, false
	return true, ""
}

// fence reports whether a ballot higher than the message's has been promised. If the message's
// ballot is higher than the promised one, fence promises it: the Promise message was lost, or only
// other agents granted it.
func (a *Agent) fence(now policy.Micros, m Message) (fenced bool, reason string) {
	if m.Ballot.Less(a.State.Promised) {
		return true, fmt.Sprintf("taken over by %s", a.State.Promised.Holder)
	}
	if a.State.Promised.Less(m.Ballot) {
		a.State.Promised, a.dirty, a.promisedAt = m.Ballot, true, now
		a.leaseEnd, a.leaseReleased = now+a.defaultLease, false
	}
	return false, ""
}

// prepare checks a change for this agent's directors and stores it.
func (a *Agent) prepare(now policy.Micros, m Message) (ok bool, reason string) {
	if fenced, reason := a.fence(now, m); fenced {
		return false, reason
	}
	if e := a.Entry(m.Change.ID); e != nil {
		if reason := e.refusal(); reason != "" {
			return false, reason
		}
		return e.Outcome != Abort && e.TargetStates != nil, "it was dropped"
	}
	if a.State.completed(m.Change.ID) != nil {
		return false, "it is over"
	}
	e := &Entry{Change: m.Change, TargetStates: map[string]*TargetState{}}
	for _, t := range m.Change.Targets {
		if t.Agent == a.Name {
			e.TargetStates[t.Instance] = a.prepareTarget(t)
		}
	}
	a.add(e)
	reason = e.refusal()
	return reason == "", reason
}

// refusal returns the reason of the first refused target, in the order of the instance names. It
// returns an empty string if no target was refused.
func (e *Entry) refusal() (reason string) {
	for _, instance := range slices.Sorted(maps.Keys(e.TargetStates)) {
		if state := e.TargetStates[instance]; state.Phase == PhaseRefused {
			return state.Reason
		}
	}
	return ""
}

// prepareTarget checks whether a target can be applied and returns its initial state.
func (a *Agent) prepareTarget(t Target) *TargetState {
	active, known := a.State.ActiveScripts[t.Instance]
	state := &TargetState{PreviousScript: active}
	switch err := a.checkScript(t.Instance, t.Script); {
	case !known:
		state.Reason = fmt.Sprintf("%s: not a director of %s", t.Instance, a.Name)
	case a.checksum(active) != t.Base:
		state.Reason = fmt.Sprintf("%s: something else is in force than the change was made for", t.Instance)
	case a.hasPendingTarget(t.Instance):
		state.Reason = fmt.Sprintf("%s: an earlier change is not over", t.Instance)
	case err != nil:
		state.Reason = fmt.Sprintf("%s: %v", t.Instance, err)
	}
	if state.Reason != "" {
		state.Phase = PhaseRefused
	}
	return state
}

// hasPendingTarget reports whether an earlier change of a director has not reached a final phase.
func (a *Agent) hasPendingTarget(instance string) bool {
	for _, e := range a.State.Entries {
		if state := e.TargetStates[instance]; state != nil && !state.IsTerminal() {
			return true
		}
	}
	return false
}

func (a *Agent) add(e *Entry) {
	a.dirty = true
	a.State.add(e)
}

// accept votes for an outcome unless a higher ballot has been promised.
func (a *Agent) accept(now policy.Micros, m Message) (ok bool, reason string) {
	if fenced, reason := a.fence(now, m); fenced {
		return false, reason
	}
	e, completed := a.Entry(m.Change.ID), a.State.completed(m.Change.ID)
	if completed != nil && completed.Outcome != m.Outcome || e != nil && e.Outcome != Undecided && e.Outcome != m.Outcome {
		return false, "it was chosen otherwise"
	}
	if completed != nil {
		return true, ""
	}
	if e == nil { // the agent has no target or Prepare did not reach it, but it can still vote
		e = &Entry{Change: m.Change}
		a.add(e)
	}
	if vote := (Vote{m.Ballot, m.Outcome}); e.Vote == nil || *e.Vote != vote {
		e.Vote, a.dirty = &vote, true
	}
	return true, ""
}

// learn stores a chosen outcome and the waves that are allowed. It needs no ballot, because a
// chosen outcome cannot change any more.
func (a *Agent) learn(m Message) (ok bool, reason string, commands []Command) {
	id := m.ChangeID
	if m.Change != nil {
		id = m.Change.ID
	}
	e := a.Entry(id)
	if c := a.State.completed(id); e == nil && c != nil {
		return c.Outcome == m.Outcome, "it is over", nil
	}
	if e == nil && m.Change != nil {
		e = &Entry{Change: m.Change}
		a.add(e)
	}
	if e == nil {
		return false, "not known", nil
	}
	// The outcomes can differ only if an agent has lost its store.
	if e.Outcome != Undecided && e.Outcome != m.Outcome {
		return false, fmt.Sprintf("%s was chosen, not %s", e.Outcome, m.Outcome), nil
	}
	allowed, final := max(e.AllowedWaves, m.AllowedWaves), e.Final || m.Final
	if e.Final {
		allowed = e.AllowedWaves
	}
	if e.Outcome != m.Outcome || e.AllowedWaves != allowed || e.Final != final {
		e.Outcome, e.AllowedWaves, e.Final, a.dirty = m.Outcome, allowed, final, true
	}
	return true, "", a.advance(e)
}

// advance moves the prepared targets of an entry to their next phase, as far as the outcome and the
// allowed waves permit, and returns the commands to carry out.
func (a *Agent) advance(e *Entry) (commands []Command) {
	for _, t := range e.Change.Targets {
		state := e.TargetStates[t.Instance]
		if state == nil || t.Agent != a.Name || state.Phase != PhasePrepared {
			continue
		}
		switch {
		case e.Outcome == Abort || e.Outcome == Commit && e.Final && t.Wave > e.AllowedWaves:
			state.Phase, a.dirty = PhaseUnchanged, true
		case e.Outcome == Commit && t.Wave <= e.AllowedWaves:
			state.Phase, a.dirty = PhaseApplying, true
			commands = append(commands, Command{e.Change.ID, t.Instance, t.Script, state.PreviousScript})
		}
	}
	return commands
}

// UnfinishedCommands returns the commands to carry out after a restart: commands that were in
// progress, for which it is unknown whether the director has the script, and commands that are due.
func (a *Agent) UnfinishedCommands() (commands []Command) {
	for _, e := range a.State.Entries {
		for _, t := range e.Change.Targets {
			if state := e.TargetStates[t.Instance]; state != nil && state.Phase == PhaseApplying {
				commands = append(commands, Command{e.Change.ID, t.Instance, t.Script, state.PreviousScript})
			}
		}
		commands = append(commands, a.advance(e)...)
	}
	return commands
}

// CommandDone records the result of a command. An empty failure means that the director has
// reported that it runs the script.
func (a *Agent) CommandDone(c Command, failure string) {
	e := a.Entry(c.ChangeID)
	if e == nil || e.TargetStates[c.Instance] == nil || e.TargetStates[c.Instance].Phase != PhaseApplying {
		return
	}
	a.dirty = true
	state := e.TargetStates[c.Instance]
	state.Reason = failure
	if failure != "" {
		state.Phase = PhaseFailed
		return
	}
	state.Phase = PhaseApplied
	a.State.ActiveScripts[c.Instance] = c.Script
}

// InDoubt returns the IDs of the changes whose outcome the agent should query from other agents:
// undecided changes, and changes with a target that waits for its wave. A change that is being
// applied is not in doubt.
func (a *Agent) InDoubt() (ids []string) {
	for _, e := range a.State.Entries {
		inDoubt := e.Outcome == Undecided
		for _, state := range e.TargetStates {
			inDoubt = inDoubt || state.Phase == PhasePrepared
		}
		if inDoubt {
			ids = append(ids, e.Change.ID)
		}
	}
	return ids
}

// HandleQueryReply learns the chosen outcomes from another agent's reply to a Query.
func (a *Agent) HandleQueryReply(reply Reply) (commands []Command) {
	for _, e := range reply.Entries {
		if e.Outcome != Undecided && a.Entry(e.Change.ID) != nil {
			_, _, more := a.learn(Message{ChangeID: e.Change.ID, Outcome: e.Outcome, AllowedWaves: e.AllowedWaves, Final: e.Final})
			commands = append(commands, more...)
		}
	}
	return commands
}
