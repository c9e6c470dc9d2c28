// Package front speaks with clients: it takes downloads in and passes final answers on. What becomes of a
// download is asked elsewhere.
package downstream

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/config"
	"tallyproxy/internal/logevent"
	"tallyproxy/internal/socket"
	"tallyproxy/policy"
)

const (
	maxPendingRequests = 32 // requests that the protocol lets a client have open on one connection
	evictionFraction   = 32 // part of the places that are made free at a time

	discardBufferSize = 8 << 10 // bytes read at once of what is not heeded
)

// Handler takes what clients say, from the connections' goroutines. What an Ask points to is the sink's.
type Handler interface {
	HandleRequest(c *Conn, tag uint64, a Request)
	HandleCancel(c *Conn, tag uint64)
	ConnClosed(c *Conn)
	ConnOpened(c *Conn)
}

// Server accepts connections and holds as many as it may.
type Server struct {
	handlers       []Handler
	contentTypes   map[string]*policy.ContentType
	pool           *bufpool.Pool
	timeouts       policy.Timeouts
	maxConns       atomic.Int64 // connections held
	notServing     atomic.Bool
	lastAccept     atomic.Int64  // when the last connection came, as Unix nanoseconds
	awaitingSlot   atomic.Bool   // a connection waits for a place
	openAccepts    atomic.Int64  // listeners that are open, or of which a connection has no place yet
	connEnded      chan struct{} // a connection has ended
	mu             sync.Mutex
	conns          map[*Conn]struct{}
	shuttingDown   bool
	listeners      []net.Listener
	unloggedErrors int       // of clients, since one was logged
	lastErrorLog   time.Time // when
}

// New makes a server for so many connections, which are spread over the sinks in turn.
func New(sinks []Handler, site config.Site, p *bufpool.Pool, most int, m policy.Timeouts) *Server {
	s := &Server{
		handlers: sinks, contentTypes: map[string]*policy.ContentType{}, pool: p, timeouts: m, conns: map[*Conn]struct{}{},
		connEnded: make(chan struct{}, 1),
	}
	for i, name := range site.Types {
		s.contentTypes[name] = site.Settings.ContentTypes[i]
	}
	s.SetMaxConns(most)
	return s
}

// SetMaxConns sets how many connections may be held when another is accepted.
func (s *Server) SetMaxConns(most int) { s.maxConns.Store(int64(most)) }

// Serve accepts until the listener is closed. What finds no place waits, unread, behind one that was accepted.
func (s *Server) Serve(l net.Listener) error {
	done := make(chan struct{})
	defer close(done)
	s.openAccepts.Add(1)
	defer s.openAccepts.Add(-1)
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	go s.sweepLoop(done)
	for next := 0; ; next++ {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		s.lastAccept.Store(time.Now().UnixNano())
		if err != nil { // descriptors used up, or the client left before
			slog.Warn(logevent.AcceptFailed, "err", err)
			s.evictIdle(1)
			time.Sleep(span(s.timeouts.PollRetry))
			continue
		}
		s.waitForSlot()
		now := time.Now()
		c := &Conn{
			server: s, handler: s.handlers[next%len(s.handlers)], netConn: nc, clientHash: hashHost(nc.RemoteAddr()), pending: map[uint64]bool{}, writerWake: make(chan struct{}, 1),
			lastUsed: now, messageStart: now,
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		if s.shuttingDown { // it was accepted before; what lies in it is taken
			c.drainLocked()
		}
		s.mu.Unlock()
		c.handler.ConnOpened(c)
		go c.run()
	}
}

// hashHost is a client's address without its port, as a hash.
func hashHost(a net.Addr) uint64 {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		host = a.String()
	}
	return xxhash.Sum64String(host)
}

