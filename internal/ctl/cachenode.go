package ctl

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// maxSuggestions is the number of similar names suggested for an unknown name.
const maxSuggestions = 3

// CheckCacheNode returns an error that suggests the most similar names if no director's endpoint
// list contains a cache node with the given name. It prevents a mistyped name from leaving a node
// in service unnoticed. It returns nil if no director reports any node.
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
	return fmt.Errorf("%s: no director lists this cache node; similar names: %s", name, strings.Join(names[:min(maxSuggestions, len(names))], ", "))
}
