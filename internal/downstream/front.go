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
	mostOpen = 32 // requests that the protocol lets a client have open on one connection
	roomPart = 32 // part of the places that are made free at a time

	discarded = 8 << 10 // bytes read at once of what is not heeded
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
	sinks     []Handler
	types     map[string]*policy.ContentType
	pool      *bufpool.Pool
	margins   policy.Timeouts
	most      atomic.Int64 // connections held
	stopping  atomic.Bool
	came      atomic.Int64  // when the last connection came, as Unix nanoseconds
	waiting   atomic.Bool   // a connection waits for a place
	accepts   atomic.Int64  // listeners that are open, or of which a connection has no place yet
	left      chan struct{} // a connection has ended
	mu        sync.Mutex
	conns     map[*Conn]struct{}
	closing   bool
	listeners []net.Listener
	faults    int       // of clients, since one was logged
	logged    time.Time // when
}

// New makes a server for so many connections, which are spread over the sinks in turn.
func New(sinks []Handler, site config.Site, p *bufpool.Pool, most int, m policy.Timeouts) *Server {
	s := &Server{
		sinks: sinks, types: map[string]*policy.ContentType{}, pool: p, margins: m, conns: map[*Conn]struct{}{},
		left: make(chan struct{}, 1),
	}
	for i, name := range site.TypeNames {
		s.types[name] = site.Settings.ContentTypes[i]
	}
	s.SetMaxConns(most)
	return s
}

// SetMaxConns sets how many connections may be held when another is accepted.
func (s *Server) SetMaxConns(most int) { s.most.Store(int64(most)) }

// Serve accepts until the listener is closed. What finds no place waits, unread, behind one that was accepted.
func (s *Server) Serve(l net.Listener) error {
	done := make(chan struct{})
	defer close(done)
	s.accepts.Add(1)
	defer s.accepts.Add(-1)
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	go s.tidy(done)
	for next := 0; ; next++ {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		s.came.Store(time.Now().UnixNano())
		if err != nil { // descriptors used up, or the client left before
			slog.Warn(logevent.AcceptFailed, "err", err)
			s.makeRoom(1)
			time.Sleep(span(s.margins.PollRetry))
			continue
		}
		s.slot()
		now := time.Now()
		c := &Conn{
			s: s, sink: s.sinks[next%len(s.sinks)], nc: nc, who: hostOf(nc.RemoteAddr()), open: map[uint64]bool{}, wake: make(chan struct{}, 1),
			used: now, since: now,
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		if s.closing { // it was accepted before; what lies in it is taken
			c.finish()
		}
		s.mu.Unlock()
		c.sink.ConnOpened(c)
		go c.run()
	}
}

// hostOf is a client's address without its port, as a hash.
func hostOf(a net.Addr) uint64 {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		host = a.String()
	}
	return xxhash.Sum64String(host)
}

// slot waits for a place for one more connection. While there is none, some without open requests make room: a few at a
// time, since where one is wanted more will be.
func (s *Server) slot() {
	s.waiting.Store(true)
	defer s.waiting.Store(false)
	for {
		most := int(s.most.Load())
		if s.ConnCount() < most {
			return
		}
		s.makeRoom(1 + most/roomPart) // a descriptor is free once its connection has left the table
		select {
		case <-s.left:
		case <-time.After(span(s.margins.PollRetry) / 8):
		}
	}
}

// QuietFor says whether no connection has come for so long, and none waits for a place.
func (s *Server) QuietFor(settle time.Duration) bool {
	return !s.waiting.Load() && time.Now().UnixNano()-s.came.Load() >= int64(settle)
}

// tidy closes connections that rest, and those on which a message does not become whole.
func (s *Server) tidy(done <-chan struct{}) {
	tick := time.NewTicker(span(s.margins.RequestRead) / 8)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-tick.C:
			if over := s.ConnCount() - int(s.most.Load()); over > 0 { // the limit was lowered
				s.makeRoom(over)
			}
			s.mu.Lock()
			for c := range s.conns {
				c.mu.Lock()
				switch {
				case c.phase != serving:
				case !c.since.IsZero() && now.Sub(c.since) > span(s.margins.RequestRead):
					c.refuse(hearsNothing)
				case c.answered() && now.Sub(c.used) > span(s.margins.DownstreamIdle):
					c.finish()
				}
				c.mu.Unlock()
			}
			s.mu.Unlock()
		}
	}
}

