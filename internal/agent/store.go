// Package agent looks after the directors of one machine: it keeps prepared and decided changes in a store, puts them in
// force, reads back what the directors run, and takes up after its own crash. What it decides is in fleet/.
package agent

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"

	"tallyproxy/rollout"
)

var (
	stateBucket = []byte("state")
	stateKey    = []byte("agent")
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
)

// ErrCorrupt is of a store whose record is not what was written.
var ErrCorrupt = errors.New("the record is damaged")

// Store keeps an agent's state in one file. A state that Save has returned for is there after a crash, whole.
type Store struct{ db *bbolt.DB }

// OpenStore opens or makes the file; another agent that has it open is an error after a second.
func OpenStore(path string) (s *Store, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // the file is mapped: what was cut off it faults
	defer func() {
		if bad := recover(); bad != nil { // a file that was cut off can fault the library
			s, err = nil, fmt.Errorf("%s: %w: %v", path, ErrCorrupt, bad)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("%s: another agent has it open", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %v", path, ErrCorrupt, err)
	}
	return &Store{db}, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Load gives what was saved last; ok is false where nothing was.
func (s *Store) Load() (state rollout.State, ok bool, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if bad := recover(); bad != nil {
			err = fmt.Errorf("%w: %v", ErrCorrupt, bad)
		}
	}()
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(stateBucket)
		if b == nil {
			return nil
		}
		raw := b.Get(stateKey)
		if raw == nil {
			return nil
		}
		if len(raw) < 4 || binary.BigEndian.Uint32(raw) != crc32.Checksum(raw[4:], castagnoli) {
			return ErrCorrupt
		}
		if err := json.Unmarshal(raw[4:], &state); err != nil {
			return fmt.Errorf("%w: %v", ErrCorrupt, err)
		}
		ok = true
		return nil
	})
	return state, ok, err
}

// Save keeps a state; an error means that the one before is still there.
func (s *Store) Save(state rollout.State) error {
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	raw := binary.BigEndian.AppendUint32(nil, crc32.Checksum(text, castagnoli))
	return s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(stateBucket)
		if err != nil {
			return err
		}
		return b.Put(stateKey, append(raw, text...))
	})
}
