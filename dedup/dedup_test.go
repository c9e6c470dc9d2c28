package dedup

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"tallyproxy/policy"
)

const window = 3 * policy.Second

// TestAgainstList compares the table with a plain list of attempts. It guards against a record that
// is newer than the first attempt that may have run, or that is missing while that attempt matters.
func TestAgainstList(t *testing.T) {
	type sentAttempt struct {
		at       policy.Micros
		ran      bool
		reported bool
	}
	rapid.Check(t, func(t *rapid.T) {
		table := New(Settings{MaxRecords: 4, RetainWindows: 2})
		attempts := map[string][]*sentAttempt{}
		now := policy.Second
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			key := fmt.Sprint("k", rapid.IntRange(0, 6).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				now += policy.Micros(rapid.IntRange(0, 4_000_000).Draw(t, "step"))
			case 1:
				if table.Lookup(now, key, window); table.CanRecord(key) {
					table.RecordAttempt(now, key, window, 1, 2)
					attempts[key] = append(attempts[key], &sentAttempt{at: now, ran: true})
				} else if record := table.records[key]; record != nil {
					t.Fatal("no room for a key that has a record")
				}
			case 2:
				for _, s := range attempts[key] {
					if !s.reported && s.ran {
						s.ran, s.reported = false, true
						table.AttemptNotRun(key, s.at)
						break
					}
				}
			}
			record := table.Lookup(now, key, window)
			oldest := policy.Micros(0)
			// An attempt that may have run within the window must be recorded, with a time that is
			// not later.
			for _, s := range attempts[key] {
				if s.ran && now < s.at+window && (oldest == 0 || s.at < oldest) {
					oldest = s.at
				}
			}
			if oldest > 0 && (record == nil || record.FirstAttemptAt > oldest) {
				t.Fatalf("%s: sent at %d, record %+v", key, oldest, record)
			}
			if records, _ := table.Counts(); records > 4 {
				t.Fatalf("%d records", records)
			}
		}
		now += 100 * policy.Second
		table.Lookup(now, "", window)
		table.Lookup(now, "k0", window)
		if records, _ := table.Counts(); records != 0 {
			t.Fatalf("%d records left long after their retention time", records)
		}
	})
}

// TestFullTable guards against a full table that rejects a recorded key or accepts a new one, and
// against a disabled table that stores a key.
func TestFullTable(t *testing.T) {
	table := New(Settings{MaxRecords: 2, RetainWindows: 1})
	table.RecordAttempt(0, "a", window, 0, 0)
	table.RecordAttempt(0, "b", window, 0, 0)
	if !table.CanRecord("a") || table.CanRecord("c") {
		t.Error("a full table must accept a recorded key and reject a new one")
	}
	table.AttemptNotRun("a", 0)
	if !table.CanRecord("c") {
		t.Error("no room after an attempt was removed")
	}
	if records, rejected := table.Counts(); records != 1 || rejected != 1 {
		t.Errorf("%d records, %d rejected", records, rejected)
	}
	disabled := New(Settings{})
	if disabled.RecordAttempt(0, "a", window, 0, 0); disabled.Lookup(0, "a", window) != nil || !disabled.CanRecord("a") {
		t.Error("a disabled table stores or rejects a key")
	}
}

// TestUnknownKeys guards against a wrong decision on retries with an unknown key.
func TestUnknownKeys(t *testing.T) {
	for _, c := range []struct {
		fails   bool
		timeout policy.Micros
		want    bool
	}{{false, 10 * policy.Second, false}, {true, 10 * policy.Second, true}, {true, window, false}} {
		if got := New(Settings{FailUnknownRetries: c.fails}).RejectsUnknownKey(c.timeout, window); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
