package experiment

import (
	"fmt"

	"tallyproxy/policy"
	"tallyproxy/rollout"
)

// fleetState classifies what the directors of a fleet run after a change.
type fleetState int

const (
	// fleetInconsistent: directors differ, or an agent's record differs from its director's script.
	fleetInconsistent fleetState = iota
	fleetChanged                 // all directors run the new script
	fleetUntouched               // all directors run the old script
	fleetPartial                 // the change was stopped between waves
)

// rolloutOutcome is the result of one schedule. Times are durations.
type rolloutOutcome struct {
	state         fleetState
	reported      policy.Micros // from the start until the last tool ended
	known         policy.Micros // from the start until every agent knew the outcome; 0: never
	convergence   policy.Micros // from the end of the last fault until the final state
	toolMessages  int
	agentMessages int
	events        int
	toolCrashed   bool // the first tool crashed
	finished      bool
	problem       string // empty for none
}

// runSchedule runs one change of a fleet of n agents.
func (r *Rollout) runSchedule(n int, number uint64) (out rolloutOutcome) {
	f := newRolloutSim(r, n, number)
	change := rollout.Plan(changeID, "op", "", f.candidates(), r.WaveSize, checksum, func(rollout.Candidate) string { return newScript })
	startedAt, lastFault := f.now, f.scheduleFaults()
	crashAfter := policy.Micros(0)
	if f.random.Float64() < r.ToolCrashRate {
		crashAfter = policy.Micros(1 + f.random.IntN(1_500_000))
	}
	f.watchKnown(func() { out.known = f.now - startedAt })

	coordinator := f.runTool(change, crashAfter)
	out.toolCrashed = coordinator.Step() != rollout.StepDone
	if out.toolCrashed {
		lastFault = max(lastFault, f.now)
	}
	coordinator = f.resume(coordinator, change, out.toolCrashed)
	out.reported = f.now - startedAt
	result, toolDone := coordinator.Result(), coordinator.Step() == rollout.StepDone
	out.state = f.awaitConvergence(lastFault, &out.known)
	if !reportIsTrue(result, out.state) {
		out.state = fleetInconsistent
	}
	out.convergence = max(0, f.now-lastFault)
	out.toolMessages, out.agentMessages, out.events = f.toolMessages, f.agentMessages, f.eventsRun
	out.finished = toolDone && f.eventsRun < f.eventBudget && out.known > 0
	if !out.finished || out.state == fleetInconsistent {
		out.problem = fmt.Sprintf("--instances %d --seed %d --only %d: %s", n, r.Seed, number, f.debugString())
	}
	return out
}

// watchKnown polls the agents and calls report once all of them know the outcome.
func (f *rolloutSim) watchKnown(report func()) {
	var poll func()
	poll = func() {
		if f.outcomeKnown() {
			report()
			return
		}
		f.after(toolTickInterval, poll)
	}
	f.after(toolTickInterval, poll)
}

// resume runs further tools, a second after each other, until one of them has completed the change.
// If the first tool did not crash, the same operator resumes its change; else another operator
// does, whose tool is refused until the lease of the crashed tool expires. It returns the last
// coordinator.
func (f *rolloutSim) resume(c *rollout.Coordinator, change *rollout.Change, crashed bool) *rollout.Coordinator {
	if crashed {
		change = nil
	}
	unfinished := crashed || c.Result().NeedsResume
	for unfinished && f.now < rolloutDeadline && f.eventsRun < f.eventBudget {
		f.runUntil(f.now+policy.Second, never)
		c = f.runTool(change, 0)
		result := c.Result()
		unfinished = c.Step() != rollout.StepDone || result.RefusalReason != "" || result.NeedsResume
	}
	return c
}

// awaitConvergence runs the simulation until all agents are up, know the outcome and agree with
// their directors, but not longer than two minutes. It returns the state of the fleet.
func (f *rolloutSim) awaitConvergence(lastFault policy.Micros, known *policy.Micros) fleetState {
	for deadline := f.now + 120*policy.Second; ; {
		state := f.state()
		converged := state != fleetInconsistent && f.now >= lastFault && *known > 0
		if converged || f.now >= deadline || f.eventsRun >= f.eventBudget {
			return state
		}
		f.runUntil(f.now+2*toolTickInterval, never)
	}
}

// reportIsTrue reports whether a tool's report agrees with the final state of the directors.
func reportIsTrue(result rollout.Result, state fleetState) bool {
	for _, target := range result.Targets {
		switch {
		case target.State == "changed" && state == fleetUntouched,
			target.State == "untouched" && state == fleetChanged,
			target.State == "will be changed" && state == fleetUntouched:
			return false
		}
	}
	return true
}

// outcomeKnown reports whether every agent is up and knows the outcome. It is false until the
// change has reached the first agent or the tool has ended.
func (f *rolloutSim) outcomeKnown() bool {
	for _, name := range f.names {
		a := f.agents[name]
		if !a.up {
			return false
		}
		if entry := a.Entry(changeID); entry != nil && entry.Outcome == rollout.Undecided {
			return false
		}
	}
	return f.coordinator.Step() == rollout.StepDone || f.agents[f.names[0]].Entry(changeID) != nil
}

// state compares the scripts that directors run with their agents' records and the decision.
func (f *rolloutSim) state() fleetState {
	running, final, outcome := map[string]int{}, true, rollout.Undecided
	for _, name := range f.names {
		a := f.agents[name]
		recorded := oldScript
		if entry := a.Entry(changeID); entry != nil {
			if outcome == rollout.Undecided {
				outcome = entry.Outcome
			} else if entry.Outcome != rollout.Undecided && entry.Outcome != outcome {
				return fleetInconsistent
			}
			final = final && entry.Final
			for _, target := range entry.TargetStates {
				if target.Phase == rollout.PhaseApplied {
					recorded = newScript
				} else if !target.IsTerminal() {
					return fleetInconsistent
				}
			}
		}
		if recorded != a.running || !a.up {
			return fleetInconsistent
		}
		running[a.running]++
	}
	switch {
	case len(f.names) == running[newScript]:
		return fleetChanged
	case len(f.names) == running[oldScript]:
		return fleetUntouched
	case final && f.options.WaveSize > 0:
		return fleetPartial
	}
	return fleetInconsistent
}
