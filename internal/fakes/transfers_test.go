package fakes

import (
	"testing"
	"time"
)

// TestTransfersTakeTheirTime guards against transfers that end too early or too late when they
// share a capacity, and against callbacks of cancelled transfers.
func TestTransfersTakeTheirTime(t *testing.T) {
	c := &Cluster{startedAt: time.Now()}
	s := &sharedCapacity{cluster: c, maxRate: 1, capacity: func(time.Duration) float64 { return 2 }}
	ends := make(chan time.Duration, 8)
	c.mu.Lock()
	for range 4 { // four transfers of 50 ms, two at a time
		s.add(50_000, func() { ends <- c.now() })
	}
	cancelled := s.add(1e9, func() { t.Error("done was called for a cancelled transfer") })
	s.cancel(cancelled)
	c.mu.Unlock()
	for range 4 {
		if took := <-ends; took < 95*time.Millisecond || took > 3*time.Second {
			t.Errorf("transfer took %v, want 95 ms to 3 s", took)
		}
	}
}
