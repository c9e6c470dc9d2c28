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
				if table.Lookup(now, key, window); table.CanRecord(now, key, 1) {
					table.RecordAttempt(now, key, window, 1, 2, 1)
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
	table.RecordAttempt(0, "a", window, 0, 0, 1)
	table.RecordAttempt(0, "b", window, 0, 0, 1)
	if !table.CanRecord(0, "a", 1) || table.CanRecord(0, "c", 1) {
		t.Error("a full table must accept a recorded key and reject a new one")
	}
	table.AttemptNotRun("a", 0)
	if !table.CanRecord(0, "c", 1) {
		t.Error("no room after an attempt was removed")
	}
	if records, rejected := table.Counts(); records != 1 || rejected != 1 {
		t.Errorf("%d records, %d rejected", records, rejected)
	}
	disabled := New(Settings{})
	if disabled.RecordAttempt(0, "a", window, 0, 0, 1); disabled.Lookup(0, "a", window) != nil || !disabled.CanRecord(0, "a", 1) {
		t.Error("a disabled table stores or rejects a key")
	}
}

// TestUnknownKeys guards against sending a retry whose first try may have run where this table does
// not know of it: at another director, before a restart, or so long ago that its record has expired.
// A retry whose first try is known here, and has not run, must not fail.
func TestUnknownKeys(t *testing.T) {
	const key = "k"
	firstTry := func(table *Table) { table.RecordFirstTry(key, 1) }
	attempt := func(table *Table) { table.RecordAttempt(0, key, window, 1, 1, 1) }
	notRun := func(table *Table) { table.AttemptNotRun(key, 0) }
	expiry := func(table *Table) { table.Lookup(5*window, key, window) }
	others := func(table *Table) { table.RecordFirstTry("l", 1); table.RecordFirstTry("m", 1) }
	for _, c := range []struct {
		name   string
		fails  bool
		events []func(*Table)
		want   bool
	}{
		{"sent by setting", false, nil, false},
		{"never seen", true, nil, true},
		{"first try is known", true, []func(*Table){firstTry}, false},
		{"has a record", true, []func(*Table){firstTry, attempt}, false},
		{"attempt has not run", true, []func(*Table){firstTry, attempt, notRun}, false},
		{"record has expired", true, []func(*Table){firstTry, attempt, expiry}, true},
		{"forgotten for others", true, []func(*Table){firstTry, others}, true},
		{"has a record, others come", true, []func(*Table){firstTry, attempt, others}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := New(Settings{MaxRecords: 2, RetainWindows: 1, FailUnknownRetries: c.fails, MaxKnownKeys: 2})
			for _, event := range c.events {
				event(table)
			}
			if got := table.FailsRetry(key); got != c.want {
				t.Errorf("the retry fails: %v", got)
			}
			if known := table.known.order.Len(); known > 2 || known != len(table.known.elements) {
				t.Errorf("%d keys are known", known)
			}
		})
	}
	if New(Settings{FailUnknownRetries: true}).FailsRetry("") {
		t.Error("a retry without a key fails")
	}
}

// TestEviction guards against a table that one client fills with ever new keys, so that all others'
// requests with new keys are rejected: while more than half of it is in use, records whose dedup
// window has passed must make room, the oldest first, and no others.
func TestEviction(t *testing.T) {
	table := New(Settings{MaxRecords: 2, RetainWindows: 20, FailUnknownRetries: true, MaxKnownKeys: 2, EvictPastWindow: true})
	table.RecordAttempt(0, "a", window, 0, 0, 1)
	table.RecordAttempt(1, "b", window, 0, 0, 1)
	table.RecordAttempt(window/2, "a", window, 0, 0, 1)
	if table.CanRecord(window, "c", 1) {
		t.Error("a record makes room within its window")
	}
	if !table.CanRecord(window+1, "c", 1) {
		t.Fatal("no record makes room after its window")
	}
	table.RecordAttempt(window+1, "c", window, 0, 0, 1)
	if table.records["a"] == nil || table.records["b"] != nil || table.records["c"] == nil {
		t.Errorf("records %v", table.records)
	}
	if !table.FailsRetry("b") {
		t.Error("a retry with an evicted key does not fail")
	}
	table.AttemptNotRun("b", 1) // its outcome arrives late
	if records, _ := table.Counts(); records != 2 || table.order.Len() != 2 {
		t.Errorf("%d records, %d in order", records, table.order.Len())
	}
	if !table.CanRecord(4*window, "d", 1) || len(table.records) != 1 || table.records["c"] == nil {
		t.Errorf("records %v; half of the table may be past its window", table.records)
	}
}

// TestClientShare guards against one client connection that takes the whole table: while more than
// half of it is in use, a connection may not exceed its part, and others still find room.
func TestClientShare(t *testing.T) {
	const flood, other = 1, 2
	table := New(Settings{MaxRecords: 16, RetainWindows: 1, ClientFraction: 4})
	sent := 0
	for key := range 100 {
		if name := fmt.Sprint(key); table.CanRecord(0, name, flood) {
			table.RecordAttempt(0, name, window, 0, 0, flood)
			sent++
		}
	}
	if sent != 9 { // one more than half of the table
		t.Errorf("one connection has %d records", sent)
	}
	for key := range 4 {
		name := fmt.Sprint("other", key)
		if !table.CanRecord(0, name, other) {
			t.Fatalf("no room for key %d of another connection", key)
		}
		table.RecordAttempt(0, name, window, 0, 0, other)
	}
	if table.CanRecord(0, "other4", other) {
		t.Error("another connection exceeds its part")
	}
	// A connection that sends for long has many records whose window has passed. They do not count.
	table.settings.EvictPastWindow = true
	if !table.CanRecord(window, "later", flood) {
		t.Error("records past their window count towards the part")
	}
	if table.Lookup(5*window, "x", window); len(table.clients) != 0 {
		t.Errorf("%d clients are counted without records", len(table.clients))
	}
}
