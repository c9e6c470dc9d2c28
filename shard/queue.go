package shard

import "sync"

// Queue hands things from many goroutines to one, which takes all that is there at a time: one lock for each thing put in, one
// for each batch taken out. It is bounded for those who can wait; those who can't are bounded elsewhere.
type Queue[T any] struct {
	mu     sync.Mutex
	items  []T
	spare  []T // the batch before, used again
	most   int
	room   sync.Cond
	wake   chan struct{}
	closed bool
}

// NewQueue makes one in which so many things may wait before those who put more in do.
func NewQueue[T any](most int) *Queue[T] {
	q := &Queue[T]{most: most, wake: make(chan struct{}, 1)}
	q.room.L = &q.mu
	return q
}

// Put puts a thing in, and waits for room first; false once the queue is closed.
func (q *Queue[T]) Put(x T) bool {
	q.mu.Lock()
	for len(q.items) >= q.most && !q.closed {
		q.room.Wait()
	}
	return q.put(x)
}

// TryPut puts a thing in where there is room for it; false where there is none.
func (q *Queue[T]) TryPut(x T) bool {
	q.mu.Lock()
	if len(q.items) >= q.most {
		q.mu.Unlock()
		return false
	}
	return q.put(x)
}

// PutUnbounded puts a thing in that can't wait: the end of what was handed out, of which there are never more than that.
func (q *Queue[T]) PutUnbounded(x T) bool {
	q.mu.Lock()
	return q.put(x)
}

func (q *Queue[T]) put(x T) bool {
	if q.closed {
		q.mu.Unlock()
		return false
	}
	first := len(q.items) == 0
	q.items = append(q.items, x)
	q.mu.Unlock()
	if first {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	return true
}

// Ready is signalled when something is there, or the queue was closed.
func (q *Queue[T]) Ready() <-chan struct{} { return q.wake }

// TakeAll takes all that is there. The batch is the taker's until it takes the next.
func (q *Queue[T]) TakeAll() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.items
	clear(q.spare)
	q.items, q.spare = q.spare[:0], batch
	if cap(q.items) > 4*q.most { // after a burst of what can't wait
		q.items = nil
	}
	q.room.Broadcast()
	return batch
}

// Close lets nobody wait any more; what is there can still be taken.
func (q *Queue[T]) Close() {
	q.mu.Lock()
	q.closed = true
	q.room.Broadcast()
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}
