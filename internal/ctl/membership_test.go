package ctl

import (
	"strings"
	"testing"

	"tallyproxy/internal/status"
	"tallyproxy/membership"
	"tallyproxy/relays"
)

// TestMembershipLines guards against the lines hiding a membership view that differs, a peer that
// is not up, a name conflict or a stale endpoint list.
func TestMembershipLines(t *testing.T) {
	director := func(name, digest, partitionState string, peers ...membership.PeerReport) DirectorStatus {
		return DirectorStatus{Name: name, Up: true, Report: status.Report{Membership: &membership.Report{
			Digest: digest, PartitionState: partitionState, ZoneQuota: 1, FleetQuota: 1.25, Peers: peers,
		}}}
	}
	failed := membership.PeerReport{Name: "n2", State: "failed", StateAge: 4_000_000}
	conflicting := director("n0", "a", "most")
	conflicting.Report.Membership.NameConflict = "127.0.0.9:1"
	poller, staleRelay := director("n0", "a", "most"), director("n1", "a", "most")
	poller.Report.Relay = &relays.Report{Polls: true}
	staleRelay.Report.Relay = &relays.Report{AgeMicros: 7_000_000, Sources: []string{"n0"}}
	cases := []struct {
		name      string
		directors []DirectorStatus
		want      []string // prefixes of the lines
	}{
		{"no membership", []DirectorStatus{{Name: "n0", Up: true}}, nil},
		{"one view", []DirectorStatus{director("n0", "a", "most"), director("n1", "a", "most")},
			[]string{"view: n0, n1 (partition most, 1.00 of the fixed zone quota, 1.25 of the fixed fleet quota)"}},
		{"one is isolated",
			[]DirectorStatus{director("n0", "a", "most", failed), director("n1", "a", "most", failed), director("n2", "b", "alone")},
			[]string{"3 directors have 2 different membership views:", "view: n0, n1 (partition most", "view: n2 (partition alone",
				"n0 sees: n2 failed for 4s", "n1 sees: n2 failed for 4s"}},
		{"name conflict", []DirectorStatus{conflicting},
			[]string{"view: n0", "n0: another director uses this name, at 127.0.0.9:1"}},
		{"one polls, one is stale", []DirectorStatus{poller, staleRelay},
			[]string{"view: n0, n1", "the command channel is polled by n0", "n1: its endpoint list was last confirmed 7s ago; sources: n0"}},
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
