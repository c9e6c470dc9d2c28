// Command tallybench plays load and experiments against directors that it starts and stand-ins of all they talk to.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kong"

	"tallyproxy/internal/experiment"
)

type command struct {
	Storm stormCommand `cmd:"" help:"A storm of reconnecting and retrying clients on fresh caches."`
	Fleet fleetCommand `cmd:"" help:"Changes of many instances under faults, in simulated time."`
	Peers peersCommand `cmd:"" help:"Directors that know each other, and faults between them."`
	Start startCommand `cmd:"" help:"Many directors that start at once, and a list service that is away for a while."`
	Plan  planCommand  `cmd:"" help:"Orders in which machines are taken out for work, as they are planned."`
	Cores coresCommand `cmd:"" help:"One director on several cores: rate, latency, memory."`
}

type fleetCommand struct {
	experiment.Rollout
}

// Run plays changes of fleets under faults.
func (c *fleetCommand) Run() error {
	runs, err := c.Execute()
	if err != nil {
		return err
	}
	neither, unended := 0, 0
	if c.JSON {
		err = json.NewEncoder(os.Stdout).Encode(map[string]any{"runs": runs})
	} else {
		fmt.Println("instances schedules changed untouched partly neither unended | word p50 ms  p99 ms  lived p99 | known p50 ms  p99 ms  " +
			"after fault | messages  between  by hand ms")
	}
	for _, r := range runs {
		neither, unended = neither+r.Inconsistent, unended+r.Unfinished
		if !c.JSON {
			fmt.Printf("%9d %9d %7d %9d %6d %7d %7d | %11.0f %7.0f %10.0f | %12.0f %7.0f %12.0f | %8.0f %8.0f %11.0f\n", r.Instances, r.Schedules,
				r.Changed, r.Untouched, r.Partial, r.Inconsistent, r.Unfinished, r.P50, r.P99, r.NoCrashP99, r.KnownP50, r.KnownP99, r.SettledP99, r.ToolMessages,
				r.AgentMessages, r.Sequential)
		}
		for _, why := range r.Problems {
			fmt.Fprintln(os.Stderr, why)
		}
	}
	if neither+unended > 0 && err == nil {
		return fmt.Errorf("%d changes ended in neither state, %d did not end", neither, unended)
	}
	return err
}

type startCommand struct {
	experiment.Startup
}

// Run plays a start.
func (c *startCommand) Run(ctx context.Context) (err error) {
	if c.Argv, err = findDirector(c.DirectorPath); err != nil {
		return err
	}
	r, err := c.Execute(ctx)
	if err != nil {
		return err
	}
	broken := strings.Join(r.Broken(), ", ")
	if r.Crashes > 0 {
		broken += ": " + r.Runs[0].CrashReasons
	}
	return printResult(c.JSON, r, func() { fmt.Print(r.Table()) }, broken)
}

type peersCommand struct {
	experiment.Membership
	Verbose bool `short:"v" help:"Show the directors' log."`
}

// Run plays faults between directors.
func (c *peersCommand) Run(ctx context.Context) (err error) {
	if c.Argv, err = findDirector(c.DirectorPath); err != nil {
		return err
	}
	if c.Verbose {
		c.Log = os.Stderr
	}
	r, err := c.Execute(ctx)
	if err != nil {
		return err
	}
	return printResult(c.JSON, r, func() {
		fmt.Println("directors faults    schedules rules lost over fallen unended | parts  death p50   p99 ms  one view | wrong/h  " +
			"packets/s  bytes/s   MB | share   recovery ms  cold peak")
		for _, x := range r.Runs {
			for i, y := range []*experiment.MembershipRun{x, x.FixedQuota} {
				if y != nil {
					fmt.Printf("%9d %-9s %9d %5d %4d %4d %6d %7d | %5.2f %10.0f %8.0f %9.0f | %7.1f %10.1f %8.0f %4.0f | %.4f %11.0f %10.3f%s\n",
						y.Directors, y.Faults, y.Schedules, y.RulesBroken, y.Lost, y.QuotaExceeded, y.OverloadedNodes, y.Unfinished, y.PeakQuotaSum, y.DetectionP50, y.DetectionP99,
						y.ConvergenceP99, y.FalseFailures, y.Packets, y.Bytes, y.Memory, y.SuccessShare, y.Recovery, y.PeakColdLoad, []string{"", "  fixed parts"}[i])
				}
			}
			for _, why := range append(x.Reasons, x.Failing...) {
				fmt.Fprintln(os.Stderr, why)
			}
		}
	}, strings.Join(r.Broken(), ", "))
}

