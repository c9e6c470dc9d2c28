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
	AnswerBegun
)

var stages = [...]string{"not connected", "nothing written", "partly written", "wholly written", "answer begun"}

func (s Stage) String() string { return stages[s] }

// Error is a pull's end without an answer.
type Error struct {
	Stage  Stage
	GaveUp bool // it was given up from this side
	Err    error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Err) }
func (e *Error) Unwrap() error { return e.Err }

var (
	errGaveUp  = errors.New("given up")
	errSilent  = errors.New("silent")
	errStalled = errors.New("stalled in an answer")

	// ErrNoRoom ends a pull for which no connection could be had within the limit.
	ErrNoRoom = errors.New("no connection is free")
	// ErrRecalled ends a pull that was not written yet when its node or source was shunned, or it no longer stood.
	ErrRecalled = errors.New("recalled")
)

const (
	mostOld    = 256     // ids given up on a connection before it is replaced
	mostStray  = 16      // answers that nobody asked for
	smallRead  = 4 << 10 // what is read at once but for bodies
	smallWrite = 2 << 10 // what is written at once but for clients' writes
)

// Fleet is what all nodes' connections have in common.
type Fleet struct {
	pool    *bufpool.Pool
	margins policy.Timeouts
	most    atomic.Int64 // connections that may be held
	held    atomic.Int64 // or are on their way
	done    chan struct{}
	sound   func() bool
	mu      sync.Mutex
	peers   map[*Peer]struct{}
	faults  int       // of nodes, since one was logged
	logged  time.Time // when
}

// New makes a fleet of at most so many connections.
func New(p *bufpool.Pool, m policy.Timeouts, most int) *Fleet {
	f := &Fleet{
		pool: p, margins: m, done: make(chan struct{}), peers: map[*Peer]struct{}{}, sound: func() bool { return true },
	}
	f.Limit(most)
	go f.tidy()
	return f
}

// Firsts is how many more may be held by nodes that have no other, where all that may be are in use.
func Firsts(most int64) int64 { return max(1, most/4) }

// Limit sets how many connections may be held when another is opened.
func (f *Fleet) Limit(most int) { f.most.Store(int64(most)) }

// Heed has nothing written while sound says that what it was decided on may be out of date; before the first peer.
func (f *Fleet) Heed(sound func() bool) { f.sound = sound }

// Close ends all connections.
func (f *Fleet) Close() {
	close(f.done)
	f.each(func(p *Peer) { p.sweep(func(*conn) bool { return true }) })
}

// Question asks a node once whether it is there, over a connection of its own, and waits for its word.
func (f *Fleet) Question(addr string) error {
	defer f.held.Add(-1)
	if f.held.Add(1) > f.most.Load() {
		return ErrNoRoom
	}
	nc, err := net.DialTimeout("tcp4", addr, span(f.margins.Connect))
	if err != nil {
		return &Error{NotConnected, false, err}
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(span(f.margins.Connect)))
	if _, err := nc.Write(appendThere(nil, question)); err != nil {
		return &Error{NothingWritten, false, err}
	}
	heard := false
	r := reader{
		pool: f.pool, begun: func(string) bool { return false }, ended: func(string, Answer, error) error { return nil },
		there: func(string) { heard = true },
	}
	defer r.close()
	for buf := make([]byte, smallRead); !heard; {
		n, err := nc.Read(buf)
		if err == nil {
			err = r.feed(buf[:n])
		}
		if err != nil {
			return &Error{WhollyWritten, false, err}
		}
	}
	return nil
}

const question = "1" // the only tag on its connection

// Conns is how many connections are held or on their way.
func (f *Fleet) Conns() int { return int(f.held.Load()) }

func (f *Fleet) each(do func(*Peer)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.peers {
		do(p)
	}
}

// fault logs an answer that can't be trusted: a line at a time, with the number of those that went without.
func (f *Fleet) fault(addr string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults++; time.Since(f.logged) < span(f.margins.Connect) {
		return
	}
	slog.Warn("bad_answer", "node", addr, "err", err, "faults", f.faults)
	f.faults, f.logged = 0, time.Now()
}

// tidy closes connections that were not used for long, before the nodes do.
func (f *Fleet) tidy() {
	idle := span(f.margins.Idle)
	tick := time.NewTicker(idle / 8)
	defer tick.Stop()
	for {
		select {
		case <-f.done:
			return
		case now := <-tick.C:
			f.each(func(p *Peer) {
				p.sweep(func(c *conn) bool { return len(c.open) == 0 && now.Sub(c.used) > idle })
			})
		}
	}
}

