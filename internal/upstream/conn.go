package upstream

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"tallyproxy/internal/logevent"
)

const (
	// maxCancelledIDs is the number of cancelled IDs after which a connection accepts no further
	// requests.
	maxCancelledIDs = 256
	// maxUnsolicited is the number of responses without a request after which a connection accepts
	// no further requests.
	maxUnsolicited = 16
)

// conn is one connection to an endpoint. The endpoint's lock guards it, except where noted.
type conn struct {
	endpoint     *Endpoint
	netConn      net.Conn            // nil until open; set once, before reader and writer start
	attempts     map[string]*Attempt // open attempts by request ID
	cancelledIDs map[string]bool     // cancelled IDs, for which a response may still arrive
	unconfirmed  []*Attempt          // cancelled attempts with an unanswered probe, oldest first
	queue        []message           // messages to be written
	wake         chan struct{}       // signals the writer to check queue and closed
	lastRead     atomic.Int64        // time of the last read or the dial, see Pool.sinceStart; needs no lock
	lastUsed     time.Time           // time of the last request queued or response ended
	unsolicited  int                 // number of responses without a request
	retired      bool                // accepts no further requests
	closed       bool
	released     bool // no longer counted in the pool's connections
}

// newConn returns a connection that is not open yet.
func newConn(e *Endpoint) *conn {
	return &conn{
		endpoint:     e,
		attempts:     map[string]*Attempt{},
		cancelledIDs: map[string]bool{},
		wake:         make(chan struct{}, 1),
		lastUsed:     time.Now(),
	}
}

// accepts reports whether an attempt may be queued on the connection. The caller holds the
// endpoint's lock.
func (c *conn) accepts(a *Attempt) bool {
	id := a.request.ID
	if c.retired || c.attempts[id] != nil || c.cancelledIDs[id] || len(c.attempts) >= c.endpoint.pool.timeouts.MaxStreams {
		return false
	}
	return !slices.ContainsFunc(a.previous, func(b *Attempt) bool { return b.endpoint == c.endpoint && b.conn == c })
}

// isBetterThan reports whether this connection is preferred to the other one for an attempt: the
// lower rank wins, then the smaller number of attempts. The caller holds the endpoint's lock.
func (c *conn) isBetterThan(other *conn) bool {
	rank, otherRank := c.rank(), other.rank()
	return rank < otherRank || rank == otherRank && len(c.attempts) < len(other.attempts)
}

// rank returns the rank of the connection; lower ranks are preferred. Connections below the
// preferred number of attempts rank first and, among equals, open ones rank before those being
// dialed.
func (c *conn) rank() int {
	rank := 0
	if len(c.attempts) >= c.endpoint.pool.timeouts.PreferredStreams {
		rank = 2
	}
	if c.netConn == nil {
		rank++
	}
	return rank
}

// isIdle reports whether the connection is open, without attempts and with an empty queue. The
// caller holds the endpoint's lock.
func (c *conn) isIdle() bool {
	return !c.closed && c.netConn != nil && len(c.attempts) == 0 && len(c.queue) == 0
}

// run opens the connection, reads and writes until it is closed, and then releases it.
func (c *conn) run() {
	defer func() {
		c.endpoint.mu.Lock()
		c.release()
		c.endpoint.mu.Unlock()
	}()
	if !c.open() {
		return
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer c.recoverPanic()
		c.writeLoop()
	}()
	func() {
		defer c.recoverPanic()
		c.readLoop()
	}()
	<-written
}

// open dials the endpoint. It returns false if the dial fails or the connection was closed in the
// meantime.
func (c *conn) open() bool {
	netConn, err := c.endpoint.pool.dial("tcp4", c.endpoint.address, c.endpoint.pool.timeouts.Connect.Duration())
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	if err != nil {
		c.close(dialError(err))
		return false
	}
	if c.closed {
		_ = netConn.Close() // nothing was written
		return false
	}
	c.netConn = netConn
	c.lastRead.Store(c.endpoint.pool.sinceStart(time.Now()))
	for _, a := range c.attempts {
		a.stage = NothingWritten
	}
	return true
}

// release subtracts the connection from the pool's count, at most once. The caller holds the
// endpoint's lock.
func (c *conn) release() {
	if !c.released {
		c.released = true
		c.endpoint.pool.connections.Add(-1)
	}
}

// recoverPanic closes the connection if its goroutine panics, so that no other connection is
// affected. It must be deferred.
func (c *conn) recoverPanic() {
	if reason := recover(); reason != nil {
		slog.Error(logevent.PanicRecovered, "component", "upstream", "node", c.endpoint.address, "err", reason, "stack", string(debug.Stack()))
		c.fail(fmt.Errorf("panic: %v", reason))
	}
}

// fail calls close with the endpoint's lock held, for callers that do not hold it.
func (c *conn) fail(err error) {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	c.close(err)
}

// close closes the connection and wakes its writer, which then exits. If the endpoint closed the
// connection, attempts that may move are queued on another connection; all others fail with err.
// The caller holds the endpoint's lock.
func (c *conn) close(err error) {
	if c.closed {
		return
	}
	c.closed = true
	logevent.Detail(logevent.UpstreamClosed, func() []any {
		return []any{"endpoint", c.endpoint.address, "open", c.netConn != nil, "attempts", len(c.attempts), "reason", err}
	})
	if i := slices.Index(c.endpoint.conns, c); i >= 0 {
		c.endpoint.conns = slices.Delete(c.endpoint.conns, i, i+1)
	}
	byEndpoint := c.closedByEndpoint(err)
	for id, a := range c.attempts {
		delete(c.attempts, id)
		if byEndpoint && c.move(a) {
			continue
		}
		c.finish(a, Response{}, &Error{Stage: a.stage, Cancelled: a.cancelled, Err: err})
	}
	if c.netConn != nil {
		_ = c.netConn.Close() // the attempts have recorded what was written, and no more is read
	}
	c.wakeWriter()
}

// closedByEndpoint reports whether err means that the endpoint closed or reset the connection,
// during the dial or later.
func (c *conn) closedByEndpoint(err error) bool {
	if errors.Is(err, syscall.ECONNRESET) {
		return true
	}
	closedLocally := errors.Is(err, errCancelled) || errors.Is(err, errUnresponsive) || errors.Is(err, os.ErrDeadlineExceeded)
	return c.netConn != nil && !closedLocally
}

// move queues an attempt on another connection if this one was closed before the whole request was
// written. An attempt moves at most once. The caller holds the endpoint's lock.
func (c *conn) move(a *Attempt) bool {
	if a.stage >= FullyWritten || a.cancelled || a.moved || c.endpoint.closing || a.withdrawn() {
		return false
	}
	a.moved = true
	return c.endpoint.enqueue(a)
}

// reset closes the connection with a TCP reset, which makes the endpoint end all requests on it.
// The caller holds the endpoint's lock.
func (c *conn) reset() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	c.close(errUnresponsive)
}

// closeIfUnused closes a connection that accepts no further requests once no attempt is open on it
// and its queue is empty. The caller holds the endpoint's lock.
func (c *conn) closeIfUnused() {
	if (c.retired || c.endpoint.closing) && len(c.attempts) == 0 && len(c.queue) == 0 {
		c.close(errCancelled)
	}
}

// finish ends an attempt by calling its done function, at most once. The caller holds the
// endpoint's lock.
func (c *conn) finish(a *Attempt, response Response, err error) {
	if a.finished {
		return
	}
	a.finished = true
	delete(c.attempts, a.request.ID)
	a.done(response, err)
}