// waitForSlot waits for a place for one more connection. While there is none, some without open requests make room: a few at a
// time, since where one is wanted more will be.
func (s *Server) waitForSlot() {
	s.awaitingSlot.Store(true)
	defer s.awaitingSlot.Store(false)
	for {
		most := int(s.maxConns.Load())
		if s.ConnCount() < most {
			return
		}
		s.evictIdle(1 + most/evictionFraction) // a descriptor is free once its connection has left the table
		select {
		case <-s.connEnded:
		case <-time.After(span(s.timeouts.PollRetry) / 8):
		}
	}
}

// QuietFor says whether no connection has come for so long, and none waits for a place.
func (s *Server) QuietFor(settle time.Duration) bool {
	return !s.awaitingSlot.Load() && time.Now().UnixNano()-s.lastAccept.Load() >= int64(settle)
}

// sweepLoop closes connections that rest, and those on which a message does not become whole.
func (s *Server) sweepLoop(done <-chan struct{}) {
	tick := time.NewTicker(span(s.timeouts.RequestRead) / 8)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-tick.C:
			if over := s.ConnCount() - int(s.maxConns.Load()); over > 0 { // the limit was lowered
				s.evictIdle(over)
			}
			s.mu.Lock()
			for c := range s.conns {
				c.mu.Lock()
				switch {
				case c.phase != phaseActive:
				case !c.messageStart.IsZero() && now.Sub(c.messageStart) > span(s.timeouts.RequestRead):
					c.restrictInputLocked(inputDiscarded)
				case c.idleLocked() && now.Sub(c.lastUsed) > span(s.timeouts.DownstreamIdle):
					c.drainLocked()
				}
				c.mu.Unlock()
			}
			s.mu.Unlock()
		}
	}
}

// SetNotServing has STATUS answer that the director is leaving.
func (s *Server) SetNotServing() { s.notServing.Store(true) }

// Shutdown accepts no more, and ends all connections once what is open on them has been answered, those too that were accepted
// and have no place yet.
func (s *Server) Shutdown() {
	s.mu.Lock()
	s.shuttingDown = true
	for _, l := range s.listeners {
		l.Close()
	}
	for c := range s.conns {
		c.mu.Lock()
		c.drainLocked()
		c.mu.Unlock()
	}
	s.mu.Unlock()
	for until := time.Now().Add(span(s.timeouts.WriteFlush)); s.ConnCount() > 0 || s.openAccepts.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			return
		}
	}
}

// ConnCount is how many connections are held.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// evictionCandidate is a connection that might make room, and why.
type evictionCandidate struct {
	conn     *Conn
	rank     int // the lower, the sooner
	lastUsed time.Time
}

// evictIdle ends up to so many connections that have no open request: first those without a whole message so far, then those
// whose client was told to stay away, then those that have rested longest. None that is too new to tell, but where the
// client is not to ask for a while. It says how many it ended.
func (s *Server) evictIdle(most int) (ended int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	newest, soon := now.Add(-span(s.timeouts.PollRetry)), now.Add(span(s.timeouts.PollRetry)/2)
	known := now.Add(-span(s.timeouts.MaxDecisionAge)) // an answer has come by now: a reset would take it away
	var worst []evictionCandidate
	for c := range s.conns {
		c.mu.Lock()
		if c.phase == phaseClosed { // its place is free in a moment
			most--
		}
		r := evictionCandidate{c, 2, c.lastUsed}
		switch {
		case !c.messageReceived:
			r.rank = 0
		case c.retryNotBefore.After(soon):
			r.rank = 1
		}
		if c.idleLocked() && c.phase != phaseClosed && (c.lastUsed.Before(newest) || r.rank == 1 && c.lastUsed.Before(known)) {
			at, _ := slices.BinarySearchFunc(worst, r, func(a, b evictionCandidate) int {
				return cmp.Or(a.rank-b.rank, a.lastUsed.Compare(b.lastUsed))
			})
			if worst = slices.Insert(worst, at, r); len(worst) > max(0, most) {
				worst = worst[:max(0, most)]
			}
		}
		c.mu.Unlock()
	}
	for _, r := range worst[:min(len(worst), max(0, most))] {
		r.conn.mu.Lock()
		if bytes, _ := socket.PendingInput(r.conn.netConn); r.conn.idleLocked() && !bytes { // still
			r.conn.closeLocked()
			ended++
		}
		r.conn.mu.Unlock()
	}
	return ended
}

