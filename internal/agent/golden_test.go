package agent

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"tallyproxy/rollout"
)

func goldenState() rollout.State {
	return rollout.State{
		Promised: rollout.Ballot{Number: 7, Holder: "op/1"},
		Entries: []*rollout.Entry{{
			Change: &rollout.Change{ID: "c1", Author: "op/1", Note: "why", Reverts: "c0", Targets: []rollout.Target{
				{Instance: "n0", Agent: "a0", Base: "sum", Script: "log()", Wave: 2},
			}},
			Vote: &rollout.Vote{Ballot: rollout.Ballot{Number: 7, Holder: "op/1"}, Outcome: rollout.Abort}, Outcome: rollout.Commit, AllowedWaves: 2, Final: true,
			TargetStates: map[string]*rollout.TargetState{"n0": {Phase: rollout.PhaseFailed, Reason: "bad", PreviousScript: "old()"}},
		}},
		ActiveScripts: map[string]string{"n0": "log()"},
		Completed:     []rollout.CompletedChange{{ID: "c0", Outcome: rollout.Abort, AllowedWaves: 3, Final: true}},
	}
}

// goldenRecords returns the records of testdata/agent.db, which was written by an earlier version.
func goldenRecords() []AuditRecord {
	return []AuditRecord{
		{1, 1_700_000_000_000, "op", "take c1 open ok=true", "", "277cf9085fd28a102b98e1e44b3798f69b7eda7dc7ca1896f63d55f11627c665"},
		{2, 1_700_000_000_001, "op", "decide c1 go ok=true", "277cf9085fd28a102b98e1e44b3798f69b7eda7dc7ca1896f63d55f11627c665", "3dad54c961bf9036f4fdbedd50c5a73c6dabcdfa0251c2cd368d5ac47d4c1375"},
		{3, 1_700_000_000_002, "a0", "settled, put in force c1 n0", "3dad54c961bf9036f4fdbedd50c5a73c6dabcdfa0251c2cd368d5ac47d4c1375", "dae87a5225963e815ff2e323f52c61a5eab3ec095da21e01b57edf70d578bcba"},
	}
}

const goldenStored = "8d1fd2f67b2270726f6d69736564223a7b226e223a372c22686f6c646572223a226f702f31227d2c22656e7472696573223a5b7b226368616e6765223a7b226964223a226331222c226279223a226f702f31222c226e6f7465223a22776879222c22756e646f6573223a226330222c2274617267657473223a5b7b22696e7374616e6365223a226e30222c226167656e74223a226130222c2262617365223a2273756d222c22736372697074223a226c6f672829222c2277617665223a327d5d7d2c22766f7465223a7b2262616c6c6f74223a7b226e223a372c22686f6c646572223a226f702f31227d2c226f7574636f6d65223a327d2c226f7574636f6d65223a312c227761766573223a322c2266696e616c223a747275652c226c6f63616c223a7b226e30223a7b227068617365223a342c22776879223a22626164222c226265666f7265223a226f6c642829227d7d7d5d2c22696e5f666f726365223a7b226e30223a226c6f672829227d2c2270617374223a5b7b226964223a226330222c226f7574636f6d65223a322c227761766573223a332c2266696e616c223a747275657d5d7d"

func goldenKeys(t *testing.T, s *Store) (stored string, numbers []uint64) {
	t.Helper()
	err := s.db.View(func(tx *bbolt.Tx) error {
		stored = hex.EncodeToString(tx.Bucket([]byte("state")).Get([]byte("agent")))
		return tx.Bucket([]byte("audit")).ForEach(func(key, _ []byte) error {
			numbers = append(numbers, binary.BigEndian.Uint64(key))
			return nil
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return stored, numbers
}

func checkGoldenStore(t *testing.T, s *Store) {
	t.Helper()
	if got, ok, err := s.Load(); err != nil || !ok || !reflect.DeepEqual(got, goldenState()) {
		t.Errorf("loaded %+v, %v, %v", got, ok, err)
	}
	if got, err := s.Audit(); err != nil || !reflect.DeepEqual(got, goldenRecords()) {
		t.Errorf("audit %+v, %v", got, err)
	}
	stored, numbers := goldenKeys(t, s)
	if stored != goldenStored {
		t.Errorf("stored %s\nwant   %s", stored, goldenStored)
	}
	if !reflect.DeepEqual(numbers, []uint64{1, 2, 3}) {
		t.Errorf("audit keys %v", numbers)
	}
}

// TestGoldenStoreOfEarlierVersion guards against a store of an earlier version that cannot be read
// completely, fails the check of its chain of hashes, or cannot be appended to.
func TestGoldenStoreOfEarlierVersion(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "agent.db"))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "agent.db")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	s := openStore(t, path)
	defer closeStore(t, s)
	checkGoldenStore(t, s)
	if err := s.AppendAudit(time.UnixMilli(1_700_000_000_003), "op", "prepare c2 open ok=true"); err != nil {
		t.Fatal(err)
	}
	all, err := s.Audit()
	if err != nil || len(all) != 4 || all[3].PreviousHash != goldenRecords()[2].Hash || all[3].Hash != "6818f5e552b8bf6905babd5042dee084f0f894a695c57a3655cddcd71b5b14a7" {
		t.Errorf("after appending a record: %+v, %v", all, err)
	}
}

// TestGoldenStoreWritten guards against a stored form that earlier versions cannot read.
func TestGoldenStoreWritten(t *testing.T) {
	s := openStore(t, filepath.Join(t.TempDir(), "agent.db"))
	defer closeStore(t, s)
	if err := s.Save(goldenState()); err != nil {
		t.Fatal(err)
	}
	for _, r := range goldenRecords() {
		if err := s.AppendAudit(time.UnixMilli(r.UnixMS), r.Actor, r.Action); err != nil {
			t.Fatal(err)
		}
	}
	checkGoldenStore(t, s)
}

// TestGoldenAuditJSON guards against changes of the JSON text of audit records, which their hashes
// cover.
func TestGoldenAuditJSON(t *testing.T) {
	text, err := json.Marshal(goldenRecords()[1])
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"number":2,"unix_ms":1700000000001,"who":"op","what":"decide c1 go ok=true","before":"277cf9085fd28a102b98e1e44b3798f69b7eda7dc7ca1896f63d55f11627c665","hash":"3dad54c961bf9036f4fdbedd50c5a73c6dabcdfa0251c2cd368d5ac47d4c1375"}`
	if string(text) != want {
		t.Errorf("got  %s\nwant %s", text, want)
	}
	var decoded AuditRecord
	if err := json.Unmarshal([]byte(want), &decoded); err != nil || decoded != goldenRecords()[1] {
		t.Errorf("read back as %+v, %v", decoded, err)
	}
}
