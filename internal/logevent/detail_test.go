package logevent

import (
	"testing"
	"time"
)

// TestDetailIsBounded guards against a director that is slowed down by the lines that it writes for
// each rejection, and against lines that are left out without a trace.
func TestDetailIsBounded(t *testing.T) {
	start := time.Now()
	admit := func(at time.Duration, times int) (admitted, suppressed int) {
		for range times {
			before, ok := admitDetail(start.Add(at))
			if ok {
				admitted++
			}
			suppressed += before
		}
		return admitted, suppressed
	}
	if admitted, suppressed := admit(0, 1000); admitted != maxDetailPerSecond || suppressed != 0 {
		t.Errorf("%d lines in the first second, %d reported as left out", admitted, suppressed)
	}
	if admitted, suppressed := admit(time.Second, 10); admitted != 10 || suppressed != 1000-maxDetailPerSecond {
		t.Errorf("%d lines in the next second, %d reported as left out", admitted, suppressed)
	}
}