// logClientError logs what a client did wrong: a line at a time, with the number of those that went without.
func (s *Server) logClientError(event string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unloggedErrors++; time.Since(s.lastErrorLog) < span(s.timeouts.DownstreamIdle) {
		return
	}
	slog.Warn(event, "err", err, "faults", s.unloggedErrors)
	s.unloggedErrors, s.lastErrorLog = 0, time.Now()
}

// connPhase is how far a connection's end has come. It only goes on.
type connPhase int

const (
	phaseActive     connPhase = iota
	phaseDraining             // to be shut once nothing is open or queued
	phaseHalfClosed           // the client has been told that nothing more comes; its own end is waited for
	phaseClosed
)

// inputMode is what of a client's messages is still heeded. It only shrinks; what comes is read to its end all the same, so that
// a client that leaves is seen to.
type inputMode int

const (
	inputAll       inputMode = iota
	inputCancels             // no requests any more
	inputDiscarded           // where messages begin is no longer known
)

// Conn is a client's connection.
type Conn struct {
	server     *Server
	handler    Handler
	netConn    net.Conn
	clientHash uint64        // the client's address, as a hash
	writerWake chan struct{} // there is something to write, or the end has come

	mu              sync.Mutex
	pending         map[uint64]bool // tags of requests that are owed an answer
	queue           []response
	queuedBytes     int // bytes in it, or being written
	phase           connPhase
	input           inputMode
	messageReceived bool // a whole message came
	suspect         bool // what was asked for of late was of use to no node
	badRequests     int
	messageStart    time.Time // when the message that is under way began; zero for none
	lastUsed        time.Time
	retryNotBefore  time.Time // its client was told not to come before

	closeDeadline time.Time // when it is left at the latest, once it is shut

	received      []receivedRequest // the reader's own: taken in, not handed on yet,
	receivedSince time.Time         // and when the oldest of these was read
}

// receivedRequest is a request that came.
type receivedRequest struct {
	tag     uint64
	request Request
}

// IsPending says whether a client still waits for an answer: it has neither cancelled the request nor left. To be asked as an
// attempt is written, whatever stands in a queue.
func (c *Conn) IsPending(tag uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending[tag]
}

type response struct {
	header []byte
	body   *bufpool.Body
}

// Succeed passes a body on, or tells the client that its copy holds. The body is the connection's from here on.
func (c *Conn) Succeed(tag uint64, body *bufpool.Body, same bool) {
	fields := ""
	if same {
		fields = "still=1"
	}
	c.mu.Lock()
	c.suspect = false
	c.mu.Unlock()
	c.respond(tag, statusSucceeded, fields, body)
}

// MarkSuspect says that what a client asked for is of use to no node. Its next downloads cost less, until one is fulfilled. The
// connection is listened to all the same: nodes in trouble can agree too, and others' downloads may come over it.
func (c *Conn) MarkSuspect() {
	c.server.logClientError(logevent.UnprocessableRequest, errors.New("of use to no node"))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspect = true
}

// Reject says that a new try is harmless, and when to come back.
func (c *Conn) Reject(tag uint64, later time.Duration) {
	fields := ""
	if later > 0 {
		c.mu.Lock()
		c.retryNotBefore = time.Now().Add(later)
		c.mu.Unlock()
		fields = "later=" + strconv.FormatInt(later.Milliseconds(), 10)
	}
	c.respond(tag, statusRejected, fields, nil)
}

// RejectUnsent answers a request that found no room and of which nothing was sent on. A new try is harmless, but where an earlier
// one of the same key may have run: how long ago is not known here.
func (c *Conn) RejectUnsent(tag uint64, a Request) {
	if a.IsRetry && a.IdempotencyKey != "" {
		c.Fail(tag)
		return
	}
	c.Reject(tag, span(c.server.timeouts.DefaultRetryAfter))
}

