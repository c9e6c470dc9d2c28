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
	maxMembershipLines = 24
	staleListAge       = 5 * time.Second // from which the age of a director's list of nodes is worth a line
)

// MembershipLines tells for people which views of the membership the directors that take part in it have, where these differ, who polls
// the command channel, and whose list of nodes is stale. It returns nil where no director takes part.
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
		lines = append(lines[:maxMembershipLines], fmt.Sprintf("and %d lines more", more))
	}
	return lines
}

// viewLines groups the members by the digest of their views, the largest group first.
func viewLines(members []DirectorStatus) (lines []string) {
	names, quotas := map[string][]string{}, map[string]string{}
	for _, d := range members {
		m := d.Report.Membership
		names[m.Digest] = append(names[m.Digest], d.Name)
		quotas[m.Digest] = fmt.Sprintf("with %s, part %.2f of the zone's, %.2f of all", m.PartitionState, m.ZoneQuota, m.FleetQuota)
	}
	digests := slices.Collect(maps.Keys(names))
	slices.SortFunc(digests, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(names[b]), len(names[a])), cmp.Compare(names[a][0], names[b][0]))
	})
	if len(digests) > 1 {
		lines = append(lines, fmt.Sprintf("%d directors have %d views of who is there:", len(members), len(digests)))
	}
	for _, digest := range digests {
		lines = append(lines, fmt.Sprintf("one view: %s (%s)", strings.Join(names[digest], ", "), quotas[digest]))
	}
	return lines
}

// relayLines tells which members poll the command channel for the others, and whose list of nodes is stale.
func relayLines(members []DirectorStatus) (lines []string) {
	var pollers []string
	for _, d := range members {
		if r := d.Report.Relay; r != nil && r.Polls {
			pollers = append(pollers, d.Name)
		}
	}
	if len(pollers) > 0 {
		lines = append(lines, "the command channel is asked by "+strings.Join(pollers, ", "))
	}
	for _, d := range members {
		r := d.Report.Relay
		if r == nil {
			continue
		}
		if age := policy.Micros(r.AgeMicros).Duration(); age > staleListAge {
			sources := cmp.Or(strings.Join(r.Sources, ", "), "nobody who knows more")
			lines = append(lines, fmt.Sprintf("%s: its list of nodes is known to have held %v ago; it hears %s", d.Name,
				age.Round(time.Second), sources))
		}
	}
	return lines
}

// peerLines tells which others a member does not see, and whether another director uses its name.
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
		lines = append(lines, fmt.Sprintf("%s: another director goes by this name, at %s", d.Name, address))
	}
	return lines
}
