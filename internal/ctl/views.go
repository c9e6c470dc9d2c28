package ctl

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const mostLines = 24 // about who sees whom

// MembershipLines tells who sees whom among the directors that talk with each other, and where their views differ; nothing where none
// does.
func (v *Snapshot) MembershipLines() (lines []string) {
	groups, parts := map[string][]string{}, map[string]string{}
	var talk []DirectorStatus
	for _, d := range v.Directors {
		if p := d.Report.Membership; d.Up && p != nil {
			talk = append(talk, d)
			groups[p.Digest] = append(groups[p.Digest], d.Name)
			parts[p.Digest] = fmt.Sprintf("with %s, part %.2f of the zone's, %.2f of all", p.PartitionState, p.ZoneQuota, p.FleetQuota)
		}
	}
	if len(talk) == 0 {
		return nil
	}
	sums := slices.Collect(maps.Keys(groups))
	slices.SortFunc(sums, func(a, b string) int {
		if len(groups[a]) != len(groups[b]) {
			return len(groups[b]) - len(groups[a])
		}
		return strings.Compare(groups[a][0], groups[b][0])
	})
	if len(sums) > 1 {
		lines = append(lines, fmt.Sprintf("%d directors have %d views of who is there:", len(talk), len(sums)))
	}
	for _, sum := range sums {
		lines = append(lines, fmt.Sprintf("one view: %s (%s)", strings.Join(groups[sum], ", "), parts[sum]))
	}
	lines = append(lines, follows(talk)...)
	for _, d := range talk {
		var missing []string
		for _, p := range d.Report.Membership.Peers {
			if p.State != "up" {
				missing = append(missing, fmt.Sprintf("%s %s for %v", p.Name, p.State, (time.Duration(p.StateAge)*time.Microsecond).Round(time.Second)))
			}
		}
		if len(missing) > 0 {
			lines = append(lines, fmt.Sprintf("%s sees: %s", d.Name, strings.Join(missing, ", ")))
		}
		if c := d.Report.Membership.NameConflict; c != "" {
			lines = append(lines, fmt.Sprintf("%s: another director goes by this name, at %s", d.Name, c))
		}
	}
	if more := len(lines) - mostLines; more > 0 {
		lines = append(lines[:mostLines], fmt.Sprintf("and %d lines more", more))
	}
	return lines
}

// old is how long ago a list may have been the channel's before that is worth a line.
const old = 5 * time.Second

// follows tells who asks the command channel for the others, and whose list is old.
func follows(talk []DirectorStatus) (lines []string) {
	var who []string
	for _, d := range talk {
		if f := d.Report.Relay; f != nil && f.Polls {
			who = append(who, d.Name)
		}
	}
	if len(who) > 0 {
		lines = append(lines, "the command channel is asked by "+strings.Join(who, ", "))
	}
	for _, d := range talk {
		if f := d.Report.Relay; f != nil && time.Duration(f.AgeMicros)*time.Microsecond > old {
			lines = append(lines, fmt.Sprintf("%s: its list of nodes is known to have held %v ago; it hears %s", d.Name,
				(time.Duration(f.AgeMicros)*time.Microsecond).Round(time.Second), cmp.Or(strings.Join(f.Sources, ", "), "nobody who knows more")))
		}
	}
	return lines
}