// Fail promises nothing.
func (c *Conn) Fail(tag uint64) { c.respond(tag, statusFailed, "", nil) }

// respond queues an answer and never waits. A client that leaves too much of it unread is left.
func (c *Conn) respond(tag uint64, word, fields string, body *bufpool.Body) {
	out, most := c.server.pool.InUse()
	share := most / 8
	if out > most/2 {
		share = most / 64
	}
	c.mu.Lock()
	if !c.pending[tag] { // also where the connection is dead
		c.mu.Unlock()
		body.Free()
		return
	}
	delete(c.pending, tag)
	c.lastUsed = time.Now()
	if c.queuedBytes > max(share, 4)*bufpool.BufferSize {
		c.closeLocked()
		c.mu.Unlock()
		body.Free()
		c.server.logClientError(logevent.DownstreamWriteStalled, errors.New("it reads nothing"))
		return
	}
	defer c.mu.Unlock()
	a := response{appendResponseHeader(make([]byte, 0, 96), tag, word, fields, body.Len()), body}
	c.queue, c.queuedBytes = append(c.queue, a), c.queuedBytes+len(a.header)+body.Len()
	c.wakeWriter()
}

// Close ends the connection at once.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// ReportBadRequest says that a request can't be used. A client that goes on with such is not listened to any more.
func (c *Conn) ReportBadRequest(err error) {
	c.server.logClientError(logevent.BadRequest, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.badRequests++; c.badRequests >= maxPendingRequests {
		c.restrictInputLocked(inputCancels)
	}
}

func (c *Conn) wakeWriter() {
	select {
	case c.writerWake <- struct{}{}:
	default:
	}
}

// drainLocked shuts the connection once nothing is open or queued. The caller holds the lock.
func (c *Conn) drainLocked() {
	if c.phase == phaseActive {
		c.phase, c.closeDeadline = phaseDraining, time.Now().Add(span(c.server.timeouts.Connect))
	}
	c.wakeWriter()
}

// restrictInputLocked does so and heeds no more than that of what the client sends. The caller holds the lock.
func (c *Conn) restrictInputLocked(heed inputMode) {
	c.input = max(c.input, heed)
	c.drainLocked()
}

// closeLocked drops the connection at once. The caller holds the lock.
func (c *Conn) closeLocked() {
	if c.phase == phaseClosed {
		return
	}
	c.phase = phaseClosed
	for _, a := range c.queue {
		a.body.Free()
	}
	c.queue, c.queuedBytes, c.pending = nil, 0, map[uint64]bool{}
	c.netConn.Close()
	c.wakeWriter()
}

// run holds the connection to its end.
func (c *Conn) run() {
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
	c.handler.ConnClosed(c)
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	select {
	case c.server.connEnded <- struct{}{}:
	default:
	}
}

// recoverPanic ends the connection alone where its goroutine panicked.
func (c *Conn) recoverPanic() {
	if bad := recover(); bad != nil {
		slog.Error(logevent.PanicRecovered, "component", "downstream", "err", bad, "stack", string(debug.Stack()))
		c.Close()
	}
}

// readLoop takes in what the client sends, to its end. A client that closed its side is owed nothing more, so requests are handed
// on only once all that lies in the socket is read: what a client asked for, took back and left behind may lie there together,
// for as long as the connection waited to be accepted. One that never stops sending has them handed on after a moment.
func (c *Conn) readLoop() {
	defer c.Close()
	p := parser{pool: c.server.pool}
	defer p.release()
	defer c.deliver(false)
	for {
		n, err := c.netConn.Read(p.readBuffer())
		now := time.Now()
		if err != nil && !c.handleReadError(err) {
			return
		}
		p.advance(n)
		for c.trackInput(now, p.hasPartial()) {
			msg, ok, err := p.next()
			if err != nil {
				c.server.logClientError(logevent.DownstreamMalformed, err)
				if msg.tag > 0 {
					c.handleMessage(message{tag: msg.tag}, now)
				}
				c.mu.Lock()
				c.restrictInputLocked(inputDiscarded)
				c.mu.Unlock()
			} else if !ok {
				break
			} else {
				c.handleMessage(msg, now)
			}
		}
		c.deliverWhenRead(now)
		if !c.trackInput(now, false) {
			p.release()
			c.discardLoop()
			return
		}
	}
}

// discardLoop reads on for the client's end alone. Closed with bytes unread the connection would be reset, and its last answers
// lost.
func (c *Conn) discardLoop() {
	for buf := make([]byte, discardBufferSize); ; {
		if _, err := c.netConn.Read(buf); err != nil && !c.handleReadError(err) {
			return
		}
		c.deliverWhenRead(time.Now())
	}
}

// deliverWhenRead hands on what was taken in, once all that lies in the socket is read, or after a moment.
func (c *Conn) deliverWhenRead(now time.Time) {
	if len(c.received) == 0 {
		return
	}
	if c.receivedSince.IsZero() {
		c.receivedSince = now
	}
	if bytes, end := socket.PendingInput(c.netConn); !bytes && !end || now.Sub(c.receivedSince) >= span(c.server.timeouts.MaxDecisionAge) {
		c.deliver(true)
		c.receivedSince = time.Time{}
	}
}

// wakeReaderLocked has the reader see that the connection may be shut. The caller holds the lock.
func (c *Conn) wakeReaderLocked() { c.netConn.SetReadDeadline(time.Unix(1, 0)) }

// handleReadError deals with a read that ended without bytes; false where the connection has ended. The reader alone shuts it, since it
// alone knows that nothing lies between the socket and the table of open requests: what was sent before the client is told
// that nothing more comes is taken, what comes later is not.
func (c *Conn) handleReadError(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case c.phase == phaseHalfClosed && socket.HasUnsentOutput(c.netConn) && now.Before(c.closeDeadline): // a slow reader: its answers are still on their way
		c.netConn.SetReadDeadline(now.Add(span(c.server.timeouts.Connect)))
	case c.phase >= phaseHalfClosed:
		return false
	default:
		c.netConn.SetReadDeadline(time.Time{})
		bytes, _ := socket.PendingInput(c.netConn)
		if c.phase == phaseActive || !c.idleLocked() || bytes && c.input == inputAll && now.Before(c.closeDeadline) {
			break
		}
		c.phase, c.closeDeadline = phaseHalfClosed, now.Add(span(c.server.timeouts.WriteFlush))
		c.netConn.SetReadDeadline(now.Add(span(c.server.timeouts.Connect)))
		if half, ok := c.netConn.(*net.TCPConn); ok {
			half.CloseWrite()
		}
		c.wakeWriter()
	}
	return true
}

