package rollout

import (
	"fmt"
	"maps"
	"slices"

	"tallyproxy/policy"
)

// proceed continues with the next steps as far as the replies and the elapsed time allow.
func (c *Coordinator) proceed(now policy.Micros) []Envelope {
	switch c.step {
	case StepPromise:
		return c.proceedPromise(now)
	case StepRecover, StepDecide:
		return c.proceedDecide(now)
	case StepPrepare:
		return c.proceedPrepare(now)
	case StepApply:
		return c.proceedApply(now)
	case StepQuery:
		if len(c.unanswered) == 0 || now-c.stepStarted >= c.timeouts.Wave {
			return c.finishQuery(now)
		}
	}
	return nil
}

// proceedPromise continues with the changes that earlier holders left undecided once a majority has
// granted the right to change.
func (c *Coordinator) proceedPromise(now policy.Micros) []Envelope {
	timedOut := now-c.stepStarted >= c.timeouts.Step
	if c.outvoted() || timedOut && !c.isMajority(c.accepts) {
		c.refusePromise()
		return c.finish(now, "")
	}
	if !c.isMajority(c.accepts) || len(c.unanswered) > 0 && !timedOut && now-c.stepStarted < c.timeouts.Resend {
		return nil // wait a moment for the remaining agents, which may know an undecided change
	}
	c.leaseRenewed = now
	c.collectUndecided()
	return c.nextChange(now)
}

// refusePromise fills the result with the refusal of the agent that has promised the highest
// ballot.
func (c *Coordinator) refusePromise() {
	c.result.RefusalReason = "no majority of the agents answers"
	if c.denies == 0 {
		return
	}
	c.lostToAnother = true
	var highest Reply
	for _, agent := range slices.Sorted(maps.Keys(c.replies)) {
		if reply := c.replies[agent]; !reply.OK && (highest.Promised.Less(reply.Promised) || highest.Reason == "") {
			highest = reply
		}
	}
	c.result.RefusalReason, c.result.Holder = highest.Reason, highest.Promised.Holder
	c.result.HeldFor, c.result.LeaseLeft = highest.HeldFor, highest.LeaseLeft
}

// collectUndecided collects the changes that must be completed first from the replies to Promise.
// If the coordinator's own change is among them, it was proposed before and is completed like the
// others.
func (c *Coordinator) collectUndecided() {
	known := c.mergedEntries()
	for _, id := range slices.Sorted(maps.Keys(known)) {
		e := known[id]
		own := c.ownChange != nil && id == c.ownChange.ID
		switch {
		case own && (e.Vote != nil || e.Outcome != Undecided):
			e.Change = c.ownChange // agents that have completed it report only its outcome
			c.undecided, c.ownChange = append(c.undecided, e), nil
		case !own && len(e.Change.Targets) > 0:
			// Without targets, all agents that know the change have completed it.
			c.undecided = append(c.undecided, e)
		}
	}
}

// mergedEntries combines what the agents that promised know about each change: its outcome if an
// agent knows it, and otherwise the vote with the highest ballot.
func (c *Coordinator) mergedEntries() map[string]*Entry {
	merged := map[string]*Entry{}
	for _, agent := range slices.Sorted(maps.Keys(c.replies)) {
		if !c.replies[agent].OK {
			continue
		}
		for _, e := range c.replies[agent].Entries {
			known := merged[e.Change.ID]
			if known == nil {
				merged[e.Change.ID] = &e
				continue
			}
			if known.Outcome == Undecided {
				known.Outcome = e.Outcome
			}
			if len(known.Change.Targets) == 0 { // from an agent that has completed the change
				known.Change = e.Change
			}
			known.AllowedWaves, known.Final = max(known.AllowedWaves, e.AllowedWaves), known.Final || e.Final
			if e.Vote != nil && (known.Vote == nil || known.Vote.Ballot.Less(e.Vote.Ballot)) {
				known.Vote = e.Vote
			}
		}
	}
	return merged
}

