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

const mostRecords = 10_000

// AuditRecord is one line of the audit log: who had this agent do what, when. Each carries the hash of the one before.
type AuditRecord struct {
	Number       int64  `json:"number"`
	UnixMS       int64  `json:"unix_ms"`
	Actor        string `json:"who"`
	Action       string `json:"what"`
	PreviousHash string `json:"before"`
	Hash         string `json:"hash"`
}

func (r AuditRecord) sum() string {
	r.Hash = ""
	text, _ := json.Marshal(r)
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// AppendAudit adds a record; the oldest go where there are too many.
func (s *Store) AppendAudit(now time.Time, who, what string) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(auditBucket)
		if err != nil {
			return err
		}
		r := AuditRecord{Number: 1, UnixMS: now.UnixMilli(), Actor: who, Action: what}
		c := b.Cursor()
		if _, last := c.Last(); last != nil {
			var before AuditRecord
			if err := json.Unmarshal(last, &before); err != nil {
				return fmt.Errorf("audit: %w", ErrCorrupt)
			}
			r.Number, r.PreviousHash = before.Number+1, before.Hash
		}
		r.Hash = r.sum()
		text, err := json.Marshal(r)
		if err != nil {
			return err
		}
		if err := b.Put(binary.BigEndian.AppendUint64(nil, uint64(r.Number)), text); err != nil {
			return err
		}
		if first, _ := c.First(); first != nil && r.Number-int64(binary.BigEndian.Uint64(first)) >= mostRecords {
			return b.Delete(first)
		}
		return nil
	})
}

// Audit gives the records, checked: a gap, a changed record or one that does not follow its predecessor is an error.
func (s *Store) Audit() (all []AuditRecord, err error) {
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
			if n := len(all); r.Hash != r.sum() || n > 0 && (r.PreviousHash != all[n-1].Hash || r.Number != all[n-1].Number+1) {
				return fmt.Errorf("audit: record %d is not what was written", r.Number)
			}
			all = append(all, r)
			return nil
		})
	})
	return all, err
}