// Peer is one process of a node, at its address.
type Peer struct {
	f     *Fleet
	addr  string
	mu    sync.Mutex
	conns []*conn
	gone  bool
	shun  atomic.Bool // nothing new goes to it, and no fill is asked of it
}

// Shun says whether anything new may still be written to it, or name it as a source.
func (p *Peer) Shun(shun bool) { p.shun.Store(shun) }

// recalled says whether a pull that waits to be written must not be.
func (l *Pull) recalled() bool {
	w := &l.want
	return l.peer.shun.Load() || w.Source != nil && w.Source.shun.Load() || w.Void != nil && w.Void()
}

// Peer makes one; no connection is opened yet.
func (f *Fleet) Peer(addr string) *Peer {
	p := &Peer{f: f, addr: addr}
	f.mu.Lock()
	f.peers[p] = struct{}{}
	f.mu.Unlock()
	return p
}

// Leave closes the connections as soon as nothing is open on them.
func (p *Peer) Leave() {
	p.f.mu.Lock()
	delete(p.f.peers, p)
	p.f.mu.Unlock()
	p.shun.Store(true)
	p.mu.Lock()
	p.gone = true
	p.mu.Unlock()
	p.sweep(func(c *conn) bool { return len(c.open) == 0 })
}

// sweep closes the connections for which the test holds.
func (p *Peer) sweep(test func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range append([]*conn(nil), p.conns...) {
		if test(c) {
			c.end(errGaveUp)
		}
	}
}

// Pull is one request to a node.
type Pull struct {
	want   Want
	done   func(Answer, error)
	peer   *Peer
	before []*Pull // of the same download: it goes over none of their connections
	size   int     // of what is written for it, at the most
	// guarded by the peer's lock
	conn   *conn
	sent   time.Time // when it was last known not to be written
	stage  Stage
	gaveUp bool
	sure   bool
	moved  bool // to another connection, when the first ended before the request was written
	over   bool
}

