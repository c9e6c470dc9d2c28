package rollout

import (
	"slices"
	"testing"

	"tallyproxy/policy"
)

// TestRestartPolicy guards against a director that is restarted too often, not at all, or although
// it exited after a request to stop.
func TestRestartPolicy(t *testing.T) {
	cases := []struct {
		name string
		// Reports whether the director is up, from the number of starts and the time since the
		// latest one.
		isUp          func(started int, since policy.Micros) bool
		stopRequested bool
		want          []policy.Micros // when the director is started, in seconds

	}{
		{"it runs", func(int, policy.Micros) bool { return true }, false, nil},
		{"it dies once", func(n int, since policy.Micros) bool { return n > 0 || since < 10*policy.Second }, false, []policy.Micros{11}},
		{"it can't run", func(int, policy.Micros) bool { return false }, false, []policy.Micros{1, 3, 7, 15, 31, 63, 127, 191}},
		{"it dies after two seconds each time", func(_ int, since policy.Micros) bool { return since < 2*policy.Second }, false,
			[]policy.Micros{3, 9, 27, 93, 159}},
		{"it dies after a minute each time", func(_ int, since policy.Micros) bool { return since < 60*policy.Second }, false, []policy.Micros{61, 122, 183}},
		{"it was told to stop", func(int, policy.Micros) bool { return false }, true, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var restarts RestartPolicy
			var got []policy.Micros
			started, at := 0, policy.Micros(0)
			for now := policy.Micros(0); now < 200*policy.Second; now += policy.Second {
				if restarts.ShouldStart(now, c.isUp(started, now-at), c.stopRequested) {
					started, at, got = started+1, now, append(got, now/policy.Second)
				}
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("started at %v, want %v", got, c.want)
			}
		})
	}
}
