// Command tallybench runs load and experiments against directors that it starts, with fakes of all they talk to.
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

// command has the sub-commands; their help texts are those of `tallybench --help`.
type command struct {
	Storm stormCommand `cmd:"" help:"Many clients that connect and retry at once, on cold caches."`
	Fleet fleetCommand `cmd:"" help:"Configuration changes of many instances under faults, in simulated time."`
	Peers peersCommand `cmd:"" help:"Directors that form a cluster, and faults between them."`
	Start startCommand `cmd:"" help:"Many directors that start at once, and a command channel that is unavailable for a while."`
	Plan  planCommand  `cmd:"" help:"Plans of the order in which machines are taken out for maintenance."`
	Cores coresCommand `cmd:"" help:"A director on several cores: rate, latency, memory."`
}

func main() {
	var c command
	parser := kong.Parse(&c, kong.Name("tallybench"), kong.Description("Load and experiments on loopback. Exit code 0: every rule "+
		"held; 1: one was broken, or the experiment could not be run; 2: invalid arguments."), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	parser.BindTo(ctx, (*context.Context)(nil))
	err := parser.Run()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "tallybench:", err)
		os.Exit(1)
	}
}

// printResult prints a result, as JSON or by a function as text, and returns an error where rules were broken.
func printResult(asJSON bool, result any, printText func(), broken string) error {
	if asJSON {
		if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
			return err
		}
	} else {
		printText()
	}
	if broken != "" {
		return fmt.Errorf("broken: %s", broken)
	}
	return nil
}

// directorCommand is the command that starts a director: the program at a path, or, for an empty one, tallyproxy beside this program.
func directorCommand(path string) ([]string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		path = filepath.Join(filepath.Dir(self), "tallyproxy")
	}
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("--director: %w; `make build` makes it", err)
	}
	return []string{path}, nil
}
