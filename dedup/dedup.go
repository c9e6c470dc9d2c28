// Package dedup records which requests with an idempotency key may already have taken effect,
// across retries by their clients. For each key it holds the time at which the first attempt that
// may have run was sent. It does no I/O and takes the time as an argument.
package dedup

import (
	"tallyproxy/policy"
	"tallyproxy/timerwheel"
)

const ticksPerWindow = 64 // timer wheel ticks in the first dedup window that the table sees

// Settings holds the operator's settings of deduplication.
type Settings struct {
	MaxRecords int // maximum number of records; 0 disables the table
	// RetainWindows is the retention after a key's last attempt, in dedup windows of its content
	// type. Values below 1 count as 1.
	RetainWindows float64
	// FailUnknownRetries makes a retry with an unknown key fail: its first try may have been sent by
	// another director, or by this one before a restart, longer ago than the dedup window.
	FailUnknownRetries bool
	// MaxKnownKeys is the maximum number of keys without an attempt that may have run that are
	// known from their first tries. The oldest ones are forgotten, and their retries fail.
	MaxKnownKeys int
}

// Record states that an attempt with a key may have run.
type Record struct {
	FirstAttemptAt policy.Micros // when the first attempt that may have run was sent
	Zone           int           // zone of the endpoint of that attempt
	Cell           int           // cell of that endpoint
	attempts       int           // number of attempts that may have run
	expiry         timerwheel.Item[string]
}

// Table holds the records by key. A record expires RetainWindows after its key's last attempt, and
// is removed at once when all attempts are known not to have run; its key is then still known. A
// Table is not safe for concurrent use: the goroutine of the routing.Router that owns it makes all
// calls.
type Table struct {
	settings Settings
	records  map[string]*Record
	known    *keySet                   // known keys that have no record
	wheel    *timerwheel.Wheel[string] // nil until the first lookup or attempt
	rejected int                       // requests that found the table full
}

// New returns an empty table. With MaxRecords 0 the table stores nothing and CanRecord always
// returns true.
func New(settings Settings) *Table {
	return &Table{settings: settings, records: map[string]*Record{}, known: newKeySet()}
}

// SetSettings replaces the settings. Existing records keep the expiry that they were given.
func (t *Table) SetSettings(settings Settings) { t.settings = settings }

// Lookup returns a key's record, or nil if no attempt is known that may have run. window is the
// dedup window of the content type.
func (t *Table) Lookup(now policy.Micros, key string, window policy.Micros) *Record {
	if key == "" || t.settings.MaxRecords == 0 {
		return nil
	}
	t.expire(now, window)
	return t.records[key]
}

// CanRecord reports whether an attempt with the key can be recorded. If it returns false, the
// attempt must not be sent, and nothing has run.
func (t *Table) CanRecord(key string) bool {
	if key == "" || t.settings.MaxRecords == 0 || t.records[key] != nil || len(t.records) < t.settings.MaxRecords {
		return true
	}
	t.rejected++
	return false
}

// RecordAttempt records an attempt that is sent now to an endpoint in the given zone and cell.
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
		t.known.remove(key)
	}
	record.attempts++
	t.wheel.Schedule(&record.expiry, int64(now)+int64(float64(window)*max(1, t.settings.RetainWindows)))
}

// AttemptNotRun removes an attempt that was sent at the given time and is known not to have run.
// While other attempts may have run, the record keeps the time of the first attempt.
func (t *Table) AttemptNotRun(key string, sent policy.Micros) {
	record := t.records[key]
	if record == nil || sent < record.FirstAttemptAt { // the attempt's own record has expired
		return
	}
	if record.attempts--; record.attempts <= 0 {
		t.wheel.Cancel(&record.expiry)
		delete(t.records, key)
		t.RecordFirstTry(key)
	}
}

// RecordFirstTry records that a client's first try with a key has arrived here, of which no attempt
// may have run yet.
func (t *Table) RecordFirstTry(key string) {
	if key != "" && t.records[key] == nil {
		t.known.add(key, t.settings.MaxKnownKeys)
	}
}

// FailsRetry reports whether a retry with the key must fail because it is not known where and when
// its first try ran.
func (t *Table) FailsRetry(key string) bool {
	return t.settings.FailUnknownRetries && key != "" && t.records[key] == nil && !t.known.contains(key)
}

// Counts returns the number of records, and the number of requests so far that found the table
// full.
func (t *Table) Counts() (records, rejected int) { return len(t.records), t.rejected }

// expire removes the records whose retention time has passed.
func (t *Table) expire(now policy.Micros, window policy.Micros) {
	if t.wheel == nil {
		t.wheel = timerwheel.New[string](max(1, int64(window)/ticksPerWindow), int64(now))
	}
	t.wheel.Advance(int64(now), func(item *timerwheel.Item[string]) { delete(t.records, item.Value) })
}
