// Command tallyctl is the operators' tool for many directors, and the agent that looks after the directors of one machine.
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
	exitDone    = 0 // done as asked
	exitRefused = 1 // refused; nothing has changed
	exitUsage   = 2 // the arguments are wrong
	exitPartly  = 3 // partly reached; the output tells which directors are where
)

// exitError is an error that decides the exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the error.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the error without its code.
func (e exitError) Unwrap() error { return e.err }

// command is the command line. Its help texts document the fields here and in the sub-commands.
type command struct {
	Inventory string `short:"i" env:"TALLYCTL_INVENTORY" default:"fleet.star" placeholder:"FILE" help:"What the fleet is made of, a Starlark script."`
	Cert      string `env:"TALLYCTL_CERT" placeholder:"FILE" help:"Who you are: a certificate, its key beside it as NAME-key.pem."`
	JSON      bool   `name:"json" help:"Print one JSON object."`

	Agent   agentCommand   `cmd:"" help:"Look after the directors of this machine."`
	Keys    keysCommand    `cmd:"" help:"The fleet's own certificate authority."`
	Show    showCommand    `cmd:"" help:"Agents, directors and changes."`
	Diff    diffCommand    `cmd:"" help:"What a script would change, director by director."`
	Plan    planCommand    `cmd:"" help:"Which director would change in which wave."`
	Apply   applyCommand   `cmd:"" help:"Have directors run a script: all of them, or none."`
	Drain   drainCommand   `cmd:"" help:"Keep a box out at every director, or let it in again."`
	Undo    undoCommand    `cmd:"" help:"Take a change back, as a change of its own."`
	Resume  resumeCommand  `cmd:"" help:"Bring to its end what a tool left open."`
	Status  statusCommand  `cmd:"" help:"What became of a change."`
	History historyCommand `cmd:"" help:"Changes that the agents remember, or who had them do what."`
	Check   checkCommand   `cmd:"" help:"Read inventory and scripts without reaching anybody."`
	Watch   watchCommand   `cmd:"" help:"Depots, directors, boxes and changes, as they go."`
}

func main() { os.Exit(Main(os.Args[1:])) }

// Main runs the command line's arguments, without the program's name, and returns the exit code.
func Main(args []string) int {
	var c command
	parser, err := kong.New(&c, kong.Name("tallyctl"), kong.Description("Many directors, shown, changed and checked together. Exit "+
		"code 0: done; 1: refused, nothing has changed; 2: the arguments; 3: partly reached, with who is where."))
	if err != nil {
		panic(err) // the types above are wrong
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

// print prints a value as JSON where that is asked for, and otherwise calls printText.
func (c *command) print(value any, printText func()) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(value)
	}
	printText()
	return nil
}
