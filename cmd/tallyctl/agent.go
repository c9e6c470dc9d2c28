package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"tallyproxy/internal/agent"
)

type agentCommand struct {
	Name  string `arg:"" help:"The agent's name in the inventory."`
	Store string `placeholder:"FILE" help:"Where it keeps what it must not forget; NAME.db beside the inventory by default."`
}

// Run looks after directors until it is stopped; they go on running.
func (a *agentCommand) Run(ctx context.Context, c *command) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	inventory, err := c.loadInventory()
	if err != nil {
		return err
	}
	identity, err := c.identity(inventory)
	if err != nil {
		return err
	}
	path := a.Store
	if path == "" {
		path = resolve(inventory.Path, a.Name+".db")
	}
	store, err := agent.OpenStore(path)
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }() // all that was saved is on disk already
	running, err := agent.New(inventory, a.Name, identity, store)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return running.Serve(ctx)
}
