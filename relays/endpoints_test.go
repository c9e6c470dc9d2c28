package relays

import (
	"testing"

	"tallyproxy/policy"
)

// Snapshots and changes are merged, and the difference of two lists turns one into the other.
func TestMergeAndDiff(t *testing.T) {
	list := map[string]Endpoint{}
	Merge(list, []Endpoint{{ID: "a", Started: 1}, {ID: "b"}}, true)
	Merge(list, []Endpoint{{ID: "a", Started: 2, State: policy.Draining}, {ID: "b", State: policy.Removed}, {ID: "c"}}, false)
	if endpoints := SortedEndpoints(list); len(endpoints) != 2 || endpoints[0].Started != 2 || endpoints[0].State != policy.Draining || endpoints[1].ID != "c" {
		t.Errorf("%+v", endpoints)
	}
	if Sum(SortedEndpoints(list)) == Sum([]Endpoint{{ID: "a", Started: 2}, {ID: "c"}}) {
		t.Error("two lists have one sum")
	}
	other := map[string]Endpoint{"a": {ID: "a", Started: 1}, "b": {ID: "b"}}
	diff := Diff(other, SortedEndpoints(list))
	if len(diff) != 3 || diff[2].ID != "b" || diff[2].State != policy.Removed {
		t.Errorf("%+v", diff)
	}
	if Merge(other, diff, false); Sum(SortedEndpoints(other)) != Sum(SortedEndpoints(list)) || Diff(other, SortedEndpoints(list)) != nil {
		t.Errorf("%+v", other)
	}
}

// A list is valid where the settings name its zones and kinds, all endpoints may be used and it is not too long.
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
			t.Errorf("%+v", c.endpoint)
		}
	}
	if settings.valid(make([]Endpoint, maxListLength+1)) {
		t.Error("a list that is too long")
	}
}
