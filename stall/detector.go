// Package stall detects that the director itself has stalled, and decides whether the director's
// state may be trusted.
//
// After the process was stopped, or its machine slept, the state is as old as the stall, and
// nothing in it shows its age: what the command channel sent during the stall is still unread while
// the director already decides requests. The Detector recognizes a stall as a jump of the
// director's clocks between two heartbeats, at the moment at which the state is used. From then on
// the state is suspect until the command channel has been polled again. A command channel that
// fails is not a stall, and changes nothing here.
//
// The package does no I/O; its callers pass the readings of the clocks.
package stall

import (
	"math"
	"sync"
	"sync/atomic"

	"tallyproxy/policy"
)

// Reading is a reading of both clocks at one moment.
type Reading struct {
	Monotonic policy.Micros // does not advance while the machine sleeps
	Wall      policy.Micros // advances while the machine sleeps
}

// Thresholds holds durations that are measured on the director's own clocks.
type Thresholds struct {
	Stall policy.Micros // a longer time between two heartbeats is a stall
	// PollCycle is the longest time without poller activity. A longer time is a stall, too, even if
	// heartbeats continue.
	PollCycle      policy.Micros
	SuspectTimeout policy.Micros // longest duration of the suspect state
}

// heartbeatsPerStall is the minimum number of heartbeats within Thresholds.Stall. Data that was
// read less than Stall/heartbeatsPerStall before a stall was noticed was read after the stall.
const heartbeatsPerStall = 5

// Resolution is the way in which the suspect state ended.
type Resolution int

// The resolutions of the suspect state. After ByChannelDown the director continues as before the
// stall.
const (
	ByPoll        Resolution = iota // the channel answered a poll that began after the stall
	ByChannelDown                   // that poll failed, like the last one before the stall
	ByTimeout                       // no answer or confirmation within SuspectTimeout
	ByPeer                          // another director confirmed the state that is in force
)

// resolutionNames holds the names that appear in log lines.
var resolutionNames = [...]string{"asked", "away", "bound", "told"}

// String returns the resolution's name in log lines.
func (r Resolution) String() string { return resolutionNames[r] }

// Detector tracks whether a director's state is suspect. All methods may be called from any
// goroutine. The two callbacks are called without the lock, by the goroutine whose call noticed the
// stall or resolved it.
type Detector struct {
	thresholds Thresholds
	onSuspect  func(stalled policy.Micros)
	onResolved func(how Resolution, took policy.Micros)

	// These are written together under mu when a stall is noticed, and read without mu by Trusted,
	// which is called for every request.
	lastMonotonic atomic.Int64 // last heartbeat, on the monotonic clock
	lastWall      atomic.Int64 // last heartbeat, on the wall clock
	lastPoll      atomic.Int64 // last poller activity, on the monotonic clock
	suspectSince  atomic.Int64 // start of the suspect state, on the monotonic clock; 0 if trusted

	mu sync.Mutex
	// channelDown is true if the last poll before the suspect state failed, or if no poll has ended
	// since a suspect state that was not resolved ByPoll.
	channelDown bool
	resolved    chan struct{} // closed while the state is trusted
	stalls      int64         // number of stalls noticed so far
	stalled     policy.Micros // length of the last stall, or sum of several while suspect

	// Data read from staleFrom to staleUntil, on the monotonic clock, may be older than its reading
	// by stalled.
	staleFrom  policy.Micros
	staleUntil policy.Micros
}

// New returns a Detector that trusts the state. It calls onSuspect with the length of each stall
// that is noticed; the caller should then poll the channel at once. It calls onResolved when a
// suspect state ends, with the time since it began.
func New(thresholds Thresholds, now Reading, onSuspect func(stalled policy.Micros), onResolved func(Resolution, policy.Micros)) *Detector {
	d := &Detector{thresholds: thresholds, onSuspect: onSuspect, onResolved: onResolved, resolved: make(chan struct{})}
	close(d.resolved)
	d.recordHeartbeat(now)
	d.lastPoll.Store(int64(now.Monotonic))
	return d
}

// StartSuspect makes the state suspect when the director starts, as after a stall, until the
// channel has answered, another director has confirmed the state in force, or SuspectTimeout has
// passed.
func (d *Detector) StartSuspect(now Reading) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.suspectSince.Load() == 0 {
		d.resolved = make(chan struct{})
		d.suspectSince.Store(max(1, int64(now.Monotonic)))
	}
}

// Confirmed records that another director has reported the state in force, and that this director
// has applied it. It resolves only a suspect state that began with StartSuspect: after a stall the
// director must poll its own channel, because reports of other directors may have been waiting
// unread during the stall.
func (d *Detector) Confirmed(now Reading) {
	d.mu.Lock()
	since, hasStalled := policy.Micros(d.suspectSince.Load()), d.stalls > 0
	d.mu.Unlock()
	if since != 0 && !hasStalled && !d.noticeStall(now) {
		d.resolve(now, ByPeer, since)
	}
}

