package ctl

import (
	"strings"
	"testing"

	"tallyproxy/internal/status"
	"tallyproxy/routing"
)

// TestCheckCacheNode guards against a mistyped node name being accepted silently, and against a
// correct name being rejected when no director reports its nodes.
func TestCheckCacheNode(t *testing.T) {
	reporting := func(names ...string) (d DirectorStatus) {
		for _, name := range names {
			d.Report.NodeViews = append(d.Report.NodeViews, routing.EndpointView{ID: name})
		}
		return d
	}
	for _, c := range []struct {
		name, node string
		directors  []DirectorStatus
		want       string
	}{
		{"in one list", "box-2", []DirectorStatus{reporting("box-1"), reporting("box-1", "box-2")}, ""},
		{"no nodes reported", "box-2", []DirectorStatus{{}, {Report: status.Report{}}}, ""},
		{"mistyped", "bx-12", []DirectorStatus{reporting("parent-0", "box-1", "box-2", "box-12", "box-7")}, "bx-12: no director lists this cache node; similar names: box-12, box-1, box-2"},
		{"one known", "x", []DirectorStatus{reporting("box-1")}, "similar names: box-1"},
	} {
		err := (&Snapshot{Directors: c.directors}).CheckCacheNode(c.node)
		if (err == nil) != (c.want == "") || err != nil && !strings.HasSuffix(err.Error(), c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