// nextChange starts the next undecided change, or the coordinator's own change if none is left.
func (c *Coordinator) nextChange(now policy.Micros) []Envelope {
	c.targetStates, c.stopReason = map[string]TargetState{}, ""
	if len(c.undecided) > 0 {
		e := c.undecided[0]
		c.undecided = c.undecided[1:]
		return c.recover(now, e)
	}
	if c.ownChange == nil {
		return c.finish(now, "")
	}
	c.setCurrent(c.ownChange, 1)
	c.ownChange = nil
	return c.enter(now, StepPrepare, c.current.Agents(), Message{Type: Prepare, Change: c.current})
}

// recover proposes the outcome that a change must have: the chosen one if it is known, and
// otherwise that of the vote with the highest ballot. If no agent of a majority has voted, no
// outcome was chosen and none can be chosen with a lower ballot, so the change is aborted.
func (c *Coordinator) recover(now policy.Micros, e *Entry) []Envelope {
	c.setCurrent(e.Change, max(1, e.AllowedWaves))
	for instance, state := range e.TargetStates {
		c.targetStates[instance] = *state
	}
	c.outcome = Abort
	if e.Outcome != Undecided {
		c.outcome = e.Outcome
	} else if e.Vote != nil {
		c.outcome = e.Vote.Outcome
	}
	if e.Final && e.AllowedWaves < e.Change.WaveCount() {
		c.stopReason = "stopped earlier"
	}
	return c.enter(now, StepRecover, c.agents, Message{Type: Accept, Change: c.current, Outcome: c.outcome})
}

func (c *Coordinator) setCurrent(change *Change, wave int) {
	c.current, c.wave, c.targetsByAgent = change, wave, map[string][]Target{}
	for _, t := range change.Targets {
		c.targetsByAgent[t.Agent] = append(c.targetsByAgent[t.Agent], t)
	}
}

// proceedPrepare decides to commit once every agent has prepared the change, and to abort if an
// agent refuses or does not answer.
func (c *Coordinator) proceedPrepare(now policy.Micros) []Envelope {
	for _, agent := range slices.Sorted(maps.Keys(c.replies)) {
		if reply := c.replies[agent]; !reply.OK {
			c.result.RefusalReason = agent + ": " + reply.Reason
			return c.decide(now, Abort)
		}
	}
	if len(c.unanswered) == 0 {
		return c.decide(now, Commit)
	}
	if now-c.stepStarted >= c.timeouts.Step {
		c.result.RefusalReason = slices.Sorted(maps.Keys(c.unanswered))[0] + ": does not answer"
		return c.decide(now, Abort)
	}
	return nil
}

func (c *Coordinator) decide(now policy.Micros, outcome Outcome) []Envelope {
	c.outcome = outcome
	return c.enter(now, StepDecide, c.agents, Message{Type: Accept, Change: c.current, Outcome: outcome})
}

// proceedDecide applies the outcome once a majority has accepted it.
func (c *Coordinator) proceedDecide(now policy.Micros) []Envelope {
	switch {
	case c.isMajority(c.accepts):
		if c.result.ID == "" || c.result.ID == c.current.ID {
			c.result.ID, c.result.Outcome = c.current.ID, c.outcome
		}
		return c.apply(now)
	case c.outvoted(): // also if an even number of agents is split in halves and all have answered
		return c.query(now)
	case now-c.stepStarted >= 4*c.timeouts.Step:
		return c.finish(now, "no majority of the agents answers; run `resume` once they do")
	}
	return nil
}

// apply sends the chosen outcome and the allowed waves to all agents.
func (c *Coordinator) apply(now policy.Micros) []Envelope {
	final := c.outcome == Abort || c.stopReason != "" || c.wave >= c.current.WaveCount()
	return c.enter(now, StepApply, c.agents, Message{
		Type: Learn, Change: c.current, Outcome: c.outcome, AllowedWaves: c.wave, Final: final,
	})
}

