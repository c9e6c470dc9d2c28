package main

import (
	"errors"
	"path/filepath"

	"tallyproxy/internal/authority"
	"tallyproxy/internal/config"
	"tallyproxy/internal/ctl"
)

var errNoCertificate = errors.New("--cert: missing; `tallyctl keys issue` makes one")

// loadInventory reads the inventory; relative paths in it start at its own folder.
func (c *command) loadInventory() (*config.Inventory, error) {
	inventory, err := config.LoadInventory(c.Inventory)
	if err != nil {
		return nil, err
	}
	if inventory.GossipKeyFile != "" {
		inventory.GossipKeyFile = resolve(inventory.Path, inventory.GossipKeyFile)
	}
	for i := range inventory.Directors {
		d := &inventory.Directors[i]
		d.PlatformFile = resolve(inventory.Path, d.PlatformFile)
		d.SettingsFile = resolve(inventory.Path, d.SettingsFile)
		d.StatusSocket = resolve(inventory.Path, d.StatusSocket)
		if d.PIDFile != "" {
			d.PIDFile = resolve(inventory.Path, d.PIDFile)
		}
	}
	return inventory, nil
}

// resolve makes a path of the inventory relative to the inventory's folder.
func resolve(inventory, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(inventory), path)
}

// identity opens the caller's certificate and key.
func (c *command) identity(inventory *config.Inventory) (*authority.Identity, error) {
	if c.Cert == "" {
		return nil, exitError{exitUsage, errNoCertificate}
	}
	key := c.Cert[:len(c.Cert)-len(filepath.Ext(c.Cert))] + "-key.pem"
	return authority.Open(resolve(inventory.Path, inventory.AuthorityDir), c.Cert, key)
}

// openFleet reads the inventory and the caller's identity and reaches the fleet. The caller closes it.
func (c *command) openFleet() (*ctl.Fleet, error) {
	inventory, err := c.loadInventory()
	if err != nil {
		return nil, err
	}
	identity, err := c.identity(inventory)
	if err != nil {
		return nil, err
	}
	return ctl.Open(inventory, identity), nil
}
