package fakes

import (
	"container/heap"
	"time"
)

// sharedCapacity is a capacity shared equally by all running transfers (processor sharing). Each
// transfer runs at maxRate at most, and all together at the current capacity. The lock of the
// cluster guards it.
type sharedCapacity struct {
	cluster   *Cluster
	capacity  func(at time.Duration) float64 // in transfers at full rate to a client
	maxRate   float64                        // maximum rate of one transfer, over the full rate
	transfers transferHeap                   // running transfers, the next to end first
	served    float64                        // µs of work completed per transfer since the start
	last      time.Duration                  // time up to which served is computed
	timer     *time.Timer                    // fires at the next end
}

// transfer is an amount of work that uses a shared capacity.
type transfer struct {
	end   float64 // value of served at which the transfer ends
	index int     // in the heap; -1 after the end
	done  func()
}

const (
	capacityCheckInterval = 20 * time.Millisecond // longest delay until a new capacity applies
	minTimerWait          = 50 * time.Microsecond
	minRate               = 1e-6
)

// add starts a transfer of work µs at full rate and calls done at its end. The caller holds the
// lock, and done is called with the lock held.
func (s *sharedCapacity) add(work float64, done func()) *transfer {
	s.advance()
	t := &transfer{end: s.served + work, done: done}
	heap.Push(&s.transfers, t)
	s.resetTimer()
	return t
}

// cancel ends a transfer early without calling done. The caller holds the lock.
func (s *sharedCapacity) cancel(t *transfer) {
	if t == nil || t.index < 0 {
		return
	}
	s.advance()
	if t.index >= 0 {
		heap.Remove(&s.transfers, t.index)
	}
	s.resetTimer()
}

// rate returns the work that each transfer completes per µs.
func (s *sharedCapacity) rate(now time.Duration) float64 {
	return min(s.maxRate, max(minRate, s.capacity(now))/float64(max(1, len(s.transfers))))
}

// advance completes the transfers that are done by now, in order of their ends.
func (s *sharedCapacity) advance() {
	now := s.cluster.now()
	for len(s.transfers) > 0 {
		available := max(0, float64(now-s.last)/1000)
		rate := s.rate(now)
		needed := (s.transfers[0].end - s.served) / rate
		if needed > available {
			s.served += available * rate
			break
		}
		s.served = s.transfers[0].end
		s.last += time.Duration(needed * 1000)
		t := heap.Pop(&s.transfers).(*transfer)
		t.done()
	}
	s.last = max(s.last, now)
}

// resetTimer sets the timer for the next end of a transfer, or for the next check of the capacity.
func (s *sharedCapacity) resetTimer() {
	if s.timer != nil {
		s.timer.Stop()
	}
	if len(s.transfers) == 0 {
		return
	}
	wait := time.Duration((s.transfers[0].end - s.served) / s.rate(s.cluster.now()) * 1000)
	s.timer = time.AfterFunc(min(max(wait, minTimerWait), capacityCheckInterval), func() {
		s.cluster.mu.Lock()
		defer s.cluster.mu.Unlock()
		s.advance()
		s.resetTimer()
	})
}

// clear cancels all transfers.
func (s *sharedCapacity) clear() {
	for _, t := range s.transfers {
		t.index = -1
	}
	s.transfers = nil
}

// transferHeap implements heap.Interface.
type transferHeap []*transfer

// Len implements heap.Interface.
func (h transferHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h transferHeap) Less(a, b int) bool { return h[a].end < h[b].end }

// Swap implements heap.Interface.
func (h transferHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

// Push implements heap.Interface.
func (h *transferHeap) Push(x any) {
	t := x.(*transfer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *transferHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = -1
	return t
}
