package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"tallyproxy/internal/experiment"
)

type stormCommand struct {
	experiment.Storm
	Verbose bool `short:"v" help:"Print the directors' log to standard error."`
}

// Run runs the storm experiment and draws its plot if --plot is set.
func (c *stormCommand) Run(ctx context.Context) (err error) {
	if c.Argv, err = directorCommand(c.DirectorPath); err != nil {
		return err
	}
	if c.Verbose {
		c.Log = os.Stderr
	}
	result, err := c.Execute(ctx)
	if err != nil {
		return err
	}
	if c.PlotPath != "" {
		if err := experiment.DrawStorm(c.PlotPath, result); err != nil {
			return fmt.Errorf("--plot: %w", err)
		}
	}
	return printResult(c.JSON, result, func() { printFields(result) }, strings.Join(result.Broken(), ", "))
}

// printFields prints a result's JSON, one field per line, without quotes, commas and most braces.
func printFields(result any) {
	text, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		fmt.Fprintln(os.Stderr, "tallybench:", err)
		return
	}
	fmt.Println(strings.NewReplacer(`"`, "", ",", "", "{\n", "", "\n}", "").Replace(string(text)))
}

type fleetCommand struct {
	experiment.Rollout
}

// Run simulates configuration changes of fleets under faults.
func (c *fleetCommand) Run() error {
	runs, err := c.Execute()
	if err != nil {
		return err
	}
	inconsistent, unfinished := 0, 0
	for _, run := range runs {
		inconsistent, unfinished = inconsistent+run.Inconsistent, unfinished+run.Unfinished
		for _, problem := range run.Problems {
			fmt.Fprintln(os.Stderr, problem)
		}
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(map[string]any{"runs": runs}); err != nil {
			return err
		}
	} else {
		printRollouts(runs)
	}
	if inconsistent+unfinished > 0 {
		return fmt.Errorf("%d changes ended with an inconsistent fleet, %d did not end", inconsistent, unfinished)
	}
	return nil
}

// printRollouts prints the runs as a table.
func printRollouts(runs []experiment.RolloutRun) {
	fmt.Println("instances schedules changed untouched partial  mixed unended | ended p50 ms  p99 ms   no crash | known p50 ms  p99 ms  " +
		"after fault |    tools   agents one by one ms")
	for _, r := range runs {
		fmt.Printf("%9d %9d %7d %9d %7d %6d %7d | %12.0f %7.0f %10.0f | %12.0f %7.0f %12.0f | %8.0f %8.0f %13.0f\n", r.Instances, r.Schedules,
			r.Changed, r.Untouched, r.Partial, r.Inconsistent, r.Unfinished, r.P50, r.P99, r.NoCrashP99, r.KnownP50, r.KnownP99, r.ConvergenceP99,
			r.ToolMessages, r.AgentMessages, r.Sequential)
	}
}

type peersCommand struct {
	experiment.Membership
	Verbose bool `short:"v" help:"Print the directors' log to standard error."`
}

// Run runs a cluster of directors under faults between them.
func (c *peersCommand) Run(ctx context.Context) (err error) {
	if c.Argv, err = directorCommand(c.DirectorPath); err != nil {
		return err
	}
	if c.Verbose {
		c.Log = os.Stderr
	}
	result, err := c.Execute(ctx)
	if err != nil {
		return err
	}
	return printResult(c.JSON, result, func() { printMembership(result.Runs) }, strings.Join(result.Broken(), ", "))
}

// printMembership prints the runs as a table, and on standard error the schedules that failed and
// why.
func printMembership(runs []*experiment.MembershipRun) {
	fmt.Println("directors faults    schedules rules lost quota overload unended | quotas  death p50   p99 ms  one view | wrong/h  " +
		"packets/s  bytes/s   MB | share   recovery ms  cold peak")
	for _, run := range runs {
		printMembershipRun(run, "")
		if run.FixedQuota != nil {
			printMembershipRun(run.FixedQuota, "  fixed quotas")
		}
		for _, reason := range run.Reasons {
			fmt.Fprintln(os.Stderr, reason)
		}
		for _, schedule := range run.Failing {
			fmt.Fprintln(os.Stderr, schedule)
		}
	}
}

// printMembershipRun prints one row of the table, followed by a remark.
func printMembershipRun(r *experiment.MembershipRun, remark string) {
	fmt.Printf("%9d %-9s %9d %5d %4d %5d %8d %7d | %6.2f %10.0f %8.0f %9.0f | %7.1f %10.1f %8.0f %4.0f | %.4f %11.0f %10.3f%s\n",
		r.Directors, r.Faults, r.Schedules, r.RulesBroken, r.Lost, r.QuotaExceeded, r.OverloadedNodes, r.Unfinished, r.PeakQuotaSum,
		r.DetectionP50, r.DetectionP99, r.ConvergenceP99, r.FalseFailures, r.Packets, r.Bytes, r.Memory, r.SuccessShare, r.Recovery, r.PeakColdLoad,
		remark)
}

type startCommand struct {
	experiment.Startup
}

// Run starts many directors at once, with faults of the command channel.
func (c *startCommand) Run(ctx context.Context) (err error) {
	if c.Argv, err = directorCommand(c.DirectorPath); err != nil {
		return err
	}
	result, err := c.Execute(ctx)
	if err != nil {
		return err
	}
	broken := strings.Join(result.Broken(), ", ")
	if result.Crashes > 0 {
		broken += ": " + result.Runs[0].CrashReasons
	}
	return printResult(c.JSON, result, func() { fmt.Print(result.Table()) }, broken)
}

type planCommand struct {
	experiment.MaintenancePlan
}

// Run plans the maintenance of machines and checks the plans.
func (c *planCommand) Run() error {
	result, err := c.Execute()
	if err != nil {
		return err
	}
	return printResult(c.JSON, result, func() { fmt.Print(result.Table()) }, result.Broken())
}

type coresCommand struct {
	experiment.Cores
}

// Run measures a director on several cores and draws the plot if --plot is set.
func (c *coresCommand) Run(ctx context.Context) (err error) {
	if c.Argv, err = directorCommand(c.DirectorPath); err != nil {
		return err
	}
	result, err := c.Execute(ctx)
	if err != nil {
		return err
	}
	if c.PlotPath != "" {
		if err := experiment.DrawCores(c.PlotPath, result); err != nil {
			return fmt.Errorf("--plot: %w", err)
		}
	}
	return printResult(c.JSON, result, func() { printCores(result.Runs) }, strings.Join(result.Broken(), "; "))
}

// printCores prints the runs as a table.
func printCores(runs []experiment.CoresRun) {
	fmt.Println("cores  own  rate/s   p50 ms   p99 ms  p99.9 ms  cpu µs  rss MB   rejected  failed")
	for _, r := range runs {
		fmt.Printf("%5d  %-4v %7.0f %8.2f %8.2f %9.2f %7.1f %7.1f %10d %7d\n", r.Cores, r.OwnCores, r.Rate, r.P50, r.P99, r.P999,
			r.CPUPerAnswer, r.PeakMemoryMB, r.Rejected, r.Failed)
	}
}
