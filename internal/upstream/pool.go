package upstream

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/logevent"
	"tallyproxy/policy"
)

// Pool holds the connections to all endpoints and limits their number. It is safe for concurrent
// use.
type Pool struct {
	buffers     *bufpool.Pool
	timeouts    policy.Timeouts
	limit       atomic.Int64  // maximum number of connections, without firstConnectionReserve
	connections atomic.Int64  // connections open or being opened, including probes
	done        chan struct{} // closed by Close
	startedAt   time.Time     // see sinceStart
	dial        func(network, address string, timeout time.Duration) (net.Conn, error)
	mayWrite    func() bool // see SetWriteCheck

	mu             sync.Mutex // guards the fields below
	endpoints      map[*Endpoint]struct{}
	unloggedErrors int // number of bad responses since the last one that was logged
	lastLogged     time.Time
}

// New returns a pool of at most limit connections that takes its buffers from buffers. The caller
// must close the pool after use.
func New(buffers *bufpool.Pool, timeouts policy.Timeouts, limit int) *Pool {
	p := &Pool{
		buffers:   buffers,
		timeouts:  timeouts,
		done:      make(chan struct{}),
		startedAt: time.Now(),
		dial:      net.DialTimeout,
		mayWrite:  func() bool { return true },
		endpoints: map[*Endpoint]struct{}{},
	}
	p.SetLimit(limit)
	go p.closeIdleConnections()
	return p
}

// firstConnectionReserve returns how many connections may be opened above the limit to endpoints
// that have no connection yet.
func firstConnectionReserve(limit int64) int64 { return max(1, limit/4) }

// SetLimit changes the maximum number of connections. Open connections above the new limit are
// kept.
func (p *Pool) SetLimit(limit int) { p.limit.Store(int64(limit)) }

// SetWriteCheck sets a function that is called immediately before requests are written. If it
// returns false, the requests are withdrawn, since the routing decisions behind them may be out of
// date. SetWriteCheck must be called before the first endpoint is created; mayWrite must be safe
// for concurrent use.
func (p *Pool) SetWriteCheck(mayWrite func() bool) { p.mayWrite = mayWrite }

// Connections returns the number of connections that are open or being opened.
func (p *Pool) Connections() int { return int(p.connections.Load()) }

// Close closes all connections; the attempts on them fail. It must be called only once.
func (p *Pool) Close() {
	close(p.done)
	p.forEachEndpoint(func(e *Endpoint) {
		e.closeMatching(func(*conn) bool { return true })
	})
}

// sinceStart returns the time from the pool's creation to t, on the monotonic clock.
func (p *Pool) sinceStart(t time.Time) int64 { return int64(t.Sub(p.startedAt)) }

// NewEndpoint returns an endpoint for a node process at an IPv4 address and port. It opens no
// connection yet. The endpoint stays in the pool until CloseWhenIdle is called.
func (p *Pool) NewEndpoint(address string) *Endpoint {
	e := &Endpoint{pool: p, address: address}
	p.mu.Lock()
	p.endpoints[e] = struct{}{}
	p.mu.Unlock()
	return e
}

// forEachEndpoint calls do for each endpoint while it holds the pool's lock.
func (p *Pool) forEachEndpoint(do func(*Endpoint)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := range p.endpoints {
		do(e)
	}
}

// logBadResponse logs a malformed or incomplete response. It logs at most once per connect timeout,
// with the number of such responses since the previous log line.
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

// closeIdleConnections closes connections that have been idle for the idle timeout, before the
// nodes close them. It runs until Close.
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

// evictIdle closes the connection that has been idle longest, of any endpoint, if the limit is
// reached and the target has no unused connection. This way each endpoint gets a first connection
// within the limit, regardless of the number of endpoints.
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
	if c.isIdle() { // the state may have changed since longestIdle
		c.release()
		c.close(errCancelled)
	}
}

// longestIdle returns the connection that has been idle longest, or nil if none is idle.
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
