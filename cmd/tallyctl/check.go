package main

import (
	"fmt"

	"tallyproxy/internal/config"
	"tallyproxy/policy"
)

type checkCommand struct {
	Script []string `arg:"" optional:"" help:"Operators' scripts to check as well."`
}

// Run checks that the inventory and the scripts are valid.
func (k *checkCommand) Run(c *command) error {
	inventory, err := c.loadInventory()
	if err != nil {
		return err
	}
	for _, path := range k.Script {
		if _, err := config.LoadOperator(path); err != nil {
			return err
		}
	}
	return c.print(newInventoryOutput(inventory), func() {
		fmt.Printf("%d agents, %d directors\n", len(inventory.Agents), len(inventory.Directors))
	})
}

// inventoryOutput is the output of `check --json`. It is separate from config.Inventory so that
// renaming a field there does not change the printed keys.
type inventoryOutput struct {
	Path      string           `json:"Path"`
	Lease     policy.Micros    `json:"Lease"` // in microseconds
	Authority string           `json:"Authority"`
	TalkKey   string           `json:"TalkKey"`
	Agents    []agentOutput    `json:"Agents"`
	Directors []directorOutput `json:"Directors"`
}

// agentOutput is an agent in inventoryOutput.
type agentOutput struct {
	Name    string `json:"Name"`
	Address string `json:"Address"`
	Depot   string `json:"Depot"`
	Talk    string `json:"Talk"`
	Beyond  bool   `json:"Beyond"`
}

// directorOutput is a director in inventoryOutput.
type directorOutput struct {
	Name     string   `json:"Name"`
	Agent    string   `json:"Agent"`
	Config   string   `json:"Config"`
	Settings string   `json:"Settings"`
	Socket   string   `json:"Socket"`
	Command  []string `json:"Command"`
	Pidfile  string   `json:"Pidfile"`
}

// newInventoryOutput converts an inventory to its printed form.
func newInventoryOutput(inventory *config.Inventory) inventoryOutput {
	out := inventoryOutput{
		Path: inventory.Path, Lease: inventory.LeaseDuration, Authority: inventory.AuthorityDir, TalkKey: inventory.GossipKeyFile,
	}
	for _, a := range inventory.Agents {
		out.Agents = append(out.Agents, agentOutput{
			Name: a.Name, Address: a.Address, Depot: a.Depot, Talk: a.GossipAddress, Beyond: a.AllowNonLoopback,
		})
	}
	for _, d := range inventory.Directors {
		out.Directors = append(out.Directors, directorOutput{
			Name: d.Name, Agent: d.Agent, Config: d.PlatformFile, Settings: d.SettingsFile, Socket: d.StatusSocket, Command: d.Command,
			Pidfile: d.PIDFile,
		})
	}
	return out
}
