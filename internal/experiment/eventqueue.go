package experiment

import (
	"container/heap"

	"tallyproxy/policy"
)

// millisecond is one millisecond of simulated time.
const millisecond = policy.Second / 1000

// eventQueue is the clock and the pending events of a discrete-event simulation. Events run in the
// order of their times; events with equal times run in the order in which they were scheduled. Only
// the goroutine of the simulation uses it.
type eventQueue struct {
	now      policy.Micros
	sequence int // sequence number of the event scheduled last
	events   eventHeap
}

// after schedules an event at a delay from the current simulated time.
func (q *eventQueue) after(delay policy.Micros, run func()) {
	q.sequence++
	heap.Push(&q.events, event{q.now + delay, q.sequence, run})
}

// next returns the time of the next event; ok is false if there is none.
func (q *eventQueue) next() (at policy.Micros, ok bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// runNext advances the clock to the time of the next event and runs it. The queue must not be
// empty.
func (q *eventQueue) runNext() {
	e := heap.Pop(&q.events).(event)
	q.now = e.at
	e.run()
}

// event is a function that is called at a point in simulated time.
type event struct {
	at       policy.Micros
	sequence int
	run      func()
}

// eventHeap implements heap.Interface with the earliest event first.
type eventHeap []event

// Len implements sort.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements sort.Interface: it orders by time, then by the order of scheduling.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

// Swap implements sort.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
