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

// maxOutgoingCalls bounds the calls to other agents that are under way.
const maxOutgoingCalls = 256

// Agent is one machine's agent. New makes it, Serve runs it once.
type Agent struct {
	fleetpb.UnimplementedAgentServer
	inventory *config.Inventory
	entry     config.AgentEntry // this agent's, in the inventory
	identity  *authority.Identity
	store     *Store
	directors map[string]*Director // by name; fixed
	clients   *Clients             // of the other agents
	started   time.Time            // the zero of now

	runContext    context.Context // of Serve; set before the service takes calls
	tasks         sync.WaitGroup  // commands, calls to other agents, and one supervisor for each director
	outgoingCalls chan struct{}   // holds a token for each call under way
	membership    atomic.Pointer[gossipnet.Driver]

	mu       sync.Mutex
	state    *rollout.Agent    // guarded by mu; replaced where a save fails
	recovery *rollout.Recovery // guarded by mu
}

// New makes the named agent of what is stored, and of what the directors' settings files say for those that nothing is stored of. The
// caller keeps the store and closes it after Serve has returned.
func New(inventory *config.Inventory, name string, identity *authority.Identity, store *Store) (*Agent, error) {
	entry := inventory.Agent(name)
	if entry == nil {
		return nil, fmt.Errorf("%s: there is no agent %q", inventory.Path, name)
	}
	if identity.Name() != name {
		return nil, fmt.Errorf("the certificate is that of %q, not of %q", identity.Name(), name)
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

// load makes the state machine and its recovery of what is stored. The caller holds the mutex or is New.
func (a *Agent) load() error {
	state, complete, err := a.store.Load()
	if err != nil {
		return err
	}
	if state.ActiveScripts == nil {
		state.ActiveScripts = map[string]string{}
	}
	for name := range state.ActiveScripts { // directors that the inventory no longer has
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

// checkScript reads a script as the director would.
func checkScript(instance, script string) error {
	_, err := config.ParseOperator(instance+".star", []byte(script))
	return err
}

func checksum(script string) string { return config.Digest([]byte(script)) }

// now returns the time since New in microseconds, on the monotonic clock.
func (a *Agent) now() policy.Micros { return policy.MicrosOf(time.Since(a.started)) }

// save stores the state if it has changed. Where that fails, as on a full disk, the agent returns to what is stored: it must not promise
// what it can't remember. The caller holds the mutex.
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

// audit appends a record. A record that can't be written stops nothing.
func (a *Agent) audit(actor, action string) {
	if err := a.store.AppendAudit(time.Now(), actor, action); err != nil {
		slog.Error(logevent.AuditWriteFailed, "agent", a.entry.Name, "err", err)
	}
}
