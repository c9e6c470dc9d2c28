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

// testAgent is an agent with one director that is not started, and clients that call the agent as
// an operator with RoleEditor.
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
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
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
		"director(\"n0\", agent = \"a0\", config = \"n0.json\", settings = %q, socket = \"n0.sock\", pidfile = \"n0.pid\")\n", keys, listener.Addr(), settings)
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
	return testAgent{a, store, listener, clients}
}

// TestServeReturnsAfterSaving guards against an agent that returns from ServeListener while it
// still stores a promise: the work that the message has started would then use a closed store. The
// promise must be in the store when it is next read.
func TestServeReturnsAfterSaving(t *testing.T) {
	checkReturnsAfterSaving(t, func(cancel func(), _ net.Listener) { cancel() }, false)
}

// TestServeReturnsAfterSavingWhenItFails checks the same if serving fails.
func TestServeReturnsAfterSavingWhenItFails(t *testing.T) {
	checkReturnsAfterSaving(t, func(_ func(), listener net.Listener) { _ = listener.Close() }, true)
}

// checkReturnsAfterSaving stops an agent that is storing a promise, and checks when and how
// ServeListener returns.
func checkReturnsAfterSaving(t *testing.T, stop func(cancel func(), listener net.Listener), wantErr bool) {
	t.Helper()
	test := newTestAgent(t)
	ctx, cancel := context.WithCancel(t.Context())
	returned := make(chan error, 1)
	go func() { returned <- test.agent.ServeListener(ctx, test.listener) }()
	promise := func(number int64) error {
		_, err := test.clients.Send(t.Context(), "a0",
			rollout.Message{Type: rollout.Promise, Ballot: rollout.Ballot{Number: number, Holder: "op/1"}, Lease: 1})
		return err
	}
	if err := promise(1); err != nil {
		t.Fatal(err)
	}
	tx, err := test.store.db.Begin(true) // simulates a slow disk
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = promise(2) }() // the reply may be lost as the agent stops
	for deadline := time.Now().Add(10 * time.Second); test.agent.mu.TryLock(); time.Sleep(time.Millisecond) {
		if test.agent.mu.Unlock(); time.Now().After(deadline) {
			t.Fatal("the message did not arrive")
		}
	}
	defer cancel()
	stop(cancel, test.listener)
	select {
	case err := <-returned:
		t.Errorf("returned (%v) while it was storing the promise", err)
	case <-time.After(300 * time.Millisecond):
	}
	if err := tx.Rollback(); err != nil {
		t.Error(err)
	}
	select {
	case err := <-returned:
		if (err != nil) != wantErr {
			t.Errorf("returned %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("did not return")
	}
	if state, _, err := test.store.Load(); err != nil || state.Promised.Number != 2 {
		t.Errorf("promised %+v, %v", state.Promised, err)
	}
}
