// Package pulse tells whether a director may trust what it knows. A process that was stopped, or whose machine slept, goes on
// with beliefs as old as the pause, and nothing in it says so: what the command channel told meanwhile lies unread while
// downloads are decided. Here a pause shows as a jump of the director's own time between one beat and the next, at the moment
// of use; from then on nothing is sound until the channel was asked again. A channel that is away is no pause: it changes
// nothing here. It does no I/O and is given its clock.
package stall

import (
	"math"
	"sync"
	"sync/atomic"

	d "tallyproxy/policy"
)

// Reading is the clock at one moment: the monotonic one, which stands still while a machine sleeps, and the system's, which
// does not.
type Reading struct{ Monotonic, Wall d.Micros }

// Thresholds are spans of the director's own time.
type Thresholds struct {
	Stall          d.Micros // between two beats: more than this, and the time has jumped
	PollCycle      d.Micros // without a turn of the channel's driver: more than this, and it is this director that is late
	SuspectTimeout d.Micros // a doubt that nothing settles ends after so long
}

// beats in a gap, at the least: what was read so short a time before a jump was noticed was read after it.
const beats = 5

// Resolution says how a doubt ended.
type Resolution int

const (
	ByPoll        Resolution = iota // the channel answered a call that began after the jump
	ByChannelDown                   // it did not, and it was away before the jump too: all goes on as it did
	ByTimeout                       // nothing was heard in time
	ByPeer                          // another director has told what is in force
)

var hows = [...]string{"asked", "away", "bound", "told"}

func (h Resolution) String() string { return hows[h] }

// Detector may be used from any goroutine. Its hooks are called outside of its lock.
type Detector struct {
	t       Thresholds
	doubted func(gap d.Micros)                  // a jump was noticed: ask the channel now
	settled func(how Resolution, took d.Micros) // the doubt is over

	mono, wall atomic.Int64 // the last beat
	turn       atomic.Int64 // the last turn of the channel's driver
	since      atomic.Int64 // when the doubt that holds was noticed; 0 for none
	mu         sync.Mutex
	away       bool          // the channel's last call before the doubt failed
	clear      chan struct{} // closed while nothing is in doubt
	jumps      int64
	jump       d.Micros // how far the last one went,
	from, to   d.Micros // and what was read in this time may have come that much before
}

// New makes a watch that trusts what there is.
func New(t Thresholds, now Reading, doubted func(gap d.Micros), settled func(Resolution, d.Micros)) *Detector {
	w := &Detector{t: t, doubted: doubted, settled: settled, clear: make(chan struct{})}
	close(w.clear)
	w.beat(now)
	w.turn.Store(int64(now.Monotonic))
	return w
}

// StartSuspect has what is known at the start be in doubt, as after a jump, until the channel has answered, another director has told what
// is in force, or the bound is over.
func (w *Detector) StartSuspect(now Reading) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since.Load() == 0 {
		w.clear = make(chan struct{})
		w.since.Store(max(1, int64(now.Monotonic)))
	}
}

// Confirmed says that another director has told what is in force, and that it is in force here. It settles the doubt of a start: after a
// jump it is the own channel that must be asked, since what others told may have lain there during the jump.
func (w *Detector) Confirmed(now Reading) {
	w.mu.Lock()
	since, jumped := d.Micros(w.since.Load()), w.jumps > 0
	w.mu.Unlock()
	if since != 0 && !jumped && !w.noticed(now) {
		w.settle(now, ByPeer, since)
	}
}

func (w *Detector) beat(now Reading) {
	w.mono.Store(int64(now.Monotonic))
	w.wall.Store(int64(now.Wall))
}

// gap is how far the time has gone since the last beat, or, where the driver is late, since it should have turned.
func (w *Detector) gap(now Reading) d.Micros {
	gap := max(now.Monotonic-d.Micros(w.mono.Load()), now.Wall-d.Micros(w.wall.Load()))
	if late := now.Monotonic - d.Micros(w.turn.Load()); late > w.t.PollCycle {
		gap = max(gap, late)
	}
	return gap
}

// Trusted says whether what is known may be acted on, at the moment at which it is. The first who asks after a jump notices it.
func (w *Detector) Trusted(now Reading) bool {
	if w.since.Load() != 0 {
		return false
	}
	return !w.noticed(now)
}

// noticed says whether the time has jumped, and starts a doubt where it has. A jump during a doubt starts it anew: what was
// asked before it may be as old as it is long.
func (w *Detector) noticed(now Reading) bool {
	if w.gap(now) <= w.t.Stall {
		return false
	}
	w.mu.Lock()
	gap := w.gap(now)
	if gap <= w.t.Stall { // another has noticed it meanwhile
		w.mu.Unlock()
		return w.since.Load() != 0
	}
	if w.since.Load() == 0 {
		w.clear = make(chan struct{})
	}
	w.beat(now)
	w.turn.Store(int64(now.Monotonic))
	if w.since.Load() == 0 {
		w.jump, w.from = 0, now.Monotonic-w.t.Stall/beats
	}
	w.jump, w.to = w.jump+gap, math.MaxInt64
	w.since.Store(max(1, int64(now.Monotonic)))
	w.jumps++
	w.mu.Unlock()
	w.doubted(gap)
	return true
}

// Heartbeat is a sign of life, several in a gap. It ends a doubt that has lasted for too long.
func (w *Detector) Heartbeat(now Reading) {
	if !w.noticed(now) {
		w.beat(now)
	}
	if since := w.since.Load(); since != 0 && now.Monotonic-d.Micros(since) > w.t.SuspectTimeout {
		w.settle(now, ByTimeout, d.Micros(since))
	}
}

// Polled says that the channel's driver begins a call, or that one has ended.
func (w *Detector) Polled(now Reading) {
	if !w.noticed(now) {
		w.turn.Store(int64(now.Monotonic))
	}
}

// PollDone says that a call of the channel, begun at a time, has ended, and that what it brought is in force. One that began
// before the jump settles nothing, whatever it brought.
func (w *Detector) PollDone(began, now Reading, ok bool) {
	if w.Polled(now); w.since.Load() == 0 {
		w.mu.Lock()
		w.away = !ok
		w.mu.Unlock()
		return
	}
	since := d.Micros(w.since.Load())
	switch {
	case since == 0 || began.Monotonic < since:
	case ok:
		w.settle(now, ByPoll, since)
	case w.wasAway():
		w.settle(now, ByChannelDown, since)
	}
}

func (w *Detector) wasAway() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.away
}

// settle ends the doubt that began at a time; one that began anew goes on.
func (w *Detector) settle(now Reading, how Resolution, since d.Micros) {
	w.mu.Lock()
	if d.Micros(w.since.Load()) != since {
		w.mu.Unlock()
		return
	}
	w.since.Store(0)
	w.to = now.Monotonic + w.t.Stall/beats
	w.away = how != ByPoll
	close(w.clear)
	w.mu.Unlock()
	w.settled(how, now.Monotonic-since)
}

// StaleBy is how long before it was read something may have come: what lay in a socket during a jump may be as old as that was long.
func (w *Detector) StaleBy(read Reading) d.Micros {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.jumps == 0 || read.Monotonic < w.from || read.Monotonic > w.to {
		return 0
	}
	return w.jump
}

// Suspect says whether a doubt holds.
func (w *Detector) Suspect() bool { return w.since.Load() != 0 }

// Resolved is closed once no doubt holds.
func (w *Detector) Resolved() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clear
}

// Stalls is how many were noticed.
func (w *Detector) Stalls() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jumps
}
