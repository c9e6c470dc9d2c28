package rollout

import (
	"cmp"
	"slices"
)

// Candidate is a director that a change may take in.
type Candidate struct {
	Instance string // its name
	Agent    string // the agent that looks after it
	Depot    string // the site that its agent is at
	Script   string // the active one
}

// Plan makes a change of the candidates whose script edit changes. With a limit of 0 there is one wave; otherwise a wave has the
// directors of one depot, at most limit of them. The checksum gives the form of Target.Base.
func Plan(id, author, note string, candidates []Candidate, limit int, checksum func(string) string, edit func(Candidate) string) *Change {
	change := &Change{ID: id, Author: author, Note: note}
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Depot, b.Depot), cmp.Compare(a.Instance, b.Instance))
	})
	wave, inWave, depot := 1, 0, ""
	for _, c := range sorted {
		script := edit(c)
		if script == c.Script {
			continue
		}
		if limit > 0 && inWave > 0 && (inWave >= limit || c.Depot != depot) {
			wave, inWave = wave+1, 0
		}
		depot = c.Depot
		inWave++
		change.Targets = append(change.Targets, Target{Instance: c.Instance, Agent: c.Agent, Base: checksum(c.Script), Script: script, Wave: wave})
	}
	return change
}

// Undo makes the change that takes another one back at the directors that run it. Previous has the script that each of them had before.
func Undo(id, author string, of *Change, previous map[string]string, checksum func(string) string) *Change {
	change := &Change{ID: id, Author: author, Note: "undo " + of.ID, Reverts: of.ID}
	for _, t := range of.Targets {
		if script, applied := previous[t.Instance]; applied {
			change.Targets = append(change.Targets, Target{Instance: t.Instance, Agent: t.Agent, Base: checksum(t.Script), Script: script, Wave: t.Wave})
		}
	}
	return change
}
