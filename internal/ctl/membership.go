package ctl

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tallyproxy/policy"
)

const (
	maxMembershipLines = 24              // further lines are cut off and only counted
	staleListAge       = 5 * time.Second // an endpoint list is reported as stale above this age
)

// MembershipLines returns human-readable lines about the directors that report a membership view.
// They list the differing views, the peers that a director does not see as up, name conflicts, the
// directors that poll the command channel, and the directors with a stale endpoint list. It returns
// nil if no director that is up reports a membership view.
func (s *Snapshot) MembershipLines() (lines []string) {
	var members []DirectorStatus
	for _, d := range s.Directors {
		if d.Up && d.Report.Membership != nil {
			members = append(members, d)
		}
	}
	if len(members) == 0 {
		return nil
	}
	lines = append(lines, viewLines(members)...)
	lines = append(lines, relayLines(members)...)
	for _, d := range members {
		lines = append(lines, peerLines(d)...)
	}
	if more := len(lines) - maxMembershipLines; more > 0 {
		lines = append(lines[:maxMembershipLines], fmt.Sprintf("and %d more lines", more))
	}
	return lines
}

// viewLines returns one line for each distinct membership view, with the directors that have it.
// The view of most directors comes first.
func viewLines(members []DirectorStatus) (lines []string) {
	names, quotas := map[string][]string{}, map[string]string{}
	for _, d := range members {
		m := d.Report.Membership
		names[m.Digest] = append(names[m.Digest], d.Name)
		quotas[m.Digest] = fmt.Sprintf("partition %s, %.2f of the fixed zone quota, %.2f of the fixed fleet quota", m.PartitionState, m.ZoneQuota, m.FleetQuota)
	}
	digests := slices.Collect(maps.Keys(names))
	slices.SortFunc(digests, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(names[b]), len(names[a])), cmp.Compare(names[a][0], names[b][0]))
	})
	if len(digests) > 1 {
		lines = append(lines, fmt.Sprintf("%d directors have %d different membership views:", len(members), len(digests)))
	}
	for _, digest := range digests {
		lines = append(lines, fmt.Sprintf("view: %s (%s)", strings.Join(names[digest], ", "), quotas[digest]))
	}
	return lines
}

// relayLines names the members that poll the command channel for the others, and the members whose
// endpoint list is stale.
func relayLines(members []DirectorStatus) (lines []string) {
	var pollers []string
	for _, d := range members {
		if r := d.Report.Relay; r != nil && r.Polls {
			pollers = append(pollers, d.Name)
		}
	}
	if len(pollers) > 0 {
		lines = append(lines, "the command channel is polled by "+strings.Join(pollers, ", "))
	}
	for _, d := range members {
		r := d.Report.Relay
		if r == nil {
			continue
		}
		if age := policy.Micros(r.AgeMicros).Duration(); age > staleListAge {
			sources := cmp.Or(strings.Join(r.Sources, ", "), "none")
			lines = append(lines, fmt.Sprintf("%s: its endpoint list was last confirmed %v ago; sources: %s", d.Name,
				age.Round(time.Second), sources))
		}
	}
	return lines
}

// peerLines returns a line with the peers that a member does not see as up, and a line if another
// process uses the member's name.
func peerLines(d DirectorStatus) (lines []string) {
	var missing []string
	for _, p := range d.Report.Membership.Peers {
		if p.State != "up" {
			age := policy.Micros(p.StateAge).Duration()
			missing = append(missing, fmt.Sprintf("%s %s for %v", p.Name, p.State, age.Round(time.Second)))
		}
	}
	if len(missing) > 0 {
		lines = append(lines, fmt.Sprintf("%s sees: %s", d.Name, strings.Join(missing, ", ")))
	}
	if address := d.Report.Membership.NameConflict; address != "" {
		lines = append(lines, fmt.Sprintf("%s: another director uses this name, at %s", d.Name, address))
	}
	return lines
}
