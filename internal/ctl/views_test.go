package ctl

import (
	"strings"
	"testing"

	"tallyproxy/internal/status"
	"tallyproxy/membership"
	"tallyproxy/relays"
)

func TestViews(t *testing.T) {
	director := func(name, sum, standing string, rows ...membership.PeerReport) DirectorStatus {
		return DirectorStatus{Name: name, Up: true, Report: status.Report{Membership: &membership.Report{Digest: sum, PartitionState: standing, ZoneQuota: 1, FleetQuota: 1.25, Peers: rows}}}
	}
	gone := membership.PeerReport{Name: "n2", State: "failed", StateAge: 4_000_000}
	cases := []struct {
		name      string
		directors []DirectorStatus
		want      []string
	}{
		{"nobody talks", []DirectorStatus{{Name: "n0", Up: true}}, nil},
		{"one view", []DirectorStatus{director("n0", "a", "most"), director("n1", "a", "most")},
			[]string{"one view: n0, n1 (with most, part 1.00 of the zone's, 1.25 of all)"}},
		{"one is cut off", []DirectorStatus{director("n0", "a", "most", gone), director("n1", "a", "most", gone), director("n2", "b", "alone")},
			[]string{"3 directors have 2 views of who is there:", "one view: n0, n1 (with most", "one view: n2 (with alone",
				"n0 sees: n2 failed for 4s", "n1 sees: n2 failed for 4s"}},
		{"a name twice", []DirectorStatus{func() DirectorStatus {
			d := director("n0", "a", "most")
			d.Report.Membership.NameConflict = "127.0.0.9:1"
			return d
		}()},
			[]string{"one view: n0", "n0: another director goes by this name, at 127.0.0.9:1"}},
	}
	follower, hearer := director("n0", "a", "most"), director("n1", "a", "most")
	follower.Report.Relay, hearer.Report.Relay = &relays.Report{Polls: true}, &relays.Report{AgeMicros: 7_000_000, Sources: []string{"n0"}}
	cases = append(cases, struct {
		name      string
		directors []DirectorStatus
		want      []string
	}{"one follows, one is behind", []DirectorStatus{follower, hearer}, []string{"one view: n0, n1", "the command channel is asked by n0",
		"n1: its list of nodes is known to have held 7s ago; it hears n0"}})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := Snapshot{Directors: c.directors}
			got := v.MembershipLines()
			if len(got) != len(c.want) {
				t.Fatalf("got %q", got)
			}
			for i := range got {
				if !strings.HasPrefix(got[i], c.want[i]) {
					t.Errorf("line %d: %q, want %q", i, got[i], c.want[i])
				}
			}
		})
	}
}
