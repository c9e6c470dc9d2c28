package fakes

import (
	"slices"
	"sync"
	"time"
)

// Target is a director as clients see it. It may be used by any goroutine.
type Target struct {
	Addr string // host and port

	mu           sync.Mutex
	killed       bool
	terminatedAt time.Duration // when it was asked to end, since the cluster's start; 0 for not
	crowded      bool          // idle clients fill its descriptors: it may shut new connections unread
	pauses       []pause       // the last may not have ended
}

// The protocol has connections come for 0.2 to 0.4 s after SIGTERM.
const (
	acceptAfterTerminate  = 200 * time.Millisecond // a director has to accept for so long
	connectAfterTerminate = 400 * time.Millisecond // clients connect for so long
)

// pause is a time, since the cluster's start, in which a director was stopped.
type pause struct{ from, until time.Duration }

// SetKilled says whether the director was killed: what it held is no longer owed. One that is not was started, and owes to accept.
func (t *Target) SetKilled(killed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.killed, t.terminatedAt = killed, 0
}

// SetTerminated says that the director is asked to end at a time since the cluster's start. What it holds is owed all the same.
func (t *Target) SetTerminated(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.terminatedAt = at
}

// SetCrowded says whether idle clients fill the director's descriptors.
func (t *Target) SetCrowded(crowded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crowded = crowded
}

func (t *Target) isCrowded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crowded
}

// takesClients says whether clients still connect to the director at a time: they cease to some time after it was asked to end.
func (t *Target) takesClients(at time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.terminatedAt == 0 || at < t.terminatedAt+connectAfterTerminate
}

// terminated is when the director was asked to end, since the cluster's start; 0 for not.
func (t *Target) terminated() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.terminatedAt
}

// owesAccept says whether the director has to accept a connection at a time.
func (t *Target) owesAccept(at time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.killed && (t.terminatedAt == 0 || at < t.terminatedAt+acceptAfterTerminate)
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
