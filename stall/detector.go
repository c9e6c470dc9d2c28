// Package stall detects that a director itself stood still, and decides whether what it knows may be trusted.
//
// A process that was stopped, or whose machine slept, goes on with knowledge as old as the stall, and nothing in it shows that:
// what the command channel sent meanwhile lies unread while requests are decided. The Detector sees a stall as a jump of the
// director's clocks between one heartbeat and the next, at the moment at which the knowledge is used. From then on the knowledge
// is suspect until the channel has been polled again. A command channel that fails is no stall, and changes nothing here.
//
// The package does no I/O; its callers pass the clocks' readings.
package stall

import (
	"math"
	"sync"
	"sync/atomic"

	"tallyproxy/policy"
)

// Reading is a reading of both clocks at one moment.
type Reading struct {
	Monotonic policy.Micros // stands still while the machine sleeps
	Wall      policy.Micros // goes on while the machine sleeps
}

// Thresholds are durations on the director's own clocks.
type Thresholds struct {
	Stall          policy.Micros // a longer time between two heartbeats is a stall
	PollCycle      policy.Micros // a longer time without a sign of the poller is a stall too, though heartbeats go on
	SuspectTimeout policy.Micros // the suspect state ends after this time if nothing else has ended it
}

// heartbeatsPerStall is the least number of heartbeats within Thresholds.Stall. What was read less than one such part before a
// stall was noticed was read after the stall.
const heartbeatsPerStall = 5

// Resolution says how the suspect state ended.
type Resolution int

// The resolutions of the suspect state.
const (
	ByPoll        Resolution = iota // the channel answered a poll that began after the stall
	ByChannelDown                   // that poll failed, as the last one before the stall did: the director goes on as before
	ByTimeout                       // nothing was heard within SuspectTimeout
	ByPeer                          // another director confirmed what is in force
)

// resolutionNames are values of log lines.
var resolutionNames = [...]string{"asked", "away", "bound", "told"}

// String returns the resolution's name in log lines.
func (r Resolution) String() string { return resolutionNames[r] }

// Detector holds whether a director's knowledge is suspect. All methods may be called from any goroutine. The two callbacks are
// called without the lock, by the goroutine whose call noticed the stall or resolved it.
type Detector struct {
	thresholds Thresholds
	onSuspect  func(stalled policy.Micros)
	onResolved func(how Resolution, took policy.Micros)

	// Written together under mu where a stall is noticed, and read without it by Trusted, which stands on the way of each request.
	lastMonotonic atomic.Int64 // the last heartbeat, on the monotonic clock
	lastWall      atomic.Int64 // the same, on the wall clock
	lastPoll      atomic.Int64 // the last sign of the poller, on the monotonic clock
	suspectSince  atomic.Int64 // when the present suspect state began, on the monotonic clock; 0 while what is known is trusted

	mu          sync.Mutex
	channelDown bool          // the last poll before the suspect state failed
	resolved    chan struct{} // closed while nothing is suspect
	stalls      int64         // noticed so far
	stalled     policy.Micros // length of the last stall, or of several that followed each other while suspect
	staleFrom   policy.Micros // what was read from this time,
	staleUntil  policy.Micros // until this one, on the monotonic clock, may be older than its reading by stalled
}

// New returns a Detector that trusts what is known. It calls onSuspect with the length of each stall that is noticed: the channel
// should be polled at once. It calls onResolved when a suspect state ends, with the time since it began.
func New(thresholds Thresholds, now Reading, onSuspect func(stalled policy.Micros), onResolved func(Resolution, policy.Micros)) *Detector {
	d := &Detector{thresholds: thresholds, onSuspect: onSuspect, onResolved: onResolved, resolved: make(chan struct{})}
	close(d.resolved)
	d.recordHeartbeat(now)
	d.lastPoll.Store(int64(now.Monotonic))
	return d
}

// StartSuspect makes what is known at the start suspect, as after a stall, until the channel has answered, another director has
// confirmed what is in force, or SuspectTimeout is over.
func (d *Detector) StartSuspect(now Reading) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.suspectSince.Load() == 0 {
		d.resolved = make(chan struct{})
		d.suspectSince.Store(max(1, int64(now.Monotonic)))
	}
}

