package config

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"tallyproxy/policy"
)

// Inventory is what a fleet is made of: agents, each on a machine, and the directors that they look after. It is a Starlark
// script beside the operator's file, read by the tool and by every agent.
type Inventory struct {
	Path          string
	LeaseDuration policy.Micros // of the right to change
	AuthorityDir  string        // folder with the authority's certificate and the list of those revoked
	GossipKeyFile string        // file of the key with which agents find out who of them is there; empty for not at all
	Agents        []AgentEntry
	Directors     []DirectorEntry
}

// AgentEntry is one agent.
type AgentEntry struct {
	Name, Address, Depot string
	GossipAddress        string // address for that, TCP and UDP over IPv4
	AllowNonLoopback     bool   // may listen beyond loopback
	at                   syntax.Position
}

// DirectorEntry is one director.
type DirectorEntry struct {
	Name, Agent  string
	PlatformFile string   // the platform's file
	SettingsFile string   // the operator's, which changes are about
	StatusSocket string   // where it tells how it is
	Command      []string // that starts it; empty where something else does
	PIDFile      string   // where its process is found then
	at           syntax.Position
}

// Agent is the entry of a name; nil for none.
func (i *Inventory) Agent(name string) *AgentEntry {
	for n := range i.Agents {
		if i.Agents[n].Name == name {
			return &i.Agents[n]
		}
	}
	return nil
}

// AgentNames are all agents, as the file has them.
func (i *Inventory) AgentNames() (names []string) {
	for _, a := range i.Agents {
		names = append(names, a.Name)
	}
	return names
}

// DirectorsOf are the directors of an agent.
func (i *Inventory) DirectorsOf(agent string) (all []DirectorEntry) {
	for _, d := range i.Directors {
		if d.Agent == agent {
			all = append(all, d)
		}
	}
	return all
}

// LoadInventory reads it whole or not at all; errors name file, line and key.
func LoadInventory(path string) (*Inventory, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseInventory(path, raw)
}

// ParseInventory reads a script; the path is for its errors.
func ParseInventory(path string, raw []byte) (*Inventory, error) {
	inv := &Inventory{Path: path, LeaseDuration: 3 * policy.Second}
	if len(raw) > largestFile {
		return nil, fmt.Errorf("%s: over %d bytes", path, largestFile)
	}
	var agents []*AgentEntry
	var directors []*DirectorEntry
	err := runScript(path, raw, map[string]section{
		"fleet": {keys: []key{
			timed("lease", &inv.LeaseDuration, time.Second, 10*time.Minute), text("authority", &inv.AuthorityDir),
			text("talk_key", &inv.GossipKeyFile),
		}},
		"agent": {many: func(name string, at syntax.Position) ([]key, error) {
			if slices.ContainsFunc(agents, func(a *AgentEntry) bool { return a.Name == name }) {
				return nil, fmt.Errorf("agent %q: there before", name)
			}
			a := &AgentEntry{Name: name, at: at}
			agents = append(agents, a)
			return []key{text("address", &a.Address), text("depot", &a.Depot), socket("talk", &a.GossipAddress), truth("beyond_loopback", &a.AllowNonLoopback)}, nil
		}},
		"director": {many: func(name string, at syntax.Position) ([]key, error) {
			if slices.ContainsFunc(directors, func(d *DirectorEntry) bool { return d.Name == name }) {
				return nil, fmt.Errorf("director %q: there before", name)
			}
			d := &DirectorEntry{Name: name, at: at}
			directors = append(directors, d)
			return []key{
				text("agent", &d.Agent), text("config", &d.PlatformFile), text("settings", &d.SettingsFile), text("socket", &d.StatusSocket),
				words("command", &d.Command), text("pidfile", &d.PIDFile),
			}, nil
		}},
	})
	if err != nil {
		return nil, err
	}
	addresses := map[string]string{}
	for _, a := range agents {
		host, _, err := net.SplitHostPort(a.Address)
		ip := net.ParseIP(host)
		switch {
		case err != nil || ip == nil:
			return nil, fault{a.at, fmt.Errorf("agent.address: %q of %s is no address and port", a.Address, a.Name)}
		case !ip.IsLoopback() && !a.AllowNonLoopback:
			return nil, fault{a.at, fmt.Errorf("agent.address: %s of %s lies beyond loopback, and beyond_loopback does not say so", a.Address, a.Name)}
		case (a.GossipAddress == "") != (inv.GossipKeyFile == ""):
			return nil, fault{a.at, fmt.Errorf("agent.talk: of %s and fleet.talk_key, only one is given", a.Name)}
		case a.GossipAddress != "" && !a.AllowNonLoopback && !netip.MustParseAddrPort(a.GossipAddress).Addr().IsLoopback():
			return nil, fault{a.at, fmt.Errorf("agent.talk: %s of %s lies beyond loopback, and beyond_loopback does not say so", a.GossipAddress, a.Name)}
		case addresses[a.Address] != "":
			return nil, fault{a.at, fmt.Errorf("agent.address: %s is that of %s too", a.Address, addresses[a.Address])}
		}
		addresses[a.Address] = a.Name
		inv.Agents = append(inv.Agents, *a)
	}
	files := map[string]string{}
	for _, d := range directors {
		for _, x := range []struct{ key, value string }{
			{"agent", d.Agent}, {"config", d.PlatformFile}, {"settings", d.SettingsFile}, {"socket", d.StatusSocket},
		} {
			if x.value == "" {
				return nil, fault{d.at, fmt.Errorf("director.%s: missing for %s", x.key, d.Name)}
			}
			if x.key != "agent" && files[x.value] != "" {
				return nil, fault{d.at, fmt.Errorf("director.%s: %s is that of %s too", x.key, x.value, files[x.value])}
			}
			if x.key != "agent" {
				files[x.value] = d.Name
			}
		}
		if inv.Agent(d.Agent) == nil {
			return nil, fault{d.at, fmt.Errorf("director.agent: there is no agent %q", d.Agent)}
		}
		if len(d.Command) == 0 && d.PIDFile == "" {
			return nil, fault{d.at, fmt.Errorf("director.command: neither it nor a pidfile for %s", d.Name)}
		}
		inv.Directors = append(inv.Directors, *d)
	}
	if len(inv.Agents) == 0 {
		return nil, fmt.Errorf("%s: agent: there is none", path)
	}
	return inv, nil
}

func truth(name string, to *bool) key {
	return key{name, func(v starlark.Value) error {
		b, ok := v.(starlark.Bool)
		if !ok {
			return fmt.Errorf("%v is neither True nor False", v)
		}
		*to = bool(b)
		return nil
	}}
}
