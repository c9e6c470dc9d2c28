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
	healthCheckDelay   = time.Second // after a wave, so that its directors have answered clients
	healthCheckAnswers = 20          // minimum number of answers for a meaningful failure rate
)

// runFlags are the flags of all commands that roll out a change.
type runFlags struct {
	Limit int     `help:"Maximum number of directors changed at a time, depot by depot. 0 changes all at once."`
	Worse float64 `default:"0.1" help:"Stop between waves if the share of unsuccessful answers has grown by more than this."`
}

// run rolls out a change and prints the result. If change is nil, it completes all open changes
// instead.
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
		return exitError{exitPartial, err}
	}
	if err := c.print(result, func() { printResult(result) }); err != nil {
		return err
	}
	switch {
	case result.RefusalReason != "":
		return exitError{exitRefused, errors.New(result.RefusalReason)}
	case !result.AllOrNone():
		return exitError{exitPartial, fmt.Errorf("%s: not all directors are in the same state", result.ID)}
	}
	return nil
}

// healthCheck returns a function that compares the failure rate since its last call with the rate
// before the change. The function returns the reason to stop, or an empty string to continue.
func (r runFlags) healthCheck(ctx context.Context, fleet *ctl.Fleet, before ctl.Snapshot) func() string {
	baseRate, _ := before.FailureRate(ctl.Snapshot{})
	last := before
	return func() string {
		time.Sleep(healthCheckDelay)
		now := fleet.Snapshot(ctx)
		rate, answers := now.FailureRate(last)
		last = now
		if answers >= healthCheckAnswers && rate > baseRate+r.Worse {
			return fmt.Sprintf("%.0f%% of the answers were unsuccessful, compared with %.0f%% before the change", 100*rate, 100*baseRate)
		}
		return ""
	}
}

// printProgress prints the current step, and the wave if the change has several.
func printProgress(change *rollout.Change, step rollout.Step, wave int) {
	if step == rollout.StepApply && change != nil && change.WaveCount() > 1 {
		fmt.Printf("%v, wave %d of %d\n", step, wave, change.WaveCount())
	} else {
		fmt.Println(step)
	}
}

// printResult prints the lease holder if there is one, the state of each director and the outcome.
func printResult(r rollout.Result) {
	if r.Holder != "" {
		fmt.Printf("lease held by %s for %.0f s, %.0f s left\n", r.Holder, float64(r.HeldFor)/1e6, float64(r.LeaseLeft)/1e6)
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
	Script string `arg:"" help:"The operator's script to run."`
	Note   string `short:"m" help:"Description of the change for other operators."`
}

// Run rolls out a script to the selected directors.
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
	Node    string `arg:"" name:"box" help:"The cache node's name in the endpoint list."`
	Restore bool   `name:"back" help:"Put the cache node back into service."`
}

// Run makes the selected directors avoid a cache node, or use it again.
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
	ID string `arg:"" help:"ID of the change."`
}

// Run reverts a change.
func (u *undoCommand) Run(ctx context.Context, c *command) error {
	fleet, err := c.openFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	snapshot := fleet.Snapshot(ctx)
	change, previous := snapshot.Change(u.ID)
	if change == nil {
		return unknownChangeError(u.ID)
	}
	undo := rollout.Undo(ctl.NewChangeID(), fleet.HolderID, change, previous, checksum)
	return u.run(ctx, c, fleet, undo, snapshot)
}

// unknownChangeError is the error for the ID of a change that no reachable agent knows.
func unknownChangeError(id string) error {
	return fmt.Errorf("%s: no reachable agent knows this change", id)
}

type resumeCommand struct {
	runFlags
	ID string `arg:"" optional:"" help:"ID of a change whose status is printed afterwards. All open changes are completed in any case."`
}

// Run completes all open changes.
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
