// Package downstream communicates with clients over the platform's protocol: it accepts their
// connections, reads requests and writes the final responses. A Handler decides how requests are
// processed.
//
// Each connection has two goroutines, one that reads and one that writes. Neither waits for the
// other, and no method of Conn waits for the client.
package downstream

import (
	"log/slog"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/config"
	"tallyproxy/policy"
)

// Handler processes what clients send. Except for ConnOpened, its methods are called by the readers
// of connections, concurrently for different connections but sequentially for each. They must not
// block: a blocked reader does not notice that its client disconnects.
type Handler interface {
	// HandleRequest processes a new request. The tag identifies the request on its connection until
	// it is answered or cancelled. The handler owns request.Body and must free it.
	HandleRequest(c *Conn, tag uint64, request Request)
	// HandleCancel reports that the client no longer waits for a request that was passed to
	// HandleRequest.
	HandleCancel(c *Conn, tag uint64)
	// ConnOpened reports that a client has connected. It is called before all other methods for
	// this connection, from the goroutine of Serve.
	ConnOpened(c *Conn)
	// ConnClosed reports that a connection has ended, along with all its open requests. No calls
	// for this connection follow.
	ConnClosed(c *Conn)
}

// Server accepts client connections up to a limit and distributes them among its handlers. Its
// methods are safe for concurrent use.
type Server struct {
	handlers     []Handler
	contentTypes map[string]*policy.ContentType // by name
	pool         *bufpool.Pool
	timeouts     policy.Timeouts

	maxConns     atomic.Int64
	notServing   atomic.Bool
	startedAt    time.Time
	lastAccept   atomic.Int64  // time since startedAt in nanoseconds; negative before the first
	awaitingSlot atomic.Bool   // an accepted connection waits until fewer than maxConns are open
	openAccepts  atomic.Int64  // calls of Serve that have not returned
	accepted     atomic.Uint64 // connections accepted so far
	inputBytes   atomic.Int64  // bytes of the buffers that hold incomplete messages
	connEnded    chan struct{} // one element: a connection has ended since the last receive

	mu             sync.Mutex // guards the fields below; locked before Conn.mu
	conns          map[*Conn]struct{}
	shuttingDown   bool
	listeners      []net.Listener
	unloggedErrors int // client errors since lastErrorLog
	lastErrorLog   time.Time
}

// New returns a server that holds at most maxConns connections and assigns them to the handlers in
// turn. Requests may name the content types of the site.
func New(handlers []Handler, site config.Site, pool *bufpool.Pool, maxConns int, timeouts policy.Timeouts) *Server {
	s := &Server{
		handlers: handlers, contentTypes: map[string]*policy.ContentType{}, pool: pool, timeouts: timeouts,
		conns: map[*Conn]struct{}{}, connEnded: make(chan struct{}, 1), startedAt: time.Now(),
	}
	s.lastAccept.Store(math.MinInt64 / 2)
	for i, name := range site.TypeNames {
		s.contentTypes[name] = site.ContentTypes[i]
	}
	s.SetMaxConns(maxConns)
	return s
}

// SetMaxConns changes the maximum number of open connections. If more are open, idle ones are
// closed at the next sweep.
func (s *Server) SetMaxConns(maxConns int) { s.maxConns.Store(int64(maxConns)) }

// SetNotServing makes the server answer STATUS with not_serving from now on. Requests are still
// served.
func (s *Server) SetNotServing() { s.notServing.Store(true) }

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// QuietFor reports whether no connection arrived within the given period and none waits for a slot.
func (s *Server) QuietFor(period time.Duration) bool {
	return !s.awaitingSlot.Load() && time.Since(s.startedAt).Nanoseconds()-s.lastAccept.Load() >= period.Nanoseconds()
}

// remove deletes an ended connection from the table and wakes waitForSlot.
func (s *Server) remove(c *Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	select {
	case s.connEnded <- struct{}{}:
	default:
	}
}

// logClientError logs a client's error under an event from package logevent. It writes at most one
// line per DownstreamIdle, which includes the number of errors since the previous line.
func (s *Server) logClientError(event string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unloggedErrors++; time.Since(s.lastErrorLog) < s.timeouts.DownstreamIdle.Duration() {
		return
	}
	slog.Warn(event, "err", err, "faults", s.unloggedErrors)
	s.unloggedErrors, s.lastErrorLog = 0, time.Now()
}
