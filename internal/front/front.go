// Package front speaks with clients: it takes downloads in and passes final answers on. What becomes of a
// download is asked elsewhere.
package front

import (
	"cmp"
	"errors"
	"io"
	"log/slog"
	"net"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"tallyproxy/director"
	"tallyproxy/internal/config"
	"tallyproxy/internal/pool"
)

const (
	mostOpen = 32 // requests that the protocol lets a client have open on one connection
	roomPart = 32 // part of the places that are made free at a time
)

// Sink takes what clients say, from the connections' goroutines. What an Ask points to is the sink's.
type Sink interface {
	Ask(c *Conn, tag uint64, a Ask)
	NeverMind(c *Conn, tag uint64)
	Closed(c *Conn)
	Opened(c *Conn)
}

// Server accepts connections and holds as many as it may.
type Server struct {
	sinks    []Sink
	types    map[string]*director.ContentType
	pool     *pool.Pool
	margins  director.Margins
	most     atomic.Int64 // connections held
	stopping atomic.Bool
	came     atomic.Int64  // when the last connection came, as Unix nanoseconds
	waiting  atomic.Bool   // a connection waits for a place
	left     chan struct{} // a connection has ended
	mu       sync.Mutex
	conns    map[*Conn]struct{}
	faults   int       // of clients, since one was logged
	logged   time.Time // when
}

// New makes a server for so many connections, which are spread over the sinks in turn.
func New(sinks []Sink, site config.Site, p *pool.Pool, most int, m director.Margins) *Server {
	s := &Server{
		sinks: sinks, types: map[string]*director.ContentType{}, pool: p, margins: m, conns: map[*Conn]struct{}{},
		left: make(chan struct{}, 1),
	}
	for i, name := range site.Types {
		s.types[name] = site.Settings.Types[i]
	}
	s.Limit(most)
	return s
}

// Limit sets how many connections may be held when another is accepted.
func (s *Server) Limit(most int) { s.most.Store(int64(most)) }

// Serve accepts until the listener is closed. What finds no place waits, unread, behind one that was accepted.
func (s *Server) Serve(l net.Listener) error {
	done := make(chan struct{})
	defer close(done)
	go s.tidy(done)
	for next := 0; ; next++ {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		s.came.Store(time.Now().UnixNano())
		if err != nil { // descriptors used up, or the client left before
			slog.Warn("accept_failed", "err", err)
			s.makeRoom(1)
			time.Sleep(span(s.margins.Retry))
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
		s.mu.Unlock()
		c.sink.Opened(c)
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
		if s.Conns() < most {
			return
		}
		if s.makeRoom(1+most/roomPart) > 0 {
			continue
		}
		select {
		case <-s.left:
		case <-time.After(span(s.margins.Retry) / 8):
		}
	}
}

// Quiet says whether no connection has come for so long, and none waits for a place.
func (s *Server) Quiet(settle time.Duration) bool {
	return !s.waiting.Load() && time.Now().UnixNano()-s.came.Load() >= int64(settle)
}

// tidy closes connections that rest, and those on which a message does not become whole.
func (s *Server) tidy(done <-chan struct{}) {
	tick := time.NewTicker(span(s.margins.Silent) / 8)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-tick.C:
			s.mu.Lock()
			for c := range s.conns {
				c.mu.Lock()
				switch {
				case c.ending:
				case !c.since.IsZero() && now.Sub(c.since) > span(s.margins.Silent):
					c.refuse()
				case len(c.open) == 0 && c.queued == 0 && now.Sub(c.used) > span(s.margins.Resting):
					c.finish()
				}
				c.mu.Unlock()
			}
			s.mu.Unlock()
		}
	}
}

// Stop has STATUS answer that the director is leaving.
func (s *Server) Stop() { s.stopping.Store(true) }

// Close ends all connections once what is open on them has been answered.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		c.mu.Lock()
		c.finish()
		c.mu.Unlock()
	}
	s.mu.Unlock()
	for until := time.Now().Add(span(s.margins.Flush)); s.Conns() > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
}

// Conns is how many connections are held.
func (s *Server) Conns() int {
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
	newest, soon := now.Add(-span(s.margins.Retry)), now.Add(span(s.margins.Retry)/2)
	var worst []rest
	for c := range s.conns {
		c.mu.Lock()
		r := rest{c, 2, c.used}
		switch {
		case !c.heard:
			r.rank = 0
		case c.away.After(soon):
			r.rank = 1
		}
		if len(c.open) == 0 && c.queued == 0 &&
			(r.rank == 1 || c.used.Before(newest)) {
			at, _ := slices.BinarySearchFunc(worst, r, func(a, b rest) int {
				return cmp.Or(a.rank-b.rank, a.used.Compare(b.used))
			})
			if worst = slices.Insert(worst, at, r); len(worst) > most {
				worst = worst[:most]
			}
		}
		c.mu.Unlock()
	}
	for _, r := range worst {
		r.c.mu.Lock()
		if len(r.c.open) == 0 && r.c.queued == 0 && !r.c.unread() { // still
			delete(s.conns, r.c)
			r.c.end()
			ended++
		}
		r.c.mu.Unlock()
	}
	return ended
}

