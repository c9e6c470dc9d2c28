package backoff

import (
	"testing"

	"tallyproxy/policy"
)

// TestDeriveIntervals guards against pauses after a start or after changes that are not shorter
// than the shorter of the two propagation times.
func TestDeriveIntervals(t *testing.T) {
	for _, c := range []struct{ purge, drain, initialSpread, changeSpread policy.Micros }{
		{500 * ms, 1000 * ms, 450 * ms, 333_333},
		{500 * ms, 250 * ms, 225 * ms, 166_666},
		{500 * ms, 0, 450 * ms, 333_333},
		{0, 2000 * ms, 360 * ms, 266_666},
		{0, 200 * ms, 180 * ms, 133_333},
	} {
		settings := policy.Settings{PurgePropagation: c.purge, DrainPropagation: c.drain, PurgeRetention: 6 * policy.Second, ConnectTimeout: 400 * ms}
		got := DeriveIntervals(settings, policy.Timeouts{LongPoll: 1200 * ms})
		if got.InitialSpread != c.initialSpread || got.ChangeSpread != c.changeSpread {
			t.Errorf("purge propagation %d, drain propagation %d: initial spread %d, change spread %d", c.purge, c.drain, got.InitialSpread, got.ChangeSpread)
		}
	}
}
