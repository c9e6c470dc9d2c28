// Package wheel is a hierarchical timer wheel: things are put in with a time and taken out once it has come. It does no
// I/O and takes the clock as a value. Putting in, moving and taking out cost the same whatever it holds, where a heap's
// cost grows with it.
package timerwheel

import (
	"math/bits"
	"time"
)

const (
	slotBits = 6
	slots    = 1 << slotBits
	levels   = 6
)

// Item is a thing's place in a wheel. Embed it or point to it; the zero value is in no wheel.
type Item[T any] struct {
	Value      T
	due        int64 // in ticks
	prev, next *Item[T]
	list       *list[T]
}

// Scheduled says whether it is in a wheel.
func (i *Item[T]) Scheduled() bool { return i.list != nil }

type list[T any] struct {
	head, tail *Item[T]
	level, at  int
}

// Wheel holds items by when they are due, to a tick. Items due in one tick come out in the order they went in.
type Wheel[T any] struct {
	tick  int64 // µs in a tick
	now   int64 // the tick up to which all has come out
	count int
	full  [levels]uint64 // slots with something in them
	slot  [levels][slots]list[T]
}

// New makes a wheel of ticks of so many microseconds, as of a time. Panics unless tick is above 0.
func New[T any](tick, now int64) *Wheel[T] {
	if tick <= 0 {
		panic("wheel: a tick that is not above 0")
	}
	w := &Wheel[T]{tick: tick, now: now / tick}
	for level := range w.slot {
		for at := range w.slot[level] {
			w.slot[level][at].level, w.slot[level][at].at = level, at
		}
	}
	return w
}

// Len is how many items it holds.
func (w *Wheel[T]) Len() int { return w.count }

// Schedule puts an item in, or moves it, due at a time in microseconds. It comes out no sooner, and no more than a tick later.
// One beyond the wheel's reach (64^6 ticks) is looked at again at its end.
func (w *Wheel[T]) Schedule(i *Item[T], due int64) {
	w.Cancel(i)
	i.due = max((due+w.tick-1)/w.tick, w.now+1)
	w.place(i)
	w.count++
}

func (w *Wheel[T]) place(i *Item[T]) {
	at := i.due
	if reach := w.now + 1<<(slotBits*levels) - 1; at > reach {
		at = reach
	}
	level := 0
	if diff := uint64(at ^ w.now); diff > 0 {
		level = min((bits.Len64(diff)-1)/slotBits, levels-1)
	}
	l := &w.slot[level][at>>(slotBits*level)&(slots-1)]
	i.list, i.prev, i.next = l, l.tail, nil
	if l.tail != nil {
		l.tail.next = i
	} else {
		l.head = i
	}
	l.tail = i
	w.full[level] |= 1 << l.at
}

// Cancel takes an item out before its time; one that is in no wheel stays so.
func (w *Wheel[T]) Cancel(i *Item[T]) {
	if i.list == nil {
		return
	}
	w.unlink(i)
	w.count--
}

func (w *Wheel[T]) unlink(i *Item[T]) {
	l := i.list
	if i.prev != nil {
		i.prev.next = i.next
	} else {
		l.head = i.next
	}
	if i.next != nil {
		i.next.prev = i.prev
	} else {
		l.tail = i.prev
	}
	if l.head == nil {
		w.full[l.level] &^= 1 << l.at
	}
	i.prev, i.next, i.list = nil, nil, nil
}

// Advance takes out what is due by a time and hands it over in order. What is handed over may put items in.
func (w *Wheel[T]) Advance(now int64, due func(*Item[T])) {
	for until := now / w.tick; w.now < until; {
		next := w.next(until)
		w.now = next
		for level := levels - 1; level > 0; level-- { // what now lies nearer moves down
			if next&(1<<(slotBits*level)-1) == 0 {
				w.cascade(level, int(next>>(slotBits*level)&(slots-1)))
			}
		}
		l := &w.slot[0][next&(slots-1)]
		for l.head != nil && l.head.due <= next {
			i := l.head
			w.unlink(i)
			w.count--
			due(i)
		}
	}
}

// UntilNext is how long it may be until something comes out, from a time in microseconds on: never later than that, sometimes
// sooner, when things only move down. It is the wheel's reach where nothing is held.
func (w *Wheel[T]) UntilNext(now int64) time.Duration {
	const far = 1 << 40
	next := w.next(w.now + far)
	return time.Duration(max(0, next*w.tick-now)) * time.Microsecond
}

// next is the next tick at which something is due or moves down, at most until. What lies in a lower level comes before
// all that lies in a higher one.
func (w *Wheel[T]) next(until int64) int64 {
	for level := range levels {
		shift := slotBits * level
		at := w.now >> shift & (slots - 1)
		if later := w.full[level] &^ (1<<(at+1) - 1); later != 0 {
			base := w.now >> (shift + slotBits) << (shift + slotBits)
			return min(until, base+int64(bits.TrailingZeros64(later))<<shift)
		}
	}
	if w.full[levels-1] != 0 { // in the next turn of the highest
		return min(until, (w.now>>(slotBits*levels)+1)<<(slotBits*levels))
	}
	return until
}

func (w *Wheel[T]) cascade(level, at int) {
	l := &w.slot[level][at]
	for i := l.head; i != nil; {
		next := i.next
		w.unlink(i)
		w.place(i)
		i = next
	}
}
