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

// An agent that is told to end while it stores a promise ends once that is done: whoever opens the store next finds it whole, and
// nothing is begun beside what was waited for. Before, its end came first, and what the message began met a store that was closed.
func TestEndsAfterWhatItTook(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	keys := filepath.Join(dir, "keys")
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err == nil {
		err = authority.Init(keys, "test", now)
	}
	id := func(name string, role authority.Role) *authority.Identity {
		if err == nil {
			err = authority.Issue(keys, dir, name, []authority.Role{role}, time.Hour, now)
		}
		if err != nil {
			t.Fatal(err)
		}
		i, err := authority.Open(keys, filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem"))
		if err != nil {
			t.Fatal(err)
		}
		return i
	}
	op, own := id("op", authority.RoleEditor), id("a0", authority.RoleAgent)
	path := filepath.Join(dir, "fleet.star")
	text := fmt.Sprintf("fleet(lease = seconds(5), authority = %q)\nagent(\"a0\", address = %q, depot = \"d\")\n"+
		"director(\"n0\", agent = \"a0\", config = \"n0.json\", settings = %q, socket = \"n0.sock\", pidfile = \"n0.pid\")\n", keys, l.Addr(), path+"n")
	for at, text := range map[string]string{path: text, path + "n": ""} {
		if err := os.WriteFile(at, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	inv, err := config.LoadInventory(path)
	if err != nil {
		t.Fatal(err)
	}
	store, err := OpenStore(filepath.Join(dir, "a0.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	a, err := New(inv, "a0", own, store)
	if err != nil {
		t.Fatal(err)
	}
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.ServeListener(ctx, l) }()
	callers := NewClients(inv, op)
	defer callers.Close()
	say := func(n int64) error {
		_, err := callers.Send(t.Context(), "a0", rollout.Message{Type: rollout.Promise, Ballot: rollout.Ballot{Number: n, Holder: "op/1"}, Lease: 1})
		return err
	}
	if err := say(1); err != nil {
		t.Fatal(err)
	}
	tx, err := store.db.Begin(true) // a disk that takes its time
	if err != nil {
		t.Fatal(err)
	}
	go say(2)
	for until := time.Now().Add(10 * time.Second); a.mu.TryLock(); time.Sleep(time.Millisecond) {
		if a.mu.Unlock(); time.Now().After(until) {
			t.Fatal("the message did not come")
		}
	}
	leave()
	select {
	case err := <-ended:
		t.Errorf("ended (%v) while it stored what it took", err)
	case <-time.After(300 * time.Millisecond):
	}
	tx.Rollback()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("did not end")
	}
	if s, _, err := store.Load(); err != nil || s.Promised.Number != 2 {
		t.Errorf("promised %+v, %v", s.Promised, err)
	}
}