// unread says whether bytes have come that were not read yet: closed now, the connection would be reset over them.
func (c *Conn) unread() (some bool) {
	raw, ok := c.nc.(syscall.Conn)
	if !ok {
		return false
	}
	in, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	in.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		some = err == nil && n > 0
	})
	return some
}

// fault logs what a client did wrong: a line at a time, with the number of those that went without.
func (s *Server) fault(event string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults++; time.Since(s.logged) < span(s.margins.Resting) {
		return
	}
	slog.Warn(event, "err", err, "faults", s.faults)
	s.faults, s.logged = 0, time.Now()
}

// Conn is a client's connection.
type Conn struct {
	s    *Server
	sink Sink
	nc   net.Conn
	who  uint64        // the client's address, as a hash
	wake chan struct{} // there is something to write, or the end has come

	mu      sync.Mutex
	open    map[uint64]bool // tags of requests that are owed an answer
	queue   []answer
	queued  int  // bytes in it, or being written
	ending  bool // to be shut once nothing is open or queued
	shut    bool // the client has been told that nothing more comes; its own end is waited for
	dead    bool
	deaf    bool // what the client sends is no longer read
	heard   bool // a whole message came
	doubted bool // what was asked for of late was of use to no node
	faults  int
	since   time.Time // when the message that is under way began; zero for none
	used    time.Time
	away    time.Time // its client was told not to come before
}

type answer struct {
	head []byte
	body *pool.Body
}

// Fulfil passes a body on, or tells the client that its copy holds. The body is the connection's from here on.
func (c *Conn) Fulfil(tag uint64, body *pool.Body, same bool) {
	fields := ""
	if same {
		fields = "still=1"
	}
	c.mu.Lock()
	c.doubted = false
	c.mu.Unlock()
	c.answer(tag, wordFulfilled, fields, body)
}

// Useless says that what a client asked for is of use to no node. Its next downloads cost less, until one is fulfilled. The
// connection is listened to all the same: nodes in trouble can agree too, and others' downloads may come over it.
func (c *Conn) Useless() {
	c.s.fault("useless_request", errors.New("of use to no node"))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doubted = true
}

// Throttle says that a new try is harmless, and when to come back.
func (c *Conn) Throttle(tag uint64, later time.Duration) {
	fields := ""
	if later > 0 {
		c.mu.Lock()
		c.away = time.Now().Add(later)
		c.mu.Unlock()
		fields = "later=" + strconv.FormatInt(later.Milliseconds(), 10)
	}
	c.answer(tag, wordThrottled, fields, nil)
}

// Abandon promises nothing.
func (c *Conn) Abandon(tag uint64) { c.answer(tag, wordAbandoned, "", nil) }

// answer queues an answer and never waits. A client that leaves too much of it unread is left.
func (c *Conn) answer(tag uint64, word, fields string, body *pool.Body) {
	out, most := c.s.pool.Out()
	share := most / 8
	if out > most/2 {
		share = most / 64
	}
	c.mu.Lock()
	if c.dead || !c.open[tag] {
		c.mu.Unlock()
		body.Free()
		return
	}
	delete(c.open, tag)
	c.used = time.Now()
	if c.queued > max(share, 4)*pool.Size {
		c.end()
		c.mu.Unlock()
		body.Free()
		c.s.fault("client_left", errors.New("it reads nothing"))
		return
	}
	defer c.mu.Unlock()
	a := answer{appendHead(make([]byte, 0, 96), tag, word, fields, body.Len()), body}
	c.queue, c.queued = append(c.queue, a), c.queued+len(a.head)+body.Len()
	c.signal()
}

// Drop ends the connection at once.
func (c *Conn) Drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
}

// Blame says that a request can't be used. A client that goes on with such is not listened to any more.
func (c *Conn) Blame(err error) {
	c.s.fault("bad_request", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults++; c.faults >= mostOpen {
		c.refuse()
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
	c.ending = true
	c.signal()
}

// refuse does so and reads nothing more. The caller holds the lock.
func (c *Conn) refuse() {
	c.deaf = true
	c.finish()
}

// end drops the connection at once. The caller holds the lock.
func (c *Conn) end() {
	if c.dead {
		return
	}
	c.dead = true
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
		c.read(written)
	}()
	<-written
	c.sink.Closed(c)
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
		slog.Error("panic", "where", "front", "err", bad, "stack", string(debug.Stack()))
		c.Drop()
	}
}

