package rollout

import "tallyproxy/policy"

// TargetResult is what came of one target of a change.
type TargetResult struct {
	Instance string `json:"instance"`      // the director
	Agent    string `json:"agent"`         // its agent
	State    string `json:"state"`         // "changed", "untouched", "will be changed" or "not known"
	Reason   string `json:"why,omitempty"` // why it was not changed
}

// Result is what came of a coordinator's work.
type Result struct {
	ID            string         `json:"id"`                // of the change; empty where there was none
	Outcome       Outcome        `json:"outcome"`           // Undecided where the decision is not known
	RefusalReason string         `json:"refused,omitempty"` // why nothing was begun, or the change was aborted
	Holder        string         `json:"holder,omitempty"`  // who holds the right to change, where that is the reason
	HeldFor       policy.Micros  `json:"held,omitempty"`    // since Holder was given it, in microseconds
	LeaseLeft     policy.Micros  `json:"left,omitempty"`    // of Holder's lease, in microseconds
	StopReason    string         `json:"stopped,omitempty"` // why no further wave was begun
	NeedsResume   bool           `json:"resume,omitempty"`  // another holder decided it, and waves are left for whoever may begin them
	Targets       []TargetResult `json:"ends"`              // in the order of the change; nil where nothing was begun
	MessagesSent  int            `json:"sent"`              // by the coordinator, renewals and repetitions included
}

// AllOrNone reports whether every target was changed, or every target is unchanged.
func (r Result) AllOrNone() bool {
	counts := map[string]int{}
	for _, target := range r.Targets {
		counts[target.State]++
	}
	return counts["changed"] == len(r.Targets) || counts["untouched"] == len(r.Targets)
}

// targetResults gives the result of each target of the current change.
func (c *Coordinator) targetResults() (results []TargetResult) {
	for _, t := range c.current.Targets {
		result := TargetResult{Instance: t.Instance, Agent: t.Agent, State: "untouched"}
		state, known := c.targetStates[t.Instance]
		switch {
		case known && state.Phase == PhaseApplied:
			result.State = "changed"
		case known && state.IsTerminal():
			result.Reason = state.Reason
		case c.outcome == Commit && t.Wave <= c.wave:
			result.State, result.Reason = "will be changed", "its agent does not answer, and does it when it is back"
			if known && state.Phase == PhaseApplying {
				result.Reason = "its director is not done with it"
			}
		}
		results = append(results, result)
	}
	return results
}
