// Package back speaks with cache nodes, parents and the origin over connections that requests share.
package upstream

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/logevent"
	"tallyproxy/internal/socket"
	"tallyproxy/policy"
)

// Stage is how far a pull had come when it failed.
type Stage int

const (
	NotConnected Stage = iota
	NothingWritten
	PartlyWritten
	WhollyWritten
	ResponseStarted
)

var stageNames = [...]string{"not connected", "nothing written", "partly written", "wholly written", "answer begun"}

func (s Stage) String() string { return stageNames[s] }

// Error is a pull's end without an answer.
type Error struct {
	Stage     Stage
	Cancelled bool // it was given up from this side
	Err       error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Err) }
func (e *Error) Unwrap() error { return e.Err }

var (
	errCancelled      = errors.New("given up")
	errNoConfirmation = errors.New("silent")
	errStalled        = errors.New("stalled in an answer")

	// ErrConnectionLimit ends a pull for which no connection could be had within the limit.
	ErrConnectionLimit = errors.New("no connection is free")
	// ErrWithdrawn ends a pull that was not written yet when its node or source was shunned, or it no longer stood.
	ErrWithdrawn = errors.New("recalled")
)

const (
	maxCancelledIDs = 256     // ids given up on a connection before it is replaced
	maxUnsolicited  = 16      // answers that nobody asked for
	readBufferSize  = 4 << 10 // what is read at once but for bodies
	writeBufferSize = 2 << 10 // what is written at once but for clients' writes
)

// Pool is what all nodes' connections have in common.
type Pool struct {
	buffers        *bufpool.Pool
	timeouts       policy.Timeouts
	limit          atomic.Int64 // connections that may be held
	connections    atomic.Int64 // or are on their way
	done           chan struct{}
	mayWrite       func() bool
	mu             sync.Mutex
	endpoints      map[*Endpoint]struct{}
	unloggedErrors int       // of nodes, since one was logged
	lastLogged     time.Time // when
}

// New makes a fleet of at most so many connections.
func New(p *bufpool.Pool, m policy.Timeouts, most int) *Pool {
	f := &Pool{
		buffers: p, timeouts: m, done: make(chan struct{}), endpoints: map[*Endpoint]struct{}{}, mayWrite: func() bool { return true },
	}
	f.SetLimit(most)
	go f.closeIdleConnections()
	return f
}

// firstConnectionReserve is how many more may be held by nodes that have no other, where all that may be are in use.
func firstConnectionReserve(most int64) int64 { return max(1, most/4) }

// SetLimit sets how many connections may be held when another is opened.
func (f *Pool) SetLimit(most int) { f.limit.Store(int64(most)) }

// SetWriteCheck has nothing written while sound says that what it was decided on may be out of date; before the first peer.
func (f *Pool) SetWriteCheck(sound func() bool) { f.mayWrite = sound }

// Close ends all connections.
func (f *Pool) Close() {
	close(f.done)
	f.forEachEndpoint(func(p *Endpoint) { p.closeMatching(func(*conn) bool { return true }) })
}

// Probe asks a node once whether it is there, over a connection of its own, and waits for its word.
func (f *Pool) Probe(addr string) error {
	defer f.connections.Add(-1)
	if f.connections.Add(1) > f.limit.Load() {
		return ErrConnectionLimit
	}
	nc, err := net.DialTimeout("tcp4", addr, span(f.timeouts.Connect))
	if err != nil {
		return &Error{NotConnected, false, err}
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(span(f.timeouts.Connect)))
	if _, err := nc.Write(appendProbe(nil, probeID)); err != nil {
		return &Error{NothingWritten, false, err}
	}
	heard := false
	r := parser{
		buffers: f.buffers, onStart: func(string) bool { return false }, onResponse: func(string, Response, error) error { return nil },
		onProbeAnswer: func(string) { heard = true },
	}
	defer r.close()
	for buf := make([]byte, readBufferSize); !heard; {
		n, err := nc.Read(buf)
		if err == nil {
			err = r.parse(buf[:n])
		}
		if err != nil {
			return &Error{WhollyWritten, false, err}
		}
	}
	return nil
}

const probeID = "1" // the only tag on its connection

