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
	maxSeeds          = 3 // directors whose addresses a new one is given, to find its cluster by
	fleetStartTimeout = 60 * time.Second
)

// LoopbackFleet is a fleet on loopback: an authority, an inventory, agents in this process and directors as processes. Its methods are
// safe for concurrent use.
type LoopbackFleet struct {
	Cluster      *fakes.Cluster    // what the directors talk to
	Dir          string            // has the files of all
	Inventory    *config.Inventory // agents and directors
	AuthorityDir string            // has the authority's keys

	mu     sync.Mutex
	agents map[string]*runningAgent // by name; guarded by mu
}

// runningAgent is an agent that serves.
type runningAgent struct {
	cancel context.CancelFunc
	served chan struct{} // closed once Serve has returned
	store  *agent.Store
}

// StartAgent starts an agent. Those of its directors that don't run start with it.
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
		_ = a.Serve(ctx) // the tool reports an agent that can't be reached
	}()
	f.mu.Lock()
	f.agents[name] = running
	f.mu.Unlock()
	return nil
}

// identity opens the certificate that the fleet's authority has issued for a name.
func (f *LoopbackFleet) identity(name string) (*authority.Identity, error) {
	return authority.Open(f.AuthorityDir, filepath.Join(f.Dir, name+".pem"), filepath.Join(f.Dir, name+"-key.pem"))
}

// StopAgent stops an agent; its directors go on.
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
	_ = running.store.Close() // each change was committed when it was made
}

// Start starts all agents, and waits until every director reports its state.
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
			return fmt.Errorf("%d of %d directors are up", up, len(f.Inventory.Directors))
		}
	}
}

// Operator connects to the fleet with the certificate of a name. The caller closes it.
func (f *LoopbackFleet) Operator(name string) (*ctl.Fleet, error) {
	identity, err := f.identity(name)
	if err != nil {
		return nil, err
	}
	return ctl.Open(f.Inventory, identity), nil
}

// Director is the director of a name, to be signalled and queried; nil where there is none.
func (f *LoopbackFleet) Director(name string) *agent.Director {
	for _, entry := range f.Inventory.Directors {
		if entry.Name == name {
			return &agent.Director{DirectorEntry: entry}
		}
	}
	return nil
}

// Close stops all agents, and then all directors.
func (f *LoopbackFleet) Close() {
	var stopping sync.WaitGroup
	for _, a := range f.Inventory.Agents {
		stopping.Go(func() { f.StopAgent(a.Name) })
	}
	stopping.Wait()
	for _, entry := range f.Inventory.Directors {
		stopping.Go(func() { _ = f.Director(entry.Name).Stop(context.Background()) }) // one that has ended can't be stopped
	}
	stopping.Wait()
}
