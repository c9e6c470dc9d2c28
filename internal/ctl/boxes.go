package ctl

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

const nearest = 3 // names that are offered for one that nobody knows

// CheckCacheNode says nothing where some director's list has a cache of a name, or no director tells of any; else an error with the names
// that are nearest. Guards against a cache left in because its name was mistyped.
func (v *Snapshot) CheckCacheNode(box string) error {
	known := map[string]bool{}
	for _, d := range v.Directors {
		for _, b := range d.Report.NodeViews {
			known[b.ID] = true
		}
	}
	if len(known) == 0 || known[box] {
		return nil
	}
	names := slices.Sorted(maps.Keys(known))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(levenshtein.ComputeDistance(a, box), levenshtein.ComputeDistance(b, box))
	})
	return fmt.Errorf("%s: no director's list has it; nearest are %s", box, strings.Join(names[:min(nearest, len(names))], ", "))
}
