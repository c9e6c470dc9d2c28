package rollout

import (
	"cmp"
	"slices"
)

// Candidate is a director that a change may include.
type Candidate struct {
	Instance string // name of the director
	Agent    string // name of the agent that manages the director
	Depot    string // site of the agent
	Script   string // active script
}

// Plan returns a change with the candidates whose script the function edit changes. If limit is 0,
// there is one wave. Otherwise, each wave has directors of one depot only, at most limit of them.
// The function checksum computes the values of Target.Base.
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

// Undo returns a change that undoes another one at the directors that run it. previous maps these
// directors to the scripts that they had before.
func Undo(id, author string, undone *Change, previous map[string]string, checksum func(string) string) *Change {
	change := &Change{ID: id, Author: author, Note: "undo " + undone.ID, Reverts: undone.ID}
	for _, t := range undone.Targets {
		if script, applied := previous[t.Instance]; applied {
			change.Targets = append(change.Targets, Target{Instance: t.Instance, Agent: t.Agent, Base: checksum(t.Script), Script: script, Wave: t.Wave})
		}
	}
	return change
}
