package upstream

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Endpoint is one process of a node, identified by its address, with the connections to it. It is
// safe for concurrent use.
type Endpoint struct {
	pool     *Pool
	address  string
	draining atomic.Bool // see SetDraining

	mu      sync.Mutex // guards the fields below, and all connections and attempts of the endpoint
	conns   []*conn    // open or being opened
	closing bool       // see CloseWhenIdle
}

// SetDraining sets whether the endpoint is draining. While it is, no new request is written to it,
// and no request that names it as the fill source is written to another endpoint. Requests that are
// queued but not written yet end with ErrWithdrawn.
func (e *Endpoint) SetDraining(draining bool) { e.draining.Store(draining) }

// CloseWhenIdle sets the endpoint to draining and removes it from the pool. Each of its connections
// is closed as soon as no attempt is open on it.
func (e *Endpoint) CloseWhenIdle() {
	e.pool.mu.Lock()
	delete(e.pool.endpoints, e)
	e.pool.mu.Unlock()
	e.draining.Store(true)
	e.mu.Lock()
	e.closing = true
	e.mu.Unlock()
	e.closeMatching(func(c *conn) bool { return len(c.attempts) == 0 })
}

// closeMatching closes the connections for which match returns true.
func (e *Endpoint) closeMatching(match func(*conn) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range slices.Clone(e.conns) {
		if match(c) {
			c.close(errCancelled)
		}
	}
}

// hasUnusedConn reports whether a connection without attempts accepts requests.
func (e *Endpoint) hasUnusedConn() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.conns, func(c *conn) bool { return !c.retired && len(c.attempts) == 0 })
}

// enqueue queues an attempt's request on a connection. It returns false if no connection accepts
// the attempt and no further one may be opened. The caller holds the endpoint's lock.
func (e *Endpoint) enqueue(a *Attempt) bool {
	c := e.pickConn(a)
	if c == nil {
		return false
	}
	a.conn, a.stage = c, NotConnected
	if c.netConn != nil {
		a.stage = NothingWritten
	}
	c.attempts[a.request.ID] = a
	c.lastUsed = a.sentAt
	c.queue = append(c.queue, message{attempt: a})
	c.wakeWriter()
	return true
}

// pickConn returns the best connection, as ordered by isBetterThan, that accepts the attempt. If
// that connection already carries the preferred number of attempts, or there is none, pickConn
// opens another one if the pool's limit allows it. It returns nil if there is neither. The caller
// holds the endpoint's lock.
func (e *Endpoint) pickConn(a *Attempt) *conn {
	var best *conn
	for _, c := range e.conns {
		if c.accepts(a) && (best == nil || c.isBetterThan(best)) {
			best = c
		}
	}
	if best != nil && len(best.attempts) < e.pool.timeouts.PreferredStreams {
		return best
	}
	if !e.reserveConn() {
		return best
	}
	c := newConn(e)
	e.conns = append(e.conns, c)
	go c.run()
	return c
}

// reserveConn counts one more connection and returns true, unless the pool's limit is reached. The
// caller holds the endpoint's lock.
func (e *Endpoint) reserveConn() bool {
	limit := e.pool.limit.Load()
	if len(e.conns) == 0 {
		limit += firstConnectionReserve(limit)
	}
	if e.pool.connections.Add(1) > limit {
		e.pool.connections.Add(-1)
		return false
	}
	return true
}
