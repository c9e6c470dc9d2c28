package fakes

import (
	"testing"
	"time"
)

// Transfers that divide a capacity among themselves take as long as they must.
func TestTransfersTakeTheirTime(t *testing.T) {
	c := &Cluster{startedAt: time.Now()}
	s := &sharedCapacity{cluster: c, maxRate: 1, capacity: func(time.Duration) float64 { return 2 }}
	ends := make(chan time.Duration, 8)
	c.mu.Lock()
	for range 4 { // four of 50 ms on two at a time
		s.add(50_000, func() { ends <- c.now() })
	}
	cancelled := s.add(1e9, func() { t.Error("dropped, and over all the same") })
	s.cancel(cancelled)
	c.mu.Unlock()
	for range 4 {
		if took := <-ends; took < 95*time.Millisecond || took > 3*time.Second {
			t.Errorf("took %v", took)
		}
	}
}
