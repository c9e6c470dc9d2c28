package experiment

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"tallyproxy/internal/agent"
	"tallyproxy/internal/authority"
	"tallyproxy/internal/config"
	"tallyproxy/internal/ctl"
	"tallyproxy/internal/fakes"
)

const (
	maxSeeds          = 3 // seed addresses that a new director gets to join its cluster
	fleetStartTimeout = 60 * time.Second
)

// LoopbackFleet is a fleet on loopback: an authority, an inventory, agents in this process and
// directors as processes. Its methods are safe for concurrent use.
type LoopbackFleet struct {
	Cluster      *fakes.Cluster    // fakes that the directors talk to
	Dir          string            // folder with the files of all agents and directors
	Inventory    *config.Inventory // agents and directors
	AuthorityDir string            // folder with the authority's keys

	mu     sync.Mutex
	agents map[string]*runningAgent // by name; guarded by mu
}

// runningAgent is an agent that is serving.
type runningAgent struct {
	cancel context.CancelFunc
	served chan struct{} // closed once Serve has returned
	store  *agent.Store
}

// StartAgent starts an agent, which starts those of its directors that are not running.
func (f *LoopbackFleet) StartAgent(name string) error {
	identity, err := f.identity(name)
	if err != nil {
		return err
	}
	store, err := agent.OpenStore(filepath.Join(f.Dir, name+".db"))
	if err != nil {
		return err
	}
	a, err := agent.New(f.Inventory, name, identity, store)
	if err != nil {
		return errors.Join(err, store.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	running := &runningAgent{cancel, make(chan struct{}), store}
	go func() {
		defer close(running.served)
		_ = a.Serve(ctx) // an error shows in the tool, which reports the agent as unreachable
	}()
	f.mu.Lock()
	f.agents[name] = running
	f.mu.Unlock()
	return nil
}

// identity opens the certificate that the fleet's authority has issued under the given name.
func (f *LoopbackFleet) identity(name string) (*authority.Identity, error) {
	return authority.Open(f.AuthorityDir, filepath.Join(f.Dir, name+".pem"), filepath.Join(f.Dir, name+"-key.pem"))
}

// StopAgent stops an agent. Its directors keep running.
func (f *LoopbackFleet) StopAgent(name string) {
	f.mu.Lock()
	running := f.agents[name]
	delete(f.agents, name)
	f.mu.Unlock()
	if running == nil {
		return
	}
	running.cancel()
	<-running.served
	_ = running.store.Close() // every change was committed when it was made
}

// Start starts all agents and waits until every director reports its state.
func (f *LoopbackFleet) Start(ctx context.Context) error {
	var starting sync.WaitGroup
	errs := make([]error, len(f.Inventory.Agents))
	for i, a := range f.Inventory.Agents {
		starting.Go(func() { errs[i] = f.StartAgent(a.Name) })
	}
	starting.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	operator, err := f.Operator("op")
	if err != nil {
		return err
	}
	defer operator.Close()
	for end := time.Now().Add(fleetStartTimeout); ; time.Sleep(100 * time.Millisecond) {
		up := 0
		for _, director := range operator.Snapshot(ctx).Directors {
			if director.Up {
				up++
			}
		}
		if up == len(f.Inventory.Directors) {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("fleet did not start: %d of %d directors are up", up, len(f.Inventory.Directors))
		}
	}
}

// Operator connects to the fleet with the certificate of the given name. The caller closes the
// connection.
func (f *LoopbackFleet) Operator(name string) (*ctl.Fleet, error) {
	identity, err := f.identity(name)
	if err != nil {
		return nil, err
	}
	return ctl.Open(f.Inventory, identity), nil
}

// Director returns a handle to signal and query the director of the given name, or nil if there is
// none.
func (f *LoopbackFleet) Director(name string) *agent.Director {
	for _, entry := range f.Inventory.Directors {
		if entry.Name == name {
			return &agent.Director{DirectorEntry: entry}
		}
	}
	return nil
}

// Close stops all agents and then all directors.
func (f *LoopbackFleet) Close() {
	var stopping sync.WaitGroup
	for _, a := range f.Inventory.Agents {
		stopping.Go(func() { f.StopAgent(a.Name) })
	}
	stopping.Wait()
	for _, entry := range f.Inventory.Directors {
		// Stop fails for a director that has already ended.
		stopping.Go(func() { _ = f.Director(entry.Name).Stop(context.Background()) })
	}
	stopping.Wait()
}
