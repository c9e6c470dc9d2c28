package rollout

import (
	"maps"
	"slices"
)

const (
	maxEntries   = 64  // changes that an agent remembers whole, unless more are incomplete
	maxCompleted = 512 // earlier changes of which it remembers the outcome
)

// State is what an agent must not forget: it is stored before any reply that depends on it is sent.
type State struct {
	Promised      Ballot            `json:"promised"`       // the highest ballot
	Entries       []*Entry          `json:"entries"`        // in the order of their arrival
	ActiveScripts map[string]string `json:"in_force"`       // by instance
	Completed     []CompletedChange `json:"past,omitempty"` // changes whose entries were dropped, the latest last
}

// CompletedChange is what is kept of a change once its entry is dropped: an agent that was away for long must still learn the same
// outcome.
type CompletedChange struct {
	ID           string  `json:"id"`      // of the change
	Outcome      Outcome `json:"outcome"` // Commit or Abort
	AllowedWaves int     `json:"waves"`   // waves up to this one were applied
	Final        bool    `json:"final"`   // no further wave was allowed
}

func (c CompletedChange) entry() Entry {
	return Entry{Change: &Change{ID: c.ID}, Outcome: c.Outcome, AllowedWaves: c.AllowedWaves, Final: c.Final}
}

// Clone returns a copy that shares only the immutable changes.
func (s State) Clone() State {
	c := State{Promised: s.Promised, ActiveScripts: maps.Clone(s.ActiveScripts), Completed: slices.Clone(s.Completed)}
	for _, e := range s.Entries {
		entry := e.clone()
		c.Entries = append(c.Entries, &entry)
	}
	return c
}

// entry returns what is known of a change, nil for nothing.
func (s *State) entry(id string) *Entry {
	for _, e := range s.Entries {
		if e.Change.ID == id {
			return e
		}
	}
	return nil
}

// completed returns what is kept of a change whose entry was dropped, nil for nothing.
func (s *State) completed(id string) *CompletedChange {
	for i := range s.Completed {
		if s.Completed[i].ID == id {
			return &s.Completed[i]
		}
	}
	return nil
}

// add appends an entry and drops the oldest complete ones beyond maxEntries.
func (s *State) add(e *Entry) {
	s.Entries = append(s.Entries, e)
	for i := 0; len(s.Entries) > maxEntries && i < len(s.Entries); i++ {
		if e := s.Entries[i]; e.IsComplete() {
			s.Completed = append(s.Completed, e.completed())
			s.Completed = s.Completed[max(0, len(s.Completed)-maxCompleted):]
			s.Entries = slices.Delete(s.Entries, i, i+1)
			i--
		}
	}
}
