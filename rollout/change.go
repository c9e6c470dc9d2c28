package rollout

import (
	"cmp"
	"slices"
)

// Ballot is the right to change the fleet, ordered by Number and then by Holder. A higher ballot takes the right over from a lower one.
type Ballot struct {
	Number int64  `json:"n"`      // of the attempt; zero before the first
	Holder string `json:"holder"` // the tool or agent that proposes, such as "alice/1f2e3d4c"
}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	return cmp.Or(cmp.Compare(b.Number, other.Number), cmp.Compare(b.Holder, other.Holder)) < 0
}

// Outcome is what was decided about a change. Its numbers are sent and stored.
type Outcome int

// The outcomes of a change.
const (
	Undecided Outcome = iota // no outcome is known to be chosen
	Commit                   // every target gets its script
	Abort                    // every target keeps the script it has
)

var outcomeNames = [...]string{"open", "go", "drop"}

// String returns the name that tools print and that the audit record has; it does not change with the constants' names.
func (o Outcome) String() string { return outcomeNames[o] }

// Target is the part of a change that is about one director.
type Target struct {
	Instance string `json:"instance"` // the director's name
	Agent    string `json:"agent"`    // the agent that looks after it
	Base     string `json:"base"`     // checksum of the script that must be active before the change
	Script   string `json:"script"`   // the new script
	Wave     int    `json:"wave"`     // from 1; a wave begins when the one before has been applied
}

// Change gives several directors new scripts, all of them or none. It is immutable once it has been proposed.
type Change struct {
	ID      string   `json:"id"`               // unique among all changes
	Author  string   `json:"by"`               // who proposed it
	Note    string   `json:"note"`             // what it is for, in the author's words
	Reverts string   `json:"undoes,omitempty"` // ID of the change that this one takes back, if any
	Targets []Target `json:"targets"`          // empty where a reply names the change by its ID only
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

// Phase is how far a change has come at one director. Its numbers are sent and stored.
type Phase int

// The phases of a target. A target ends in one of PhaseRefused, PhaseApplied, PhaseFailed and PhaseUnchanged.
const (
	PhasePrepared  Phase = iota // stored, and either undecided or waiting for its wave
	PhaseRefused                // could not be prepared
	PhaseApplying               // the agent is applying it
	PhaseApplied                // active, read back from the director
	PhaseFailed                 // the director rejected it and has its previous script again
	PhaseUnchanged              // aborted, or stopped before its wave
)

var phaseNames = [...]string{"waiting", "refused", "going", "in force", "failed", "untouched"}

// String returns the name that tools print; it does not change with the constants' names.
func (p Phase) String() string { return phaseNames[p] }

// TargetState is an agent's stored state of one target.
type TargetState struct {
	Phase          Phase  `json:"phase"`         // how far the change has come
	Reason         string `json:"why,omitempty"` // why it was refused or failed
	PreviousScript string `json:"before"`        // the script that was active when the change was prepared
}

// IsTerminal reports whether the phase is final.
func (s *TargetState) IsTerminal() bool {
	return s.Phase == PhaseApplied || s.Phase == PhaseFailed || s.Phase == PhaseUnchanged || s.Phase == PhaseRefused
}

// Vote is the outcome that an agent has accepted, and by which ballot.
type Vote struct {
	Ballot  Ballot  `json:"ballot"`  // by which it was proposed
	Outcome Outcome `json:"outcome"` // Commit or Abort
}

// Entry is what an agent knows of a change.
type Entry struct {
	Change       *Change                 `json:"change"`          // never nil; without targets in a reply that tells the state only
	Vote         *Vote                   `json:"vote,omitempty"`  // nil until an outcome has been accepted
	Outcome      Outcome                 `json:"outcome"`         // the chosen one, Undecided until the agent learns it
	AllowedWaves int                     `json:"waves"`           // waves up to this one may be applied
	Final        bool                    `json:"final"`           // AllowedWaves will not grow any more
	TargetStates map[string]*TargetState `json:"local,omitempty"` // of this agent's targets, by instance
}

// IsComplete reports whether the agent has nothing more to do or to learn about the change.
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

// clone returns a copy that shares only the immutable change.
func (e *Entry) clone() Entry {
	c := *e
	if e.TargetStates != nil {
		c.TargetStates = map[string]*TargetState{}
	}
	for instance, state := range e.TargetStates {
		own := *state
		c.TargetStates[instance] = &own
	}
	if e.Vote != nil {
		vote := *e.Vote
		c.Vote = &vote
	}
	return c
}

// completed returns what is kept of the change once its entry is dropped.
func (e *Entry) completed() CompletedChange {
	return CompletedChange{e.Change.ID, e.Outcome, e.AllowedWaves, e.Final}
}
