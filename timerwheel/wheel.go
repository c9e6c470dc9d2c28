// Package timerwheel implements a hierarchical timer wheel: items are scheduled for a time and
// passed to a callback once that time has come. It does no I/O and takes the time as an argument.
// The cost of scheduling, moving and cancelling does not depend on the number of items in the
// wheel, whereas the cost of a heap grows with its size.
package timerwheel

import (
	"math/bits"
	"time"
)

const (
	slotBits = 6
	slots    = 1 << slotBits // per level
	slotMask = slots - 1
	levels   = 6

	// rangeBits is the binary logarithm of the wheel's range in ticks.
	rangeBits = slotBits * levels
)

// Item is an entry of a wheel. It can be embedded or pointed to. The zero value is not scheduled.
// An item must not be copied while it is scheduled.
type Item[T any] struct {
	// Value belongs to the caller and is not read by the wheel.
	Value T

	due            int64 // ticks
	previous, next *Item[T]
	list           *list[T] // nil while the item is not scheduled
}

// Scheduled reports whether the item is in a wheel.
func (i *Item[T]) Scheduled() bool { return i.list != nil }

// list holds the items of one slot in the order in which they were scheduled.
type list[T any] struct {
	head, tail  *Item[T]
	level, slot int // position of the list in the wheel
}

// Wheel holds items by due time, with a resolution of one tick. Items that are due in the same tick
// expire in the order in which they were scheduled. A Wheel is not safe for concurrent use.
type Wheel[T any] struct {
	tick     int64 // length of a tick in µs
	now      int64 // tick up to which all items have expired
	count    int
	occupied [levels]uint64 // per level: one bit for each slot that is not empty
	lists    [levels][slots]list[T]
}

// New returns an empty wheel at the time now, with ticks of the given length, both in microseconds.
// It panics unless tick is above 0.
func New[T any](tick, now int64) *Wheel[T] {
	if tick <= 0 {
		panic("timerwheel: tick must be positive")
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

// Schedule adds an item, or moves it, so that it is due at the given time in microseconds. The item
// expires no earlier than that, and no more than one tick later. An item that is due beyond the
// wheel's range of 64^6 ticks is placed again when that range has passed.
func (w *Wheel[T]) Schedule(i *Item[T], due int64) {
	w.Cancel(i)
	i.due = max((due+w.tick-1)/w.tick, w.now+1)
	w.link(i)
	w.count++
}

// link appends an item to the list of the slot for its due time, relative to now.
func (w *Wheel[T]) link(i *Item[T]) {
	at := min(i.due, w.now+1<<rangeBits-1)
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

// Cancel removes an item before it is due. It does nothing if the item is not scheduled.
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

// Advance moves the wheel to the given time in microseconds, and calls expired for each item that
// is due by then, in the order of the due times. The item is no longer scheduled during the call,
// which may schedule and cancel any item.
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

// UntilNext returns how long the caller may wait, from the given time in microseconds, before it
// must call Advance. The result is never longer than the time until the first item is due. It is
// shorter if items move to a lower level before that. For an empty wheel it is a very long time.
func (w *Wheel[T]) UntilNext(now int64) time.Duration {
	const maxTicks = 1 << 40
	next := w.nextEvent(w.now + maxTicks)
	return time.Duration(max(0, next*w.tick-now)) * time.Microsecond
}

// nextEvent returns the next tick at which an item is due or moves to a lower level, or the tick
// until if that is earlier. All items of a lower level come before those of a higher level.
func (w *Wheel[T]) nextEvent(until int64) int64 {
	for level := range levels {
		shift := slotBits * level
		current := w.now >> shift & slotMask
		if later := w.occupied[level] &^ (1<<(current+1) - 1); later != 0 {
			base := w.now >> (shift + slotBits) << (shift + slotBits)
			return min(until, base+int64(bits.TrailingZeros64(later))<<shift)
		}
	}
	if w.occupied[levels-1] != 0 { // in the next rotation of the highest level
		return min(until, (w.now>>rangeBits+1)<<rangeBits)
	}
	return until
}

// cascade distributes a slot's items over the lower levels when the wheel has reached the slot.
func (w *Wheel[T]) cascade(level, slot int) {
	for i := w.lists[level][slot].head; i != nil; {
		next := i.next
		w.unlink(i)
		w.link(i)
		i = next
	}
}
