package experiment

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"tallyproxy/internal/authority"
	"tallyproxy/internal/config"
	"tallyproxy/internal/fakes"
	"tallyproxy/internal/faulttest"
)

const (
	fleetName         = "lab" // fleet name of the authority and of gossip
	agentsPerLocation = 4
	certificateValid  = time.Hour
)

// fleetFiles writes the files of a loopback fleet.
type fleetFiles struct {
	cluster   *fakes.Cluster
	dir       string
	authority string   // folder of the authority's keys
	gossipKey string   // path of the key that directors and agents share
	command   []string // command line that starts a director
	script    string   // of each director
	peers     bool     // whether directors form a cluster
	seeds     []string // quoted gossip addresses of the first directors
	inventory strings.Builder
}

// NewLoopbackFleet writes the files of a fleet into the folder dir. The fleet has the given number
// of agents with directorsPerAgent directors each, which run argv with the given script. With peers
// the directors form a cluster. Start starts the fleet.
func NewLoopbackFleet(cluster *fakes.Cluster, dir string, agents, directorsPerAgent int, argv []string, script string, peers bool) (*LoopbackFleet, error) {
	files := &fleetFiles{cluster: cluster, dir: dir, authority: filepath.Join(dir, "keys"), gossipKey: filepath.Join(dir, "peers.key"),
		command: argv, script: script, peers: peers}
	if err := files.writeKeys(); err != nil {
		return nil, err
	}
	fmt.Fprintf(&files.inventory, "fleet(lease = seconds(5), authority = %q, talk_key = %q)\n", files.authority, files.gossipKey)
	for i := range agents {
		if err := files.addAgent(i, directorsPerAgent); err != nil {
			return nil, err
		}
	}
	path := filepath.Join(dir, "fleet.star")
	if err := os.WriteFile(path, []byte(files.inventory.String()), 0o600); err != nil {
		return nil, err
	}
	inventory, err := config.LoadInventory(path)
	if err != nil {
		return nil, err
	}
	return &LoopbackFleet{Cluster: cluster, Dir: dir, AuthorityDir: files.authority, Inventory: inventory, agents: map[string]*runningAgent{}}, nil
}

// writeKeys creates the authority, an operator's certificate and the shared gossip key.
func (f *fleetFiles) writeKeys() error {
	now := time.Now()
	if err := authority.Init(f.authority, fleetName, now); err != nil {
		return err
	}
	operatorRoles := []authority.Role{authority.RoleViewer, authority.RoleEditor}
	if err := authority.Issue(f.authority, f.dir, "op", operatorRoles, certificateValid, now); err != nil {
		return err
	}
	key := fmt.Sprintf("%x", sha256.Sum256([]byte(f.dir+now.String())))
	return os.WriteFile(f.gossipKey, []byte(key), 0o600)
}

// addAgent adds an agent and its directors to the inventory and writes their files.
func (f *fleetFiles) addAgent(i, directors int) error {
	name := fmt.Sprintf("a%02d", i)
	if err := authority.Issue(f.authority, f.dir, name, []authority.Role{authority.RoleAgent}, certificateValid, time.Now()); err != nil {
		return err
	}
	address, err := faulttest.FreeAddress()
	if err != nil {
		return err
	}
	gossipAddress, err := faulttest.FreeAddress()
	if err != nil {
		return err
	}
	fmt.Fprintf(&f.inventory, "agent(%q, address = %q, talk = %q, depot = \"depot-%d\")\n", name, address, gossipAddress, i/agentsPerLocation)
	for j := range directors {
		if err := f.addDirector(fmt.Sprintf("n%02d%d", i, j), name); err != nil {
			return err
		}
	}
	return nil
}

// addDirector adds a director of an agent to the inventory and writes its configuration and script.
func (f *fleetFiles) addDirector(name, agentName string) error {
	path := func(extension string) string { return filepath.Join(f.dir, name+extension) }
	listen, err := faulttest.FreeAddress()
	if err != nil {
		return err
	}
	if err := os.WriteFile(path(".json"), f.cluster.Config(name, listen, 128, 64, 1), 0o600); err != nil {
		return err
	}
	script := fmt.Sprintf("state(socket = %q)\n%s", path(".sock"), f.script)
	if f.peers {
		line, err := f.peersLine()
		if err != nil {
			return err
		}
		script += line
	}
	if err := os.WriteFile(path(".star"), []byte(script), 0o600); err != nil {
		return err
	}
	var command []string
	for _, argument := range f.command {
		command = append(command, strconv.Quote(argument))
	}
	fmt.Fprintf(&f.inventory, "director(%q, agent = %q, config = %q, settings = %q, socket = %q, command = [%s])\n", name, agentName,
		path(".json"), path(".star"), path(".sock"), strings.Join(command, ", "))
	return nil
}

// peersLine returns the line of a director's script that joins it to the cluster of the directors
// before it.
func (f *fleetFiles) peersLine() (string, error) {
	address, err := faulttest.FreeAddress()
	if err != nil {
		return "", err
	}
	line := fmt.Sprintf("peers(listen = %q, seeds = [%s], key = %q, fleet = %q)\n", address, strings.Join(f.seeds, ", "), f.gossipKey, fleetName)
	if len(f.seeds) < maxSeeds {
		f.seeds = append(f.seeds, strconv.Quote(address))
	}
	return line, nil
}
