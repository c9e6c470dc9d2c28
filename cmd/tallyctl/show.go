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
			return exitError{exitPartly, fmt.Errorf("%s: %s", a.Name, a.Reason)}
		}
	}
	return nil
}

// directorTable formats the status of a fleet, a line for each director and then what is out of the ordinary.
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
			fmt.Fprintf(&b, "agent %s does not answer: %s\n", a.Name, a.Reason)
		}
	}
	if s.Holder != "" {
		fmt.Fprintf(&b, "%s holds the right to change for %v, for %v more\n", s.Holder, s.HeldFor.Round(time.Second), s.LeaseLeft.Round(time.Second))
	}
	for _, change := range s.Changes {
		if change.InProgress {
			fmt.Fprintf(&b, "%s is open: %s\n", change.ID, change.Note)
		}
	}
	return b.String()
}

// directorNote tells what an operator should know of a director, empty for nothing.
func directorNote(d ctl.DirectorStatus) string {
	note := d.Reason
	if d.Drifted {
		note = "runs something else than its agent put in force"
	}
	if len(d.Report.AvoidedNodes) > 0 {
		note = strings.TrimSpace("keeps out " + strings.Join(d.Report.AvoidedNodes, ", ") + "  " + note)
	}
	return note
}

type statusCommand struct {
	ID string `arg:"" help:"The change's id."`
}

// Run prints what became of a change.
func (s *statusCommand) Run(ctx context.Context, c *command) error {
	fleet, err := c.openFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	snapshot := fleet.Snapshot(ctx)
	i := slices.IndexFunc(snapshot.Changes, func(change ctl.ChangeStatus) bool { return change.ID == s.ID })
	if i < 0 {
		return unknownChange(s.ID)
	}
	change := snapshot.Changes[i]
	if err := c.print(change, func() { printChange(change) }); err != nil {
		return err
	}
	if change.InProgress {
		return exitError{exitPartly, fmt.Errorf("%s is open; `resume` brings it to its end", s.ID)}
	}
	return nil
}

func printChange(change ctl.ChangeStatus) {
	fmt.Printf("%s  %s  by %s  %s\n", change.ID, change.Outcome, change.Author, change.Note)
	for _, name := range slices.Sorted(maps.Keys(change.Directors)) {
		fmt.Printf("  %-16s %-12s %s\n", name, change.Directors[name], change.Reasons[name])
	}
}

type historyCommand struct {
	Audit bool `help:"Who had which agent do what, from the agents' records, whose chain of hashes is checked."`
}

// Run prints the changes that the agents remember, or their audit records.
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

// auditLine is what `history --audit --json` prints for each record.
type auditLine struct {
	Agent  string    `json:"Agent"`
	Actor  string    `json:"Who"`
	Action string    `json:"What"`
	At     time.Time `json:"At"`
}

func printAudit(ctx context.Context, c *command, fleet *ctl.Fleet) error {
	var printErr error // the first
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
