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

func TestStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.db")
	s, err := OpenStore(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, ok, err := s.Load(); ok || err != nil {
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
	s.Close()
	if err := s.Save(want); err == nil {
		t.Error("saved into a closed file")
	}
	s, err = OpenStore(path)
	if err != nil {
		t.Fatal(err)
	}
	if got, ok, err := s.Load(); !ok || err != nil || got.Promised.Number != 49 || got.ActiveScripts["n0"] != "log()" {
		t.Errorf("%+v, %v, %v", got, ok, err)
	}
	s.db.Update(func(tx *bbolt.Tx) error { // a record that is not what was written
		b := tx.Bucket(stateBucket)
		raw := append([]byte(nil), b.Get(stateKey)...)
		raw[len(raw)-3] ^= 1
		return b.Put(stateKey, raw)
	})
	if _, _, err := s.Load(); !errors.Is(err, ErrCorrupt) {
		t.Errorf("a changed record: %v", err)
	}
	s.Close()
}

// A store that is cut off anywhere is either whole or one clear error, never something else.
func TestStoreCutOff(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a.db")
	s, err := OpenStore(path)
	if err != nil {
		t.Fatal(err)
	}
	state := rollout.State{ActiveScripts: map[string]string{}}
	for i := range 200 {
		state.ActiveScripts[fmt.Sprint("n", i)] = fmt.Sprintf("# %0200d", i)
	}
	if err := s.Save(state); err != nil {
		t.Fatal(err)
	}
	s.Close()
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := 0; cut < len(whole); cut += len(whole)/97 + 1 {
		half := filepath.Join(dir, fmt.Sprint("cut", cut))
		if err := os.WriteFile(half, whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := OpenStore(half)
		if err != nil {
			if !errors.Is(err, ErrCorrupt) {
				t.Errorf("cut at %d: %v", cut, err)
			}
			continue
		}
		got, ok, err := s.Load()
		if err == nil && ok && len(got.ActiveScripts) != 200 || err != nil && !errors.Is(err, ErrCorrupt) {
			t.Errorf("cut at %d: %d entries, %v", cut, len(got.ActiveScripts), err)
		}
		s.Close()
	}
}

func TestAudit(t *testing.T) {
	s, err := OpenStore(filepath.Join(t.TempDir(), "a.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for i := range 20 {
		if err := s.AppendAudit(time.UnixMilli(int64(i)), "op", fmt.Sprint("did ", i)); err != nil {
			t.Fatal(err)
		}
	}
	all, err := s.Audit()
	if err != nil || len(all) != 20 || all[19].Action != "did 19" || all[19].PreviousHash != all[18].Hash {
		t.Fatalf("%+v, %v", all, err)
	}
	change := func(do func(b *bbolt.Bucket, key []byte)) {
		s.db.Update(func(tx *bbolt.Tx) error {
			do(tx.Bucket(auditBucket), binary.BigEndian.AppendUint64(nil, 7))
			return nil
		})
	}
	change(func(b *bbolt.Bucket, key []byte) {
		var r AuditRecord
		json.Unmarshal(b.Get(key), &r)
		r.Actor = "nobody"
		text, _ := json.Marshal(r)
		b.Put(key, text)
	})
	if _, err := s.Audit(); err == nil {
		t.Error("a changed record was not seen")
	}
	change(func(b *bbolt.Bucket, key []byte) { b.Delete(key) })
	if _, err := s.Audit(); err == nil {
		t.Error("a gap was not seen")
	}
}