// Send sends a request and never waits. Done is called once, with the answer or an *Error; it must not wait nor call back. The request goes over none of the connections that pulls before it went over: an answer of theirs that is
// late, or comes twice, would be taken for its own.
func (p *Peer) Send(w Want, done func(Answer, error), before ...*Pull) *Pull {
	pull := &Pull{want: w, done: done, peer: p, before: before, size: longestHead + w.Body.Len(), sent: time.Now()}
	p.f.makeRoom(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.put(pull) {
		pull.over = true
		done(Answer{}, &Error{NotConnected, false, ErrNoRoom})
	}
	return pull
}

// put queues a request on a connection; false where there is none. The caller holds the lock.
func (p *Peer) put(l *Pull) bool {
	c := p.choose(l)
	if c == nil {
		return false
	}
	if l.conn, l.stage = c, NotConnected; c.nc != nil {
		l.stage = NothingWritten
	}
	c.open[l.want.ID], c.used = l, l.sent
	c.queue = append(c.queue, item{pull: l})
	c.signal()
	return true
}

// choose takes the connection with the fewest open requests, one that is up before one that is not, or opens
// another where all have their share. One on which the id was given up is left out too.
func (p *Peer) choose(l *Pull) *conn {
	var best *conn
	for _, c := range p.conns {
		if !c.takes(l) {
			continue
		}
		if best == nil || c.rank() < best.rank() || c.rank() == best.rank() && len(c.open) < len(best.open) {
			best = c
		}
	}
	if best != nil && len(best.open) < p.f.margins.PreferredStreams {
		return best
	}
	most := p.f.most.Load()
	if len(p.conns) == 0 {
		most += Firsts(most)
	}
	if p.f.held.Add(1) > most {
		p.f.held.Add(-1)
		return best
	}
	c := &conn{p: p, open: map[string]*Pull{}, old: map[string]bool{}, wake: make(chan struct{}, 1), used: time.Now()}
	p.conns = append(p.conns, c)
	go c.run()
	return c
}

// takes says whether a pull may go over a connection. The caller holds the lock.
func (c *conn) takes(l *Pull) bool {
	return !c.retired && c.open[l.want.ID] == nil && !c.old[l.want.ID] && len(c.open) < c.p.f.margins.MaxStreams &&
		!slices.ContainsFunc(l.before, func(b *Pull) bool { return b.peer == c.p && b.conn == c })
}

// makeRoom closes the connection that has rested longest, of any node, where as many are held as may be and this one has none
// that rests: so each node gets its first within the limit, however many there are.
func (f *Fleet) makeRoom(p *Peer) {
	if f.held.Load() < f.most.Load() {
		return
	}
	p.mu.Lock()
	rests := slices.ContainsFunc(p.conns, func(c *conn) bool { return !c.retired && len(c.open) == 0 })
	p.mu.Unlock()
	if rests {
		return
	}
	var oldest *conn
	var used time.Time
	f.each(func(q *Peer) {
		q.mu.Lock()
		defer q.mu.Unlock()
		for _, c := range q.conns {
			if c.rests() && (oldest == nil || c.used.Before(used)) {
				oldest, used = c, c.used
			}
		}
	})
	if oldest == nil {
		return
	}
	oldest.p.mu.Lock()
	if oldest.rests() {
		oldest.release()
		oldest.end(errGaveUp)
	}
	oldest.p.mu.Unlock()
}

// release gives the connection's place free, once. The caller holds the lock.
func (c *conn) release() {
	if !c.freed {
		c.freed = true
		c.p.f.held.Add(-1)
	}
}

// rests says whether a connection is up and nothing is open on it. The caller holds the lock.
func (c *conn) rests() bool { return !c.dead && c.nc != nil && len(c.open) == 0 && len(c.queue) == 0 }

// GiveUp tells the node to drop the request. Done is called all the same, once the node has been told, unless
// an answer comes first.
//
// A silent node would not hear it, and what it had taken would stay out. So where another pull may follow, the end is
// sure: if nothing has come since the request was written, the connection is reset, which gives up all that is open on
// it, and so it is where nothing else is open; else the node is asked whether it is there, and Done waits for its word,
// or for a reset when that does not come.
func (l *Pull) GiveUp(sure bool) {
	if l.peer == nil {
		return
	}
	l.peer.mu.Lock()
	defer l.peer.mu.Unlock()
	if l.over || l.gaveUp {
		return
	}
	c := l.conn
	l.gaveUp = true
	if l.stage == NotConnected {
		c.over(l, Answer{}, &Error{NotConnected, true, errGaveUp})
		return
	}
	l.sure = sure
	if sure && (c.heard.Load() < l.sent.UnixNano() || len(c.open) == 1) {
		c.reset()
		return
	}
	if c.heard.Load() < l.sent.UnixNano() {
		c.retired = c.retired || time.Since(l.sent) >= span(c.p.f.margins.Connect) // what follows goes over another
	}
	c.queue = append(c.queue, item{pull: l, never: true})
	c.signal()
}

// conn is one connection; the peer's lock guards it.
type conn struct {
	p       *Peer
	nc      net.Conn // nil until it is up
	open    map[string]*Pull
	old     map[string]bool // ids given up here, of which an answer may still come; emptied with the connection
	asked   []*Pull         // given up, in the order in which the node was asked whether it is there
	queue   []item
	wake    chan struct{}
	heard   atomic.Int64 // when, as Unix nanoseconds
	used    time.Time
	retired bool
	dead    bool
	freed   bool // its place is another's
	strays  int  // answers that nobody asked for: some bring more than belongs to them, but not without end
}

// rank says which connection is better, the lower the better.
func (c *conn) rank() (rank int) {
	if len(c.open) >= c.p.f.margins.PreferredStreams {
		rank = 2
	}
	if c.nc == nil {
		rank++
	}
	return rank
}

// item is a request or its giving up, to be written.
type item struct {
	pull  *Pull
	never bool
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// over ends a pull. The caller holds the lock.
func (c *conn) over(l *Pull, a Answer, err error) {
	if l.over {
		return
	}
	l.over = true
	delete(c.open, l.want.ID)
	l.done(a, err)
}

// end closes the connection; what is open on it fails. The caller holds the lock.
func (c *conn) end(err error) {
	if c.dead {
		return
	}
	c.dead = true
	for i, o := range c.p.conns {
		if o == c {
			c.p.conns = append(c.p.conns[:i], c.p.conns[i+1:]...)
			break
		}
	}
	closed := c.nc != nil && err != errGaveUp && err != errSilent && !errors.Is(err, os.ErrDeadlineExceeded) ||
		errors.Is(err, syscall.ECONNRESET) // also while it came up
	for id, l := range c.open {
		delete(c.open, id)
		// The node closed the connection before it had the request, which goes over another, once.
		if closed && l.stage < WhollyWritten && !l.gaveUp && !l.moved && !c.p.gone && !l.recalled() {
			if l.moved = true; c.p.put(l) {
				continue
			}
		}
		c.over(l, Answer{}, &Error{l.stage, l.gaveUp, err})
	}
	if c.nc != nil {
		c.nc.Close()
	}
	c.signal()
}

// reset closes the connection without a word more. The caller holds the lock.
func (c *conn) reset() {
	if half, ok := c.nc.(*net.TCPConn); ok {
		half.SetLinger(0)
	}
	c.end(errSilent)
}

// run opens the connection and holds it to its end.
func (c *conn) run() {
	defer func() {
		c.p.mu.Lock()
		c.release()
		c.p.mu.Unlock()
	}()
	nc, err := net.DialTimeout("tcp4", c.p.addr, span(c.p.f.margins.Connect))
	c.p.mu.Lock()
	if err != nil || c.dead {
		if err == nil {
			nc.Close()
		}
		c.end(err)
		c.p.mu.Unlock()
		return
	}
	c.nc = nc
	c.heard.Store(time.Now().UnixNano())
	for _, l := range c.open {
		l.stage = NothingWritten
	}
	c.p.mu.Unlock()
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
}

// caught ends the connection alone where its goroutine panicked.
func (c *conn) caught() {
	if bad := recover(); bad != nil {
		slog.Error("panic", "where", "back", "node", c.p.addr, "err", bad, "stack", string(debug.Stack()))
		c.p.mu.Lock()
		c.end(fmt.Errorf("panic: %v", bad))
		c.p.mu.Unlock()
	}
}

// read takes answers in.
func (c *conn) read() {
	small, pool := make([]byte, smallRead), c.p.f.pool
	r := reader{pool: pool, begun: c.begun, ended: c.ended, there: c.there}
	defer r.close()
	for timed := false; ; {
		if within := r.within(); within {
			c.nc.SetReadDeadline(time.Now().Add(span(c.p.f.margins.ReadStall)))
			timed = true
		} else if timed {
			c.nc.SetReadDeadline(time.Time{})
			timed = false
		}
		buf := small
		if r.left > len(small) {
			buf = pool.Get()
		}
		n, err := c.nc.Read(buf)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = errStalled
			c.p.f.fault(c.p.addr, err)
		}
		if n > 0 {
			c.heard.Store(time.Now().UnixNano())
			if bad := r.feed(buf[:n]); bad != nil {
				err = bad
				c.p.f.fault(c.p.addr, err)
			}
		}
		if len(buf) > len(small) {
			pool.Put(buf)
		}
		if err != nil {
			c.p.mu.Lock()
			c.end(err)
			c.p.mu.Unlock()
			return
		}
	}
}

func (c *conn) begun(id string) bool {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	l := c.open[id]
	if l != nil {
		l.stage = AnswerBegun
		return true
	}
	if c.strays++; c.strays >= mostStray {
		c.retired = true
		c.leave()
	}
	return false
}

func (c *conn) ended(id string, a Answer, err error) error {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	l := c.open[id]
	if l == nil { // given up while its body came
		a.Body.Free()
		return nil
	}
	if a.Word == Unchanged && l.want.Seen == "" {
		return errors.New("an unchanged copy where none is held")
	}
	if err != nil {
		err = &Error{AnswerBegun, false, err}
	}
	c.over(l, a, err)
	c.used = time.Now()
	c.leave()
	return nil
}

// ask waits for the node's word that it heard of a pull's giving up. The caller holds the lock.
func (c *conn) ask(l *Pull) {
	c.asked = append(c.asked, l)
	time.AfterFunc(span(c.p.f.margins.CancelConfirm), func() {
		c.p.mu.Lock()
		defer c.p.mu.Unlock()
		if !l.over {
			c.reset()
		}
	})
}

// there takes the node's word.
func (c *conn) there(tag string) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	for i, l := range c.asked {
		if l.want.ID == tag {
			c.asked = append(c.asked[:i], c.asked[i+1:]...)
			c.over(l, Answer{}, &Error{l.stage, true, errGaveUp})
			c.leave()
			return
		}
	}
}

