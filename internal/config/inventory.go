package config

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"time"

	"go.starlark.net/syntax"

	"tallyproxy/policy"
)

// Inventory lists the members of a fleet: the agents, each on its own machine, and the directors
// that they manage. It is a Starlark script beside the operator's files; the command-line tool and
// every agent read it.
type Inventory struct {
	// Path of the script.
	Path string
	// fleet(lease): lease of the right to change the fleet.
	LeaseDuration policy.Micros
	// fleet(authority): directory of the CA certificate and the revocation list.
	AuthorityDir string
	// fleet(talk_key): path of the agents' shared gossip key; empty for no gossip.
	GossipKeyFile string
	// In the script's order; at least one.
	Agents []AgentEntry
	// In the script's order.
	Directors []DirectorEntry
}

// AgentEntry is one agent of an inventory.
type AgentEntry struct {
	Name             string // unique
	Address          string // address and port for the tool and other agents
	Depot            string // location, which determines the order of changes
	GossipAddress    string // IPv4 address and port, for TCP and UDP; empty for no gossip
	AllowNonLoopback bool   // the addresses may be outside the loopback network
	position         syntax.Position
}

// DirectorEntry is one director of an inventory.
type DirectorEntry struct {
	Name         string   // unique
	Agent        string   // name of the agent that manages it
	PlatformFile string   // path of the platform's file
	SettingsFile string   // path of the operator's script, which changes replace
	StatusSocket string   // path of the status report's socket
	Command      []string // starts the director; empty if it is started by other means
	PIDFile      string   // path of the file with its process ID; required without a command
	position     syntax.Position
}

const (
	defaultLease = 3 * policy.Second
	minLease     = time.Second
	maxLease     = 10 * time.Minute
)

// Agent returns the entry of the agent with the given name; nil if there is none.
func (i *Inventory) Agent(name string) *AgentEntry {
	for n := range i.Agents {
		if i.Agents[n].Name == name {
			return &i.Agents[n]
		}
	}
	return nil
}

// AgentNames returns the names of all agents, in the script's order.
func (i *Inventory) AgentNames() (names []string) {
	for _, agent := range i.Agents {
		names = append(names, agent.Name)
	}
	return names
}

// DirectorsOf returns the directors that an agent manages, in the script's order.
func (i *Inventory) DirectorsOf(agent string) (directors []DirectorEntry) {
	for _, director := range i.Directors {
		if director.Agent == agent {
			directors = append(directors, director)
		}
	}
	return directors
}

// LoadInventory reads the script at path. It returns the errors of ParseInventory and of the file
// system.
func LoadInventory(path string) (*Inventory, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseInventory(path, raw)
}

// ParseInventory runs a script. path is used in errors, which are of type ScriptError if they have
// a position in the script.
func ParseInventory(path string, raw []byte) (*Inventory, error) {
	inventory := &Inventory{Path: path, LeaseDuration: defaultLease}
	var entries inventoryEntries
	if err := runScript(path, raw, entries.sections(inventory)); err != nil {
		return nil, err
	}
	if err := inventory.addAgents(entries.agents); err != nil {
		return nil, err
	}
	if err := inventory.addDirectors(entries.directors); err != nil {
		return nil, err
	}
	if len(inventory.Agents) == 0 {
		return nil, fmt.Errorf("%s: %w", path, keyErrorf("agent", "there is none"))
	}
	return inventory, nil
}

// inventoryEntries holds the unchecked entries of a script while it runs.
type inventoryEntries struct {
	agents    []*AgentEntry
	directors []*DirectorEntry
}

// sections returns the functions that an inventory script may call.
func (e *inventoryEntries) sections(inventory *Inventory) map[string]section {
	return map[string]section{
		"fleet": {settings: []setting{
			durationSetting("lease", &inventory.LeaseDuration, minLease, maxLease),
			textSetting("authority", &inventory.AuthorityDir),
			textSetting("talk_key", &inventory.GossipKeyFile),
		}},
		"agent":    {newEntry: e.newAgent},
		"director": {newEntry: e.newDirector},
	}
}

