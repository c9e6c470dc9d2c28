package fakes

import (
	"container/heap"
	"time"
)

// share is something that transfers divide among themselves: each runs at its pace at most, and all together at what can be
// done at the moment. The world's lock guards it.
type share struct {
	w    *World
	able func(at time.Duration) float64 // transfers at a client's full pace
	pace float64                        // how much faster than that one may run
	jobs jobs
	v    float64 // µs that each transfer has been given so far
	last time.Duration
	at   *time.Timer
}

type job struct {
	end   float64
	index int // -1: over
	done  func()
}

const look = 20 * time.Millisecond // how often what can be done is looked at anew

// add starts a transfer of so many µs at full pace.
func (s *share) add(work float64, done func()) *job {
	s.advance()
	j := &job{end: s.v + work, done: done}
	heap.Push(&s.jobs, j)
	s.plan()
	return j
}

// drop ends a transfer early.
func (s *share) drop(j *job) {
	if j == nil || j.index < 0 {
		return
	}
	s.advance()
	if j.index >= 0 {
		heap.Remove(&s.jobs, j.index)
	}
	s.plan()
}

func (s *share) rate(now time.Duration) float64 {
	return min(s.pace, max(1e-6, s.able(now))/float64(max(1, len(s.jobs))))
}

func (s *share) advance() {
	now := s.w.now()
	for len(s.jobs) > 0 {
		left := max(0, float64(now-s.last)/1000)
		rate := s.rate(now)
		need := (s.jobs[0].end - s.v) / rate
		if need > left {
			s.v += left * rate
			break
		}
		s.v = s.jobs[0].end
		s.last += time.Duration(need * 1000)
		j := heap.Pop(&s.jobs).(*job)
		j.done()
	}
	s.last = max(s.last, now)
}

func (s *share) plan() {
	if s.at != nil {
		s.at.Stop()
	}
	if len(s.jobs) == 0 {
		return
	}
	wait := time.Duration((s.jobs[0].end - s.v) / s.rate(s.w.now()) * 1000)
	s.at = time.AfterFunc(min(max(wait, 50*time.Microsecond), look), func() {
		s.w.mu.Lock()
		defer s.w.mu.Unlock()
		s.advance()
		s.plan()
	})
}

// clear drops all transfers.
func (s *share) clear() {
	for _, j := range s.jobs {
		j.index = -1
	}
	s.jobs = nil
}

type jobs []*job

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].end < j[b].end }
func (j jobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a]; j[a].index, j[b].index = a, b }
func (j *jobs) Push(x any)        { x.(*job).index = len(*j); *j = append(*j, x.(*job)) }
func (j *jobs) Pop() any {
	last := len(*j) - 1
	x := (*j)[last]
	(*j)[last], *j, x.index = nil, (*j)[:last], -1
	return x
}
