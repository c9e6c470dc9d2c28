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
	Store string `placeholder:"FILE" help:"Database of the agent's persistent state. The default is NAME.db in the inventory's folder."`
}

// Run manages the agent's directors until it is interrupted. The directors keep running afterwards.
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
		path = resolvePath(inventory.Path, a.Name+".db")
	}
	store, err := agent.OpenStore(path)
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }() // every committed write is already on disk
	running, err := agent.New(inventory, a.Name, identity, store)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return running.Serve(ctx)
}
