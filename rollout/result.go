package rollout

import "tallyproxy/policy"

// TargetResult is the result of a change for one target.
type TargetResult struct {
	Instance string `json:"instance"` // name of the director
	Agent    string `json:"agent"`    // name of its agent
	// One of "changed", "untouched", "will be changed" and "not known".
	State  string `json:"state"`
	Reason string `json:"why,omitempty"` // why the target was not changed
}

// Result is the result of a coordinator's work.
type Result struct {
	ID      string  `json:"id"`      // ID of the change; empty if there was none
	Outcome Outcome `json:"outcome"` // Undecided if the decision is unknown
	// Why nothing was started, or why the change was aborted.
	RefusalReason string `json:"refused,omitempty"`
	// The holder of the right to change, if that is the reason for the refusal.
	Holder     string        `json:"holder,omitempty"`
	HeldFor    policy.Micros `json:"held,omitempty"`    // time since Holder got the right, in µs
	LeaseLeft  policy.Micros `json:"left,omitempty"`    // remaining lease of Holder, in µs
	StopReason string        `json:"stopped,omitempty"` // why no further wave was started
	// Another holder decided the change, and an operator may resume the remaining waves.
	NeedsResume  bool           `json:"resume,omitempty"`
	Targets      []TargetResult `json:"ends"` // in the order of the change; nil if nothing started
	MessagesSent int            `json:"sent"` // includes lease renewals and resent messages
}

// AllOrNone reports whether every target was changed, or every target is unchanged.
func (r Result) AllOrNone() bool {
	counts := map[string]int{}
	for _, target := range r.Targets {
		counts[target.State]++
	}
	return counts["changed"] == len(r.Targets) || counts["untouched"] == len(r.Targets)
}

// targetResults returns the result of each target of the current change.
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
			result.State, result.Reason = "will be changed", "its agent does not answer and will apply the change once it is reachable"
			if known && state.Phase == PhaseApplying {
				result.Reason = "its director has not finished applying the change"
			}
		}
		results = append(results, result)
	}
	return results
}
