package wallclock

import (
	"testing"

	"tallyproxy/policy"
)

// TestLocal guards against a clock step that makes an endpoint that has just started look warm, or
// keeps it cold for as long as the step, and against one that lets copies older than a purge pass.
func TestLocal(t *testing.T) {
	const hour, now = 3600 * policy.Second, 100_000 * policy.Second
	for _, c := range []struct {
		name    string
		reading Reading
		at      policy.Micros
		age     policy.Micros
	}{
		{"no step", Reading{now, now, 0}, now - 3*policy.Second, 3 * policy.Second},
		{"long ago", Reading{now, now, 0}, now - 2*hour, 2 * hour},
		{"this machine's clock stepped forward", Reading{now, now + hour, 0}, now - policy.Second, policy.Second},
		{"this machine's clock stepped back", Reading{now, now - hour, 0}, now - policy.Second, 0},
		{"the clocks of all machines stepped forward", Reading{now, now + hour, 0}, now + hour - policy.Second, 0},
		{"the clocks of all machines stepped back", Reading{now, now - hour, 0}, now - hour - policy.Second, policy.Second},
		{"the platform's clock stepped forward", Reading{now, now, 0}, now + hour, 0},
		{"the platform's clock stepped back", Reading{now, now, 2 * policy.Second}, now - hour, 2 * policy.Second},
		{"started with a clock that was an hour ahead", Reading{now + hour, now + hour, policy.Second}, now, policy.Second},
		{"announced later than it happened", Reading{now, now, policy.Second}, now - 5*policy.Second, policy.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			if age := c.reading.Now - c.reading.Local(c.at); age != c.age {
				t.Errorf("age %v, want %v", age.Duration(), c.age.Duration())
			}
		})
	}
}
