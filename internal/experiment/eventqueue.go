package experiment

import (
	"container/heap"

	"tallyproxy/policy"
)

// millisecond in simulated time.
const millisecond = policy.Second / 1000

// eventQueue is the clock of a discrete-event simulation and what is to happen on it. Events run in the order of their times, those of
// one time in the order in which they were scheduled. It belongs to the goroutine that runs the simulation.
type eventQueue struct {
	now      policy.Micros
	sequence int // of the event scheduled last
	events   eventHeap
}

// after schedules an event; delay counts from now.
func (q *eventQueue) after(delay policy.Micros, run func()) {
	q.sequence++
	heap.Push(&q.events, event{q.now + delay, q.sequence, run})
}

// next is the time of the next event; ok is false where there is none.
func (q *eventQueue) next() (at policy.Micros, ok bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// runNext sets the clock to the next event's time and runs it. There must be one.
func (q *eventQueue) runNext() {
	e := heap.Pop(&q.events).(event)
	q.now = e.at
	e.run()
}

// event is a function to be called at a time.
type event struct {
	at       policy.Micros
	sequence int
	run      func()
}

// eventHeap implements heap.Interface, the earliest event first.
type eventHeap []event

// Len implements sort.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements sort.Interface: by time, then in the order of scheduling.
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
