package fakes

import (
	"testing"
	"time"
)

// TestDedupWindowRunsFromArrivals guards against measuring the dedup window by when the origin
// processes an attempt: the window runs from the arrival of one attempt to the arrival of the
// other.
func TestDedupWindowRunsFromArrivals(t *testing.T) {
	contentType := &ContentType{DedupWindow: 3 * time.Second}
	for _, c := range []struct {
		repeatAfter time.Duration
		effects     int
	}{{0, 1}, {3 * time.Second, 1}, {3*time.Second + 1, 2}} {
		cluster := &Cluster{startedAt: time.Now().Add(-time.Hour), effects: map[string]effect{}}
		cluster.recordEffect("key", contentType, time.Minute)
		cluster.recordEffect("key", contentType, time.Minute+c.repeatAfter)
		if got := cluster.EffectCount("key"); got != c.effects {
			t.Errorf("a repeat after %v: %d effects, want %d", c.repeatAfter, got, c.effects)
		}
	}
}
