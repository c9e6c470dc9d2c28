// Package front speaks with clients: it takes downloads in and passes final answers on. What becomes of a
// download is asked elsewhere.
package front

import (
	"errors"
	"log"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"tallyproxy/director"
	"tallyproxy/internal/pool"
)

const mostOpen = 32 // requests that the protocol lets a client have open on one connection

// Sink takes what clients say, from the connections' goroutines. What an Ask points to is the sink's.
type Sink interface {
	Ask(c *Conn, tag uint64, a Ask)
	NeverMind(c *Conn, tag uint64)
	Closed(c *Conn)
}

// Server accepts connections and holds as many as it may.
type Server struct {
	sink     Sink
	pool     *pool.Pool
	margins  director.Margins
	most     atomic.Int64 // connections held
	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*Conn]struct{}
}

// New makes a server for so many connections.
func New(sink Sink, p *pool.Pool, most int, m director.Margins) *Server {
	s := &Server{sink: sink, pool: p, margins: m, conns: map[*Conn]struct{}{}}
	s.Limit(most)
	return s
}

// Limit sets how many connections may be held when another is accepted.
func (s *Server) Limit(most int) { s.most.Store(int64(most)) }

// Serve accepts until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		s.slot()
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil { // descriptors used up, or the client left before
			log.Printf("event=accept_failed err=%q", err)
			s.closeIdle()
			time.Sleep(span(s.margins.Retry))
			continue
		}
		c := &Conn{s: s, nc: nc, open: map[uint64]bool{}, wake: make(chan struct{}, 1), used: time.Now()}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.run()
	}
}

// slot waits for a place for one more connection. Only while there is none, one without open requests makes room.
func (s *Server) slot() {
	for s.Conns() >= int(s.most.Load()) {
		time.Sleep(span(s.margins.Retry))
		s.closeIdle()
	}
}

// Stop has STATUS answer that the director is leaving.
func (s *Server) Stop() { s.stopping.Store(true) }

// Close ends all connections once what is open on them has been answered.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		c.finish()
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

// closeIdle closes the connection that has had no open request for longest, unless it is too new for that.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idlest *Conn
	since := time.Now().Add(-span(s.margins.Retry))
	for c := range s.conns {
		c.mu.Lock()
		if len(c.open) == 0 && len(c.queue) == 0 && c.used.Before(since) {
			idlest, since = c, c.used
		}
		c.mu.Unlock()
	}
	if idlest != nil {
		idlest.finish()
	}
}

// Conn is a client's connection.
type Conn struct {
	s    *Server
	nc   net.Conn
	wake chan struct{} // there is something to write, or the end has come

	mu     sync.Mutex
	open   map[uint64]bool // tags of requests that are owed an answer
	queue  []answer
	queued int  // bytes in it
	ending bool // to be shut once nothing is open or queued
	shut   bool // the client has been told that nothing more comes; its own end is waited for
	dead   bool
	blamed bool // a bad request was logged; one line is enough
	used   time.Time
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
	c.answer(tag, wordFulfilled, fields, body)
}

// Throttle says that a new try is harmless, and when to come back.
func (c *Conn) Throttle(tag uint64, later time.Duration) {
	fields := ""
	if later > 0 {
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
	defer c.mu.Unlock()
	if c.dead || !c.open[tag] {
		body.Free()
		return
	}
	delete(c.open, tag)
	c.used = time.Now()
	if c.queued > max(share, 4)*pool.Size {
		log.Printf("event=client_left reason=reads_nothing queued_bytes=%d", c.queued)
		body.Free()
		c.end()
		return
	}
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

// Blame logs that a request can't be used, once a connection.
func (c *Conn) Blame(tag uint64, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.blamed {
		c.blamed = true
		log.Printf("event=bad_request reason=%q tag=%d", reason, tag)
	}
}

func (c *Conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// finish shuts the connection once nothing is open or queued.
func (c *Conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.signal()
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
		c.read()
	}()
	<-written
	c.s.sink.Closed(c)
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
}

// caught ends the connection alone where its goroutine panicked.
func (c *Conn) caught() {
	if bad := recover(); bad != nil {
		log.Printf("event=panic where=front err=%q stack=%q", bad, debug.Stack())
		c.Drop()
	}
}

// read takes in what the client sends, to its end. A client that closed its side is owed nothing more.
func (c *Conn) read() {
	buf := c.s.pool.Get()
	defer c.s.pool.Put(buf)
	p, lost := parser{buf: buf}, false // lost: what comes can't be read any more
	for {
		n, err := c.nc.Read(p.space())
		came := time.Now()
		if err != nil {
			c.Drop()
			return
		}
		if lost {
			continue
		}
		p.fed(n)
		for {
			msg, ok, err := p.next()
			if lost = err != nil; lost {
				log.Printf("event=client_left reason=malformed err=%q", err)
				p.from, p.to = 0, 0
				c.finish()
			}
			if !ok || lost {
				break
			}
			c.take(msg, came)
		}
	}
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
			c.s.sink.NeverMind(c, msg.tag)
		}
		return
	}
	c.mu.Lock()
	twice, many := c.open[msg.tag], len(c.open) >= mostOpen
	if !twice {
		c.open[msg.tag] = true
	}
	c.used = came
	shut := c.shut
	c.mu.Unlock()
	switch {
	case shut: // it crossed the end, and is sent again
	case twice: // the first use of the tag gets the one answer
		c.Blame(msg.tag, "the tag is in use")
	case msg.verb == "STATUS":
		word := wordServing
		if c.s.stopping.Load() {
			word = wordStopping
		}
		c.answer(msg.tag, word, "", nil)
	case msg.verb == "":
		c.Blame(msg.tag, "an unknown verb")
		c.Abandon(msg.tag)
	case msg.ask.malformed != nil:
		c.Blame(msg.tag, msg.ask.malformed.Error())
		c.Abandon(msg.tag)
	case many:
		c.Throttle(msg.tag, 0)
	default:
		msg.ask.Came, msg.ask.Body = came, c.s.pool.Body()
		if !msg.ask.Body.Write(msg.ask.bytes) {
			c.Throttle(msg.tag, 0)
			return
		}
		msg.ask.bytes = nil // the parser's buffer is used again
		c.s.sink.Ask(c, msg.tag, msg.ask)
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