// Confirmed records that another director has told what is in force, and that it is in force here. It resolves the suspect state
// of a start only: after a stall the director must poll its own channel, because what others told may have lain unread during the
// stall.
func (d *Detector) Confirmed(now Reading) {
	d.mu.Lock()
	since, hasStalled := policy.Micros(d.suspectSince.Load()), d.stalls > 0
	d.mu.Unlock()
	if since != 0 && !hasStalled && !d.noticeStall(now) {
		d.resolve(now, ByPeer, since)
	}
}

// Trusted reports whether what is known may be acted on now. The first caller after a stall notices it.
func (d *Detector) Trusted(now Reading) bool {
	if d.suspectSince.Load() != 0 || d.noticeStall(now) {
		return false
	}
	// Another goroutine may have noticed a stall since the first look, and recorded the heartbeat that noticeStall went by.
	return d.suspectSince.Load() == 0
}

// Heartbeat records a sign of life; it is to be called at least heartbeatsPerStall times within Thresholds.Stall. It ends a
// suspect state that has reached SuspectTimeout.
func (d *Detector) Heartbeat(now Reading) {
	if !d.noticeStall(now) {
		d.recordHeartbeat(now)
	}
	since := policy.Micros(d.suspectSince.Load())
	if since != 0 && now.Monotonic-since > d.thresholds.SuspectTimeout {
		d.resolve(now, ByTimeout, since)
	}
}

// Polled records a sign of the poller: a poll begins, or has ended.
func (d *Detector) Polled(now Reading) {
	if !d.noticeStall(now) {
		d.lastPoll.Store(int64(now.Monotonic))
	}
}

// PollDone records that a poll which began at a time has ended, with an answer or not, and that what it brought is in force. A poll
// that began before the stall resolves nothing, whatever it brought.
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

// StaleBy returns by how much what was read at a time may be older than its reading: what lay in a socket during a stall may be as
// old as the stall was long.
func (d *Detector) StaleBy(read Reading) policy.Micros {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalls == 0 || read.Monotonic < d.staleFrom || read.Monotonic > d.staleUntil {
		return 0
	}
	return d.stalled
}

// Suspect reports whether what is known is suspect. Unlike Trusted it does not look for a stall.
func (d *Detector) Suspect() bool { return d.suspectSince.Load() != 0 }

// Resolved returns a channel that is closed once the present suspect state is over; it is closed already where there is none.
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

// silence returns the time since the last heartbeat, by the clock that moved further. Where the poller is overdue, and its silence
// is longer, it returns that.
func (d *Detector) silence(now Reading) policy.Micros {
	silence := max(now.Monotonic-policy.Micros(d.lastMonotonic.Load()), now.Wall-policy.Micros(d.lastWall.Load()))
	if sincePoll := now.Monotonic - policy.Micros(d.lastPoll.Load()); sincePoll > d.thresholds.PollCycle {
		silence = max(silence, sincePoll)
	}
	return silence
}

// noticeStall reports whether the director has stalled, and starts the suspect state if so. A stall while suspect starts that state
// anew, because what was polled before it may be as old as the stall is long.
func (d *Detector) noticeStall(now Reading) bool {
	if d.silence(now) <= d.thresholds.Stall {
		return false
	}
	d.mu.Lock()
	stalled := d.silence(now)
	if stalled <= d.thresholds.Stall { // another goroutine has noticed it meanwhile
		d.mu.Unlock()
		return d.suspectSince.Load() != 0
	}
	if d.suspectSince.Load() == 0 {
		d.resolved = make(chan struct{})
		d.stalled, d.staleFrom = 0, now.Monotonic-d.thresholds.Stall/heartbeatsPerStall
	}
	d.suspectSince.Store(max(1, int64(now.Monotonic))) // before the heartbeat, by which others find no stall
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

// resolve ends the suspect state that began at a time. Where a further stall has started it anew since, nothing ends.
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
