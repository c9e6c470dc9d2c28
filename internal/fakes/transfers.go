package fakes

import (
	"container/heap"
	"time"
)

// sharedCapacity is a capacity that transfers divide equally among themselves (processor sharing): each runs at maxRate at most, and all
// together at the capacity of the moment. The cluster's lock guards it.
type sharedCapacity struct {
	cluster   *Cluster
	capacity  func(at time.Duration) float64 // in transfers at a client's full pace
	maxRate   float64                        // of one transfer, over that pace
	transfers transferHeap                   // those that are under way, the first to end on top
	served    float64                        // µs of work that each transfer has been given since the beginning
	last      time.Duration                  // until when served counts
	timer     *time.Timer                    // wakes for the next end
}

// transfer is a piece of work.
type transfer struct {
	end   float64 // the value of served at which it ends
	index int     // in the heap; -1 once it has ended
	done  func()
}

const (
	replanInterval = 20 * time.Millisecond // after which a changed capacity is seen at the latest
	minimumWait    = 50 * time.Microsecond
	minimumRate    = 1e-6
)

// add starts a transfer of a number of µs at full pace, and calls done at its end. The caller holds the lock, and done is called under it.
func (s *sharedCapacity) add(work float64, done func()) *transfer {
	s.advance()
	t := &transfer{end: s.served + work, done: done}
	heap.Push(&s.transfers, t)
	s.plan()
	return t
}

// cancel ends a transfer early, without calling done. The caller holds the lock.
func (s *sharedCapacity) cancel(t *transfer) {
	if t == nil || t.index < 0 {
		return
	}
	s.advance()
	if t.index >= 0 {
		heap.Remove(&s.transfers, t.index)
	}
	s.plan()
}

// rate is the work that each transfer is given in a µs.
func (s *sharedCapacity) rate(now time.Duration) float64 {
	return min(s.maxRate, max(minimumRate, s.capacity(now))/float64(max(1, len(s.transfers))))
}

// advance ends the transfers that are done by now, in their order.
func (s *sharedCapacity) advance() {
	now := s.cluster.now()
	for len(s.transfers) > 0 {
		left := max(0, float64(now-s.last)/1000)
		rate := s.rate(now)
		need := (s.transfers[0].end - s.served) / rate
		if need > left {
			s.served += left * rate
			break
		}
		s.served = s.transfers[0].end
		s.last += time.Duration(need * 1000)
		t := heap.Pop(&s.transfers).(*transfer)
		t.done()
	}
	s.last = max(s.last, now)
}

// plan sets the timer for the next end, or for a look at a changed capacity.
func (s *sharedCapacity) plan() {
	if s.timer != nil {
		s.timer.Stop()
	}
	if len(s.transfers) == 0 {
		return
	}
	wait := time.Duration((s.transfers[0].end - s.served) / s.rate(s.cluster.now()) * 1000)
	s.timer = time.AfterFunc(min(max(wait, minimumWait), replanInterval), func() {
		s.cluster.mu.Lock()
		defer s.cluster.mu.Unlock()
		s.advance()
		s.plan()
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

// Len is called by package heap.
func (h transferHeap) Len() int { return len(h) }

// Less is called by package heap.
func (h transferHeap) Less(a, b int) bool { return h[a].end < h[b].end }

// Swap is called by package heap.
func (h transferHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

// Push is called by package heap.
func (h *transferHeap) Push(x any) {
	t := x.(*transfer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop is called by package heap.
func (h *transferHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = -1
	return t
}
