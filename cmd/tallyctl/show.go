package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tallyproxy/internal/ctl"
	"tallyproxy/internal/fleetpb"
)

type showCommand struct{}

// Run prints the status of the fleet.
func (s *showCommand) Run(ctx context.Context, c *command) error {
	fleet, err := c.openFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	snapshot := fleet.Snapshot(ctx)
	if err := c.print(snapshot, func() { fmt.Print(directorTable(snapshot)) }); err != nil {
		return err
	}
	for _, a := range snapshot.Agents {
		if !a.Reachable {
			return exitError{exitPartial, fmt.Errorf("%s: %s", a.Name, a.Reason)}
		}
	}
	return nil
}

// directorTable formats the status of a fleet: a line for each director, followed by lines about
// membership, unreachable agents, the lease holder and open changes.
func directorTable(s ctl.Snapshot) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %-16s %-12s %-5s %-9s %7s %9s %9s  %s\n",
		"DEPOT", "DIRECTOR", "AGENT", "UP", "STORM", "OPEN", "FULFILLED", "THROTTLED", "")
	for _, d := range s.Directors {
		up, overload := "no", "-"
		if d.Up {
			up, overload = "yes", d.Report.Overload.State.String()
		}
		fmt.Fprintf(&b, "%-12s %-16s %-12s %-5s %-9s %7d %9d %9d  %s\n", d.Depot, d.Name, d.Agent, up, overload, d.Report.OpenRequests,
			d.Report.Counters["fulfilled"], d.Report.Counters["throttled"], directorNote(d))
	}
	for _, line := range s.MembershipLines() {
		fmt.Fprintln(&b, line)
	}
	for _, a := range s.Agents {
		if !a.Reachable {
			fmt.Fprintf(&b, "agent %s is not reachable: %s\n", a.Name, a.Reason)
		}
	}
	if s.Holder != "" {
		fmt.Fprintf(&b, "%s has held the lease for %v, %v left\n", s.Holder, s.HeldFor.Round(time.Second), s.LeaseLeft.Round(time.Second))
	}
	for _, change := range s.Changes {
		if change.InProgress {
			fmt.Fprintf(&b, "%s is open: %s\n", change.ID, change.Note)
		}
	}
	return b.String()
}

// directorNote returns the remark on a director in the status table, or an empty string.
func directorNote(d ctl.DirectorStatus) string {
	note := d.Reason
	if d.Drifted {
		note = "does not run the script that its agent applied"
	}
	if len(d.Report.AvoidedNodes) > 0 {
		note = strings.TrimSpace("avoids " + strings.Join(d.Report.AvoidedNodes, ", ") + "  " + note)
	}
	return note
}

type statusCommand struct {
	ID string `arg:"" help:"ID of the change."`
}

// Run prints the status of a change.
func (s *statusCommand) Run(ctx context.Context, c *command) error {
	fleet, err := c.openFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	snapshot := fleet.Snapshot(ctx)
	i := slices.IndexFunc(snapshot.Changes, func(change ctl.ChangeStatus) bool { return change.ID == s.ID })
	if i < 0 {
		return unknownChangeError(s.ID)
	}
	change := snapshot.Changes[i]
	if err := c.print(change, func() { printChange(change) }); err != nil {
		return err
	}
	if change.InProgress {
		return exitError{exitPartial, fmt.Errorf("%s is open; `resume` completes it", s.ID)}
	}
	return nil
}

// printChange prints a change and the phase of each of its directors.
func printChange(change ctl.ChangeStatus) {
	fmt.Printf("%s  %s  by %s  %s\n", change.ID, change.Outcome, change.Author, change.Note)
	for _, name := range slices.Sorted(maps.Keys(change.Directors)) {
		fmt.Printf("  %-16s %-12s %s\n", name, change.Directors[name], change.Reasons[name])
	}
}

type historyCommand struct {
	Audit bool `help:"Show who requested which action from which agent, from the agents' audit records. Their hash chain is verified."`
}

// Run prints the changes that the agents have stored, or their audit records.
func (h *historyCommand) Run(ctx context.Context, c *command) error {
	fleet, err := c.openFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	if h.Audit {
		return printAudit(ctx, c, fleet)
	}
	snapshot := fleet.Snapshot(ctx)
	return c.print(snapshot.Changes, func() {
		for _, change := range snapshot.Changes {
			open := ""
			if change.InProgress {
				open = "  (open)"
			}
			fmt.Printf("%s  %-5s by %s  %s%s\n", change.ID, change.Outcome, change.Author, change.Note, open)
		}
	})
}

// auditLine is the output of `history --audit --json` for one record.
type auditLine struct {
	Agent  string    `json:"Agent"`
	Actor  string    `json:"Who"`
	Action string    `json:"What"`
	At     time.Time `json:"At"`
}

// printAudit prints the audit records of all agents.
func printAudit(ctx context.Context, c *command, fleet *ctl.Fleet) error {
	var printErr error // first error of print
	err := fleet.Audit(ctx, func(agent string, r *fleetpb.AuditRecord) {
		line := auditLine{agent, r.Who, r.What, time.UnixMilli(r.UnixMs).UTC()}
		err := c.print(line, func() {
			fmt.Printf("%s  %-12s %-12s %s\n", line.At.Format(time.DateTime), line.Agent, line.Actor, line.Action)
		})
		if err != nil && printErr == nil {
			printErr = err
		}
	})
	if err != nil {
		return err
	}
	return printErr
}
