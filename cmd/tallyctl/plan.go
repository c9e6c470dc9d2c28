package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"tallyproxy/internal/config"
	"tallyproxy/internal/ctl"
	"tallyproxy/rollout"
)

// selection limits a change to certain directors. An empty list is no limit.
type selection struct {
	Depot    []string `placeholder:"NAME,..." help:"Only the directors of these depots."`
	Director []string `placeholder:"NAME,..." help:"Only these directors."`
}

// includes reports whether the selection contains a director.
func (s selection) includes(c rollout.Candidate) bool {
	return (len(s.Depot) == 0 || slices.Contains(s.Depot, c.Depot)) && (len(s.Director) == 0 || slices.Contains(s.Director, c.Instance))
}

// checksum returns the digest by which rollout targets identify a script.
func checksum(script string) string { return config.Digest([]byte(script)) }

// planScript plans a change that gives the selected directors the script in a file.
func (s selection) planScript(snapshot *ctl.Snapshot, path, author, note string, limit int) (*rollout.Change, error) {
	script, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if _, err := config.ParseOperator(path, script); err != nil {
		return nil, err
	}
	return s.planEdit(snapshot, author, note, limit, func(rollout.Candidate) (string, error) { return string(script), nil })
}

// planEdit plans a change that edits the active script of each selected director.
func (s selection) planEdit(snapshot *ctl.Snapshot, author, note string, limit int, edit func(rollout.Candidate) (string, error)) (*rollout.Change, error) {
	candidates, err := snapshot.Candidates()
	if err != nil {
		return nil, fmt.Errorf("%w: a change requires that the agents of all directors are reachable", err)
	}
	var editErr error // first error of edit
	change := rollout.Plan(ctl.NewChangeID(), author, note, candidates, limit, checksum, func(c rollout.Candidate) string {
		if !s.includes(c) {
			return c.Script
		}
		script, err := edit(c)
		if err != nil && editErr == nil {
			editErr = fmt.Errorf("%s: %w", c.Instance, err)
		}
		return script
	})
	return change, editErr
}

type diffCommand struct {
	selection
	Script string `arg:"" help:"The operator's script."`
}

// Run prints the lines that a script would add and remove at each director.
func (d *diffCommand) Run(ctx context.Context, c *command) error {
	fleet, err := c.openFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	snapshot := fleet.Snapshot(ctx)
	change, err := d.planScript(&snapshot, d.Script, fleet.HolderID, "", 0)
	if err != nil {
		return err
	}
	return c.print(change, func() { printDiff(change, &snapshot) })
}

// printDiff prints the removed and the added lines for each director that the change targets.
func printDiff(change *rollout.Change, snapshot *ctl.Snapshot) {
	for _, t := range change.Targets {
		fmt.Printf("%s\n", t.Instance)
		i := slices.IndexFunc(snapshot.Directors, func(d ctl.DirectorStatus) bool { return d.Name == t.Instance })
		before, after := strings.Split(snapshot.Directors[i].Script, "\n"), strings.Split(t.Script, "\n")
		printLinesNotIn(after, "-", before)
		printLinesNotIn(before, "+", after)
	}
	if len(change.Targets) == 0 {
		fmt.Println("nothing would change")
	}
}

// printLinesNotIn prints the lines that other does not contain, each after a mark.
func printLinesNotIn(other []string, mark string, lines []string) {
	for _, line := range lines {
		if !slices.Contains(other, line) {
			fmt.Println(" ", mark, line)
		}
	}
}

type planCommand struct {
	selection
	Script string `arg:"" help:"The operator's script."`
	Limit  int    `help:"Maximum number of directors changed at a time, depot by depot. 0 changes all at once."`
}

// Run prints the wave in which each director would change.
func (p *planCommand) Run(ctx context.Context, c *command) error {
	fleet, err := c.openFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	snapshot := fleet.Snapshot(ctx)
	change, err := p.planScript(&snapshot, p.Script, fleet.HolderID, "", p.Limit)
	if err != nil {
		return err
	}
	return c.print(change, func() {
		for _, t := range change.Targets {
			fmt.Printf("wave %d  %-16s %s\n", t.Wave, t.Instance, t.Agent)
		}
		fmt.Printf("%d directors in %d waves\n", len(change.Targets), change.WaveCount())
	})
}
