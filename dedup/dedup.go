// Package dedup remembers which requests with an idempotency key may have had their effect already, over their clients' own retries: by
// the key, when the first attempt that may have run was sent. It does no I/O and takes the clock as a value.
package dedup

import (
	"tallyproxy/policy"
	"tallyproxy/timerwheel"
)

const ticksPerWindow = 64 // of the timer wheel, for the first dedup window that the table meets

// Settings are the operator's.
type Settings struct {
	MaxRecords         int     // records held at the most; 0: none are kept
	RetainWindows      float64 // how long after the key's last attempt a record is kept, in dedup windows of its content type
	FailUnknownRetries bool    // retries whose key is not known fail, where the first attempt may be older than its dedup window
}

// Record is what is known of a key: that an attempt may have run.
type Record struct {
	FirstAttemptAt policy.Micros // when the first attempt was sent that may have run
	Zone           int           // zone of the endpoint that it was sent to
	Cell           int           // cell of that endpoint
	attempts       int           // attempts that may have run
	expiry         timerwheel.Item[string]
}

// Table holds the records by key. A record leaves by the timer wheel, RetainWindows after its key's last attempt, or at once when every
// attempt is known not to have run. A table is not safe for concurrent use: the goroutine of the routing.Router that owns it makes all
// calls.
type Table struct {
	settings Settings
	records  map[string]*Record
	wheel    *timerwheel.Wheel[string] // nil until the first key is looked up
	rejected int                       // requests that found the table full
}

// New makes an empty table. With MaxRecords 0 it keeps nothing and has room for every request.
func New(settings Settings) *Table {
	return &Table{settings: settings, records: map[string]*Record{}}
}

// SetSettings takes other settings. Records that are held stay for the time that they were given.
func (t *Table) SetSettings(settings Settings) { t.settings = settings }

// Lookup returns a key's record, or nil where no attempt is known that may have run. window is the dedup window of the content type.
func (t *Table) Lookup(now policy.Micros, key string, window policy.Micros) *Record {
	if key == "" || t.settings.MaxRecords == 0 {
		return nil
	}
	t.expire(now, window)
	return t.records[key]
}

// CanRecord reports whether an attempt with the key can be recorded. Where it can't, the attempt must not be sent, and nothing has run.
func (t *Table) CanRecord(key string) bool {
	if key == "" || t.settings.MaxRecords == 0 || t.records[key] != nil || len(t.records) < t.settings.MaxRecords {
		return true
	}
	t.rejected++
	return false
}

// RecordAttempt records an attempt that is sent now to an endpoint of a zone and a cell.
func (t *Table) RecordAttempt(now policy.Micros, key string, window policy.Micros, zone, cell int) {
	if key == "" || t.settings.MaxRecords == 0 {
		return
	}
	t.expire(now, window)
	record := t.records[key]
	if record == nil {
		record = &Record{FirstAttemptAt: now, Zone: zone, Cell: cell}
		record.expiry.Value = key
		t.records[key] = record
	}
	record.attempts++
	t.wheel.Schedule(&record.expiry, int64(now)+int64(float64(window)*max(1, t.settings.RetainWindows)))
}

// AttemptNotRun takes back an attempt that was sent at a time and is known not to have run. While others may have run, the record keeps
// the time of the first one.
func (t *Table) AttemptNotRun(key string, sent policy.Micros) {
	record := t.records[key]
	if record == nil || sent < record.FirstAttemptAt { // the attempt's own record has expired
		return
	}
	if record.attempts--; record.attempts <= 0 {
		t.wheel.Cancel(&record.expiry)
		delete(t.records, key)
	}
}

// RejectsUnknownKey reports whether a retry whose key is not known has to fail: another director may have sent it before, longer ago than
// the dedup window, if the client's timeout is longer than that.
func (t *Table) RejectsUnknownKey(timeout, window policy.Micros) bool {
	return t.settings.FailUnknownRetries && timeout > window
}

// Counts is how many records are held, and how many requests found the table full so far.
func (t *Table) Counts() (records, rejected int) { return len(t.records), t.rejected }

// expire removes the records whose time is over.
func (t *Table) expire(now policy.Micros, window policy.Micros) {
	if t.wheel == nil {
		t.wheel = timerwheel.New[string](max(1, int64(window)/ticksPerWindow), int64(now))
	}
	t.wheel.Advance(int64(now), func(item *timerwheel.Item[string]) { delete(t.records, item.Value) })
}
