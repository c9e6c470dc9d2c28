package fakes

import (
	"slices"
	"sync"
	"time"
)

// Target is a director from the view of its clients. It is safe for concurrent use.
type Target struct {
	Addr string // host and port

	mu              sync.Mutex
	killed          bool
	exitedAt        time.Duration // see SetKillCompleted
	terminatedAt    time.Duration // SIGTERM, since the start of the cluster; 0 if not sent
	descriptorsFull bool          // idle clients use them up; see SetCrowded
	pauses          []pause       // the last one may still be open
}

// By the protocol, clients may still connect for 0.2 to 0.4 s after SIGTERM.
const (
	acceptAfterTerminate  = 200 * time.Millisecond // how long a director must accept
	connectAfterTerminate = 400 * time.Millisecond // how long clients try to connect
)

// pause is a period, relative to the start of the cluster, in which a director was stopped.
type pause struct{ from, until time.Duration }

// SetKilled records that the director was killed, after which it owes no answers, or that it was
// started and must accept connections.
func (t *Target) SetKilled(killed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.killed, t.terminatedAt = killed, 0
}

// SetKillCompleted records that the process that was killed had exited at a time since the start of
// the cluster: connections opened before were its own.
func (t *Target) SetKillCompleted(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exitedAt = at
}

// SetTerminated records that SIGTERM was sent to the director at a time since the start of the
// cluster. The director still owes answers to the requests that it has.
func (t *Target) SetTerminated(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.terminatedAt = at
}

// SetCrowded records whether idle clients use up the file descriptors of the director. It may then
// close new connections without reading from them.
func (t *Target) SetCrowded(descriptorsFull bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.descriptorsFull = descriptorsFull
}

func (t *Target) hasFullDescriptors() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.descriptorsFull
}

// clientsMayConnect reports whether clients still connect to the director at the given time. They
// stop connectAfterTerminate after SIGTERM.
func (t *Target) clientsMayConnect(at time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.terminatedAt == 0 || at < t.terminatedAt+connectAfterTerminate
}

// terminationTime returns when SIGTERM was sent, since the start of the cluster; 0 if it was not
// sent.
func (t *Target) terminationTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.terminatedAt
}

// mustAccept reports whether the director must accept a connection at the given time.
func (t *Target) mustAccept(at time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.killed && (t.terminatedAt == 0 || at < t.terminatedAt+acceptAfterTerminate)
}

// mustStillAccept reports whether a director that had to accept a connection dialed at the given time
// has had to until now: it was not killed since, even if it has been started again.
func (t *Target) mustStillAccept(dialedAt, now time.Duration) bool {
	return t.mustAccept(now) && !t.killedSince(dialedAt)
}

// SetPaused records that the director was stopped (SIGSTOP) or continued (SIGCONT) at a time since
// the start of the cluster.
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

// resumeDelay is how long a continued director may take to answer waiting requests: it polls the
// command channel first.
const resumeDelay = 100 * time.Millisecond

// pausedAt reports whether the director was stopped at the given time, or had been continued no
// more than resumeDelay before.
func (t *Target) pausedAt(at time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.pauses, func(p pause) bool { return at >= p.from && at-resumeDelay <= p.until })
}

// killedSince reports whether the director was killed after a connection to it was opened at the
// given time. It may have been started again since.
func (t *Target) killedSince(openedAt time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.killed || openedAt < t.exitedAt
}
