package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"tallyproxy/internal/authority"
	"tallyproxy/internal/config"
	"tallyproxy/internal/fleetpb"
	"tallyproxy/internal/gossipnet"
	"tallyproxy/internal/logevent"
	"tallyproxy/policy"
	"tallyproxy/rollout"
)

// maxOutgoingCalls limits the concurrent calls to other agents.
const maxOutgoingCalls = 256

// Agent is the agent of one machine. New creates it, and Serve runs it once.
type Agent struct {
	fleetpb.UnimplementedAgentServer
	inventory *config.Inventory
	entry     config.AgentEntry // this agent's entry in the inventory
	identity  *authority.Identity
	store     *Store
	directors map[string]*Director // by name; not modified after New
	clients   *Clients             // for calls to the other agents
	started   time.Time            // now counts from this time

	runContext    context.Context // of Serve; set before the service accepts calls
	tasks         sync.WaitGroup  // commands, outgoing calls and one supervisor per director
	outgoingCalls chan struct{}   // holds a token for each call in progress
	membership    atomic.Pointer[gossipnet.Driver]

	mu       sync.Mutex
	state    *rollout.Agent    // guarded by mu; replaced if a save fails
	recovery *rollout.Recovery // guarded by mu
}

// New returns the named agent with its stored state. It reads the scripts of directors that have no
// stored script from their settings files. The caller owns the store and closes it after Serve has
// returned.
func New(inventory *config.Inventory, name string, identity *authority.Identity, store *Store) (*Agent, error) {
	entry := inventory.Agent(name)
	if entry == nil {
		return nil, fmt.Errorf("%s: there is no agent %q", inventory.Path, name)
	}
	if identity.Name() != name {
		return nil, fmt.Errorf("the certificate was issued to %q, not to %q", identity.Name(), name)
	}
	a := &Agent{
		inventory: inventory, entry: *entry, identity: identity, store: store, directors: map[string]*Director{}, started: time.Now(),
		clients: NewClients(inventory, identity), outgoingCalls: make(chan struct{}, maxOutgoingCalls),
	}
	for _, e := range inventory.DirectorsOf(name) {
		a.directors[e.Name] = &Director{DirectorEntry: e}
	}
	return a, a.load()
}

// load creates the state machine and its recovery from the stored state. The caller holds the mutex
// or is New.
func (a *Agent) load() error {
	state, complete, err := a.store.Load()
	if err != nil {
		return err
	}
	if state.ActiveScripts == nil {
		state.ActiveScripts = map[string]string{}
	}
	for name := range state.ActiveScripts { // drop directors that are no longer in the inventory
		if a.directors[name] == nil {
			delete(state.ActiveScripts, name)
		}
	}
	for name, director := range a.directors {
		if _, stored := state.ActiveScripts[name]; stored {
			continue
		}
		script, err := os.ReadFile(director.SettingsFile)
		if err != nil {
			return fmt.Errorf("director %s: %w", name, err)
		}
		state.ActiveScripts[name], complete = string(script), false
	}
	timeouts := rollout.DefaultTimeouts()
	timeouts.Lease = a.inventory.LeaseDuration
	a.state = rollout.NewAgent(a.now(), a.entry.Name, state, timeouts.Lease, checkScript, checksum)
	a.recovery = rollout.NewRecovery(a.now(), a.state, a.inventory.AgentNames(), timeouts)
	if !complete {
		return a.store.Save(a.state.State)
	}
	return nil
}

// checkScript parses a script as the director does.
func checkScript(instance, script string) error {
	_, err := config.ParseOperator(instance+".star", []byte(script))
	return err
}

func checksum(script string) string { return config.Digest([]byte(script)) }

// now returns the time since New in microseconds, on the monotonic clock.
func (a *Agent) now() policy.Micros { return policy.MicrosOf(time.Since(a.started)) }

// save stores the state if it has changed. If that fails, for example because the disk is full, the
// agent returns to the stored state: it must not promise what it cannot remember. The caller holds
// the mutex.
func (a *Agent) save() error {
	if !a.state.TakeDirty() {
		return nil
	}
	err := a.store.Save(a.state.State)
	if err != nil {
		slog.Error(logevent.StoreWriteFailed, "agent", a.entry.Name, "err", err)
		if loadErr := a.load(); loadErr != nil {
			err = errors.Join(err, loadErr)
		}
	}
	return err
}

// audit appends an audit record. A failure to write it is logged and otherwise ignored.
func (a *Agent) audit(actor, action string) {
	if err := a.store.AppendAudit(time.Now(), actor, action); err != nil {
		slog.Error(logevent.AuditWriteFailed, "agent", a.entry.Name, "err", err)
	}
}
