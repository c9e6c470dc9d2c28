package downstream

import (
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"tallyproxy/internal/logevent"
)

// Conn is a client's connection. Its exported methods may be called from any goroutine, and do not wait for the client.
type Conn struct {
	server     *Server
	handler    Handler
	netConn    net.Conn
	clientHash uint64        // hash of the client's address
	writerWake chan struct{} // one element: there is something to write, or the phase has changed

	mu              sync.Mutex      // guards what follows, up to the reader's own
	pending         map[uint64]bool // tags without a response so far: at most maxPendingRequests, and one that is being refused
	queue           []response      // not taken up by the writer yet
	queuedBytes     int             // bytes in the queue or being written
	phase           connPhase
	input           inputMode
	evicting        bool      // the reader is to close the connection if it is idle
	messageReceived bool      // a complete message came
	suspect         bool      // set by MarkSuspect, until a request succeeds
	badRequests     int       // requests that could not be used
	restlessSince   time.Time // when input first kept the connection from being half-closed after the deadline of the drain
	restlessLooks   int       // how often it has done so
	messageStart    time.Time // when an incomplete message, or the connection without any, began; zero for none
	lastUsed        time.Time // when the last request came or was answered
	retryNotBefore  time.Time // when the client may come back after a rejection
	closeDeadline   time.Time // of the phase: from when on to reject requests, or when to close at the latest

	// Owned by the reader.
	received      []receivedRequest // not given to the handler yet
	receivedSince time.Time         // when deliverWhenRead first saw one of these; zero before
}

// receivedRequest is a request that was read and is not given to the handler yet.
type receivedRequest struct {
	tag     uint64
	request Request
}

func newConn(s *Server, handler Handler, netConn net.Conn) *Conn {
	now := time.Now()
	return &Conn{
		server: s, handler: handler, netConn: netConn, clientHash: hashHost(netConn.RemoteAddr()), pending: map[uint64]bool{},
		writerWake: make(chan struct{}, 1), lastUsed: now, messageStart: now,
	}
}

// IsPending reports whether a client still waits for the response to a request: it has neither cancelled it nor left. Callers ask again
// just before an attempt is written, whatever waits in their queues.
func (c *Conn) IsPending(tag uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending[tag]
}

// idleLocked reports whether no response is owed to the client or on its way. The caller holds c.mu.
func (c *Conn) idleLocked() bool {
	return len(c.pending) == 0 && len(c.queue) == 0 && c.queuedBytes == 0
}

// wakeWriter has the writer look at the queue and the phase.
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

// recoverPanic closes this connection alone where its goroutine panicked. It is to be deferred.
func (c *Conn) recoverPanic() {
	if cause := recover(); cause != nil {
		slog.Error(logevent.PanicRecovered, "component", "downstream", "err", cause, "stack", string(debug.Stack()))
		c.Close()
	}
}
