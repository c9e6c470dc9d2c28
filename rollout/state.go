package rollout

import (
	"maps"
	"slices"
)

const (
	maxEntries   = 64  // entries that an agent keeps, unless more are incomplete
	maxCompleted = 512 // records that an agent keeps of changes whose entries were dropped
)

// State is the persistent state of an agent. It is stored before any reply that depends on it is
// sent.
type State struct {
	Promised      Ballot            `json:"promised"`       // highest promised ballot
	Entries       []*Entry          `json:"entries"`        // in the order of arrival
	ActiveScripts map[string]string `json:"in_force"`       // by instance
	Completed     []CompletedChange `json:"past,omitempty"` // from dropped entries, latest last
}

// CompletedChange is the record of a change that is kept after its entry is dropped: an agent that
// was unreachable for a long time must still learn the same outcome.
type CompletedChange struct {
	ID           string  `json:"id"`      // ID of the change
	Outcome      Outcome `json:"outcome"` // Commit or Abort
	AllowedWaves int     `json:"waves"`   // waves up to this one were allowed
	Final        bool    `json:"final"`   // no further wave was allowed
}

func (c CompletedChange) entry() Entry {
	return Entry{Change: &Change{ID: c.ID}, Outcome: c.Outcome, AllowedWaves: c.AllowedWaves, Final: c.Final}
}

// Clone returns a copy that shares only the immutable changes with the original.
func (s State) Clone() State {
	c := State{Promised: s.Promised, ActiveScripts: maps.Clone(s.ActiveScripts), Completed: slices.Clone(s.Completed)}
	for _, e := range s.Entries {
		entry := e.clone()
		c.Entries = append(c.Entries, &entry)
	}
	return c
}

// entry returns the entry of a change, or nil if there is none.
func (s *State) entry(id string) *Entry {
	for _, e := range s.Entries {
		if e.Change.ID == id {
			return e
		}
	}
	return nil
}

// completed returns the record of a change whose entry was dropped, or nil if there is none.
func (s *State) completed(id string) *CompletedChange {
	for i := range s.Completed {
		if s.Completed[i].ID == id {
			return &s.Completed[i]
		}
	}
	return nil
}

// add appends an entry and drops the oldest complete entries beyond maxEntries.
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