// Trusted reports whether the state may be used now. The first call after a stall notices the
// stall.
func (d *Detector) Trusted(now Reading) bool {
	if d.suspectSince.Load() != 0 || d.noticeStall(now) {
		return false
	}
	// Another goroutine may have noticed a stall since the first check, and recorded the heartbeat
	// that noticeStall compared with.
	return d.suspectSince.Load() == 0
}

// Heartbeat records that the director is running. It must be called at least heartbeatsPerStall
// times within Thresholds.Stall. It ends a suspect state that has lasted longer than
// SuspectTimeout.
func (d *Detector) Heartbeat(now Reading) {
	if !d.noticeStall(now) {
		d.recordHeartbeat(now)
	}
	since := policy.Micros(d.suspectSince.Load())
	if since != 0 && now.Monotonic-since > d.thresholds.SuspectTimeout {
		d.resolve(now, ByTimeout, since)
	}
}

// Polled records poller activity: a poll begins or has ended.
func (d *Detector) Polled(now Reading) {
	if !d.noticeStall(now) {
		d.lastPoll.Store(int64(now.Monotonic))
	}
}

// PollDone records that a poll that began at the given time has ended, with an answer if ok is
// true. The caller must have applied the answer. A poll that began before the stall does not
// resolve the suspect state, regardless of its result.
func (d *Detector) PollDone(began, now Reading, ok bool) {
	d.Polled(now)
	if d.suspectSince.Load() == 0 {
		d.mu.Lock()
		d.channelDown = !ok
		d.mu.Unlock()
		return
	}
	since := policy.Micros(d.suspectSince.Load())
	switch {
	case since == 0 || began.Monotonic < since:
	case ok:
		d.resolve(now, ByPoll, since)
	case d.wasChannelDown():
		d.resolve(now, ByChannelDown, since)
	}
}

// StaleBy returns by how much data that was read at the given time may be older than its reading.
// Data that waited in a socket during a stall may be as old as the stall was long.
func (d *Detector) StaleBy(read Reading) policy.Micros {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalls == 0 || read.Monotonic < d.staleFrom || read.Monotonic > d.staleUntil {
		return 0
	}
	return d.stalled
}

// Suspect reports whether the state is suspect. Unlike Trusted, it does not check for a new stall.
func (d *Detector) Suspect() bool { return d.suspectSince.Load() != 0 }

// Resolved returns a channel that is closed when the current suspect state ends. It is already
// closed if the state is not suspect.
func (d *Detector) Resolved() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resolved
}

// Stalls returns the number of stalls noticed so far.
func (d *Detector) Stalls() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stalls
}

func (d *Detector) recordHeartbeat(now Reading) {
	d.lastMonotonic.Store(int64(now.Monotonic))
	d.lastWall.Store(int64(now.Wall))
}

// gap returns the time since the last heartbeat, by the clock that advanced further. If the poller
// is overdue and the time since its last activity is longer, gap returns that time.
func (d *Detector) gap(now Reading) policy.Micros {
	gap := max(now.Monotonic-policy.Micros(d.lastMonotonic.Load()), now.Wall-policy.Micros(d.lastWall.Load()))
	if sincePoll := now.Monotonic - policy.Micros(d.lastPoll.Load()); sincePoll > d.thresholds.PollCycle {
		gap = max(gap, sincePoll)
	}
	return gap
}

// noticeStall reports whether the director has stalled, and if so begins the suspect state. A stall
// during the suspect state restarts it, because the answer to an earlier poll may be as old as the
// stall is long.
func (d *Detector) noticeStall(now Reading) bool {
	if d.gap(now) <= d.thresholds.Stall {
		return false
	}
	d.mu.Lock()
	stalled := d.gap(now)
	if stalled <= d.thresholds.Stall { // another goroutine noticed the stall first
		d.mu.Unlock()
		return d.suspectSince.Load() != 0
	}
	if d.suspectSince.Load() == 0 {
		d.resolved = make(chan struct{})
		d.stalled, d.staleFrom = 0, now.Monotonic-d.thresholds.Stall/heartbeatsPerStall
	}
	// suspectSince must be set before the heartbeat, after which other goroutines no longer see the
	// stall.
	d.suspectSince.Store(max(1, int64(now.Monotonic)))
	d.recordHeartbeat(now)
	d.lastPoll.Store(int64(now.Monotonic))
	d.stalled += stalled
	d.staleUntil = math.MaxInt64
	d.stalls++
	d.mu.Unlock()
	d.onSuspect(stalled)
	return true
}

func (d *Detector) wasChannelDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.channelDown
}

// resolve ends the suspect state that began at the given time. It does nothing if a further stall
// has restarted the suspect state since then.
func (d *Detector) resolve(now Reading, how Resolution, since policy.Micros) {
	d.mu.Lock()
	if policy.Micros(d.suspectSince.Load()) != since {
		d.mu.Unlock()
		return
	}
	d.suspectSince.Store(0)
	d.staleUntil = now.Monotonic + d.thresholds.Stall/heartbeatsPerStall
	d.channelDown = how != ByPoll
	close(d.resolved)
	d.mu.Unlock()
	d.onResolved(how, now.Monotonic-since)
}
