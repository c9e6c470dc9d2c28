package main

import (
	"errors"
	"path/filepath"

	"tallyproxy/internal/authority"
	"tallyproxy/internal/config"
	"tallyproxy/internal/ctl"
)

var errNoCertificate = errors.New("--cert: missing; create a certificate with `tallyctl keys issue`")

// loadInventory reads the inventory and resolves its relative paths.
func (c *command) loadInventory() (*config.Inventory, error) {
	inventory, err := config.LoadInventory(c.Inventory)
	if err != nil {
		return nil, err
	}
	if inventory.GossipKeyFile != "" {
		inventory.GossipKeyFile = resolvePath(inventory.Path, inventory.GossipKeyFile)
	}
	for i := range inventory.Directors {
		d := &inventory.Directors[i]
		d.PlatformFile = resolvePath(inventory.Path, d.PlatformFile)
		d.SettingsFile = resolvePath(inventory.Path, d.SettingsFile)
		d.StatusSocket = resolvePath(inventory.Path, d.StatusSocket)
		if d.PIDFile != "" {
			d.PIDFile = resolvePath(inventory.Path, d.PIDFile)
		}
	}
	return inventory, nil
}

// resolvePath interprets a relative path as relative to the folder of the inventory file.
func resolvePath(inventory, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(inventory), path)
}

// identity loads the operator's certificate and private key.
func (c *command) identity(inventory *config.Inventory) (*authority.Identity, error) {
	if c.Cert == "" {
		return nil, exitError{exitUsage, errNoCertificate}
	}
	key := c.Cert[:len(c.Cert)-len(filepath.Ext(c.Cert))] + "-key.pem"
	return authority.Open(resolvePath(inventory.Path, inventory.AuthorityDir), c.Cert, key)
}

// openFleet loads the inventory and the operator's identity and returns a client for the fleet. The
// caller must close it.
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