// proceedApply continues with the next wave once a majority knows of the current one and its
// directors run their scripts. It stops the change if a director rejected its script, if a director
// is late, or if the health check returns a reason to stop.
func (c *Coordinator) proceedApply(now policy.Micros) []Envelope {
	known := c.isMajority(c.accepts)
	timedOut := now-c.stepStarted >= c.timeouts.Wave
	if !timedOut && !known {
		return nil
	}
	pending, failure := c.waveProgress()
	// A recovery does not keep the right to change from other holders while targets are pending.
	if !timedOut && pending && !c.recoverOnly {
		return nil
	}
	if c.outcome == Abort || c.stopReason != "" || c.recoverOnly || c.wave >= c.current.WaveCount() {
		if timedOut || now-c.stepStarted >= c.timeouts.Resend || len(c.unanswered) == 0 {
			return c.finishChange(now)
		}
		return nil
	}
	switch {
	case failure != "":
		c.stopReason = failure
	case pending:
		c.stopReason = fmt.Sprintf("wave %d was not completed in time", c.wave)
	case !known:
		// Otherwise, each of many waves could take its whole timeout with no agent reachable.
		c.stopReason = fmt.Sprintf("no majority of the agents knows of wave %d", c.wave)
	case c.healthCheck != nil:
		reason, answered := c.healthCheck()
		if !answered && now-c.stepStarted < 2*c.timeouts.Wave {
			return nil // the lease is renewed in the meantime
		}
		if !answered {
			reason = fmt.Sprintf("the health check after wave %d did not answer", c.wave)
		}
		c.stopReason = reason
	}
	if c.stopReason == "" {
		c.wave++
	}
	return c.apply(now)
}

// waveProgress reports whether a target of the waves so far is pending, and returns the failure of
// the last target that failed.
func (c *Coordinator) waveProgress() (pending bool, failure string) {
	for _, t := range c.current.Targets {
		pending = pending || c.isPending(t)
		if state := c.targetStates[t.Instance]; state.Phase == PhaseFailed && t.Wave <= c.wave {
			failure = t.Instance + ": " + state.Reason
		}
	}
	return pending, failure
}

// finishChange records the result of the current change and starts the next one.
func (c *Coordinator) finishChange(now policy.Micros) []Envelope {
	if c.result.ID == c.current.ID {
		c.result.StopReason = c.stopReason
		c.result.Targets = c.targetResults()
	}
	return c.nextChange(now)
}

// query asks for the outcome of the coordinator's own change after another holder has acquired the
// right to change, because that holder completes the change.
func (c *Coordinator) query(now policy.Micros) []Envelope {
	c.lostToAnother = true
	// The current change is an earlier holder's, and the coordinator's own change was not started.
	if c.result.ID == "" || c.current.ID != c.result.ID {
		return c.finish(now, "another holder took over while an earlier change was being recovered")
	}
	c.outcome, c.wave = Undecided, 1
	return c.enter(now, StepQuery, c.agents, Message{Type: Query, ChangeID: c.current.ID})
}

func (c *Coordinator) finishQuery(now policy.Micros) []Envelope {
	if c.outcome == Undecided {
		return c.finish(now, "another holder took over while the change was being decided; `status` shows the outcome")
	}
	c.result.Outcome, c.result.Targets = c.outcome, c.targetResults()
	switch {
	case c.outcome == Abort && c.result.RefusalReason == "":
		c.result.RefusalReason = "another holder took over before the change was decided"
	case c.outcome == Commit:
		c.result.RefusalReason, c.result.NeedsResume = "", c.wave < c.current.WaveCount()
	}
	return c.finish(now, "")
}

// finish enters StepDone and gives the right to change back. A non-empty reason means that the
// change was refused.
func (c *Coordinator) finish(now policy.Micros, reason string) []Envelope {
	if reason != "" {
		c.result.RefusalReason = reason
		change, state := c.current, "not known"
		if c.ownChange != nil { // the change was not started
			change, state = c.ownChange, "untouched"
		}
		for _, t := range change.Targets {
			c.result.Targets = append(c.result.Targets, TargetResult{Instance: t.Instance, Agent: t.Agent, State: state, Reason: reason})
		}
	}
	return append(c.enter(now, StepDone, nil, Message{}), c.Release()...)
}
