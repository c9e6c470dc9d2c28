// Package downstream speaks with clients over the platform's protocol: it accepts their connections, reads requests and writes the
// final responses. What becomes of a request is decided by a Handler.
//
// Each connection has two goroutines, one that reads and one that writes. Neither waits for the other, and no method of Conn waits
// for the client.
package downstream

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/config"
	"tallyproxy/policy"
)

// Handler takes what clients send. Its methods are called by the connections' readers, several at a time for different connections
// but one at a time for each, and must not wait: a reader that stands still does not see its client leave.
type Handler interface {
	// HandleRequest takes a new request of a connection. The tag names it until it is answered or cancelled; its Body is the
	// handler's, which frees it.
	HandleRequest(c *Conn, tag uint64, request Request)
	// HandleCancel says that the client no longer waits for a request that HandleRequest took.
	HandleCancel(c *Conn, tag uint64)
	// ConnOpened says that a client has connected. It comes before all else of this connection, from the goroutine of Serve.
	ConnOpened(c *Conn)
	// ConnClosed says that a connection has ended, with all requests that are open on it. Nothing of this connection follows.
	ConnClosed(c *Conn)
}

// Server accepts clients' connections, as many at a time as its limit allows, and spreads them over its handlers. Its methods are
// safe for concurrent use.
type Server struct {
	handlers     []Handler
	contentTypes map[string]*policy.ContentType // by name
	pool         *bufpool.Pool
	timeouts     policy.Timeouts

	maxConns     atomic.Int64
	notServing   atomic.Bool
	lastAccept   atomic.Int64  // Unix time in nanoseconds
	awaitingSlot atomic.Bool   // an accepted connection waits until fewer than maxConns are held
	openAccepts  atomic.Int64  // calls of Serve that have not returned
	connEnded    chan struct{} // one element: a connection has ended since it was last emptied

	mu             sync.Mutex // guards what follows; locked before a Conn's
	conns          map[*Conn]struct{}
	shuttingDown   bool
	listeners      []net.Listener
	unloggedErrors int // clients' errors since lastErrorLog
	lastErrorLog   time.Time
}

// New makes a server that holds at most maxConns connections and gives them to the handlers in turn. The content types that requests
// may name are the site's.
func New(handlers []Handler, site config.Site, pool *bufpool.Pool, maxConns int, timeouts policy.Timeouts) *Server {
	s := &Server{
		handlers: handlers, contentTypes: map[string]*policy.ContentType{}, pool: pool, timeouts: timeouts,
		conns: map[*Conn]struct{}{}, connEnded: make(chan struct{}, 1),
	}
	for i, name := range site.TypeNames {
		s.contentTypes[name] = site.ContentTypes[i]
	}
	s.SetMaxConns(maxConns)
	return s
}

// SetMaxConns changes how many connections are held at most. Where more are held, idle ones are closed at the next sweep.
func (s *Server) SetMaxConns(maxConns int) { s.maxConns.Store(int64(maxConns)) }

// SetNotServing has the server answer STATUS with not_serving from now on. Requests are served all the same.
func (s *Server) SetNotServing() { s.notServing.Store(true) }

// ConnCount returns how many connections are held.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// QuietFor reports whether no connection came within the given time and none waits for a slot.
func (s *Server) QuietFor(period time.Duration) bool {
	return !s.awaitingSlot.Load() && time.Now().UnixNano()-s.lastAccept.Load() >= int64(period)
}

// remove forgets a connection that has ended, and wakes waitForSlot.
func (s *Server) remove(c *Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	select {
	case s.connEnded <- struct{}{}:
	default:
	}
}

// logClientError logs a client's error under an event of logevent. At most one line is written each DownstreamIdle; it tells how
// many errors there were since the line before.
func (s *Server) logClientError(event string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unloggedErrors++; time.Since(s.lastErrorLog) < s.timeouts.DownstreamIdle.Duration() {
		return
	}
	slog.Warn(event, "err", err, "faults", s.unloggedErrors)
	s.unloggedErrors, s.lastErrorLog = 0, time.Now()
}
