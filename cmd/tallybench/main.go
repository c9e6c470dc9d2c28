// Command tallybench runs load tests and experiments against directors that it starts, with fakes
// of all their peer systems.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/alecthomas/kong"
)

// command is the command line. The help texts are printed by `tallybench --help`.
type command struct {
	Storm stormCommand `cmd:"" help:"Run many clients that connect and retry at once while the caches are cold."`
	Fleet fleetCommand `cmd:"" help:"Simulate configuration changes of many instances under faults."`
	Peers peersCommand `cmd:"" help:"Run a cluster of directors with faults between them."`
	Start startCommand `cmd:"" help:"Start many directors at once while the command channel is unavailable for a time."`
	Plan  planCommand  `cmd:"" help:"Plan the order in which machines are taken out of service for maintenance."`
	Cores coresCommand `cmd:"" help:"Measure rate, latency and memory of a director on several cores."`
}

func main() {
	var c command
	parser := kong.Parse(&c, kong.Name("tallybench"), kong.Description("Load tests and experiments on loopback. Exit code 0: no "+
		"rule was broken; 1: a rule was broken, or the experiment could not run; 2: invalid arguments."), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	parser.BindTo(ctx, (*context.Context)(nil))
	err := parser.Run()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "tallybench:", err)
		os.Exit(1)
	}
}

// printResult prints a result, either as JSON or by calling printText. It returns an error if
// broken, which names the broken rules, is not empty.
func printResult(asJSON bool, result any, printText func(), broken string) error {
	if asJSON {
		if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
			return err
		}
	} else {
		printText()
	}
	if broken != "" {
		return fmt.Errorf("broken rules: %s", broken)
	}
	return nil
}

// directorCommand returns the command that starts a director. An empty path selects the tallyproxy
// binary in the folder of the running program.
func directorCommand(path string) ([]string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		path = filepath.Join(filepath.Dir(self), "tallyproxy")
	}
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("--director: %w; build it with `make build`", err)
	}
	return []string{path}, nil
}
