package relays

import (
	"testing"

	"tallyproxy/policy"
)

// TestMergeAndDiff guards against a list that differs from the channel's after snapshots, changes
// and differences have been applied.
func TestMergeAndDiff(t *testing.T) {
	list := map[string]Endpoint{}
	Merge(list, []Endpoint{{ID: "a", Started: 1}, {ID: "b"}}, true)
	Merge(list, []Endpoint{{ID: "a", Started: 2, State: policy.Draining}, {ID: "b", State: policy.Removed}, {ID: "c"}}, false)
	if endpoints := SortedEndpoints(list); len(endpoints) != 2 || endpoints[0].Started != 2 || endpoints[0].State != policy.Draining || endpoints[1].ID != "c" {
		t.Errorf("merged list is %+v", endpoints)
	}
	if Sum(SortedEndpoints(list)) == Sum([]Endpoint{{ID: "a", Started: 2}, {ID: "c"}}) {
		t.Error("two different lists have the same sum")
	}
	other := map[string]Endpoint{"a": {ID: "a", Started: 1}, "b": {ID: "b"}}
	diff := Diff(other, SortedEndpoints(list))
	if len(diff) != 3 || diff[2].ID != "b" || diff[2].State != policy.Removed {
		t.Errorf("difference is %+v", diff)
	}
	if Merge(other, diff, false); Sum(SortedEndpoints(other)) != Sum(SortedEndpoints(list)) || Diff(other, SortedEndpoints(list)) != nil {
		t.Errorf("list after the difference was applied is %+v", other)
	}
}

// TestValidLists guards against the use of a list with unknown zones or kinds, invalid endpoints,
// or too many endpoints.
func TestValidLists(t *testing.T) {
	settings := testSettings("x")
	for _, c := range []struct {
		endpoint Endpoint
		want     bool
	}{
		{Endpoint{ID: "a", Zone: 1, Kind: 2}, true},
		{Endpoint{ID: "a", Zone: 2}, false},
		{Endpoint{ID: "a", Kind: 3}, false},
		{Endpoint{ID: "a", Zone: -1}, false},
		{Endpoint{}, false},
		{Endpoint{ID: "a", State: policy.Removed}, false},
		{Endpoint{ID: "a", Weight: -1}, false},
		{Endpoint{ID: "a", State: 7}, false},
	} {
		if settings.valid([]Endpoint{c.endpoint}) != c.want {
			t.Errorf("valid is wrong for %+v", c.endpoint)
		}
	}
	if settings.valid(make([]Endpoint, maxListLength+1)) {
		t.Error("a list that is too long is valid")
	}
}
