package agent

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

var auditBucket = []byte("audit")

// maxAuditRecords is the number of records that are kept.
const maxAuditRecords = 10_000

// AuditRecord records an action of this agent and who requested it. Each record has the hash of the
// previous one, so that a changed or missing record is detected. The hash covers the JSON text: the
// names, the order and the form of the fields are part of the stored chain.
type AuditRecord struct {
	Number       int64  `json:"number"`  // from 1, without gaps
	UnixMS       int64  `json:"unix_ms"` // time in milliseconds since 1970
	Actor        string `json:"who"`     // name in the caller's certificate, or of this agent
	Action       string `json:"what"`    // the action, the change and the result
	PreviousHash string `json:"before"`  // Hash of the previous record; empty in the first
	Hash         string `json:"hash"`    // hex SHA-256 of the JSON text with an empty Hash
}

func (r AuditRecord) hash() string {
	r.Hash = ""
	text, _ := json.Marshal(r) // marshaling strings and numbers cannot fail
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// AppendAudit appends a record and drops the oldest one beyond maxAuditRecords.
func (s *Store) AppendAudit(now time.Time, actor, action string) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(auditBucket)
		if err != nil {
			return err
		}
		r := AuditRecord{Number: 1, UnixMS: now.UnixMilli(), Actor: actor, Action: action}
		c := b.Cursor()
		if _, last := c.Last(); last != nil {
			var previous AuditRecord
			if err := json.Unmarshal(last, &previous); err != nil {
				return fmt.Errorf("audit: %w", ErrCorrupt)
			}
			r.Number, r.PreviousHash = previous.Number+1, previous.Hash
		}
		r.Hash = r.hash()
		text, err := json.Marshal(r)
		if err != nil {
			return err
		}
		if err := b.Put(binary.BigEndian.AppendUint64(nil, uint64(r.Number)), text); err != nil {
			return err
		}
		if first, _ := c.First(); first != nil && r.Number-int64(binary.BigEndian.Uint64(first)) >= maxAuditRecords {
			return b.Delete(first)
		}
		return nil
	})
}

// Audit returns the records, oldest first. It returns an error if a record is missing, was changed,
// or does not continue the chain of hashes.
func (s *Store) Audit() (records []AuditRecord, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(auditBucket)
		if b == nil {
			return nil
		}
		return b.ForEach(func(_, text []byte) error {
			var r AuditRecord
			if err := json.Unmarshal(text, &r); err != nil {
				return fmt.Errorf("audit: a record can't be read: %w", err)
			}
			if r.Hash != r.hash() || len(records) > 0 && !r.continues(records[len(records)-1]) {
				return fmt.Errorf("audit: record %d is not what was written", r.Number)
			}
			records = append(records, r)
			return nil
		})
	})
	return records, err
}

// continues reports whether a record directly follows previous in the chain.
func (r AuditRecord) continues(previous AuditRecord) bool {
	return r.PreviousHash == previous.Hash && r.Number == previous.Number+1
}