// newAgent adds an agent and returns its settings.
func (e *inventoryEntries) newAgent(name string, position syntax.Position) ([]setting, error) {
	if slices.ContainsFunc(e.agents, func(a *AgentEntry) bool { return a.Name == name }) {
		return nil, fmt.Errorf("agent %q: there before", name)
	}
	agent := &AgentEntry{Name: name, position: position}
	e.agents = append(e.agents, agent)
	return []setting{
		textSetting("address", &agent.Address),
		textSetting("depot", &agent.Depot),
		addressSetting("talk", &agent.GossipAddress),
		booleanSetting("beyond_loopback", &agent.AllowNonLoopback),
	}, nil
}

// newDirector adds a director and returns its settings.
func (e *inventoryEntries) newDirector(name string, position syntax.Position) ([]setting, error) {
	if slices.ContainsFunc(e.directors, func(d *DirectorEntry) bool { return d.Name == name }) {
		return nil, fmt.Errorf("director %q: there before", name)
	}
	director := &DirectorEntry{Name: name, position: position}
	e.directors = append(e.directors, director)
	return []setting{
		textSetting("agent", &director.Agent),
		textSetting("config", &director.PlatformFile),
		textSetting("settings", &director.SettingsFile),
		textSetting("socket", &director.StatusSocket),
		textListSetting("command", &director.Command),
		textSetting("pidfile", &director.PIDFile),
	}, nil
}

// addAgents checks the agents and adds them to the inventory.
func (i *Inventory) addAgents(agents []*AgentEntry) error {
	owners := map[string]string{} // names of agents by address
	for _, agent := range agents {
		if err := i.checkAgent(agent, owners[agent.Address]); err != nil {
			return &ScriptError{agent.position, err}
		}
		owners[agent.Address] = agent.Name
		i.Agents = append(i.Agents, *agent)
	}
	return nil
}

// checkAgent checks one agent. owner is the name of an earlier agent with the same address; empty
// for none.
func (i *Inventory) checkAgent(agent *AgentEntry, owner string) error {
	host, _, err := net.SplitHostPort(agent.Address)
	ip := net.ParseIP(host)
	switch {
	case err != nil || ip == nil:
		return keyErrorf("agent.address", "%q of %s is no address and port", agent.Address, agent.Name)
	case !ip.IsLoopback() && !agent.AllowNonLoopback:
		return keyErrorf("agent.address", "%s of %s lies beyond loopback, and beyond_loopback does not say so", agent.Address, agent.Name)
	case (agent.GossipAddress == "") != (i.GossipKeyFile == ""):
		return keyErrorf("agent.talk", "of %s and fleet.talk_key, only one is given", agent.Name)
	case agent.GossipAddress != "" && !agent.AllowNonLoopback && !isLoopback(agent.GossipAddress):
		return keyErrorf("agent.talk", "%s of %s lies beyond loopback, and beyond_loopback does not say so", agent.GossipAddress, agent.Name)
	case owner != "":
		return keyErrorf("agent.address", "%s is that of %s too", agent.Address, owner)
	}
	return nil
}

// isLoopback reports whether a valid address with a port is on the loopback network.
func isLoopback(address string) bool { return netip.MustParseAddrPort(address).Addr().IsLoopback() }

// addDirectors checks the directors and adds them to the inventory. The agents must have been added
// before.
func (i *Inventory) addDirectors(directors []*DirectorEntry) error {
	owners := map[string]string{} // names of directors by the paths of their files
	for _, director := range directors {
		if err := i.checkDirector(director, owners); err != nil {
			return &ScriptError{director.position, err}
		}
		i.Directors = append(i.Directors, *director)
	}
	return nil
}

// checkDirector checks one director and records its files in owners.
func (i *Inventory) checkDirector(director *DirectorEntry, owners map[string]string) error {
	if director.Agent == "" {
		return keyErrorf("director.agent", "missing for %s", director.Name)
	}
	for _, file := range []struct{ key, path string }{
		{"director.config", director.PlatformFile},
		{"director.settings", director.SettingsFile},
		{"director.socket", director.StatusSocket},
	} {
		if file.path == "" {
			return keyErrorf(file.key, "missing for %s", director.Name)
		}
		if owner := owners[file.path]; owner != "" {
			return keyErrorf(file.key, "%s is that of %s too", file.path, owner)
		}
		owners[file.path] = director.Name
	}
	if i.Agent(director.Agent) == nil {
		return keyErrorf("director.agent", "there is no agent %q", director.Agent)
	}
	if len(director.Command) == 0 && director.PIDFile == "" {
		return keyErrorf("director.command", "neither it nor a pidfile for %s", director.Name)
	}
	return nil
}
