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

// openStore opens a store that the test expects to be whole.
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

// updateBucket changes a bucket behind the store's back.
func updateBucket(t *testing.T, s *Store, name []byte, change func(b *bbolt.Bucket) error) {
	t.Helper()
	if err := s.db.Update(func(tx *bbolt.Tx) error { return change(tx.Bucket(name)) }); err != nil {
		t.Fatal(err)
	}
}

func TestStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.db")
	s := openStore(t, path)
	if _, found, err := s.Load(); found || err != nil {
		t.Errorf("a new one has something: %v", err)
	}
	want := rollout.State{Promised: rollout.Ballot{Number: 3, Holder: "op"}, ActiveScripts: map[string]string{"n0": "log()"}}
	for i := range 50 {
		want.Promised.Number = int64(i)
		if err := s.Save(want); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := OpenStore(path); err == nil {
		t.Error("two agents have one store open")
	}
	closeStore(t, s)
	if err := s.Save(want); err == nil {
		t.Error("saved into a closed file")
	}
	s = openStore(t, path)
	defer closeStore(t, s)
	if got, found, err := s.Load(); !found || err != nil || got.Promised.Number != 49 || got.ActiveScripts["n0"] != "log()" {
		t.Errorf("%+v, %v, %v", got, found, err)
	}
	updateBucket(t, s, stateBucket, func(b *bbolt.Bucket) error { // a state that is not what was saved
		raw := append([]byte(nil), b.Get(stateKey)...)
		raw[len(raw)-3] ^= 1
		return b.Put(stateKey, raw)
	})
	if _, _, err := s.Load(); !errors.Is(err, ErrCorrupt) {
		t.Errorf("a changed record: %v", err)
	}
}

// A store that is truncated anywhere is either whole or gives one clear error, never something else.
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
				t.Errorf("cut at %d: %v", size, err)
			}
			continue
		}
		got, found, err := s.Load()
		if err == nil && found && len(got.ActiveScripts) != 200 || err != nil && !errors.Is(err, ErrCorrupt) {
			t.Errorf("cut at %d: %d entries, %v", size, len(got.ActiveScripts), err)
		}
		_ = s.Close() // of a file that is damaged
	}
}

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
		t.Error("a changed record was not seen")
	}
	updateBucket(t, s, auditBucket, func(b *bbolt.Bucket) error { return b.Delete(key) })
	if _, err := s.Audit(); err == nil {
		t.Error("a gap was not seen")
	}
}
