// Command tallyctl is the operators' tool for a fleet of directors. It also contains the agent that
// manages the directors of one machine.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes that scripts can rely on.
const (
	exitDone    = 0 // the command succeeded
	exitRefused = 1 // refused; nothing has changed
	exitUsage   = 2 // the arguments are wrong
	exitPartial = 3 // partly done; the output shows the state of each director
)

// exitError is an error that sets the exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the error.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the error without its code.
func (e exitError) Unwrap() error { return e.err }

// command is the command line. The help texts document its fields and those of the sub-commands.
type command struct {
	Inventory string `short:"i" env:"TALLYCTL_INVENTORY" default:"fleet.star" placeholder:"FILE" help:"Inventory of the fleet, a Starlark script."`
	Cert      string `env:"TALLYCTL_CERT" placeholder:"FILE" help:"Your certificate. Its private key must be NAME-key.pem in the same folder."`
	JSON      bool   `name:"json" help:"Print JSON instead of text."`

	Agent   agentCommand   `cmd:"" help:"Run the agent that manages the directors of this machine."`
	Keys    keysCommand    `cmd:"" help:"Manage the fleet's certificate authority."`
	Show    showCommand    `cmd:"" help:"Show agents, directors and changes."`
	Diff    diffCommand    `cmd:"" help:"Show what a script would change at each director."`
	Plan    planCommand    `cmd:"" help:"Show which director would change in which wave."`
	Apply   applyCommand   `cmd:"" help:"Roll out a script to all selected directors or to none."`
	Drain   drainCommand   `cmd:"" help:"Take a cache node out of service at every director, or put it back."`
	Undo    undoCommand    `cmd:"" help:"Revert a change by a new change."`
	Resume  resumeCommand  `cmd:"" help:"Complete the changes that were left open."`
	Status  statusCommand  `cmd:"" help:"Show the status of a change."`
	History historyCommand `cmd:"" help:"Show the changes or the audit records that the agents have stored."`
	Check   checkCommand   `cmd:"" help:"Check the inventory and scripts without contacting any agent."`
	Watch   watchCommand   `cmd:"" help:"Show directors, cache nodes and changes, continuously updated."`
}

func main() { os.Exit(Main(os.Args[1:])) }

// Main runs tallyctl with the given arguments, without the program name, and returns the exit code.
func Main(args []string) int {
	var c command
	parser, err := kong.New(&c, kong.Name("tallyctl"), kong.Description("Shows, changes and checks a fleet of directors. Exit "+
		"code 0: done; 1: refused, nothing has changed; 2: invalid arguments; 3: partly done, see the output."))
	if err != nil {
		panic(err) // a struct tag of command or of a sub-command is invalid
	}
	k, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tallyctl:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	err = k.Run(&c)
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(os.Stderr, "tallyctl:", err)
	var e exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitRefused
}

// print prints a value as JSON if --json is set, and otherwise calls printText.
func (c *command) print(value any, printText func()) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(value)
	}
	printText()
	return nil
}
