package dedup

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"tallyproxy/policy"
)

const window = 3 * policy.Second

// TestAgainstList compares the table with a plain list of the attempts: a record is as old as the first attempt that may have run, and
// is there as long as it may matter.
func TestAgainstList(t *testing.T) {
	type sent struct {
		at   policy.Micros
		ran  bool
		over bool
	}
	rapid.Check(t, func(t *rapid.T) {
		table := New(Settings{MaxRecords: 4, RetainWindows: 2})
		attempts := map[string][]*sent{}
		now := policy.Second
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			key := fmt.Sprint("k", rapid.IntRange(0, 6).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				now += policy.Micros(rapid.IntRange(0, 4_000_000).Draw(t, "step"))
			case 1:
				if table.Lookup(now, key, window); table.CanRecord(key) {
					table.RecordAttempt(now, key, window, 1, 2)
					attempts[key] = append(attempts[key], &sent{at: now, ran: true})
				} else if m := table.records[key]; m != nil {
					t.Fatal("no room for a key that has its record")
				}
			case 2:
				for _, s := range attempts[key] {
					if !s.over && s.ran {
						s.ran, s.over = false, true
						table.AttemptNotRun(key, s.at)
						break
					}
				}
			}
			m := table.Lookup(now, key, window)
			oldest := policy.Micros(0)
			for _, s := range attempts[key] { // an attempt that may have run within the window must be known, with no later time
				if s.ran && now < s.at+window && (oldest == 0 || s.at < oldest) {
					oldest = s.at
				}
			}
			if oldest > 0 && (m == nil || m.FirstAttemptAt > oldest) {
				t.Fatalf("%s: sent at %d, known is %+v", key, oldest, m)
			}
			if records, _ := table.Counts(); records > 4 {
				t.Fatalf("%d records", records)
			}
		}
		now += 100 * policy.Second
		table.Lookup(now, "", window)
		table.Lookup(now, "k0", window)
		if records, _ := table.Counts(); records != 0 {
			t.Fatalf("%d records are left long after", records)
		}
	})
}

func TestFullTable(t *testing.T) {
	table := New(Settings{MaxRecords: 2, RetainWindows: 1})
	table.RecordAttempt(0, "a", window, 0, 0)
	table.RecordAttempt(0, "b", window, 0, 0)
	if !table.CanRecord("a") || table.CanRecord("c") {
		t.Error("a key that is recorded has room, a new one has none")
	}
	table.AttemptNotRun("a", 0)
	if !table.CanRecord("c") {
		t.Error("no room after an attempt was taken back")
	}
	if records, rejected := table.Counts(); records != 1 || rejected != 1 {
		t.Errorf("holds %d, rejected %d", records, rejected)
	}
	off := New(Settings{})
	if off.RecordAttempt(0, "a", window, 0, 0); off.Lookup(0, "a", window) != nil || !off.CanRecord("a") {
		t.Error("a table that keeps nothing knows a key")
	}
}

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
