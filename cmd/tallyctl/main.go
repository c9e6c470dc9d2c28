// Command tallyctl is the operators' tool for many directors, and the agent that looks after those of one machine.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"

	"tallyproxy/internal/agent"
	"tallyproxy/internal/authority"
	"tallyproxy/internal/config"
	"tallyproxy/internal/ctl"
)

// Exit codes that scripts can trust.
const (
	exitDone    = 0
	exitRefused = 1
	exitUsage   = 2
	exitPartly  = 3
)

// exit is an error with its code.
type exit struct {
	code int
	err  error
}

func (e exit) Error() string { return e.err.Error() }

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

// Main is the command: it gives the exit code.
func Main(args []string) int {
	var c command
	parser, err := kong.New(&c, kong.Name("tallyctl"), kong.Description("Many directors, shown, changed and checked together. Exit "+
		"code 0: done; 1: refused, nothing has changed; 2: the arguments; 3: partly reached, with who is where."))
	if err != nil {
		panic(err)
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
	var e exit
	if errors.As(err, &e) {
		return e.code
	}
	return exitRefused
}

// identity is who calls.
func (c *command) identity(inv *config.Inventory) (*authority.Identity, error) {
	if c.Cert == "" {
		return nil, exit{exitUsage, errors.New("--cert: missing; `tallyctl keys issue` makes one")}
	}
	key := c.Cert[:len(c.Cert)-len(filepath.Ext(c.Cert))] + "-key.pem"
	return authority.Open(within(inv.Path, inv.AuthorityDir), c.Cert, key)
}

// within is a path as the inventory says it, from its folder.
func within(inventory, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(inventory), path)
}

// load reads the inventory, its paths from its own folder.
func (c *command) load() (*config.Inventory, error) {
	inv, err := config.LoadInventory(c.Inventory)
	if err != nil {
		return nil, err
	}
	if inv.GossipKeyFile != "" {
		inv.GossipKeyFile = within(inv.Path, inv.GossipKeyFile)
	}
	for i := range inv.Directors {
		d := &inv.Directors[i]
		d.PlatformFile, d.SettingsFile, d.StatusSocket = within(inv.Path, d.PlatformFile), within(inv.Path, d.SettingsFile), within(inv.Path, d.StatusSocket)
		if d.PIDFile != "" {
			d.PIDFile = within(inv.Path, d.PIDFile)
		}
	}
	return inv, nil
}

// open reaches the fleet.
func (c *command) open() (*ctl.Fleet, error) {
	inv, err := c.load()
	if err != nil {
		return nil, err
	}
	id, err := c.identity(inv)
	if err != nil {
		return nil, err
	}
	return ctl.Open(inv, id), nil
}

type agentCommand struct {
	Name  string `arg:"" help:"The agent's name in the inventory."`
	Store string `placeholder:"FILE" help:"Where it keeps what it must not forget; NAME.db beside the inventory by default."`
}

// Run looks after directors until it is stopped; they go on.
func (a *agentCommand) Run(ctx context.Context, c *command) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	inv, err := c.load()
	if err != nil {
		return err
	}
	id, err := c.identity(inv)
	if err != nil {
		return err
	}
	path := a.Store
	if path == "" {
		path = within(inv.Path, a.Name+".db")
	}
	store, err := agent.OpenStore(path)
	if err != nil {
		return err
	}
	defer store.Close()
	running, err := agent.New(inv, a.Name, id, store)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return running.Serve(ctx)
}