// SetNotServing has STATUS answer that the director is leaving.
func (s *Server) SetNotServing() { s.stopping.Store(true) }

// Shutdown accepts no more, and ends all connections once what is open on them has been answered, those too that were accepted
// and have no place yet.
func (s *Server) Shutdown() {
	s.mu.Lock()
	s.closing = true
	for _, l := range s.listeners {
		l.Close()
	}
	for c := range s.conns {
		c.mu.Lock()
		c.finish()
		c.mu.Unlock()
	}
	s.mu.Unlock()
	for until := time.Now().Add(span(s.margins.WriteFlush)); s.ConnCount() > 0 || s.accepts.Load() > 0; time.Sleep(time.Millisecond) {
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

// rest is a connection that might make room, and why.
type rest struct {
	c    *Conn
	rank int // the lower, the sooner
	used time.Time
}

// makeRoom ends up to so many connections that have no open request: first those without a whole message so far, then those
// whose client was told to stay away, then those that have rested longest. None that is too new to tell, but where the
// client is not to ask for a while. It says how many it ended.
func (s *Server) makeRoom(most int) (ended int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	newest, soon := now.Add(-span(s.margins.PollRetry)), now.Add(span(s.margins.PollRetry)/2)
	known := now.Add(-span(s.margins.MaxDecisionAge)) // an answer has come by now: a reset would take it away
	var worst []rest
	for c := range s.conns {
		c.mu.Lock()
		if c.phase == dead { // its place is free in a moment
			most--
		}
		r := rest{c, 2, c.used}
		switch {
		case !c.heard:
			r.rank = 0
		case c.away.After(soon):
			r.rank = 1
		}
		if c.answered() && c.phase != dead && (c.used.Before(newest) || r.rank == 1 && c.used.Before(known)) {
			at, _ := slices.BinarySearchFunc(worst, r, func(a, b rest) int {
				return cmp.Or(a.rank-b.rank, a.used.Compare(b.used))
			})
			if worst = slices.Insert(worst, at, r); len(worst) > max(0, most) {
				worst = worst[:max(0, most)]
			}
		}
		c.mu.Unlock()
	}
	for _, r := range worst[:min(len(worst), max(0, most))] {
		r.c.mu.Lock()
		if bytes, _ := socket.PendingInput(r.c.nc); r.c.answered() && !bytes { // still
			r.c.end()
			ended++
		}
		r.c.mu.Unlock()
	}
	return ended
}

// fault logs what a client did wrong: a line at a time, with the number of those that went without.
func (s *Server) fault(event string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults++; time.Since(s.logged) < span(s.margins.DownstreamIdle) {
		return
	}
	slog.Warn(event, "err", err, "faults", s.faults)
	s.faults, s.logged = 0, time.Now()
}

// phase is how far a connection's end has come. It only goes on.
type phase int

const (
	serving phase = iota
	ending        // to be shut once nothing is open or queued
	shut          // the client has been told that nothing more comes; its own end is waited for
	dead
)

// hearing is what of a client's messages is still heeded. It only shrinks; what comes is read to its end all the same, so that
// a client that leaves is seen to.
type hearing int

const (
	hearsAll     hearing = iota
	hearsCancels         // no requests any more
	hearsNothing         // where messages begin is no longer known
)

// Conn is a client's connection.
type Conn struct {
	s    *Server
	sink Handler
	nc   net.Conn
	who  uint64        // the client's address, as a hash
	wake chan struct{} // there is something to write, or the end has come

	mu      sync.Mutex
	open    map[uint64]bool // tags of requests that are owed an answer
	queue   []answer
	queued  int // bytes in it, or being written
	phase   phase
	hears   hearing
	heard   bool // a whole message came
	doubted bool // what was asked for of late was of use to no node
	faults  int
	since   time.Time // when the message that is under way began; zero for none
	used    time.Time
	away    time.Time // its client was told not to come before

	left time.Time // when it is left at the latest, once it is shut

	came  []taken   // the reader's own: taken in, not handed on yet,
	first time.Time // and when the oldest of these was read
}

// taken is a request that came.
type taken struct {
	tag uint64
	ask Request
}

// IsPending says whether a client still waits for an answer: it has neither cancelled the request nor left. To be asked as an
// attempt is written, whatever stands in a queue.
func (c *Conn) IsPending(tag uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[tag]
}

type answer struct {
	head []byte
	body *bufpool.Body
}

// Succeed passes a body on, or tells the client that its copy holds. The body is the connection's from here on.
func (c *Conn) Succeed(tag uint64, body *bufpool.Body, same bool) {
	fields := ""
	if same {
		fields = "still=1"
	}
	c.mu.Lock()
	c.doubted = false
	c.mu.Unlock()
	c.answer(tag, wordFulfilled, fields, body)
}

// MarkSuspect says that what a client asked for is of use to no node. Its next downloads cost less, until one is fulfilled. The
// connection is listened to all the same: nodes in trouble can agree too, and others' downloads may come over it.
func (c *Conn) MarkSuspect() {
	c.s.fault(logevent.UnprocessableRequest, errors.New("of use to no node"))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doubted = true
}

// Reject says that a new try is harmless, and when to come back.
func (c *Conn) Reject(tag uint64, later time.Duration) {
	fields := ""
	if later > 0 {
		c.mu.Lock()
		c.away = time.Now().Add(later)
		c.mu.Unlock()
		fields = "later=" + strconv.FormatInt(later.Milliseconds(), 10)
	}
	c.answer(tag, wordThrottled, fields, nil)
}

// RejectUnsent answers a request that found no room and of which nothing was sent on. A new try is harmless, but where an earlier
// one of the same key may have run: how long ago is not known here.
func (c *Conn) RejectUnsent(tag uint64, a Request) {
	if a.IsRetry && a.IdempotencyKey != "" {
		c.Fail(tag)
		return
	}
	c.Reject(tag, span(c.s.margins.DefaultRetryAfter))
}

// Fail promises nothing.
func (c *Conn) Fail(tag uint64) { c.answer(tag, wordAbandoned, "", nil) }

// answer queues an answer and never waits. A client that leaves too much of it unread is left.
func (c *Conn) answer(tag uint64, word, fields string, body *bufpool.Body) {
	out, most := c.s.pool.InUse()
	share := most / 8
	if out > most/2 {
		share = most / 64
	}
	c.mu.Lock()
	if !c.open[tag] { // also where the connection is dead
		c.mu.Unlock()
		body.Free()
		return
	}
	delete(c.open, tag)
	c.used = time.Now()
	if c.queued > max(share, 4)*bufpool.BufferSize {
		c.end()
		c.mu.Unlock()
		body.Free()
		c.s.fault(logevent.DownstreamWriteStalled, errors.New("it reads nothing"))
		return
	}
	defer c.mu.Unlock()
	a := answer{appendHead(make([]byte, 0, 96), tag, word, fields, body.Len()), body}
	c.queue, c.queued = append(c.queue, a), c.queued+len(a.head)+body.Len()
	c.signal()
}

// Close ends the connection at once.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
}

// ReportBadRequest says that a request can't be used. A client that goes on with such is not listened to any more.
func (c *Conn) ReportBadRequest(err error) {
	c.s.fault(logevent.BadRequest, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults++; c.faults >= mostOpen {
		c.refuse(hearsCancels)
	}
}

func (c *Conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// finish shuts the connection once nothing is open or queued. The caller holds the lock.
func (c *Conn) finish() {
	if c.phase == serving {
		c.phase, c.left = ending, time.Now().Add(span(c.s.margins.Connect))
	}
	c.signal()
}

// refuse does so and heeds no more than that of what the client sends. The caller holds the lock.
func (c *Conn) refuse(heed hearing) {
	c.hears = max(c.hears, heed)
	c.finish()
}

// end drops the connection at once. The caller holds the lock.
func (c *Conn) end() {
	if c.phase == dead {
		return
	}
	c.phase = dead
	for _, a := range c.queue {
		a.body.Free()
	}
	c.queue, c.queued, c.open = nil, 0, map[uint64]bool{}
	c.nc.Close()
	c.signal()
}

// run holds the connection to its end.
func (c *Conn) run() {
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer c.caught()
		c.write()
	}()
	func() {
		defer c.caught()
		c.read()
	}()
	<-written
	c.sink.ConnClosed(c)
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
	select {
	case c.s.left <- struct{}{}:
	default:
	}
}

// caught ends the connection alone where its goroutine panicked.
func (c *Conn) caught() {
	if bad := recover(); bad != nil {
		slog.Error(logevent.PanicRecovered, "component", "downstream", "err", bad, "stack", string(debug.Stack()))
		c.Close()
	}
}

// read takes in what the client sends, to its end. A client that closed its side is owed nothing more, so requests are handed
// on only once all that lies in the socket is read: what a client asked for, took back and left behind may lie there together,
// for as long as the connection waited to be accepted. One that never stops sending has them handed on after a moment.
func (c *Conn) read() {
	defer c.Close()
	p := parser{pool: c.s.pool}
	defer p.close()
	defer c.pass(false)
	for {
		n, err := c.nc.Read(p.space())
		now := time.Now()
		if err != nil && !c.turn(err) {
			return
		}
		p.fed(n)
		for c.listens(now, p.begun()) {
			msg, ok, err := p.next()
			if err != nil {
				c.s.fault(logevent.DownstreamMalformed, err)
				if msg.tag > 0 {
					c.take(message{tag: msg.tag}, now)
				}
				c.mu.Lock()
				c.refuse(hearsNothing)
				c.mu.Unlock()
			} else if !ok {
				break
			} else {
				c.take(msg, now)
			}
		}
		c.handOn(now)
		if !c.listens(now, false) {
			p.close()
			c.discard()
			return
		}
	}
}

// discard reads on for the client's end alone. Closed with bytes unread the connection would be reset, and its last answers
// lost.
func (c *Conn) discard() {
	for buf := make([]byte, discarded); ; {
		if _, err := c.nc.Read(buf); err != nil && !c.turn(err) {
			return
		}
		c.handOn(time.Now())
	}
}

// handOn hands on what was taken in, once all that lies in the socket is read, or after a moment.
func (c *Conn) handOn(now time.Time) {
	if len(c.came) == 0 {
		return
	}
	if c.first.IsZero() {
		c.first = now
	}
	if bytes, end := socket.PendingInput(c.nc); !bytes && !end || now.Sub(c.first) >= span(c.s.margins.MaxDecisionAge) {
		c.pass(true)
		c.first = time.Time{}
	}
}

// wakeReader has the reader see that the connection may be shut. The caller holds the lock.
func (c *Conn) wakeReader() { c.nc.SetReadDeadline(time.Unix(1, 0)) }

// turn deals with a read that ended without bytes; false where the connection has ended. The reader alone shuts it, since it
// alone knows that nothing lies between the socket and the table of open requests: what was sent before the client is told
// that nothing more comes is taken, what comes later is not.
func (c *Conn) turn(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case c.phase == shut && socket.HasUnsentOutput(c.nc) && now.Before(c.left): // a slow reader: its answers are still on their way
		c.nc.SetReadDeadline(now.Add(span(c.s.margins.Connect)))
	case c.phase >= shut:
		return false
	default:
		c.nc.SetReadDeadline(time.Time{})
		bytes, _ := socket.PendingInput(c.nc)
		if c.phase == serving || !c.answered() || bytes && c.hears == hearsAll && now.Before(c.left) {
			break
		}
		c.phase, c.left = shut, now.Add(span(c.s.margins.WriteFlush))
		c.nc.SetReadDeadline(now.Add(span(c.s.margins.Connect)))
		if half, ok := c.nc.(*net.TCPConn); ok {
			half.CloseWrite()
		}
		c.signal()
	}
	return true
}

// answered says whether nothing is owed to the client. The caller holds the lock.
func (c *Conn) answered() bool { return len(c.open) == 0 && len(c.queue) == 0 && c.queued == 0 }

// pass hands on what was taken in and is still wanted, or drops it.
func (c *Conn) pass(on bool) {
	for i, a := range c.came {
		c.came[i] = taken{}
		if on && c.IsPending(a.tag) {
			c.sink.HandleRequest(c, a.tag, a.ask)
		} else {
			a.ask.Body.Free()
		}
	}
	c.came = c.came[:0]
}

// listens says whether what the client sends is still heeded, and keeps the time since when a message is under way.
func (c *Conn) listens(came time.Time, begun bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !begun && c.heard {
		c.since = time.Time{}
	} else if c.since.IsZero() {
		c.since = came
	}
	if c.phase == ending {
		c.signal() // it may be time to shut it
	}
	return c.hears != hearsNothing && c.phase < shut
}

// cancel takes a request back.
func (c *Conn) cancel(tag uint64) {
	c.mu.Lock()
	was := c.open[tag]
	delete(c.open, tag)
	c.signal()
	c.mu.Unlock()
	if i := slices.IndexFunc(c.came, func(a taken) bool { return a.tag == tag }); i >= 0 {
		c.came[i].ask.Body.Free()
		c.came = slices.Delete(c.came, i, i+1)
	} else if was {
		c.sink.HandleCancel(c, tag)
	}
}

// take deals with one message.
func (c *Conn) take(msg message, came time.Time) {
	if msg.verb == "NEVERMIND" {
		c.cancel(msg.tag)
		return
	}
	c.mu.Lock()
	twice, many := c.open[msg.tag], len(c.open) >= mostOpen
	if c.hears != hearsAll || c.phase >= shut { // it crossed the end, and is sent again
		c.mu.Unlock()
		return
	}
	c.open[msg.tag] = true
	late := c.phase == ending && came.After(c.left) // or a client that never rests would keep it from its end
	c.used, c.since, c.heard = came, time.Time{}, true
	msg.ask.ClientSuspect, msg.ask.ClientHash = c.doubted, c.who
	c.mu.Unlock()
	err := error(nil)
	if msg.verb == "ASK" {
		err = msg.ask.admit(c.s.types)
	}
	switch {
	case twice: // the first use of the tag gets the one answer
		c.ReportBadRequest(errors.New("the tag is in use"))
	case msg.verb == "STATUS":
		word := wordServing
		if c.s.stopping.Load() {
			word = wordStopping
		}
		c.answer(msg.tag, word, "", nil)
	case msg.verb == "":
		c.ReportBadRequest(errors.New("an unknown message"))
		c.Fail(msg.tag)
	case err != nil:
		c.ReportBadRequest(err)
		c.Fail(msg.tag)
	case many:
		c.ReportBadRequest(errors.New("too many requests at once"))
		c.RejectUnsent(msg.tag, msg.ask)
	case late:
		c.RejectUnsent(msg.tag, msg.ask)
	default:
		msg.ask.ArrivedAt, msg.ask.Body = came, c.s.pool.NewBody(len(msg.ask.bytes))
		if !msg.ask.Body.Append(msg.ask.bytes) {
			msg.ask.Body.Free()
			c.RejectUnsent(msg.tag, msg.ask)
			return
		}
		msg.ask.bytes = nil // the parser's buffer is used again
		c.came = append(c.came, taken{msg.tag, msg.ask})
	}
}

// write passes answers on until the connection ends.
func (c *Conn) write() {
	for range c.wake {
		c.mu.Lock()
		queue := c.queue
		c.queue = nil
		if c.phase == ending && len(queue) == 0 && c.answered() {
			c.wakeReader()
		}
		done := c.phase >= shut
		c.mu.Unlock()
		if done {
			return
		}
		if len(queue) == 0 {
			continue
		}
		var out net.Buffers
		for _, a := range queue {
			out = append(append(append(out, a.head), a.body.Parts()...), crlf)
		}
		c.nc.SetWriteDeadline(time.Now().Add(span(c.s.margins.WriteFlush)))
		n, err := out.WriteTo(c.nc)
		for _, a := range queue {
			a.body.Free()
		}
		c.mu.Lock()
		c.queued = max(0, c.queued-int(n))
		if err != nil {
			c.end()
		} else if len(c.queue) > 0 || c.phase == ending {
			c.signal()
		}
		c.mu.Unlock()
	}
}

func span(t policy.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

var crlf = []byte("\r\n")