// leave closes a connection that is to have no further requests and has none open. The caller holds the lock.
func (c *conn) leave() {
	if (c.retired || c.p.gone) && len(c.open) == 0 && len(c.queue) == 0 {
		c.end(errGaveUp)
	}
}

// recall takes the requests out of what is not written yet and ends them, where they no longer stand, or all of them. What
// gives others up stays in, and so does what the node has begun to get: from is where that ends.
func (c *conn) recall(queue []item, out []byte, ends []int, from int, all bool) []byte {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	kept, begin := out[:0], 0
	for i, it := range queue {
		part := out[begin:ends[i]]
		begun := begin < from
		begin = ends[i]
		if it.pull != nil && !it.never && !begun && len(part) > 0 && (all || it.pull.gaveUp || it.pull.recalled()) {
			err := error(ErrRecalled)
			if it.pull.gaveUp {
				err = errGaveUp
			}
			it.pull.stage = NothingWritten
			c.over(it.pull, Answer{}, &Error{NothingWritten, it.pull.gaveUp, err})
			queue[i].pull, part = nil, nil
		}
		kept = append(kept, part...)
		ends[i] = len(kept)
	}
	return kept
}

// send writes, and looks anew at what waits behind a node that is slow to take bytes: an attempt that no longer stands is not
// begun. It says how many bytes of what is left in out were written.
func (c *conn) send(queue []item, out []byte, ends []int) (left []byte, n int, err error) {
	// As late as can be: a pause of the process between decision and writing is none between this and the next line.
	if !c.p.f.sound() {
		out = c.recall(queue, out, ends, 0, true)
	}
	step := span(c.p.f.margins.Connect)
	if late := span(c.p.f.margins.MaxDecisionAge); late > 0 {
		step = min(step, late)
	}
	for until := time.Now().Add(span(c.p.f.margins.Connect)); ; {
		c.nc.SetWriteDeadline(time.Now().Add(step))
		wrote := 0
		wrote, err = c.nc.Write(out[n:])
		if n += wrote; err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(until) {
			return out, n, err
		}
		out = c.recall(queue, out, ends, n, !c.p.f.sound())
	}
}