// Connections is how many connections are held or on their way.
func (f *Pool) Connections() int { return int(f.connections.Load()) }

func (f *Pool) forEachEndpoint(do func(*Endpoint)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.endpoints {
		do(p)
	}
}

// logBadResponse logs an answer that can't be trusted: a line at a time, with the number of those that went without.
func (f *Pool) logBadResponse(addr string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unloggedErrors++; time.Since(f.lastLogged) < span(f.timeouts.Connect) {
		return
	}
	slog.Warn(logevent.UpstreamBadResponse, "endpoint", addr, "err", err, "faults", f.unloggedErrors)
	f.unloggedErrors, f.lastLogged = 0, time.Now()
}

// closeIdleConnections closes connections that were not used for long, before the nodes do.
func (f *Pool) closeIdleConnections() {
	idle := span(f.timeouts.Idle)
	tick := time.NewTicker(idle / 8)
	defer tick.Stop()
	for {
		select {
		case <-f.done:
			return
		case now := <-tick.C:
			f.forEachEndpoint(func(p *Endpoint) {
				p.closeMatching(func(c *conn) bool { return len(c.attempts) == 0 && now.Sub(c.lastUsed) > idle })
			})
		}
	}
}

// Endpoint is one process of a node, at its address.
type Endpoint struct {
	pool     *Pool
	address  string
	mu       sync.Mutex
	conns    []*conn
	closing  bool
	draining atomic.Bool // nothing new goes to it, and no fill is asked of it
}

// SetDraining says whether anything new may still be written to it, or name it as a source.
func (p *Endpoint) SetDraining(shun bool) { p.draining.Store(shun) }

// withdrawn says whether a pull that waits to be written must not be.
func (l *Attempt) withdrawn() bool {
	w := &l.request
	return l.endpoint.draining.Load() || w.Source != nil && w.Source.draining.Load() || w.Superseded != nil && w.Superseded()
}

// NewEndpoint makes one; no connection is opened yet.
func (f *Pool) NewEndpoint(addr string) *Endpoint {
	p := &Endpoint{pool: f, address: addr}
	f.mu.Lock()
	f.endpoints[p] = struct{}{}
	f.mu.Unlock()
	return p
}

// CloseWhenIdle closes the connections as soon as nothing is open on them.
func (p *Endpoint) CloseWhenIdle() {
	p.pool.mu.Lock()
	delete(p.pool.endpoints, p)
	p.pool.mu.Unlock()
	p.draining.Store(true)
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.closeMatching(func(c *conn) bool { return len(c.attempts) == 0 })
}

// closeMatching closes the connections for which the test holds.
func (p *Endpoint) closeMatching(test func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range append([]*conn(nil), p.conns...) {
		if test(c) {
			c.close(errCancelled)
		}
	}
}

// Attempt is one request to a node.
type Attempt struct {
	request  Request
	done     func(Response, error)
	endpoint *Endpoint
	previous []*Attempt // of the same download: it goes over none of their connections
	maxSize  int        // of what is written for it, at the most
	// guarded by the peer's lock
	conn      *conn
	sentAt    time.Time // when it was last known not to be written
	stage     Stage
	cancelled bool
	confirm   bool
	moved     bool // to another connection, when the first ended before the request was written
	finished  bool
}

