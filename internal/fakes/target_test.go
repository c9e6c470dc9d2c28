package fakes

import (
	"testing"
	"time"
)

// TestRefusalIsJudgedByTheDirectorThatWasDialed guards against counting a refusal against a director
// that was killed and has been started again by the time the client notices.
func TestRefusalIsJudgedByTheDirectorThatWasDialed(t *testing.T) {
	const dialedAt, killedAt, startedAt, noticedAt = 10 * time.Millisecond, 20 * time.Millisecond, 80 * time.Millisecond, 90 * time.Millisecond
	kill := func(target *Target) { target.SetKilled(true) }
	restart := func(target *Target) {
		kill(target)
		target.SetKillCompleted(killedAt)
		target.SetKilled(false)
	}
	for _, c := range []struct {
		name    string
		before  func(target *Target) // happens before the dial
		after   func(target *Target) // happens before the client notices
		at      time.Duration        // of the dial
		counted bool
	}{
		{"a director that serves", nil, nil, dialedAt, true},
		{"killed", nil, kill, dialedAt, false},
		{"killed and started again", nil, restart, dialedAt, false},
		{"killed before the dial and started again", kill, restart, startedAt - 1, false},
		{"killed and started again before the dial", restart, nil, startedAt, true},
		{"at the end of the time after SIGTERM", func(target *Target) { target.SetTerminated(1) }, nil, acceptAfterTerminate + 1, false},
		{"right after SIGTERM", func(target *Target) { target.SetTerminated(1) }, nil, dialedAt, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			target := &Target{}
			if c.before != nil {
				c.before(target)
			}
			obliged := target.mustAccept(c.at)
			if c.after != nil {
				c.after(target)
			}
			if counted := obliged && target.mustStillAccept(c.at, max(c.at, noticedAt)); counted != c.counted {
				t.Errorf("counted %v, want %v", counted, c.counted)
			}
		})
	}
}
