// Package dedup records which requests with an idempotency key may already have taken effect,
// across retries by their clients. For each key it holds the time at which the first attempt that
// may have run was sent. It does no I/O and takes the time as an argument.
package dedup

import (
	"container/list"

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
	// EvictPastWindow removes records whose dedup window has passed since their last attempt, the
	// oldest first, while more than half of MaxRecords are in use. With FailUnknownRetries the retries
	// of an evicted key fail, as those of a recorded one.
	EvictPastWindow bool
	// ClientFraction limits the records of one client's connection, while more than half of
	// MaxRecords are in use, to one part in ClientFraction of MaxRecords; 0 for no limit.
	ClientFraction int
}

// Record states that an attempt with a key may have run.
type Record struct {
	FirstAttemptAt policy.Micros // when the first attempt that may have run was sent
	Zone           int           // zone of the endpoint of that attempt
	Cell           int           // cell of that endpoint
	client         uint64        // connection whose request made the record
	attempts       int           // number of attempts that may have run
	windowEnd      policy.Micros // end of the dedup window of the last attempt
	expiry         timerwheel.Item[string]
	order          *list.Element // in Table.order
}

// Table holds the records by key. A record expires RetainWindows after its key's last attempt, and
// is removed at once when all attempts are known not to have run; its key is then still known. A
// Table is not safe for concurrent use: the goroutine of the routing.Router that owns it makes all
// calls.
type Table struct {
	settings Settings
	records  map[string]*Record
	order    *list.List                // keys of the records, by their last attempts, oldest first
	clients  map[uint64]int            // number of records by client connection; none are 0
	known    *keySet                   // known keys that have no record
	wheel    *timerwheel.Wheel[string] // nil until the first lookup or attempt
	rejected int                       // requests that found the table full
}

// New returns an empty table. With MaxRecords 0 the table stores nothing and CanRecord always
// returns true.
func New(settings Settings) *Table {
	return &Table{settings: settings, records: map[string]*Record{}, order: list.New(), clients: map[uint64]int{}, known: newKeySet()}
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

// CanRecord reports whether an attempt with the key, for a request on the given client connection,
// can be recorded now. If it returns false, the attempt must not be sent, and nothing has run.
func (t *Table) CanRecord(now policy.Micros, key string, client uint64) bool {
	if key == "" || t.settings.MaxRecords == 0 || t.records[key] != nil {
		return true
	}
	t.evict(now)
	if len(t.records) < t.settings.MaxRecords && !t.exceedsShare(client) {
		return true
	}
	t.rejected++
	return false
}

// exceedsShare reports whether a client connection has as many records as it may have while the
// table is in demand.
func (t *Table) exceedsShare(client uint64) bool {
	if t.settings.ClientFraction == 0 || len(t.records) <= t.settings.MaxRecords/2 {
		return false
	}
	return t.clients[client] >= max(1, t.settings.MaxRecords/t.settings.ClientFraction)
}

// evict removes old records while the table is in demand, as EvictPastWindow says.
func (t *Table) evict(now policy.Micros) {
	for t.settings.EvictPastWindow && len(t.records) > t.settings.MaxRecords/2 {
		oldest := t.order.Front().Value.(string)
		if now < t.records[oldest].windowEnd {
			return
		}
		t.remove(oldest)
	}
}

// remove removes a key's record.
func (t *Table) remove(key string) {
	record := t.records[key]
	t.wheel.Cancel(&record.expiry)
	t.order.Remove(record.order)
	if t.clients[record.client]--; t.clients[record.client] == 0 {
		delete(t.clients, record.client)
	}
	delete(t.records, key)
}

// RecordAttempt records an attempt that is sent now to an endpoint in the given zone and cell, for a
// request on the given client connection.
func (t *Table) RecordAttempt(now policy.Micros, key string, window policy.Micros, zone, cell int, client uint64) {
	if key == "" || t.settings.MaxRecords == 0 {
		return
	}
	t.expire(now, window)
	record := t.records[key]
	if record == nil {
		t.evict(now)
		record = &Record{FirstAttemptAt: now, Zone: zone, Cell: cell, client: client, order: t.order.PushBack(key)}
		t.clients[client]++
		record.expiry.Value = key
		t.records[key] = record
		t.known.remove(key)
	}
	record.attempts++
	record.windowEnd = max(record.windowEnd, now+window)
	t.order.MoveToBack(record.order)
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
		t.remove(key)
		t.RecordFirstTry(key, record.client)
	}
}

// RecordFirstTry records that a first try with a key has arrived here on the given client connection,
// of which no attempt may have run yet. Connections that exceed their share are not recorded, so
// that they do not displace the keys of others.
func (t *Table) RecordFirstTry(key string, client uint64) {
	if key != "" && t.records[key] == nil && !t.exceedsShare(client) {
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
	t.wheel.Advance(int64(now), func(item *timerwheel.Item[string]) { t.remove(item.Value) })
}
