// Package keys remembers which deduped downloads may have had their effect, over their clients' own retries: by the
// client's key, when the first pull of it that may have run went out. It does no I/O and takes the clock as a value.
package dedup

import (
	d "tallyproxy/policy"
	"tallyproxy/timerwheel"
)

// Settings are the operator's.
type Settings struct {
	MaxRecords         int     // marks held at most; 0: none are kept
	RetainWindows      float64 // how long after its last pull a mark is kept, in windows of its content type
	FailUnknownRetries bool    // marked repeats of unknown keys are given up
}

// Record is what is known of a key.
type Record struct {
	FirstAttemptAt d.Micros // when the first pull went out that may have run
	Zone, Cell     int      // of the node that it went to: the group that drops repeats
	pulls          int      // that may have run
	last           d.Micros // when the last one went out
	item           timerwheel.Item[string]
}

// Table holds marks. Each leaves by the wheel, so many windows after the last pull of its key, or at once when all of
// its pulls are known not to have run.
type Table struct {
	s     Settings
	marks map[string]*Record
	wheel *timerwheel.Wheel[string]
	full  int // downloads that found no room for a mark
}

// New makes an empty table. Settings with Most 0 make one that keeps nothing and has room for all.
func New(s Settings) *Table { return &Table{s: s, marks: map[string]*Record{}} }

// SetSettings takes other settings; marks that are held stay for the time they have.
func (t *Table) SetSettings(s Settings) { t.s = s }

// advance lets go what is due.
func (t *Table) advance(now d.Micros, window d.Micros) {
	if t.wheel == nil { // a tick is a ratio to the first window met
		t.wheel = timerwheel.New[string](max(1, int64(window)/64), int64(now))
	}
	t.wheel.Advance(int64(now), func(i *timerwheel.Item[string]) { delete(t.marks, i.Value) })
}

// Lookup gives a key's mark; nil where no pull of it is known that may have run.
func (t *Table) Lookup(now d.Micros, key string, window d.Micros) *Record {
	if key == "" || t.s.MaxRecords == 0 {
		return nil
	}
	t.advance(now, window)
	return t.marks[key]
}

// HasRoom says whether a pull of a key may be remembered. Where it may not, it must not be sent: nothing of it has run.
func (t *Table) HasRoom(key string) bool {
	if key == "" || t.s.MaxRecords == 0 || t.marks[key] != nil || len(t.marks) < t.s.MaxRecords {
		return true
	}
	t.full++
	return false
}

// RecordAttempt marks a key as of a pull that goes out to a node of a zone and a cell.
func (t *Table) RecordAttempt(now d.Micros, key string, window d.Micros, zone, cell int) {
	if key == "" || t.s.MaxRecords == 0 {
		return
	}
	t.advance(now, window)
	m := t.marks[key]
	if m == nil {
		m = &Record{FirstAttemptAt: now, Zone: zone, Cell: cell}
		m.item.Value = key
		t.marks[key] = m
	}
	m.pulls++
	m.last = now
	t.wheel.Schedule(&m.item, int64(now)+int64(float64(window)*max(1, t.s.RetainWindows)))
}

// AttemptNotRun takes a pull back that went out at a time and is known not to have run. While others may have, the mark stays as
// old as it is.
func (t *Table) AttemptNotRun(key string, sent d.Micros) {
	m := t.marks[key]
	if m == nil || sent < m.FirstAttemptAt { // of a mark that has gone
		return
	}
	if m.pulls--; m.pulls <= 0 {
		t.wheel.Cancel(&m.item)
		delete(t.marks, key)
	}
}

// RejectsUnknownKey says whether a marked repeat of a key that is not known is to be given up: it may have been sent by a director
// before this one, longer ago than its window.
func (t *Table) RejectsUnknownKey(expiry, window d.Micros) bool {
	return t.s.FailUnknownRetries && expiry > window
}

// Counts says how many marks are held, and how many downloads found no room so far.
func (t *Table) Counts() (held, full int) { return len(t.marks), t.full }