type planCommand struct {
	experiment.MaintenancePlan
}

// Run plans work.
func (c *planCommand) Run() error {
	r, err := c.Execute()
	if err != nil {
		return err
	}
	return printResult(c.JSON, r, func() { fmt.Print(r.Table()) }, r.Broken())
}

type coresCommand struct {
	experiment.Cores
}

// Run measures a director on several cores.
func (c *coresCommand) Run(ctx context.Context) (err error) {
	if c.Argv, err = findDirector(c.DirectorPath); err != nil {
		return err
	}
	r, err := c.Execute(ctx)
	if err != nil {
		return err
	}
	if c.PlotPath != "" {
		if err := experiment.DrawCores(c.PlotPath, r); err != nil {
			return fmt.Errorf("--plot: %w", err)
		}
	}
	return printResult(c.JSON, r, func() {
		fmt.Println("cores  own  rate/s   p50 ms   p99 ms  p99.9 ms  cpu µs  rss MB  throttled  failed")
		for _, x := range r.Runs {
			fmt.Printf("%5d  %-4v %7.0f %8.2f %8.2f %9.2f %7.1f %7.1f %10d %7d\n", x.Cores, x.OwnCores, x.Rate, x.P50, x.P99, x.P999,
				x.CPUPerAnswer, x.PeakMemoryMB, x.Rejected, x.Failed)
		}
	}, strings.Join(r.Broken(), "; "))
}

type stormCommand struct {
	experiment.Storm
	Verbose bool `short:"v" help:"Show the directors' log."`
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Name("tallybench"), kong.Description("Load and experiments on loopback. Exit code 0: every rule "+
		"held; 1: one broke, or it could not be played; 2: the arguments."), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "tallybench:", err)
		os.Exit(1)
	}
}

// printResult prints a result, as JSON or for people, and is an error where something broke.
func printResult(asJSON bool, result any, table func(), broken string) error {
	if asJSON {
		if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
			return err
		}
	} else {
		table()
	}
	if broken != "" {
		return fmt.Errorf("broken: %s", broken)
	}
	return nil
}

// findDirector finds the director's program: the one that is named, or the one in this program's folder.
func findDirector(named string) ([]string, error) {
	if named == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		named = filepath.Join(filepath.Dir(self), "tallyproxy")
	}
	if _, err := os.Stat(named); err != nil {
		return nil, fmt.Errorf("--director: %w; `make build` makes it", err)
	}
	return []string{named}, nil
}

// Run plays a storm.
func (c *stormCommand) Run(ctx context.Context) (err error) {
	if c.Argv, err = findDirector(c.DirectorPath); err != nil {
		return err
	}
	if c.Verbose {
		c.Log = os.Stderr
	}
	r, err := c.Execute(ctx)
	if err != nil {
		return err
	}
	if c.PlotPath != "" {
		if err := experiment.DrawStorm(c.PlotPath, r); err != nil {
			return fmt.Errorf("--plot: %w", err)
		}
	}
	return printResult(c.JSON, r, func() {
		table, _ := json.MarshalIndent(r, "", "  ")
		fmt.Println(strings.NewReplacer(`"`, "", ",", "", "{\n", "", "\n}", "").Replace(string(table)))
	}, strings.Join(r.Broken(), ", "))
}
