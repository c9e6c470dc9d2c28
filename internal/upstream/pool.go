package upstream

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/logevent"
	"tallyproxy/policy"
)

// Pool holds the connections to all endpoints and limits their number. It is safe for concurrent use.
type Pool struct {
	buffers     *bufpool.Pool
	timeouts    policy.Timeouts
	limit       atomic.Int64  // the most connections, but for the reserve of first ones
	connections atomic.Int64  // the connections that are open or being opened, probes included
	done        chan struct{} // closed by Close
	mayWrite    func() bool   // see SetWriteCheck

	mu             sync.Mutex // guards what follows
	endpoints      map[*Endpoint]struct{}
	unloggedErrors int // bad responses since one was logged
	lastLogged     time.Time
}

// New makes a pool of at most limit connections, which lends its buffers from buffers. Close it after use.
func New(buffers *bufpool.Pool, timeouts policy.Timeouts, limit int) *Pool {
	p := &Pool{
		buffers:   buffers,
		timeouts:  timeouts,
		done:      make(chan struct{}),
		mayWrite:  func() bool { return true },
		endpoints: map[*Endpoint]struct{}{},
	}
	p.SetLimit(limit)
	go p.closeIdleConnections()
	return p
}

// firstConnectionReserve is how many connections above the limit may be opened to endpoints that have none.
func firstConnectionReserve(limit int64) int64 { return max(1, limit/4) }

// SetLimit changes the most connections that may be open. Those that are open above it stay so.
func (p *Pool) SetLimit(limit int) { p.limit.Store(int64(limit)) }

// SetWriteCheck sets a function that is called right before requests are written: while it returns false, they are withdrawn instead,
// since what they were decided on may be out of date. It must be set before the first endpoint is made, and be safe for concurrent use.
func (p *Pool) SetWriteCheck(mayWrite func() bool) { p.mayWrite = mayWrite }

// Connections returns how many connections are open or being opened.
func (p *Pool) Connections() int { return int(p.connections.Load()) }

// Close closes all connections; the attempts on them fail. It is called once.
func (p *Pool) Close() {
	close(p.done)
	p.forEachEndpoint(func(e *Endpoint) {
		e.closeMatching(func(*conn) bool { return true })
	})
}

// NewEndpoint makes the endpoint of a node's process at an IPv4 address with a port. It opens no connection yet. It stays in the pool
// until CloseWhenIdle.
func (p *Pool) NewEndpoint(address string) *Endpoint {
	e := &Endpoint{pool: p, address: address}
	p.mu.Lock()
	p.endpoints[e] = struct{}{}
	p.mu.Unlock()
	return e
}

// forEachEndpoint calls do for each endpoint, under the pool's lock.
func (p *Pool) forEachEndpoint(do func(*Endpoint)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := range p.endpoints {
		do(e)
	}
}

// logBadResponse logs a response that can't be trusted: at most one line in the time of the connect timeout, with the number of such
// responses since the line before.
func (p *Pool) logBadResponse(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unloggedErrors++
	if time.Since(p.lastLogged) < p.timeouts.Connect.Duration() {
		return
	}
	slog.Warn(logevent.UpstreamBadResponse, "endpoint", address, "err", err, "faults", p.unloggedErrors)
	p.unloggedErrors, p.lastLogged = 0, time.Now()
}

// closeIdleConnections closes connections that were idle for the idle timeout, before the nodes do, until Close.
func (p *Pool) closeIdleConnections() {
	idle := p.timeouts.Idle.Duration()
	ticker := time.NewTicker(idle / 8)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case now := <-ticker.C:
			p.forEachEndpoint(func(e *Endpoint) {
				e.closeMatching(func(c *conn) bool { return len(c.attempts) == 0 && now.Sub(c.lastUsed) > idle })
			})
		}
	}
}

// evictIdle closes the connection of any endpoint that was idle longest, when the limit is reached and the target has no idle
// connection. So each endpoint gets its first connection within the limit, however many endpoints there are.
func (p *Pool) evictIdle(target *Endpoint) {
	if p.connections.Load() < p.limit.Load() || target.hasUnusedConn() {
		return
	}
	c := p.longestIdle()
	if c == nil {
		return
	}
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	if c.isIdle() { // still
		c.release()
		c.close(errCancelled)
	}
}

// longestIdle returns the connection that was idle longest; nil where none is idle.
func (p *Pool) longestIdle() *conn {
	var oldest *conn
	var oldestUse time.Time
	p.forEachEndpoint(func(e *Endpoint) {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, c := range e.conns {
			if c.isIdle() && (oldest == nil || c.lastUsed.Before(oldestUse)) {
				oldest, oldestUse = c, c.lastUsed
			}
		}
	})
	return oldest
}
