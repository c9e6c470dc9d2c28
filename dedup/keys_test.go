package dedup

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	d "tallyproxy/policy"
)

const window = 3 * d.Second

// The table against a plain list of what was sent: a mark is as old as the first pull that may have run, and is there as long
// as it may matter.
func TestAgainstPlain(t *testing.T) {
	type sent struct {
		at   d.Micros
		ran  bool
		over bool
	}
	rapid.Check(t, func(t *rapid.T) {
		table := New(Settings{MaxRecords: 4, RetainWindows: 2})
		plain := map[string][]*sent{}
		now := d.Second
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			key := fmt.Sprint("k", rapid.IntRange(0, 6).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				now += d.Micros(rapid.IntRange(0, 4_000_000).Draw(t, "step"))
			case 1:
				if table.Lookup(now, key, window); table.HasRoom(key) {
					table.RecordAttempt(now, key, window, 1, 2)
					plain[key] = append(plain[key], &sent{at: now, ran: true})
				} else if m := table.marks[key]; m != nil {
					t.Fatal("no room for a key that has its mark")
				}
			case 2:
				for _, s := range plain[key] {
					if !s.over && s.ran {
						s.ran, s.over = false, true
						table.AttemptNotRun(key, s.at)
						break
					}
				}
			}
			m := table.Lookup(now, key, window)
			oldest := d.Micros(0)
			for _, s := range plain[key] { // one that may have run less than a window ago must be known, no younger than it is
				if s.ran && now < s.at+window && (oldest == 0 || s.at < oldest) {
					oldest = s.at
				}
			}
			if oldest > 0 && (m == nil || m.FirstAttemptAt > oldest) {
				t.Fatalf("%s: sent at %d, known is %+v", key, oldest, m)
			}
			if held, _ := table.Counts(); held > 4 {
				t.Fatalf("%d marks", held)
			}
		}
		now += 100 * d.Second
		table.Lookup(now, "", window)
		table.Lookup(now, "k0", window)
		if held, _ := table.Counts(); held != 0 {
			t.Fatalf("%d marks are left long after", held)
		}
	})
}

func TestFull(t *testing.T) {
	table := New(Settings{MaxRecords: 2, RetainWindows: 1})
	table.RecordAttempt(0, "a", window, 0, 0)
	table.RecordAttempt(0, "b", window, 0, 0)
	if !table.HasRoom("a") || table.HasRoom("c") {
		t.Error("a mark that is there has room, a new one has none")
	}
	table.AttemptNotRun("a", 0)
	if !table.HasRoom("c") {
		t.Error("no room after one was taken back")
	}
	if held, full := table.Counts(); held != 1 || full != 1 {
		t.Errorf("holds %d, %d found no room", held, full)
	}
	off := New(Settings{})
	if off.RecordAttempt(0, "a", window, 0, 0); off.Lookup(0, "a", window) != nil || !off.HasRoom("a") {
		t.Error("one that keeps nothing knows a key")
	}
}

func TestStrangers(t *testing.T) {
	for _, c := range []struct {
		abandon bool
		expiry  d.Micros
		want    bool
	}{{false, 10 * d.Second, false}, {true, 10 * d.Second, true}, {true, window, false}} {
		if got := New(Settings{FailUnknownRetries: c.abandon}).RejectsUnknownKey(c.expiry, window); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
