package ctl

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// maxSuggestions is how many similar names are offered for an unknown one.
const maxSuggestions = 3

// CheckCacheNode returns an error with the most similar names where no director's list has a cache node of that name, so that a node is
// not left in service because its name was mistyped. Where no director reports any node it returns nil.
func (s *Snapshot) CheckCacheNode(name string) error {
	known := map[string]bool{}
	for _, director := range s.Directors {
		for _, node := range director.Report.NodeViews {
			known[node.ID] = true
		}
	}
	if len(known) == 0 || known[name] {
		return nil
	}
	names := slices.Sorted(maps.Keys(known))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(levenshtein.ComputeDistance(a, name), levenshtein.ComputeDistance(b, name))
	})
	return fmt.Errorf("%s: no director's list has it; nearest are %s", name, strings.Join(names[:min(maxSuggestions, len(names))], ", "))
}
