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
	maxCancelledIDs = 256 // ids cancelled on a connection before it takes no further requests
	maxUnsolicited  = 16  // responses without a request on a connection before it takes no further requests
)

// conn is one connection to an endpoint. The endpoint's lock guards it, except where noted.
type conn struct {
	endpoint     *Endpoint
	netConn      net.Conn            // nil until it is open; set once, before the reader and the writer start
	attempts     map[string]*Attempt // open on it, by the request's id
	cancelledIDs map[string]bool     // ids cancelled on it, of which a response may still come
	unconfirmed  []*Attempt          // cancelled, in the order of their probes, of which no answer has come
	queue        []message           // to be written
	wake         chan struct{}       // has an element when the writer is to look at the queue, or at closed
	lastRead     atomic.Int64        // when bytes were last received, or it was opened, in Unix nanoseconds; needs no lock
	lastUsed     time.Time           // when a request was last queued or a response last came
	unsolicited  int                 // responses without a request
	retired      bool                // takes no further requests
	closed       bool
	released     bool // no longer counts among the pool's connections
}

// newConn makes a connection that is not open yet.
func newConn(e *Endpoint) *conn {
	return &conn{
		endpoint:     e,
		attempts:     map[string]*Attempt{},
		cancelledIDs: map[string]bool{},
		wake:         make(chan struct{}, 1),
		lastUsed:     time.Now(),
	}
}

// accepts reports whether an attempt may be queued on the connection. The caller holds the endpoint's lock.
func (c *conn) accepts(a *Attempt) bool {
	id := a.request.ID
	if c.retired || c.attempts[id] != nil || c.cancelledIDs[id] || len(c.attempts) >= c.endpoint.pool.timeouts.MaxStreams {
		return false
	}
	return !slices.ContainsFunc(a.previous, func(b *Attempt) bool { return b.endpoint == c.endpoint && b.conn == c })
}

// isBetterThan reports whether an attempt should rather be queued on this connection than on another. The caller holds the endpoint's
// lock.
func (c *conn) isBetterThan(other *conn) bool {
	rank, otherRank := c.rank(), other.rank()
	return rank < otherRank || rank == otherRank && len(c.attempts) < len(other.attempts)
}

// rank orders connections: lower ranks are preferred. One with fewer attempts than preferred comes first, then one that is open.
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

// isIdle reports whether the connection is open and nothing is open on it. The caller holds the endpoint's lock.
func (c *conn) isIdle() bool {
	return !c.closed && c.netConn != nil && len(c.attempts) == 0 && len(c.queue) == 0
}

// run opens the connection, reads and writes until it is closed, and releases it.
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

// open dials the endpoint. It returns false when that fails, or the connection was closed in the meantime.
func (c *conn) open() bool {
	netConn, err := net.DialTimeout("tcp4", c.endpoint.address, c.endpoint.pool.timeouts.Connect.Duration())
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	if err != nil {
		c.close(err)
		return false
	}
	if c.closed {
		_ = netConn.Close() // nothing was written
		return false
	}
	c.netConn = netConn
	c.lastRead.Store(time.Now().UnixNano())
	for _, a := range c.attempts {
		a.stage = NothingWritten
	}
	return true
}

// release takes the connection off the pool's count, once. The caller holds the endpoint's lock.
func (c *conn) release() {
	if !c.released {
		c.released = true
		c.endpoint.pool.connections.Add(-1)
	}
}

// recoverPanic closes the connection when its goroutine panics, so that nothing else is harmed. It is deferred.
func (c *conn) recoverPanic() {
	if reason := recover(); reason != nil {
		slog.Error(logevent.PanicRecovered, "component", "upstream", "node", c.endpoint.address, "err", reason, "stack", string(debug.Stack()))
		c.fail(fmt.Errorf("panic: %v", reason))
	}
}

// fail is close for a caller that does not hold the endpoint's lock.
func (c *conn) fail(err error) {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	c.close(err)
}

// close closes the connection and wakes its writer, which ends. The attempts on it move to another connection where they may, and
// fail with err otherwise. The caller holds the endpoint's lock.
func (c *conn) close(err error) {
	if c.closed {
		return
	}
	c.closed = true
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
		_ = c.netConn.Close() // what was not written is known, and nothing more is read
	}
	c.wakeWriter()
}

// closedByEndpoint reports whether err says that the endpoint closed or reset the connection, while it was opened or later.
func (c *conn) closedByEndpoint(err error) bool {
	if errors.Is(err, syscall.ECONNRESET) {
		return true
	}
	fromHere := errors.Is(err, errCancelled) || errors.Is(err, errUnresponsive) || errors.Is(err, os.ErrDeadlineExceeded)
	return c.netConn != nil && !fromHere
}

// move queues an attempt on another connection, once, when the endpoint closed this one before it had the request. The caller holds
// the endpoint's lock.
func (c *conn) move(a *Attempt) bool {
	if a.stage >= FullyWritten || a.cancelled || a.moved || c.endpoint.closing || a.withdrawn() {
		return false
	}
	a.moved = true
	return c.endpoint.enqueue(a)
}

// reset closes the connection with a TCP reset, which the endpoint takes for the end of all requests on it. The caller holds the
// endpoint's lock.
func (c *conn) reset() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails on a closed connection only
	}
	c.close(errUnresponsive)
}

// closeIfUnused closes a connection that takes no further requests once nothing is open on it. The caller holds the endpoint's lock.
func (c *conn) closeIfUnused() {
	if (c.retired || c.endpoint.closing) && len(c.attempts) == 0 && len(c.queue) == 0 {
		c.close(errCancelled)
	}
}

// finish ends an attempt, once. The caller holds the endpoint's lock.
func (c *conn) finish(a *Attempt, response Response, err error) {
	if a.finished {
		return
	}
	a.finished = true
	delete(c.attempts, a.request.ID)
	a.done(response, err)
}
