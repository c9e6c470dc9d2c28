package rollout

import (
	"slices"
	"strings"
)

// Candidate is where a director stands, for planning.
type Candidate struct {
	Instance, Agent, Depot, Script string // the script that is in force
}

// Plan makes a change of directors that run some scripts now. Edit gives a director's new script; one that stays as it is has no
// part in it. With a limit of 0 all go together; else depots follow each other, and at most so many change at a time.
func Plan(id, by, note string, places []Candidate, limit int, sum func(string) string, edit func(Candidate) string) *Change {
	c := &Change{ID: id, Author: by, Note: note}
	sorted := slices.Clone(places)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		if n := strings.Compare(a.Depot, b.Depot); n != 0 {
			return n
		}
		return strings.Compare(a.Instance, b.Instance)
	})
	wave, inWave, depot := 1, 0, ""
	for _, p := range sorted {
		script := edit(p)
		if script == p.Script {
			continue
		}
		if limit > 0 && inWave > 0 && (inWave >= limit || p.Depot != depot) {
			wave, inWave = wave+1, 0
		}
		depot = p.Depot
		inWave++
		c.Targets = append(c.Targets, Target{Instance: p.Instance, Agent: p.Agent, Base: sum(p.Script), Script: script, Wave: wave})
	}
	return c
}

// Undo makes the change that takes another back where it is in force; before is what was there, by director.
func Undo(id, by string, of *Change, before map[string]string, sum func(string) string) *Change {
	c := &Change{ID: id, Author: by, Note: "undo " + of.ID, Reverts: of.ID}
	for _, t := range of.Targets {
		if script, had := before[t.Instance]; had {
			c.Targets = append(c.Targets, Target{Instance: t.Instance, Agent: t.Agent, Base: sum(t.Script), Script: script, Wave: t.Wave})
		}
	}
	return c
}
