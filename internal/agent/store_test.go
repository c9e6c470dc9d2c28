package agent

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"tallyproxy/rollout"
)

// openStore opens a store that must be intact.
func openStore(t *testing.T, path string) *Store {
	t.Helper()
	s, err := OpenStore(path)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func closeStore(t *testing.T, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// updateBucket changes a bucket without the store's methods.
func updateBucket(t *testing.T, s *Store, name []byte, change func(b *bbolt.Bucket) error) {
	t.Helper()
	if err := s.db.Update(func(tx *bbolt.Tx) error { return change(tx.Bucket(name)) }); err != nil {
		t.Fatal(err)
	}
}

// TestStore guards against a store that loses or alters a saved state, or that two agents have open
// at the same time.
func TestStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.db")
	s := openStore(t, path)
	if _, found, err := s.Load(); found || err != nil {
		t.Errorf("a new store contains a state: %v", err)
	}
	want := rollout.State{Promised: rollout.Ballot{Number: 3, Holder: "op"}, ActiveScripts: map[string]string{"n0": "log()"}}
	for i := range 50 {
		want.Promised.Number = int64(i)
		if err := s.Save(want); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := OpenStore(path); err == nil {
		t.Error("the store was opened twice at the same time")
	}
	closeStore(t, s)
	if err := s.Save(want); err == nil {
		t.Error("saved into a closed store")
	}
	s = openStore(t, path)
	defer closeStore(t, s)
	if got, found, err := s.Load(); !found || err != nil || got.Promised.Number != 49 || got.ActiveScripts["n0"] != "log()" {
		t.Errorf("%+v, %v, %v", got, found, err)
	}
	// Change the stored state.
	updateBucket(t, s, stateBucket, func(b *bbolt.Bucket) error {
		raw := append([]byte(nil), b.Get(stateKey)...)
		raw[len(raw)-3] ^= 1
		return b.Put(stateKey, raw)
	})
	if _, _, err := s.Load(); !errors.Is(err, ErrCorrupt) {
		t.Errorf("a changed state: %v", err)
	}
}

// TestStoreTruncated guards against a truncated store that returns wrong data: it must be intact or
// return ErrCorrupt.
func TestStoreTruncated(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a.db")
	s := openStore(t, path)
	state := rollout.State{ActiveScripts: map[string]string{}}
	for i := range 200 {
		state.ActiveScripts[fmt.Sprint("n", i)] = fmt.Sprintf("# %0200d", i)
	}
	if err := s.Save(state); err != nil {
		t.Fatal(err)
	}
	closeStore(t, s)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for size := 0; size < len(raw); size += len(raw)/97 + 1 {
		truncated := filepath.Join(dir, fmt.Sprint("cut", size))
		if err := os.WriteFile(truncated, raw[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := OpenStore(truncated)
		if err != nil {
			if !errors.Is(err, ErrCorrupt) {
				t.Errorf("truncated to %d bytes: %v", size, err)
			}
			continue
		}
		got, found, err := s.Load()
		if err == nil && found && len(got.ActiveScripts) != 200 || err != nil && !errors.Is(err, ErrCorrupt) {
			t.Errorf("truncated to %d bytes: %d scripts, %v", size, len(got.ActiveScripts), err)
		}
		_ = s.Close() // the file may be damaged
	}
}

// TestAudit guards against a changed or missing audit record that is not detected.
func TestAudit(t *testing.T) {
	s := openStore(t, filepath.Join(t.TempDir(), "a.db"))
	defer closeStore(t, s)
	for i := range 20 {
		if err := s.AppendAudit(time.UnixMilli(int64(i)), "op", fmt.Sprint("did ", i)); err != nil {
			t.Fatal(err)
		}
	}
	records, err := s.Audit()
	if err != nil || len(records) != 20 || records[19].Action != "did 19" || records[19].PreviousHash != records[18].Hash {
		t.Fatalf("%+v, %v", records, err)
	}
	key := binary.BigEndian.AppendUint64(nil, 7)
	updateBucket(t, s, auditBucket, func(b *bbolt.Bucket) error {
		var r AuditRecord
		if err := json.Unmarshal(b.Get(key), &r); err != nil {
			return err
		}
		r.Actor = "nobody"
		text, err := json.Marshal(r)
		if err != nil {
			return err
		}
		return b.Put(key, text)
	})
	if _, err := s.Audit(); err == nil {
		t.Error("a changed record was not detected")
	}
	updateBucket(t, s, auditBucket, func(b *bbolt.Bucket) error { return b.Delete(key) })
	if _, err := s.Audit(); err == nil {
		t.Error("a missing record was not detected")
	}
}
