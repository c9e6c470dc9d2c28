package agent

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"tallyproxy/internal/authority"
	"tallyproxy/internal/config"
	"tallyproxy/rollout"
)

// testAgent is an agent with one director that nobody starts, and a client of an operator who may change the fleet.
type testAgent struct {
	agent    *Agent
	store    *Store
	listener net.Listener
	clients  *Clients
}

func newTestAgent(t *testing.T) testAgent {
	t.Helper()
	dir, now := t.TempDir(), time.Now()
	keys := filepath.Join(dir, "keys")
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := authority.Init(keys, "test", now); err != nil {
		t.Fatal(err)
	}
	identity := func(name string, role authority.Role) *authority.Identity {
		if err := authority.Issue(keys, dir, name, []authority.Role{role}, time.Hour, now); err != nil {
			t.Fatal(err)
		}
		id, err := authority.Open(keys, filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem"))
		if err != nil {
			t.Fatal(err)
		}
		return id
	}
	path, settings := filepath.Join(dir, "fleet.star"), filepath.Join(dir, "n0.star")
	text := fmt.Sprintf("fleet(lease = seconds(5), authority = %q)\nagent(\"a0\", address = %q, depot = \"d\")\n"+
		"director(\"n0\", agent = \"a0\", config = \"n0.json\", settings = %q, socket = \"n0.sock\", pidfile = \"n0.pid\")\n", keys, l.Addr(), settings)
	for file, text := range map[string]string{path: text, settings: ""} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	inventory, err := config.LoadInventory(path)
	if err != nil {
		t.Fatal(err)
	}
	store := openStore(t, filepath.Join(dir, "a0.db"))
	t.Cleanup(func() { closeStore(t, store) })
	a, err := New(inventory, "a0", identity("a0", authority.RoleAgent), store)
	if err != nil {
		t.Fatal(err)
	}
	clients := NewClients(inventory, identity("op", authority.RoleEditor))
	t.Cleanup(clients.Close)
	return testAgent{a, store, l, clients}
}

// An agent that is told to end while it stores a promise ends once that is done: whoever opens the store next finds it whole, and
// nothing is begun besides what was waited for. Otherwise what the message began would meet a closed store.
func TestServeReturnsAfterSaving(t *testing.T) {
	checkReturnsAfterSaving(t, func(cancel func(), _ net.Listener) { cancel() }, false)
}

// The same where serving fails.
func TestServeReturnsAfterSavingWhenItFails(t *testing.T) {
	checkReturnsAfterSaving(t, func(_ func(), l net.Listener) { _ = l.Close() }, true)
}

// checkReturnsAfterSaving ends an agent that stores a promise, and checks when and how ServeListener returns.
func checkReturnsAfterSaving(t *testing.T, end func(cancel func(), l net.Listener), fails bool) {
	t.Helper()
	f := newTestAgent(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.agent.ServeListener(ctx, f.listener) }()
	promise := func(number int64) error {
		_, err := f.clients.Send(t.Context(), "a0",
			rollout.Message{Type: rollout.Promise, Ballot: rollout.Ballot{Number: number, Holder: "op/1"}, Lease: 1})
		return err
	}
	if err := promise(1); err != nil {
		t.Fatal(err)
	}
	tx, err := f.store.db.Begin(true) // as if the disk were slow
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = promise(2) }() // the reply may be lost as the agent ends
	for until := time.Now().Add(10 * time.Second); f.agent.mu.TryLock(); time.Sleep(time.Millisecond) {
		if f.agent.mu.Unlock(); time.Now().After(until) {
			t.Fatal("the message did not come")
		}
	}
	defer cancel()
	end(cancel, f.listener)
	select {
	case err := <-ended:
		t.Errorf("ended (%v) while it stored what it took", err)
	case <-time.After(300 * time.Millisecond):
	}
	if err := tx.Rollback(); err != nil {
		t.Error(err)
	}
	select {
	case err := <-ended:
		if (err != nil) != fails {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("did not end")
	}
	if state, _, err := f.store.Load(); err != nil || state.Promised.Number != 2 {
		t.Errorf("promised %+v, %v", state.Promised, err)
	}
}