// write passes requests on until the connection ends.
func (c *conn) write() {
	var ends []int
	small := make([]byte, smallWrite)
	for range c.wake {
		c.p.mu.Lock()
		if c.dead {
			c.p.mu.Unlock()
			return
		}
		queue := c.queue
		if len(queue) == 0 {
			c.p.mu.Unlock()
			continue
		}
		// The node may have closed it while it rested, which its reader has not seen yet: what is written then is lost, and may
		// have run for all that is known. It goes over another.
		if _, end := socket.Unread(c.nc); end && queue[0].pull.stage == NothingWritten {
			c.end(io.EOF)
			c.p.mu.Unlock()
			return
		}
		buf := small
		if queue[0].pull.size > len(small) {
			buf = c.p.f.pool.Get()
		}
		out := buf[:0]
		ends = ends[:0]
		for i, it := range queue {
			if len(out)+it.pull.size > len(buf) {
				queue = queue[:i]
				c.signal()
				break
			}
			switch {
			case it.never && it.pull.stage == NothingWritten: // the node has not heard of it
				c.over(it.pull, Answer{}, &Error{NothingWritten, true, errGaveUp})
			case it.never:
				if !it.pull.over {
					out = appendNeverMind(out, it.pull.want.ID)
				}
				if !it.pull.over && it.pull.sure {
					out = appendThere(out, it.pull.want.ID)
					c.ask(it.pull)
				}
			case it.pull.gaveUp || it.pull.over:
				queue[i].pull = nil
			case it.pull.recalled():
				c.over(it.pull, Answer{}, &Error{NothingWritten, false, ErrRecalled})
				queue[i].pull = nil
			default:
				out = appendWant(out, &it.pull.want)
				it.pull.stage, it.pull.sent = WhollyWritten, time.Now() // the node may act before it is known
			}
			ends = append(ends, len(out))
		}
		c.queue = c.queue[len(queue):]
		c.p.mu.Unlock()
		out, n, err := c.send(queue, out, ends)
		if len(buf) > len(small) {
			c.p.f.pool.Put(buf)
		}
		c.p.mu.Lock()
		from := 0
		for i, it := range queue {
			switch l := it.pull; {
			case l == nil || l.over:
			case it.never && n >= ends[i]:
				c.old[l.want.ID] = true
				c.retired = c.retired || len(c.old) >= mostOld
				if l.sure {
					break
				}
				c.over(l, Answer{}, &Error{l.stage, true, errGaveUp})
			case it.never:
			case n <= from && ends[i] > from:
				l.stage = NothingWritten
			case n < ends[i]:
				l.stage = PartlyWritten
			}
			from = ends[i]
		}
		if err != nil {
			c.end(err)
		}
		c.leave()
		c.p.mu.Unlock()
	}
}

func span(t policy.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
