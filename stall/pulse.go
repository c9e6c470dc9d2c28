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
type Reading struct{ Mono, Wall d.Micros }

// Times are spans of the director's own time.
type Times struct {
	Gap   d.Micros // between two beats: more than this, and the time has jumped
	Cycle d.Micros // without a turn of the channel's driver: more than this, and it is this director that is late
	Bound d.Micros // a doubt that nothing settles ends after so long
}

// beats in a gap, at the least: what was read so short a time before a jump was noticed was read after it.
const beats = 5

// How says how a doubt ended.
type How int

const (
	Asked How = iota // the channel answered a call that began after the jump
	Away             // it did not, and it was away before the jump too: all goes on as it did
	Bound            // nothing was heard in time
	Told             // another director has told what is in force
)

var hows = [...]string{"asked", "away", "bound", "told"}

func (h How) String() string { return hows[h] }

// Watch may be used from any goroutine. Its hooks are called outside of its lock.
type Watch struct {
	t       Times
	doubted func(gap d.Micros)           // a jump was noticed: ask the channel now
	settled func(how How, took d.Micros) // the doubt is over

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
func New(t Times, now Reading, doubted func(gap d.Micros), settled func(How, d.Micros)) *Watch {
	w := &Watch{t: t, doubted: doubted, settled: settled, clear: make(chan struct{})}
	close(w.clear)
	w.beat(now)
	w.turn.Store(int64(now.Mono))
	return w
}

// Begin has what is known at the start be in doubt, as after a jump, until the channel has answered, another director has told what
// is in force, or the bound is over.
func (w *Watch) Begin(now Reading) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since.Load() == 0 {
		w.clear = make(chan struct{})
		w.since.Store(max(1, int64(now.Mono)))
	}
}

// Told says that another director has told what is in force, and that it is in force here. It settles the doubt of a start: after a
// jump it is the own channel that must be asked, since what others told may have lain there during the jump.
func (w *Watch) Told(now Reading) {
	w.mu.Lock()
	since, jumped := d.Micros(w.since.Load()), w.jumps > 0
	w.mu.Unlock()
	if since != 0 && !jumped && !w.noticed(now) {
		w.settle(now, Told, since)
	}
}

func (w *Watch) beat(now Reading) {
	w.mono.Store(int64(now.Mono))
	w.wall.Store(int64(now.Wall))
}

// gap is how far the time has gone since the last beat, or, where the driver is late, since it should have turned.
func (w *Watch) gap(now Reading) d.Micros {
	gap := max(now.Mono-d.Micros(w.mono.Load()), now.Wall-d.Micros(w.wall.Load()))
	if late := now.Mono - d.Micros(w.turn.Load()); late > w.t.Cycle {
		gap = max(gap, late)
	}
	return gap
}

// Sound says whether what is known may be acted on, at the moment at which it is. The first who asks after a jump notices it.
func (w *Watch) Sound(now Reading) bool {
	if w.since.Load() != 0 {
		return false
	}
	return !w.noticed(now)
}

// noticed says whether the time has jumped, and starts a doubt where it has. A jump during a doubt starts it anew: what was
// asked before it may be as old as it is long.
func (w *Watch) noticed(now Reading) bool {
	if w.gap(now) <= w.t.Gap {
		return false
	}
	w.mu.Lock()
	gap := w.gap(now)
	if gap <= w.t.Gap { // another has noticed it meanwhile
		w.mu.Unlock()
		return w.since.Load() != 0
	}
	if w.since.Load() == 0 {
		w.clear = make(chan struct{})
	}
	w.beat(now)
	w.turn.Store(int64(now.Mono))
	if w.since.Load() == 0 {
		w.jump, w.from = 0, now.Mono-w.t.Gap/beats
	}
	w.jump, w.to = w.jump+gap, math.MaxInt64
	w.since.Store(max(1, int64(now.Mono)))
	w.jumps++
	w.mu.Unlock()
	w.doubted(gap)
	return true
}

// Beat is a sign of life, several in a gap. It ends a doubt that has lasted for too long.
func (w *Watch) Beat(now Reading) {
	if !w.noticed(now) {
		w.beat(now)
	}
	if since := w.since.Load(); since != 0 && now.Mono-d.Micros(since) > w.t.Bound {
		w.settle(now, Bound, d.Micros(since))
	}
}

// Turn says that the channel's driver begins a call, or that one has ended.
func (w *Watch) Turn(now Reading) {
	if !w.noticed(now) {
		w.turn.Store(int64(now.Mono))
	}
}

// Answered says that a call of the channel, begun at a time, has ended, and that what it brought is in force. One that began
// before the jump settles nothing, whatever it brought.
func (w *Watch) Answered(began, now Reading, ok bool) {
	if w.Turn(now); w.since.Load() == 0 {
		w.mu.Lock()
		w.away = !ok
		w.mu.Unlock()
		return
	}
	since := d.Micros(w.since.Load())
	switch {
	case since == 0 || began.Mono < since:
	case ok:
		w.settle(now, Asked, since)
	case w.wasAway():
		w.settle(now, Away, since)
	}
}

func (w *Watch) wasAway() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.away
}

// settle ends the doubt that began at a time; one that began anew goes on.
func (w *Watch) settle(now Reading, how How, since d.Micros) {
	w.mu.Lock()
	if d.Micros(w.since.Load()) != since {
		w.mu.Unlock()
		return
	}
	w.since.Store(0)
	w.to = now.Mono + w.t.Gap/beats
	w.away = how != Asked
	close(w.clear)
	w.mu.Unlock()
	w.settled(how, now.Mono-since)
}

// Late is how long before it was read something may have come: what lay in a socket during a jump may be as old as that was long.
func (w *Watch) Late(read Reading) d.Micros {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.jumps == 0 || read.Mono < w.from || read.Mono > w.to {
		return 0
	}
	return w.jump
}

// Doubted says whether a doubt holds.
func (w *Watch) Doubted() bool { return w.since.Load() != 0 }

// Clear is closed once no doubt holds.
func (w *Watch) Clear() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clear
}

// Jumps is how many were noticed.
func (w *Watch) Jumps() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jumps
}
