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
	bbolterrors "go.etcd.io/bbolt/errors"

	"tallyproxy/rollout"
)

// The state is stored as one value: the CRC-32C of its JSON text, four bytes big-endian, and the
// text.
var (
	stateBucket = []byte("state")
	stateKey    = []byte("agent")
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
)

// lockTimeout is how long OpenStore waits for a file that another process has open.
const lockTimeout = time.Second

var errOtherProcess = errors.New("another process has the store open")

// ErrCorrupt is wrapped by the errors of a store that does not contain what was written.
var ErrCorrupt = errors.New("the record is damaged")

// Store keeps an agent's state and its audit records in one bbolt file. Data for which Save or
// AppendAudit has returned is complete after a crash. Store is safe for concurrent use.
type Store struct{ db *bbolt.DB }

// OpenStore opens the file or creates it. It fails after a second if another process has the file
// open, and with ErrCorrupt if the file is damaged.
func OpenStore(path string) (s *Store, err error) {
	// bbolt maps the file into memory. An access to the missing part of a truncated file is a
	// memory fault, which must be turned into a panic to be recovered.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			s, err = nil, fmt.Errorf("%s: %w: %v", path, ErrCorrupt, cause)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: %w", path, errOtherProcess)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, ErrCorrupt, err)
	}
	return &Store{db}, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Load returns the state that was saved last; found is false if no state was saved. It returns
// ErrCorrupt if the stored data is not what was saved.
func (s *Store) Load() (state rollout.State, found bool, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", ErrCorrupt, cause)
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
			return fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		found = true
		return nil
	})
	return state, found, err
}

// Save stores a state on disk. After an error, the previous state is still stored.
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
