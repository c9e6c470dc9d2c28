package ctl

import (
	"strings"
	"testing"

	"tallyproxy/internal/status"
	"tallyproxy/membership"
	"tallyproxy/relays"
)

func TestMembershipLines(t *testing.T) {
	director := func(name, digest, partitionState string, peers ...membership.PeerReport) DirectorStatus {
		return DirectorStatus{Name: name, Up: true, Report: status.Report{Membership: &membership.Report{
			Digest: digest, PartitionState: partitionState, ZoneQuota: 1, FleetQuota: 1.25, Peers: peers,
		}}}
	}
	failed := membership.PeerReport{Name: "n2", State: "failed", StateAge: 4_000_000}
	conflicting := director("n0", "a", "most")
	conflicting.Report.Membership.NameConflict = "127.0.0.9:1"
	poller, listener := director("n0", "a", "most"), director("n1", "a", "most")
	poller.Report.Relay = &relays.Report{Polls: true}
	listener.Report.Relay = &relays.Report{AgeMicros: 7_000_000, Sources: []string{"n0"}}
	cases := []struct {
		name      string
		directors []DirectorStatus
		want      []string // prefixes of the lines
	}{
		{"nobody talks", []DirectorStatus{{Name: "n0", Up: true}}, nil},
		{"one view", []DirectorStatus{director("n0", "a", "most"), director("n1", "a", "most")},
			[]string{"one view: n0, n1 (with most, part 1.00 of the zone's, 1.25 of all)"}},
		{"one is cut off",
			[]DirectorStatus{director("n0", "a", "most", failed), director("n1", "a", "most", failed), director("n2", "b", "alone")},
			[]string{"3 directors have 2 views of who is there:", "one view: n0, n1 (with most", "one view: n2 (with alone",
				"n0 sees: n2 failed for 4s", "n1 sees: n2 failed for 4s"}},
		{"a name twice", []DirectorStatus{conflicting},
			[]string{"one view: n0", "n0: another director goes by this name, at 127.0.0.9:1"}},
		{"one follows, one is behind", []DirectorStatus{poller, listener},
			[]string{"one view: n0, n1", "the command channel is asked by n0", "n1: its list of nodes is known to have held 7s ago; it hears n0"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := (&Snapshot{Directors: c.directors}).MembershipLines()
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