// read takes in what the client sends, to its end. A client that closed its side is owed nothing more. What comes from
// one that is not listened to is passed over once all is answered: closed at once, it could lose the answers.
func (c *Conn) read(written <-chan struct{}) {
	defer c.Drop()
	p := parser{pool: c.s.pool}
	defer p.close()
	for {
		n, err := c.nc.Read(p.space())
		came := time.Now()
		if err != nil {
			return
		}
		p.fed(n)
		for {
			if !c.listens(came, p.begun()) {
				p.close()
				<-written
				io.Copy(io.Discard, c.nc)
				return
			}
			msg, ok, err := p.next()
			if err != nil {
				c.s.fault("unreadable_client", err)
				if msg.tag > 0 {
					c.take(message{tag: msg.tag}, came)
				}
				c.mu.Lock()
				c.refuse()
				c.mu.Unlock()
			} else if !ok {
				break
			} else {
				c.take(msg, came)
			}
		}
	}
}

// listens says whether what the client sends is still read, and keeps the time since when a message is under way.
func (c *Conn) listens(came time.Time, begun bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !begun && c.heard {
		c.since = time.Time{}
	} else if c.since.IsZero() {
		c.since = came
	}
	return !c.deaf
}

// take deals with one message.
func (c *Conn) take(msg message, came time.Time) {
	if msg.verb == "NEVERMIND" {
		c.mu.Lock()
		was := c.open[msg.tag]
		delete(c.open, msg.tag)
		c.signal()
		c.mu.Unlock()
		if was {
			c.sink.NeverMind(c, msg.tag)
		}
		return
	}
	c.mu.Lock()
	twice, many := c.open[msg.tag], len(c.open) >= mostOpen
	if !twice {
		c.open[msg.tag] = true
	}
	c.used, c.since, c.heard = came, time.Time{}, true
	shut := c.shut
	msg.ask.Doubted, msg.ask.Client = c.doubted, c.who
	c.mu.Unlock()
	err := error(nil)
	if msg.verb == "ASK" {
		err = msg.ask.admit(c.s.types)
	}
	switch {
	case shut: // it crossed the end, and is sent again
	case twice: // the first use of the tag gets the one answer
		c.Blame(errors.New("the tag is in use"))
	case msg.verb == "STATUS":
		word := wordServing
		if c.s.stopping.Load() {
			word = wordStopping
		}
		c.answer(msg.tag, word, "", nil)
	case msg.verb == "":
		c.Blame(errors.New("an unknown message"))
		c.Abandon(msg.tag)
	case err != nil:
		c.Blame(err)
		c.Abandon(msg.tag)
	case many:
		c.Blame(errors.New("too many requests at once"))
		c.Throttle(msg.tag, span(c.s.margins.Back))
	default:
		msg.ask.Came, msg.ask.Body = came, c.s.pool.Body(len(msg.ask.bytes))
		if !msg.ask.Body.Write(msg.ask.bytes) {
			msg.ask.Body.Free()
			c.Throttle(msg.tag, span(c.s.margins.Back))
			return
		}
		msg.ask.bytes = nil // the parser's buffer is used again
		c.sink.Ask(c, msg.tag, msg.ask)
	}
}

// write passes answers on until the connection ends.
func (c *Conn) write() {
	for range c.wake {
		c.mu.Lock()
		queue, done := c.queue, c.dead || c.ending && len(c.open) == 0 && len(c.queue) == 0
		c.queue = nil
		if done && !c.dead { // closed at once, it could take the last answers with it
			c.shut = true
			c.nc.SetReadDeadline(time.Now().Add(span(c.s.margins.Connect)))
			if half, ok := c.nc.(*net.TCPConn); ok {
				half.CloseWrite()
			}
		}
		c.mu.Unlock()
		if done {
			return
		}
		var out net.Buffers
		for _, a := range queue {
			out = append(append(append(out, a.head), a.body.Parts()...), crlf)
		}
		c.nc.SetWriteDeadline(time.Now().Add(span(c.s.margins.Flush)))
		n, err := out.WriteTo(c.nc)
		for _, a := range queue {
			a.body.Free()
		}
		c.mu.Lock()
		c.queued = max(0, c.queued-int(n))
		if err != nil {
			c.end()
		} else if len(c.queue) > 0 || c.ending && len(c.open) == 0 {
			c.signal()
		}
		c.mu.Unlock()
	}
}

func span(t director.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

var crlf = []byte("\r\n")
