package downstream

import (
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"tallyproxy/internal/logevent"
	"tallyproxy/internal/socket"
)

// Conn is a client connection. Its exported methods may be called from any goroutine and do not
// wait for the client.
type Conn struct {
	server     *Server
	handler    Handler
	netConn    net.Conn
	clientHash uint64        // hash of the client's address without its port
	number     uint64        // of the connections that the server has accepted, from 1
	writerWake chan struct{} // one element: there is output to write, or the phase has changed

	mu sync.Mutex // guards the fields below, except those owned by the reader
	// tags without a response yet: at most maxPendingRequests, plus one being refused
	pending         map[uint64]bool
	queue           []response // responses that the writer has not taken yet
	queuedBytes     int        // bytes that are queued or being written
	queuedResponses int        // responses that are queued or being written
	writerProgress  *sync.Cond // signalled when queuedResponses falls or the connection is closed
	phase           connPhase
	input           inputMode
	inputBuffer     inputState
	evicting        bool      // the reader is to close the connection if it is idle
	messageReceived bool      // a complete message has been received
	suspect         bool      // set by MarkSuspect, cleared when a request succeeds
	badRequests     int       // number of invalid requests
	lateInputSince  time.Time // time of the first check that found input after the drain deadline
	lateInputChecks int       // number of such checks
	// start of an incomplete message, or of a connection without any; zero for none
	messageStart   time.Time
	lastUsed       time.Time // time of the last request or response
	retryNotBefore time.Time // when the client may retry after a rejection
	// draining: when rejection of requests begins; half-closed: latest time to close
	closeDeadline time.Time

	// The reader's goroutine owns the fields below.
	received []receivedRequest // requests that have not been passed to the handler yet
	// when deliverWhenInputRead first saw a request in received; zero for none
	receivedSince time.Time
}

// receivedRequest is a request that was read but not yet passed to the handler.
type receivedRequest struct {
	tag     uint64
	request Request
}

func newConn(s *Server, handler Handler, netConn net.Conn) *Conn {
	now := time.Now()
	c := &Conn{
		server: s, handler: handler, netConn: netConn, clientHash: hashHost(netConn.RemoteAddr()), number: s.accepted.Add(1), pending: map[uint64]bool{},
		writerWake: make(chan struct{}, 1), lastUsed: now, messageStart: now,
	}
	c.writerProgress = sync.NewCond(&c.mu)
	return c
}

// IsPending reports whether the client still waits for the response to a request: the request has
// been neither answered nor cancelled, and the client has not disconnected. Callers check this
// again just before they write an attempt, because it may change while the attempt waits in a
// queue.
func (c *Conn) IsPending(tag uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending[tag]
}

// IsWaiting is like IsPending, but also looks whether the client has closed the connection and the
// reader has not got to it yet. If so, it closes the connection. It makes a system call.
func (c *Conn) IsWaiting(tag uint64) bool {
	if !c.IsPending(tag) {
		return false
	}
	left := socket.PeerClosed(c.netConn)
	if left {
		c.Close()
	}
	return !left
}

// idleLocked reports whether the connection has no pending requests and no responses left to write.
// The caller holds c.mu.
func (c *Conn) idleLocked() bool {
	return len(c.pending) == 0 && len(c.queue) == 0 && c.queuedBytes == 0
}

// wakeWriter makes the writer check the queue and the phase.
func (c *Conn) wakeWriter() {
	select {
	case c.writerWake <- struct{}{}:
	default:
	}
}

// run reads and writes until the connection has ended.
func (c *Conn) run() {
	var writer sync.WaitGroup
	writer.Go(func() {
		defer c.recoverPanic()
		c.writeLoop()
	})
	func() {
		defer c.recoverPanic()
		c.readLoop()
	}()
	writer.Wait()
	c.handler.ConnClosed(c)
	c.server.remove(c)
}

// recoverPanic closes only this connection if one of its goroutines panics. It must be deferred.
func (c *Conn) recoverPanic() {
	if cause := recover(); cause != nil {
		slog.Error(logevent.PanicRecovered, "component", "downstream", "err", cause, "stack", string(debug.Stack()))
		c.Close()
	}
}
