// Package timerwheel is a hierarchical timer wheel: items are scheduled for a time and handed over once it has come. It does no
// I/O and takes the clock as a value. Scheduling, moving and cancelling cost the same whatever the wheel holds, where a heap's
// cost grows with its size.
package timerwheel

import (
	"math/bits"
	"time"
)

const (
	slotBits = 6
	slots    = 1 << slotBits // in a level
	slotMask = slots - 1
	levels   = 6

	// reachBits is the wheel's reach, as a power of two of ticks.
	reachBits = slotBits * levels
)

// Item is an entry of a wheel. Embed it or point to it; the zero value is not scheduled. It must not be copied while it is.
type Item[T any] struct {
	// Value is the caller's, and not read by the wheel.
	Value T

	due            int64 // ticks
	previous, next *Item[T]
	list           *list[T] // nil while it is not scheduled
}

// Scheduled reports whether the item is in a wheel.
func (i *Item[T]) Scheduled() bool { return i.list != nil }

// list holds the items of one slot in the order of their scheduling.
type list[T any] struct {
	head, tail  *Item[T]
	level, slot int // the list's own place in the wheel
}

// Wheel holds items by their due times, to a tick. Items due in the same tick are handed over in the order of their scheduling.
// It is not safe for concurrent use.
type Wheel[T any] struct {
	tick     int64 // µs
	now      int64 // the tick up to which all items have been handed over
	count    int
	occupied [levels]uint64 // a bit for each slot that is not empty
	lists    [levels][slots]list[T]
}

// New returns an empty wheel whose ticks last the given microseconds, at the time now in microseconds. It panics unless tick is
// above 0.
func New[T any](tick, now int64) *Wheel[T] {
	if tick <= 0 {
		panic("timerwheel: the tick must be above 0")
	}
	w := &Wheel[T]{tick: tick, now: now / tick}
	for level := range w.lists {
		for slot := range w.lists[level] {
			w.lists[level][slot].level, w.lists[level][slot].slot = level, slot
		}
	}
	return w
}

// Len returns the number of scheduled items.
func (w *Wheel[T]) Len() int { return w.count }

// Schedule adds an item, or moves it, so that it is due at a time in microseconds. It is handed over no sooner than that, and no
// more than a tick later. An item due beyond the wheel's reach of 64^6 ticks is looked at again when that has passed.
func (w *Wheel[T]) Schedule(i *Item[T], due int64) {
	w.Cancel(i)
	i.due = max((due+w.tick-1)/w.tick, w.now+1)
	w.link(i)
	w.count++
}

// link appends an item to the list of the slot where its due time lies, as seen from now.
func (w *Wheel[T]) link(i *Item[T]) {
	at := min(i.due, w.now+1<<reachBits-1)
	level := 0
	if difference := uint64(at ^ w.now); difference > 0 {
		highestBit := bits.Len64(difference) - 1
		level = min(highestBit/slotBits, levels-1)
	}
	l := &w.lists[level][at>>(slotBits*level)&slotMask]
	i.list, i.previous, i.next = l, l.tail, nil
	if l.tail != nil {
		l.tail.next = i
	} else {
		l.head = i
	}
	l.tail = i
	w.occupied[level] |= 1 << l.slot
}

// Cancel takes an item out before it is due. It does nothing to one that is not scheduled.
func (w *Wheel[T]) Cancel(i *Item[T]) {
	if i.list == nil {
		return
	}
	w.unlink(i)
	w.count--
}

func (w *Wheel[T]) unlink(i *Item[T]) {
	l := i.list
	if i.previous != nil {
		i.previous.next = i.next
	} else {
		l.head = i.next
	}
	if i.next != nil {
		i.next.previous = i.previous
	} else {
		l.tail = i.previous
	}
	if l.head == nil {
		w.occupied[l.level] &^= 1 << l.slot
	}
	i.previous, i.next, i.list = nil, nil, nil
}

// Advance moves the wheel on to a time in microseconds, and calls expired for each item that is due by then, in the order of the
// due times. The item is out of the wheel during the call, which may schedule and cancel any.
func (w *Wheel[T]) Advance(now int64, expired func(*Item[T])) {
	for until := now / w.tick; w.now < until; {
		w.now = w.nextEvent(until)
		for level := levels - 1; level > 0; level-- {
			if w.now&(1<<(slotBits*level)-1) == 0 { // a new slot of this level begins
				w.cascade(level, int(w.now>>(slotBits*level)&slotMask))
			}
		}
		tick := w.now
		l := &w.lists[0][tick&slotMask]
		for l.head != nil && l.head.due <= tick {
			i := l.head
			w.unlink(i)
			w.count--
			expired(i)
		}
	}
}

// UntilNext returns how long the caller may wait, from a time in microseconds on, before it must call Advance: never longer than
// until the first item is due, sometimes shorter, when items only move down a level. An empty wheel gives a very long time.
func (w *Wheel[T]) UntilNext(now int64) time.Duration {
	const farTicks = 1 << 40
	next := w.nextEvent(w.now + farTicks)
	return time.Duration(max(0, next*w.tick-now)) * time.Microsecond
}

// nextEvent returns the next tick at which an item is due or moves down a level, at most until. Whatever lies in a lower level
// comes before all that lies in a higher one.
func (w *Wheel[T]) nextEvent(until int64) int64 {
	for level := range levels {
		shift := slotBits * level
		current := w.now >> shift & slotMask
		if later := w.occupied[level] &^ (1<<(current+1) - 1); later != 0 {
			base := w.now >> (shift + slotBits) << (shift + slotBits)
			return min(until, base+int64(bits.TrailingZeros64(later))<<shift)
		}
	}
	if w.occupied[levels-1] != 0 { // in the next turn of the highest level
		return min(until, (w.now>>reachBits+1)<<reachBits)
	}
	return until
}

// cascade spreads a slot's items over the levels below, once the wheel has come to it.
func (w *Wheel[T]) cascade(level, slot int) {
	for i := w.lists[level][slot].head; i != nil; {
		next := i.next
		w.unlink(i)
		w.link(i)
		i = next
	}
}
