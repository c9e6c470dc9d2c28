package experiment

import (
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"tallyproxy/internal/agent"
	"tallyproxy/internal/authority"
	"tallyproxy/internal/config"
	"tallyproxy/internal/ctl"
	"tallyproxy/internal/fakes"
	"tallyproxy/internal/faulttest"
)

// maxSeeds is how many directors a new one is told of, to find its cluster by.
const maxSeeds = 3

// LoopbackFleet is a fleet on loopback: an authority, an inventory, agents in this process and directors as processes of their own.
type LoopbackFleet struct {
	Cluster      *fakes.Cluster
	Dir          string
	Inventory    *config.Inventory
	AuthorityDir string
	mu           sync.Mutex
	agents       map[string]*runningAgent
}

type runningAgent struct {
	cancel context.CancelFunc
	served chan error
	store  *agent.Store
}

// NewLoopbackFleet writes all that a fleet of so many agents with so many directors each needs into a folder. Argv starts a director.
// With peers they know each other.
func NewLoopbackFleet(w *fakes.Cluster, dir string, agents, each int, argv []string, script string, peers bool) (*LoopbackFleet, error) {
	f := &LoopbackFleet{Cluster: w, Dir: dir, AuthorityDir: filepath.Join(dir, "keys"), agents: map[string]*runningAgent{}}
	now := time.Now()
	if err := authority.Init(f.AuthorityDir, "lab", now); err != nil {
		return nil, err
	}
	if err := authority.Issue(f.AuthorityDir, dir, "op", []authority.Role{authority.RoleViewer, authority.RoleEditor}, time.Hour, now); err != nil {
		return nil, err
	}
	var text strings.Builder
	key, seeds := filepath.Join(dir, "peers.key"), []string{}
	if err := os.WriteFile(key, []byte(fmt.Sprintf("%x", sha256.Sum256([]byte(dir+now.String())))), 0o600); err != nil {
		return nil, err
	}
	fmt.Fprintf(&text, "fleet(lease = seconds(5), authority = %q, talk_key = %q)\n", f.AuthorityDir, key)
	var quoted []string
	for _, a := range argv {
		quoted = append(quoted, fmt.Sprintf("%q", a))
	}
	for i := range agents {
		name := fmt.Sprintf("a%02d", i)
		if err := authority.Issue(f.AuthorityDir, dir, name, []authority.Role{authority.RoleAgent}, time.Hour, now); err != nil {
			return nil, err
		}
		addr, err := faulttest.FreeAddress()
		if err != nil {
			return nil, err
		}
		meet, err := faulttest.FreeAddress()
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(&text, "agent(%q, address = %q, talk = %q, depot = \"depot-%d\")\n", name, addr, meet, i/4)
		for j := range each {
			director := fmt.Sprintf("n%02d%d", i, j)
			listen, err := faulttest.FreeAddress()
			if err != nil {
				return nil, err
			}
			path := func(ending string) string { return filepath.Join(dir, director+ending) }
			if err := os.WriteFile(path(".json"), w.Config(director, listen, 128, 64, 1), 0o600); err != nil {
				return nil, err
			}
			own := fmt.Sprintf("state(socket = %q)\n%s", path(".sock"), script)
			if peers {
				talk, err := faulttest.FreeAddress()
				if err != nil {
					return nil, err
				}
				own += fmt.Sprintf("peers(listen = %q, seeds = [%s], key = %q, fleet = \"lab\")\n", talk, strings.Join(seeds, ", "), key)
				if len(seeds) < 3 {
					seeds = append(seeds, fmt.Sprintf("%q", talk))
				}
			}
			if err := os.WriteFile(path(".star"), []byte(own), 0o600); err != nil {
				return nil, err
			}
			fmt.Fprintf(&text, "director(%q, agent = %q, config = %q, settings = %q, socket = %q, command = [%s])\n", director, name,
				path(".json"), path(".star"), path(".sock"), strings.Join(quoted, ", "))
		}
	}
	inventory := filepath.Join(dir, "fleet.star")
	if err := os.WriteFile(inventory, []byte(text.String()), 0o600); err != nil {
		return nil, err
	}
	var err error
	f.Inventory, err = config.LoadInventory(inventory)
	return f, err
}

// StartAgent starts an agent; its directors start with it, where they don't run.
func (f *LoopbackFleet) StartAgent(name string) error {
	id, err := f.identity(name)
	if err != nil {
		return err
	}
	store, err := agent.OpenStore(filepath.Join(f.Dir, name+".db"))
	if err != nil {
		return err
	}
	a, err := agent.New(f.Inventory, name, id, store)
	if err != nil {
		store.Close()
		return err
	}
	ctx, leave := context.WithCancel(context.Background())
	r := &runningAgent{leave, make(chan error, 1), store}
	go func() { r.served <- a.Serve(ctx) }()
	f.mu.Lock()
	f.agents[name] = r
	f.mu.Unlock()
	return nil
}

func (f *LoopbackFleet) identity(name string) (*authority.Identity, error) {
	return authority.Open(f.AuthorityDir, filepath.Join(f.Dir, name+".pem"), filepath.Join(f.Dir, name+"-key.pem"))
}

// StopAgent ends an agent; its directors go on.
func (f *LoopbackFleet) StopAgent(name string) {
	f.mu.Lock()
	r := f.agents[name]
	delete(f.agents, name)
	f.mu.Unlock()
	if r != nil {
		r.cancel()
		<-r.served
		r.store.Close()
	}
}

// Start boots all agents and waits until every director tells how it is.
func (f *LoopbackFleet) Start(ctx context.Context) error {
	var all sync.WaitGroup
	errs := make([]error, len(f.Inventory.Agents))
	for i, a := range f.Inventory.Agents {
		all.Go(func() { errs[i] = f.StartAgent(a.Name) })
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	op, err := f.Operator("op")
	if err != nil {
		return err
	}
	defer op.Close()
	for end := time.Now().Add(60 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		v, up := op.Snapshot(ctx), 0
		for _, d := range v.Directors {
			if d.Up {
				up++
			}
		}
		if up == len(f.Inventory.Directors) {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%d of %d directors are up", up, len(f.Inventory.Directors))
		}
	}
}

// Operator reaches the fleet as the owner of a certificate in its folder.
func (f *LoopbackFleet) Operator(name string) (*ctl.Fleet, error) {
	id, err := f.identity(name)
	if err != nil {
		return nil, err
	}
	return ctl.Open(f.Inventory, id), nil
}

// Director is one, to be signalled and asked.
func (f *LoopbackFleet) Director(name string) *agent.Director {
	for _, d := range f.Inventory.Directors {
		if d.Name == name {
			return &agent.Director{DirectorEntry: d}
		}
	}
	return nil
}

// Close ends agents and directors.
func (f *LoopbackFleet) Close() {
	var all sync.WaitGroup
	for _, a := range f.Inventory.Agents {
		all.Go(func() { f.StopAgent(a.Name) })
	}
	all.Wait()
	for _, d := range f.Inventory.Directors {
		all.Go(func() { f.Director(d.Name).Stop(context.Background()) })
	}
	all.Wait()
}
