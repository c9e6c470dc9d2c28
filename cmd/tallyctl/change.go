package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"tallyproxy/internal/ctl"
	"tallyproxy/rollout"
)

const (
	healthCheckDelay   = time.Second // after a wave, so that clients have met its directors
	healthCheckAnswers = 20          // fewer answers than these tell nothing
)

// runFlags are the flags of all commands that take a change through.
type runFlags struct {
	Limit int     `help:"So many at a time, depot by depot; 0: all at once."`
	Worse float64 `default:"0.1" help:"Stop between waves where the share of answers that are no success grew by this."`
}

// run takes a change through and prints its result; with a nil change it completes what is open.
func (r runFlags) run(ctx context.Context, c *command, fleet *ctl.Fleet, change *rollout.Change, snapshot ctl.Snapshot) error {
	if change != nil && len(change.Targets) == 0 {
		return c.print(rollout.Result{}, func() { fmt.Println("nothing to change") })
	}
	progress := func(step rollout.Step, wave int) {
		if !c.JSON && step != rollout.StepDone {
			printProgress(change, step, wave)
		}
	}
	result, err := fleet.Run(ctx, change, r.healthCheck(ctx, fleet, snapshot), progress)
	if err != nil {
		return exitError{exitPartly, err}
	}
	if err := c.print(result, func() { printResult(result) }); err != nil {
		return err
	}
	switch {
	case result.RefusalReason != "":
		return exitError{exitRefused, errors.New(result.RefusalReason)}
	case !result.AllOrNone():
		return exitError{exitPartly, fmt.Errorf("%s: not every director is where the others are", result.ID)}
	}
	return nil
}

// healthCheck returns a function that compares the failure rate since its last call with that before the change, and returns why to stop.
func (r runFlags) healthCheck(ctx context.Context, fleet *ctl.Fleet, before ctl.Snapshot) func() string {
	baseRate, _ := before.FailureRate(ctl.Snapshot{})
	last := before
	return func() string {
		time.Sleep(healthCheckDelay)
		now := fleet.Snapshot(ctx)
		rate, answers := now.FailureRate(last)
		last = now
		if answers >= healthCheckAnswers && rate > baseRate+r.Worse {
			return fmt.Sprintf("%.0f%% of the answers are no success, after %.0f%%", 100*rate, 100*baseRate)
		}
		return ""
	}
}

func printProgress(change *rollout.Change, step rollout.Step, wave int) {
	if step == rollout.StepApply && change != nil && change.WaveCount() > 1 {
		fmt.Printf("%v, wave %d of %d\n", step, wave, change.WaveCount())
	} else {
		fmt.Println(step)
	}
}

// printResult prints what came of each director.
func printResult(r rollout.Result) {
	if r.Holder != "" {
		fmt.Printf("held by %s for %.0f s, for %.0f s more\n", r.Holder, float64(r.HeldFor)/1e6, float64(r.LeaseLeft)/1e6)
	}
	for _, t := range r.Targets {
		fmt.Printf("%-16s %-16s %s\n", t.Instance, t.State, t.Reason)
	}
	if r.StopReason != "" {
		fmt.Println("stopped:", r.StopReason)
	}
	if r.ID != "" {
		fmt.Printf("%s: %v, %d messages\n", r.ID, r.Outcome, r.MessagesSent)
	}
}

type applyCommand struct {
	selection
	runFlags
	Script string `arg:"" help:"The operator's script."`
	Note   string `short:"m" help:"What for."`
}

// Run has directors run a script.
func (a *applyCommand) Run(ctx context.Context, c *command) error {
	fleet, err := c.openFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	snapshot := fleet.Snapshot(ctx)
	change, err := a.planScript(&snapshot, a.Script, fleet.HolderID, a.Note, a.Limit)
	if err != nil {
		return err
	}
	return a.run(ctx, c, fleet, change, snapshot)
}

type drainCommand struct {
	selection
	runFlags
	Node    string `arg:"" name:"box" help:"The box's name in the list."`
	Restore bool   `name:"back" help:"Let it in again."`
}

// Run has directors avoid a cache node, or use it again.
func (d *drainCommand) Run(ctx context.Context, c *command) error {
	fleet, err := c.openFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	snapshot := fleet.Snapshot(ctx)
	note := "drain " + d.Node
	if d.Restore {
		note = "let " + d.Node + " in again"
	} else if err := snapshot.CheckCacheNode(d.Node); err != nil {
		return err
	}
	change, err := d.planEdit(&snapshot, fleet.HolderID, note, d.Limit, func(candidate rollout.Candidate) (string, error) {
		return ctl.EditAvoidedNodes(candidate.Script, d.Node, !d.Restore)
	})
	if err != nil {
		return err
	}
	return d.run(ctx, c, fleet, change, snapshot)
}

type undoCommand struct {
	runFlags
	ID string `arg:"" help:"The change's id."`
}

// Run takes a change back.
func (u *undoCommand) Run(ctx context.Context, c *command) error {
	fleet, err := c.openFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	snapshot := fleet.Snapshot(ctx)
	change, previous := snapshot.Change(u.ID)
	if change == nil {
		return unknownChange(u.ID)
	}
	undo := rollout.Undo(ctl.NewChangeID(), fleet.HolderID, change, previous, checksum)
	return u.run(ctx, c, fleet, undo, snapshot)
}

func unknownChange(id string) error { return fmt.Errorf("%s: no agent that answers knows it", id) }

type resumeCommand struct {
	runFlags
	ID string `arg:"" optional:"" help:"The change's id, to be told of; all that is open is brought to its end."`
}

// Run completes all changes that are open.
func (r *resumeCommand) Run(ctx context.Context, c *command) error {
	fleet, err := c.openFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := r.run(ctx, c, fleet, nil, fleet.Snapshot(ctx)); err != nil || r.ID == "" {
		return err
	}
	return (&statusCommand{ID: r.ID}).Run(ctx, c)
}