// idleLocked says whether nothing is owed to the client. The caller holds the lock.
func (c *Conn) idleLocked() bool {
	return len(c.pending) == 0 && len(c.queue) == 0 && c.queuedBytes == 0
}

// deliver hands on what was taken in and is still wanted, or drops it.
func (c *Conn) deliver(on bool) {
	for i, a := range c.received {
		c.received[i] = receivedRequest{}
		if on && c.IsPending(a.tag) {
			c.handler.HandleRequest(c, a.tag, a.request)
		} else {
			a.request.Body.Free()
		}
	}
	c.received = c.received[:0]
}

// trackInput says whether what the client sends is still heeded, and keeps the time since when a message is under way.
func (c *Conn) trackInput(came time.Time, begun bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !begun && c.messageReceived {
		c.messageStart = time.Time{}
	} else if c.messageStart.IsZero() {
		c.messageStart = came
	}
	if c.phase == phaseDraining {
		c.wakeWriter() // it may be time to shut it
	}
	return c.input != inputDiscarded && c.phase < phaseHalfClosed
}

// handleCancel takes a request back.
func (c *Conn) handleCancel(tag uint64) {
	c.mu.Lock()
	was := c.pending[tag]
	delete(c.pending, tag)
	c.wakeWriter()
	c.mu.Unlock()
	if i := slices.IndexFunc(c.received, func(a receivedRequest) bool { return a.tag == tag }); i >= 0 {
		c.received[i].request.Body.Free()
		c.received = slices.Delete(c.received, i, i+1)
	} else if was {
		c.handler.HandleCancel(c, tag)
	}
}

