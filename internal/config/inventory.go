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

// Inventory is what a fleet is made of: agents, each on a machine, and the directors that they look after. It is a Starlark
// script beside the operator's files, read by the tool and by every agent.
type Inventory struct {
	Path          string          // of the script
	LeaseDuration policy.Micros   // fleet(lease): of the right to change the fleet
	AuthorityDir  string          // fleet(authority): directory with the authority's certificate and the list of revoked ones
	GossipKeyFile string          // fleet(talk_key): path of the key that agents share for gossip; empty for no gossip
	Agents        []AgentEntry    // in the script's order; one at least
	Directors     []DirectorEntry // in the script's order
}

// AgentEntry is one agent of an inventory.
type AgentEntry struct {
	Name             string // unique
	Address          string // address and port for the tool and other agents
	Depot            string // location, for the order of changes
	GossipAddress    string // IPv4 address and port, for TCP and UDP; empty for no gossip
	AllowNonLoopback bool   // the addresses may lie beyond loopback
	position         syntax.Position
}

// DirectorEntry is one director of an inventory.
type DirectorEntry struct {
	Name         string   // unique
	Agent        string   // name of the agent that looks after it
	PlatformFile string   // path of the platform's file
	SettingsFile string   // path of the operator's script, which changes replace
	StatusSocket string   // path of the socket of its status report
	Command      []string // that starts it; empty where something else does
	PIDFile      string   // path of the file with its process ID; needed where there is no command
	position     syntax.Position
}

const (
	defaultLease = 3 * policy.Second
	minLease     = time.Second
	maxLease     = 10 * time.Minute
)

// Agent is the entry of a name; nil for none.
func (i *Inventory) Agent(name string) *AgentEntry {
	for n := range i.Agents {
		if i.Agents[n].Name == name {
			return &i.Agents[n]
		}
	}
	return nil
}

// AgentNames are the names of all agents, in the script's order.
func (i *Inventory) AgentNames() (names []string) {
	for _, agent := range i.Agents {
		names = append(names, agent.Name)
	}
	return names
}

// DirectorsOf are the directors that an agent looks after, in the script's order.
func (i *Inventory) DirectorsOf(agent string) (directors []DirectorEntry) {
	for _, director := range i.Directors {
		if director.Agent == agent {
			directors = append(directors, director)
		}
	}
	return directors
}

// LoadInventory reads the script at path, whole or not at all. Errors are those of ParseInventory and of the file system.
func LoadInventory(path string) (*Inventory, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseInventory(path, raw)
}

// ParseInventory runs a script; path is for its errors, which are of type ScriptError where they have a place in the text.
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

// inventoryEntries are the entries of a script that is being run, not checked yet.
type inventoryEntries struct {
	agents    []*AgentEntry
	directors []*DirectorEntry
}

// sections are the functions of an inventory's script.
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

// newAgent begins an agent and gives its settings.
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

// newDirector begins a director and gives its settings.
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

// addAgents checks agents and takes them in.
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

// checkAgent checks one agent; owner is the agent before it with the same address, empty for none.
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

// isLoopback says whether an address with a port, which must be valid, lies on the loopback network.
func isLoopback(address string) bool { return netip.MustParseAddrPort(address).Addr().IsLoopback() }

// addDirectors checks directors and takes them in. The agents must be there before.
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

// checkDirector checks one director and books its files in owners.
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
