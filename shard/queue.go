package shard

import "sync"

// shrinkFactor says how far beyond its limit a queue's buffer may have grown before it is let go.
const shrinkFactor = 4

// Queue hands values from many goroutines to one, which takes all that are there at a time: one lock for each value put in, one for
// each batch taken out. Put and TryPut keep it within its limit; what PutUnbounded adds, its callers must bound. A mutex guards it.
type Queue[T any] struct {
	mu      sync.Mutex
	notFull sync.Cond
	items   []T
	spare   []T // the buffer of the batch before the last, to be used again
	limit   int
	ready   chan struct{} // of capacity 1
	closed  bool
}

// NewQueue returns an empty queue that holds at most limit values before those who put more in must wait.
func NewQueue[T any](limit int) *Queue[T] {
	q := &Queue[T]{limit: limit, ready: make(chan struct{}, 1)}
	q.notFull.L = &q.mu
	return q
}

// Put adds a value, after waiting for room. It returns false once the queue is closed.
func (q *Queue[T]) Put(value T) bool {
	q.mu.Lock()
	for len(q.items) >= q.limit && !q.closed {
		q.notFull.Wait()
	}
	return q.unlockAfterPut(value)
}

// TryPut adds a value without waiting. It returns false where there is no room, or the queue is closed.
func (q *Queue[T]) TryPut(value T) bool {
	q.mu.Lock()
	if len(q.items) >= q.limit {
		q.mu.Unlock()
		return false
	}
	return q.unlockAfterPut(value)
}

// PutUnbounded adds a value whatever the queue holds, for callers that must not wait and are bounded otherwise: the end of work
// that was handed out, of which there is never more than that. It returns false once the queue is closed.
func (q *Queue[T]) PutUnbounded(value T) bool {
	q.mu.Lock()
	return q.unlockAfterPut(value)
}

// unlockAfterPut adds a value unless the queue is closed, with the lock held on entry and free on return.
func (q *Queue[T]) unlockAfterPut(value T) bool {
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
	default: // it has been signalled already
	}
}

// Ready returns a channel that receives when values have come, or the queue was closed.
func (q *Queue[T]) Ready() <-chan struct{} { return q.ready }

// TakeAll takes out all that is there, in the order in which it came. The batch is the caller's until its next call. Only one
// goroutine may call it.
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

// Close ends all waiting, and has later puts return false. What is there can still be taken out.
func (q *Queue[T]) Close() {
	q.mu.Lock()
	q.closed = true
	q.notFull.Broadcast()
	q.mu.Unlock()
	q.signal()
}