// handleMessage deals with one message.
func (c *Conn) handleMessage(msg message, came time.Time) {
	if msg.command == "NEVERMIND" {
		c.handleCancel(msg.tag)
		return
	}
	c.mu.Lock()
	twice, many := c.pending[msg.tag], len(c.pending) >= maxPendingRequests
	if c.input != inputAll || c.phase >= phaseHalfClosed { // it crossed the end, and is sent again
		c.mu.Unlock()
		return
	}
	c.pending[msg.tag] = true
	late := c.phase == phaseDraining && came.After(c.closeDeadline) // or a client that never rests would keep it from its end
	c.lastUsed, c.messageStart, c.messageReceived = came, time.Time{}, true
	msg.request.ClientSuspect, msg.request.ClientHash = c.suspect, c.clientHash
	c.mu.Unlock()
	err := error(nil)
	if msg.command == "ASK" {
		err = msg.request.validate(c.server.contentTypes)
	}
	switch {
	case twice: // the first use of the tag gets the one answer
		c.ReportBadRequest(errors.New("the tag is in use"))
	case msg.command == "STATUS":
		word := statusServing
		if c.server.notServing.Load() {
			word = statusNotServing
		}
		c.respond(msg.tag, word, "", nil)
	case msg.command == "":
		c.ReportBadRequest(errors.New("an unknown message"))
		c.Fail(msg.tag)
	case err != nil:
		c.ReportBadRequest(err)
		c.Fail(msg.tag)
	case many:
		c.ReportBadRequest(errors.New("too many requests at once"))
		c.RejectUnsent(msg.tag, msg.request)
	case late:
		c.RejectUnsent(msg.tag, msg.request)
	default:
		msg.request.ArrivedAt, msg.request.Body = came, c.server.pool.NewBody(len(msg.request.rawBody))
		if !msg.request.Body.Append(msg.request.rawBody) {
			msg.request.Body.Free()
			c.RejectUnsent(msg.tag, msg.request)
			return
		}
		msg.request.rawBody = nil // the parser's buffer is used again
		c.received = append(c.received, receivedRequest{msg.tag, msg.request})
	}
}

// writeLoop passes answers on until the connection ends.
func (c *Conn) writeLoop() {
	for range c.writerWake {
		c.mu.Lock()
		queue := c.queue
		c.queue = nil
		if c.phase == phaseDraining && len(queue) == 0 && c.idleLocked() {
			c.wakeReaderLocked()
		}
		done := c.phase >= phaseHalfClosed
		c.mu.Unlock()
		if done {
			return
		}
		if len(queue) == 0 {
			continue
		}
		var out net.Buffers
		for _, a := range queue {
			out = append(append(append(out, a.header), a.body.Parts()...), crlf)
		}
		c.netConn.SetWriteDeadline(time.Now().Add(span(c.server.timeouts.WriteFlush)))
		n, err := out.WriteTo(c.netConn)
		for _, a := range queue {
			a.body.Free()
		}
		c.mu.Lock()
		c.queuedBytes = max(0, c.queuedBytes-int(n))
		if err != nil {
			c.closeLocked()
		} else if len(c.queue) > 0 || c.phase == phaseDraining {
			c.wakeWriter()
		}
		c.mu.Unlock()
	}
}

func span(t policy.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

var crlf = []byte("\r\n")
