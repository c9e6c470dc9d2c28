package fakes

import (
	"slices"
	"sync"
	"time"
)

// Target is a director as clients see it. It may be used by any goroutine.
type Target struct {
	Addr string // host and port

	mu     sync.Mutex
	killed bool
	pauses []pause // the last may not have ended
}

// pause is a time, since the cluster's start, in which a director was stopped.
type pause struct{ from, until time.Duration }

// SetKilled says whether the director was killed: what it held is no longer owed.
func (t *Target) SetKilled(killed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.killed = killed
}

// SetPaused says that the director was stopped, or goes on, at a time since the cluster's start.
func (t *Target) SetPaused(stopped bool, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch n := len(t.pauses); {
	case stopped:
		t.pauses = append(t.pauses, pause{at, noEnd})
	case n > 0 && t.pauses[n-1].until == noEnd:
		t.pauses[n-1].until = at
	}
}

// resumeDelay is how long a director that goes on may take to answer what waited: it polls the command channel first.
const resumeDelay = 100 * time.Millisecond

// pausedAt says whether the director was stopped at a time, or had only just gone on.
func (t *Target) pausedAt(at time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.pauses, func(p pause) bool { return at >= p.from && at-resumeDelay <= p.until })
}

func (t *Target) isKilled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.killed
}