// Send sends a request and never waits. Done is called once, with the answer or an *Error; it must not wait nor call back. The request goes over none of the connections that pulls before it went over: an answer of theirs that is
// late, or comes twice, would be taken for its own.
func (p *Endpoint) Send(w Request, done func(Response, error), before ...*Attempt) *Attempt {
	pull := &Attempt{request: w, done: done, endpoint: p, previous: before, maxSize: maxRequestHead + w.Body.Len(), sentAt: time.Now()}
	p.pool.evictIdle(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.enqueue(pull) {
		pull.finished = true
		done(Response{}, &Error{NotConnected, false, ErrConnectionLimit})
	}
	return pull
}

// enqueue queues a request on a connection; false where there is none. The caller holds the lock.
func (p *Endpoint) enqueue(l *Attempt) bool {
	c := p.pickConn(l)
	if c == nil {
		return false
	}
	if l.conn, l.stage = c, NotConnected; c.netConn != nil {
		l.stage = NothingWritten
	}
	c.attempts[l.request.ID], c.lastUsed = l, l.sentAt
	c.queue = append(c.queue, message{attempt: l})
	c.wakeWriter()
	return true
}

// pickConn takes the connection with the fewest open requests, one that is up before one that is not, or opens
// another where all have their share. One on which the id was given up is left out too.
func (p *Endpoint) pickConn(l *Attempt) *conn {
	var best *conn
	for _, c := range p.conns {
		if !c.accepts(l) {
			continue
		}
		if best == nil || c.rank() < best.rank() || c.rank() == best.rank() && len(c.attempts) < len(best.attempts) {
			best = c
		}
	}
	if best != nil && len(best.attempts) < p.pool.timeouts.PreferredStreams {
		return best
	}
	most := p.pool.limit.Load()
	if len(p.conns) == 0 {
		most += firstConnectionReserve(most)
	}
	if p.pool.connections.Add(1) > most {
		p.pool.connections.Add(-1)
		return best
	}
	c := &conn{endpoint: p, attempts: map[string]*Attempt{}, cancelledIDs: map[string]bool{}, wake: make(chan struct{}, 1), lastUsed: time.Now()}
	p.conns = append(p.conns, c)
	go c.run()
	return c
}

// accepts says whether a pull may go over a connection. The caller holds the lock.
func (c *conn) accepts(l *Attempt) bool {
	return !c.retired && c.attempts[l.request.ID] == nil && !c.cancelledIDs[l.request.ID] && len(c.attempts) < c.endpoint.pool.timeouts.MaxStreams &&
		!slices.ContainsFunc(l.previous, func(b *Attempt) bool { return b.endpoint == c.endpoint && b.conn == c })
}

// evictIdle closes the connection that has rested longest, of any node, where as many are held as may be and this one has none
// that rests: so each node gets its first within the limit, however many there are.
func (f *Pool) evictIdle(p *Endpoint) {
	if f.connections.Load() < f.limit.Load() {
		return
	}
	p.mu.Lock()
	rests := slices.ContainsFunc(p.conns, func(c *conn) bool { return !c.retired && len(c.attempts) == 0 })
	p.mu.Unlock()
	if rests {
		return
	}
	var oldest *conn
	var used time.Time
	f.forEachEndpoint(func(q *Endpoint) {
		q.mu.Lock()
		defer q.mu.Unlock()
		for _, c := range q.conns {
			if c.isIdle() && (oldest == nil || c.lastUsed.Before(used)) {
				oldest, used = c, c.lastUsed
			}
		}
	})
	if oldest == nil {
		return
	}
	oldest.endpoint.mu.Lock()
	if oldest.isIdle() {
		oldest.release()
		oldest.close(errCancelled)
	}
	oldest.endpoint.mu.Unlock()
}

// release gives the connection's place free, once. The caller holds the lock.
func (c *conn) release() {
	if !c.released {
		c.released = true
		c.endpoint.pool.connections.Add(-1)
	}
}

// isIdle says whether a connection is up and nothing is open on it. The caller holds the lock.
func (c *conn) isIdle() bool {
	return !c.closed && c.netConn != nil && len(c.attempts) == 0 && len(c.queue) == 0
}

// Cancel tells the node to drop the request. Done is called all the same, once the node has been told, unless
// an answer comes first.
//
// A silent node would not hear it, and what it had taken would stay out. So where another pull may follow, the end is
// sure: if nothing has come since the request was written, the connection is reset, which gives up all that is open on
// it, and so it is where nothing else is open; else the node is asked whether it is there, and Done waits for its word,
// or for a reset when that does not come.
func (l *Attempt) Cancel(sure bool) {
	if l.endpoint == nil {
		return
	}
	l.endpoint.mu.Lock()
	defer l.endpoint.mu.Unlock()
	if l.finished || l.cancelled {
		return
	}
	c := l.conn
	l.cancelled = true
	if l.stage == NotConnected {
		c.finish(l, Response{}, &Error{NotConnected, true, errCancelled})
		return
	}
	l.confirm = sure
	if sure && (c.lastRead.Load() < l.sentAt.UnixNano() || len(c.attempts) == 1) {
		c.reset()
		return
	}
	if c.lastRead.Load() < l.sentAt.UnixNano() {
		c.retired = c.retired || time.Since(l.sentAt) >= span(c.endpoint.pool.timeouts.Connect) // what follows goes over another
	}
	c.queue = append(c.queue, message{attempt: l, isCancel: true})
	c.wakeWriter()
}

// conn is one connection; the peer's lock guards it.
type conn struct {
	endpoint     *Endpoint
	netConn      net.Conn // nil until it is up
	attempts     map[string]*Attempt
	cancelledIDs map[string]bool // ids given up here, of which an answer may still come; emptied with the connection
	unconfirmed  []*Attempt      // given up, in the order in which the node was asked whether it is there
	queue        []message
	wake         chan struct{}
	lastRead     atomic.Int64 // when, as Unix nanoseconds
	lastUsed     time.Time
	retired      bool
	closed       bool
	released     bool // its place is another's
	unsolicited  int  // answers that nobody asked for: some bring more than belongs to them, but not without end
}

// rank says which connection is better, the lower the better.
func (c *conn) rank() (rank int) {
	if len(c.attempts) >= c.endpoint.pool.timeouts.PreferredStreams {
		rank = 2
	}
	if c.netConn == nil {
		rank++
	}
	return rank
}

// message is a request or its giving up, to be written.
type message struct {
	attempt  *Attempt
	isCancel bool
}

func (c *conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// finish ends a pull. The caller holds the lock.
func (c *conn) finish(l *Attempt, a Response, err error) {
	if l.finished {
		return
	}
	l.finished = true
	delete(c.attempts, l.request.ID)
	l.done(a, err)
}

// close closes the connection; what is open on it fails. The caller holds the lock.
func (c *conn) close(err error) {
	if c.closed {
		return
	}
	c.closed = true
	for i, o := range c.endpoint.conns {
		if o == c {
			c.endpoint.conns = append(c.endpoint.conns[:i], c.endpoint.conns[i+1:]...)
			break
		}
	}
	closed := c.netConn != nil && err != errCancelled && err != errNoConfirmation && !errors.Is(err, os.ErrDeadlineExceeded) ||
		errors.Is(err, syscall.ECONNRESET) // also while it came up
	for id, l := range c.attempts {
		delete(c.attempts, id)
		// The node closed the connection before it had the request, which goes over another, once.
		if closed && l.stage < WhollyWritten && !l.cancelled && !l.moved && !c.endpoint.closing && !l.withdrawn() {
			if l.moved = true; c.endpoint.enqueue(l) {
				continue
			}
		}
		c.finish(l, Response{}, &Error{l.stage, l.cancelled, err})
	}
	if c.netConn != nil {
		c.netConn.Close()
	}
	c.wakeWriter()
}

// reset closes the connection without a word more. The caller holds the lock.
func (c *conn) reset() {
	if half, ok := c.netConn.(*net.TCPConn); ok {
		half.SetLinger(0)
	}
	c.close(errNoConfirmation)
}

// run opens the connection and holds it to its end.
func (c *conn) run() {
	defer func() {
		c.endpoint.mu.Lock()
		c.release()
		c.endpoint.mu.Unlock()
	}()
	nc, err := net.DialTimeout("tcp4", c.endpoint.address, span(c.endpoint.pool.timeouts.Connect))
	c.endpoint.mu.Lock()
	if err != nil || c.closed {
		if err == nil {
			nc.Close()
		}
		c.close(err)
		c.endpoint.mu.Unlock()
		return
	}
	c.netConn = nc
	c.lastRead.Store(time.Now().UnixNano())
	for _, l := range c.attempts {
		l.stage = NothingWritten
	}
	c.endpoint.mu.Unlock()
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

// recoverPanic ends the connection alone where its goroutine panicked.
func (c *conn) recoverPanic() {
	if bad := recover(); bad != nil {
		slog.Error(logevent.PanicRecovered, "component", "upstream", "node", c.endpoint.address, "err", bad, "stack", string(debug.Stack()))
		c.endpoint.mu.Lock()
		c.close(fmt.Errorf("panic: %v", bad))
		c.endpoint.mu.Unlock()
	}
}

// readLoop takes answers in.
func (c *conn) readLoop() {
	small, pool := make([]byte, readBufferSize), c.endpoint.pool.buffers
	r := parser{buffers: pool, onStart: c.responseStarted, onResponse: c.responseEnded, onProbeAnswer: c.probeAnswered}
	defer r.close()
	for timed := false; ; {
		if within := r.midResponse(); within {
			c.netConn.SetReadDeadline(time.Now().Add(span(c.endpoint.pool.timeouts.ReadStall)))
			timed = true
		} else if timed {
			c.netConn.SetReadDeadline(time.Time{})
			timed = false
		}
		buf := small
		if r.bodyLeft > len(small) {
			buf = pool.Get()
		}
		n, err := c.netConn.Read(buf)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = errStalled
			c.endpoint.pool.logBadResponse(c.endpoint.address, err)
		}
		if n > 0 {
			c.lastRead.Store(time.Now().UnixNano())
			if bad := r.parse(buf[:n]); bad != nil {
				err = bad
				c.endpoint.pool.logBadResponse(c.endpoint.address, err)
			}
		}
		if len(buf) > len(small) {
			pool.Put(buf)
		}
		if err != nil {
			c.endpoint.mu.Lock()
			c.close(err)
			c.endpoint.mu.Unlock()
			return
		}
	}
}

func (c *conn) responseStarted(id string) bool {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	l := c.attempts[id]
	if l != nil {
		l.stage = ResponseStarted
		return true
	}
	if c.unsolicited++; c.unsolicited >= maxUnsolicited {
		c.retired = true
		c.closeIfUnused()
	}
	return false
}

func (c *conn) responseEnded(id string, a Response, err error) error {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	l := c.attempts[id]
	if l == nil { // given up while its body came
		a.Body.Free()
		return nil
	}
	if a.Status == StatusUnchanged && l.request.ClientTag == "" {
		return errors.New("an unchanged copy where none is held")
	}
	if err != nil {
		err = &Error{ResponseStarted, false, err}
	}
	c.finish(l, a, err)
	c.lastUsed = time.Now()
	c.closeIfUnused()
	return nil
}

// awaitConfirmation waits for the node's word that it heard of a pull's giving up. The caller holds the lock.
func (c *conn) awaitConfirmation(l *Attempt) {
	c.unconfirmed = append(c.unconfirmed, l)
	time.AfterFunc(span(c.endpoint.pool.timeouts.CancelConfirm), func() {
		c.endpoint.mu.Lock()
		defer c.endpoint.mu.Unlock()
		if !l.finished {
			c.reset()
		}
	})
}

// probeAnswered takes the node's word.
func (c *conn) probeAnswered(tag string) {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	for i, l := range c.unconfirmed {
		if l.request.ID == tag {
			c.unconfirmed = append(c.unconfirmed[:i], c.unconfirmed[i+1:]...)
			c.finish(l, Response{}, &Error{l.stage, true, errCancelled})
			c.closeIfUnused()
			return
		}
	}
}

// closeIfUnused closes a connection that is to have no further requests and has none open. The caller holds the lock.
func (c *conn) closeIfUnused() {
	if (c.retired || c.endpoint.closing) && len(c.attempts) == 0 && len(c.queue) == 0 {
		c.close(errCancelled)
	}
}

// withdraw takes the requests out of what is not written yet and ends them, where they no longer stand, or all of them. What
// gives others up stays in, and so does what the node has begun to get: from is where that ends.
func (c *conn) withdraw(queue []message, out []byte, ends []int, from int, all bool) []byte {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	kept, begin := out[:0], 0
	for i, it := range queue {
		part := out[begin:ends[i]]
		begun := begin < from
		begin = ends[i]
		if it.attempt != nil && !it.isCancel && !begun && len(part) > 0 && (all || it.attempt.cancelled || it.attempt.withdrawn()) {
			err := error(ErrWithdrawn)
			if it.attempt.cancelled {
				err = errCancelled
			}
			it.attempt.stage = NothingWritten
			c.finish(it.attempt, Response{}, &Error{NothingWritten, it.attempt.cancelled, err})
			queue[i].attempt, part = nil, nil
		}
		kept = append(kept, part...)
		ends[i] = len(kept)
	}
	return kept
}

// flush writes, and looks anew at what waits behind a node that is slow to take bytes: an attempt that no longer stands is not
// begun. It says how many bytes of what is left in out were written.
func (c *conn) flush(queue []message, out []byte, ends []int) (left []byte, n int, err error) {
	// As late as can be: a pause of the process between decision and writing is none between this and the next line.
	if !c.endpoint.pool.mayWrite() {
		out = c.withdraw(queue, out, ends, 0, true)
	}
	step := span(c.endpoint.pool.timeouts.Connect)
	if late := span(c.endpoint.pool.timeouts.MaxDecisionAge); late > 0 {
		step = min(step, late)
	}
	for until := time.Now().Add(span(c.endpoint.pool.timeouts.Connect)); ; {
		c.netConn.SetWriteDeadline(time.Now().Add(step))
		wrote := 0
		wrote, err = c.netConn.Write(out[n:])
		if n += wrote; err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(until) {
			return out, n, err
		}
		out = c.withdraw(queue, out, ends, n, !c.endpoint.pool.mayWrite())
	}
}

// writeLoop passes requests on until the connection ends.
func (c *conn) writeLoop() {
	var ends []int
	small := make([]byte, writeBufferSize)
	for range c.wake {
		c.endpoint.mu.Lock()
		if c.closed {
			c.endpoint.mu.Unlock()
			return
		}
		queue := c.queue
		if len(queue) == 0 {
			c.endpoint.mu.Unlock()
			continue
		}
		// The node may have closed it while it rested, which its reader has not seen yet: what is written then is lost, and may
		// have run for all that is known. It goes over another.
		if _, end := socket.PendingInput(c.netConn); end && queue[0].attempt.stage == NothingWritten {
			c.close(io.EOF)
			c.endpoint.mu.Unlock()
			return
		}
		buf := small
		if queue[0].attempt.maxSize > len(small) {
			buf = c.endpoint.pool.buffers.Get()
		}
		out := buf[:0]
		ends = ends[:0]
		for i, it := range queue {
			if len(out)+it.attempt.maxSize > len(buf) {
				queue = queue[:i]
				c.wakeWriter()
				break
			}
			switch {
			case it.isCancel && it.attempt.stage == NothingWritten: // the node has not heard of it
				c.finish(it.attempt, Response{}, &Error{NothingWritten, true, errCancelled})
			case it.isCancel:
				if !it.attempt.finished {
					out = appendCancel(out, it.attempt.request.ID)
				}
				if !it.attempt.finished && it.attempt.confirm {
					out = appendProbe(out, it.attempt.request.ID)
					c.awaitConfirmation(it.attempt)
				}
			case it.attempt.cancelled || it.attempt.finished:
				queue[i].attempt = nil
			case it.attempt.withdrawn():
				c.finish(it.attempt, Response{}, &Error{NothingWritten, false, ErrWithdrawn})
				queue[i].attempt = nil
			default:
				out = appendRequest(out, &it.attempt.request)
				it.attempt.stage, it.attempt.sentAt = WhollyWritten, time.Now() // the node may act before it is known
			}
			ends = append(ends, len(out))
		}
		c.queue = c.queue[len(queue):]
		c.endpoint.mu.Unlock()
		out, n, err := c.flush(queue, out, ends)
		if len(buf) > len(small) {
			c.endpoint.pool.buffers.Put(buf)
		}
		c.endpoint.mu.Lock()
		from := 0
		for i, it := range queue {
			switch l := it.attempt; {
			case l == nil || l.finished:
			case it.isCancel && n >= ends[i]:
				c.cancelledIDs[l.request.ID] = true
				c.retired = c.retired || len(c.cancelledIDs) >= maxCancelledIDs
				if l.confirm {
					break
				}
				c.finish(l, Response{}, &Error{l.stage, true, errCancelled})
			case it.isCancel:
			case n <= from && ends[i] > from:
				l.stage = NothingWritten
			case n < ends[i]:
				l.stage = PartlyWritten
			}
			from = ends[i]
		}
		if err != nil {
			c.close(err)
		}
		c.closeIfUnused()
		c.endpoint.mu.Unlock()
	}
}

func span(t policy.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
