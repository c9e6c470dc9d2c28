package rollout

import (
	"cmp"
	"slices"
)

// Ballot is a claim to the right to change the fleet. Ballots are ordered by Number and then by
// Holder. A higher ballot takes the right over from a lower one.
type Ballot struct {
	Number int64  `json:"n"`      // number of the attempt; zero before the first
	Holder string `json:"holder"` // proposing tool or agent, such as "alice/1f2e3d4c"
}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	return cmp.Or(cmp.Compare(b.Number, other.Number), cmp.Compare(b.Holder, other.Holder)) < 0
}

// Outcome is the decision about a change. Its numeric values are sent and stored.
type Outcome int

// The outcomes of a change.
const (
	Undecided Outcome = iota // no outcome is known to be chosen
	Commit                   // every target gets its new script
	Abort                    // every target keeps its current script
)

var outcomeNames = [...]string{"open", "go", "drop"}

// String returns the name that tools print and that audit records contain. It must not change when
// a constant is renamed.
func (o Outcome) String() string { return outcomeNames[o] }

// Target is the part of a change that concerns one director.
type Target struct {
	Instance string `json:"instance"` // name of the director
	Agent    string `json:"agent"`    // name of the agent that manages the director
	Base     string `json:"base"`     // checksum of the script that the change replaces
	Script   string `json:"script"`   // the new script
	Wave     int    `json:"wave"`     // from 1; a wave starts once the previous one is applied
}

// Change replaces the scripts of several directors: either all of them or none. It is immutable
// once it has been proposed.
type Change struct {
	ID      string   `json:"id"`               // unique among all changes
	Author  string   `json:"by"`               // who proposed the change
	Note    string   `json:"note"`             // purpose of the change, in the author's words
	Reverts string   `json:"undoes,omitempty"` // ID of the change that this one undoes, if any
	Targets []Target `json:"targets"`          // empty if a reply contains only the ID
}

// WaveCount returns the number of waves.
func (c *Change) WaveCount() (count int) {
	for _, t := range c.Targets {
		count = max(count, t.Wave)
	}
	return count
}

// Agents returns the names of the agents that have a target, sorted and without duplicates.
func (c *Change) Agents() (names []string) {
	for _, t := range c.Targets {
		names = append(names, t.Agent)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Phase is the progress of a change at one director. Its numeric values are sent and stored.
type Phase int

// The phases of a target. PhaseRefused, PhaseApplied, PhaseFailed and PhaseUnchanged are final.
const (
	PhasePrepared  Phase = iota // stored, and either undecided or waiting for its wave
	PhaseRefused                // the target could not be prepared
	PhaseApplying               // the agent is applying the script
	PhaseApplied                // the director has reported that it runs the script
	PhaseFailed                 // the director rejected the script and has its previous one again
	PhaseUnchanged              // the change was aborted, or stopped before the target's wave
)

var phaseNames = [...]string{"waiting", "refused", "going", "in force", "failed", "untouched"}

// String returns the name that tools print. It must not change when a constant is renamed.
func (p Phase) String() string { return phaseNames[p] }

// TargetState is the state of one target that an agent stores.
type TargetState struct {
	Phase          Phase  `json:"phase"`         // progress of the change
	Reason         string `json:"why,omitempty"` // why the target was refused or failed
	PreviousScript string `json:"before"`        // active script when the change was prepared
}

// IsTerminal reports whether the phase is final.
func (s *TargetState) IsTerminal() bool {
	return s.Phase == PhaseApplied || s.Phase == PhaseFailed || s.Phase == PhaseUnchanged || s.Phase == PhaseRefused
}

// Vote is the outcome that an agent has accepted and the ballot that proposed it.
type Vote struct {
	Ballot  Ballot  `json:"ballot"`  // ballot that proposed the outcome
	Outcome Outcome `json:"outcome"` // Commit or Abort
}

// Entry is what an agent knows about a change.
type Entry struct {
	// Never nil. Replies that report only the state have a change without targets.
	Change       *Change                 `json:"change"`
	Vote         *Vote                   `json:"vote,omitempty"`  // nil until the agent has voted
	Outcome      Outcome                 `json:"outcome"`         // Undecided until it is learned
	AllowedWaves int                     `json:"waves"`           // last allowed wave
	Final        bool                    `json:"final"`           // AllowedWaves will not increase
	TargetStates map[string]*TargetState `json:"local,omitempty"` // of this agent, by instance
}

// IsComplete reports whether the agent has nothing left to do or to learn for the change.
func (e *Entry) IsComplete() bool {
	if e.Outcome == Undecided {
		return false
	}
	for _, state := range e.TargetStates {
		if !state.IsTerminal() {
			return false
		}
	}
	return e.Outcome == Abort || e.Final || e.AllowedWaves >= e.Change.WaveCount()
}

// clone returns a copy that shares only the immutable change with the original.
func (e *Entry) clone() Entry {
	c := *e
	if e.TargetStates != nil {
		c.TargetStates = map[string]*TargetState{}
	}
	for instance, state := range e.TargetStates {
		stateCopy := *state
		c.TargetStates[instance] = &stateCopy
	}
	if e.Vote != nil {
		vote := *e.Vote
		c.Vote = &vote
	}
	return c
}

// completed returns the record of the change that is kept after its entry is dropped.
func (e *Entry) completed() CompletedChange {
	return CompletedChange{e.Change.ID, e.Outcome, e.AllowedWaves, e.Final}
}
