package fakes

import (
	"container/heap"
	"time"
)

// sharedCapacity is something that transfers divide among themselves: each runs at its pace at most, and all together at what can be
// done at the moment. The world's lock guards it.
type sharedCapacity struct {
	cluster   *Cluster
	capacity  func(at time.Duration) float64 // transfers at a client's full pace
	maxRate   float64                        // how much faster than that one may run
	transfers transferHeap
	served    float64 // µs that each transfer has been given so far
	last      time.Duration
	timer     *time.Timer
}

type transfer struct {
	end   float64
	index int // -1: over
	done  func()
}

const replanInterval = 20 * time.Millisecond // how often what can be done is looked at anew

// add starts a transfer of so many µs at full pace.
func (s *sharedCapacity) add(work float64, done func()) *transfer {
	s.advance()
	j := &transfer{end: s.served + work, done: done}
	heap.Push(&s.transfers, j)
	s.plan()
	return j
}

// cancel ends a transfer early.
func (s *sharedCapacity) cancel(j *transfer) {
	if j == nil || j.index < 0 {
		return
	}
	s.advance()
	if j.index >= 0 {
		heap.Remove(&s.transfers, j.index)
	}
	s.plan()
}

func (s *sharedCapacity) rate(now time.Duration) float64 {
	return min(s.maxRate, max(1e-6, s.capacity(now))/float64(max(1, len(s.transfers))))
}

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
		j := heap.Pop(&s.transfers).(*transfer)
		j.done()
	}
	s.last = max(s.last, now)
}

func (s *sharedCapacity) plan() {
	if s.timer != nil {
		s.timer.Stop()
	}
	if len(s.transfers) == 0 {
		return
	}
	wait := time.Duration((s.transfers[0].end - s.served) / s.rate(s.cluster.now()) * 1000)
	s.timer = time.AfterFunc(min(max(wait, 50*time.Microsecond), replanInterval), func() {
		s.cluster.mu.Lock()
		defer s.cluster.mu.Unlock()
		s.advance()
		s.plan()
	})
}

// clear drops all transfers.
func (s *sharedCapacity) clear() {
	for _, j := range s.transfers {
		j.index = -1
	}
	s.transfers = nil
}

type transferHeap []*transfer

func (j transferHeap) Len() int           { return len(j) }
func (j transferHeap) Less(a, b int) bool { return j[a].end < j[b].end }
func (j transferHeap) Swap(a, b int)      { j[a], j[b] = j[b], j[a]; j[a].index, j[b].index = a, b }
func (j *transferHeap) Push(x any)        { x.(*transfer).index = len(*j); *j = append(*j, x.(*transfer)) }
func (j *transferHeap) Pop() any {
	last := len(*j) - 1
	x := (*j)[last]
	(*j)[last], *j, x.index = nil, (*j)[:last], -1
	return x
}
