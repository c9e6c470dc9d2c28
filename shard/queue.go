package shard

import "sync"

// shrinkFactor is the multiple of a queue's limit beyond which a grown buffer is released.
const shrinkFactor = 4

// Queue passes values from many goroutines to one consumer, which takes all queued values at
// once: one lock for each value put in, and one for each batch taken out. Put and TryPut respect
// the limit. Callers of PutUnbounded must bound their number of values themselves. A mutex guards
// the queue.
type Queue[T any] struct {
	mu      sync.Mutex
	notFull sync.Cond
	items   []T
	spare   []T // buffer of the last batch; the next TakeAll makes it the buffer of items
	limit   int
	ready   chan struct{} // has capacity 1
	closed  bool
}

// NewQueue returns an empty queue in which Put waits while it holds limit values or more.
func NewQueue[T any](limit int) *Queue[T] {
	q := &Queue[T]{limit: limit, ready: make(chan struct{}, 1)}
	q.notFull.L = &q.mu
	return q
}

// Put adds a value. It waits while the queue is full, and returns false once the queue is closed.
func (q *Queue[T]) Put(value T) bool {
	q.mu.Lock()
	for len(q.items) >= q.limit && !q.closed {
		q.notFull.Wait()
	}
	return q.putAndUnlock(value)
}

// TryPut adds a value without waiting. It returns false if the queue is full or closed.
func (q *Queue[T]) TryPut(value T) bool {
	q.mu.Lock()
	if len(q.items) >= q.limit {
		q.mu.Unlock()
		return false
	}
	return q.putAndUnlock(value)
}

// PutUnbounded adds a value regardless of the limit. It is for callers that must not wait and whose
// values are bounded otherwise, such as completions: there is at most one for each piece of work
// that was handed out. It returns false once the queue is closed.
func (q *Queue[T]) PutUnbounded(value T) bool {
	q.mu.Lock()
	return q.putAndUnlock(value)
}

// putAndUnlock adds a value unless the queue is closed. The caller must hold the lock; putAndUnlock
// releases it.
func (q *Queue[T]) putAndUnlock(value T) bool {
	if q.closed {
		q.mu.Unlock()
		return false
	}
	wasEmpty := len(q.items) == 0
	q.items = append(q.items, value)
	q.mu.Unlock()
	if wasEmpty {
		q.signal()
	}
	return true
}

func (q *Queue[T]) signal() {
	select {
	case q.ready <- struct{}{}:
	default: // already signaled
	}
}

// Ready returns a channel that receives a value after values were added or the queue was closed.
func (q *Queue[T]) Ready() <-chan struct{} { return q.ready }

// TakeAll removes and returns all values, in the order in which they were added. The caller may use
// the returned slice until its next call. Only one goroutine may call TakeAll.
func (q *Queue[T]) TakeAll() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.items
	clear(q.spare)
	q.items, q.spare = q.spare[:0], batch
	if cap(q.items) > shrinkFactor*q.limit { // after a burst of unbounded puts
		q.items = nil
	}
	q.notFull.Broadcast()
	return batch
}

// Close wakes all waiting callers and makes later puts return false. Values that are still in the
// queue can be taken.
func (q *Queue[T]) Close() {
	q.mu.Lock()
	q.closed = true
	q.notFull.Broadcast()
	q.mu.Unlock()
	q.signal()
}
