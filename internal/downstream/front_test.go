package downstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/config"
	"tallyproxy/policy"
)

// sink hands on what a server's connections say.
type sink struct {
	asks   chan asked
	closed chan *Conn
	never  chan uint64
}

type asked struct {
	c   *Conn
	tag uint64
	ask Request
}

func (s sink) HandleRequest(c *Conn, tag uint64, a Request) { s.asks <- asked{c, tag, a} }
func (s sink) HandleCancel(_ *Conn, tag uint64)             { s.never <- tag }
func (s sink) ConnClosed(c *Conn)                           { s.closed <- c }
func (s sink) ConnOpened(*Conn)                             {}
func (s sink) next(t *testing.T, tag uint64) *Conn          { return s.at(t, tag).c }
func (s sink) at(t *testing.T, tag uint64) (a asked) {
	t.Helper()
	if a = get(t, s.asks); a.tag != tag {
		t.Fatalf("asked for tag %d, want %d", a.tag, tag)
	}
	return a
}

// get waits for what a channel brings.
func get[T any](t *testing.T, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing came")
	}
	return v
}

// eventually waits until a state holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal(what)
		}
	}
}

var site = config.Site{
	TypeNames: []string{"segment", "cover"},
	Settings: policy.Settings{ContentTypes: []*policy.ContentType{
		{Timeout: 2 * policy.Second}, {Timeout: 2 * policy.Second, RetrySafety: policy.IdempotentWithKey, Unsplit: true},
	}},
}

type bed struct {
	*Server
	sink
	pool *bufpool.Pool
	addr string
}

func serve(t *testing.T, conns, buffers int, flush time.Duration, change ...func(*policy.Timeouts)) *bed {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{pool: bufpool.New(buffers), addr: l.Addr().String()}
	b.sink = sink{make(chan asked, 64), make(chan *Conn, 64), make(chan uint64, 64)}
	m := policy.Timeouts{
		WriteFlush: policy.Micros(flush.Microseconds()), Connect: policy.Second, PollRetry: policy.Second / 20,
		RequestRead: 20 * policy.Second, DownstreamIdle: 20 * policy.Second, DefaultRetryAfter: 70_000,
	}
	for _, to := range change {
		to(&m)
	}
	b.Server = New([]Handler{b.sink}, site, b.pool, conns, m)
	go b.Serve(l)
	t.Cleanup(func() {
		l.Close()
		b.Server.mu.Lock()
		for c := range b.Server.conns {
			c.nc.Close()
		}
		b.Server.mu.Unlock()
		eventually(t, "connections are left", func() bool { return b.ConnCount() == 0 })
		if out, _ := b.pool.InUse(); out != 0 {
			t.Errorf("%d buffers are still out", out)
		}
	})
	return b
}

type client struct {
	net.Conn
	in *bufio.Reader
}

func (b *bed) dial(t *testing.T) client {
	nc, err := net.Dial("tcp", b.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	return client{nc, bufio.NewReader(nc)}
}

// answer reads one answer, as its words.
func (c client) answer(t *testing.T) string {
	t.Helper()
	var n, size int
	if _, err := fmt.Fscanf(c.in, "*%d\r\n", &n); err != nil {
		t.Fatal(err)
	}
	var words []string
	for range n {
		if _, err := fmt.Fscanf(c.in, "$%d\r\n", &size); err != nil {
			t.Fatal(err)
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(c.in, word); err != nil {
			t.Fatal(err)
		}
		words = append(words, string(word[:size]))
	}
	return strings.Join(words, " ")
}

func (b *bed) body(size int) *bufpool.Body {
	body := b.pool.NewBody(0)
	body.Append(bytes.Repeat([]byte("x"), size))
	return body
}

func ask(tag string) []byte { return frame("ASK", tag, "segment", fields) }

func TestAnswers(t *testing.T) {
	b := serve(t, 8, 64, 10*time.Second)
	c := b.dial(t)
	c.Write(bytes.Join([][]byte{frame("STATUS", "1", ""), ask("2"), ask("3"), ask("4"), ask("5"), ask("6")}, nil))
	if got := c.answer(t); got != "1 serving  " {
		t.Errorf("got %q", got)
	}
	conn := b.next(t, 2)
	for tag := uint64(3); tag < 7; tag++ {
		b.next(t, tag)
	}
	for _, x := range []struct {
		do   func()
		want string
	}{
		{func() { conn.Succeed(6, b.body(3), false) }, "6 200  xxx"}, // in any order
		{func() { conn.Succeed(2, nil, true) }, "2 200 still=1 "},
		{func() { conn.Reject(3, 250*time.Millisecond) }, "3 503 later=250 "},
		{func() { conn.Reject(4, 0) }, "4 503  "},
		{func() { conn.Fail(4); conn.Fail(5) }, "5 500  "}, // a second answer to 4 is not passed on
		{func() { c.Write(frame("SING", "9")) }, "9 500  "},
		{func() { c.Write(frame("ASK", "10", "segment", "txn=1")) }, "10 500  "},
		{func() { b.SetNotServing(); c.Write(frame("STATUS", "11")) }, "11 not_serving  "},
	} {
		x.do()
		if got := c.answer(t); got != x.want {
			t.Errorf("got %q, want %q", got, x.want)
		}
	}
}

func TestTagsAndCounts(t *testing.T) {
	b := serve(t, 8, 64, 10*time.Second)
	c := b.dial(t)
	c.Write(append(ask("1"), ask("1")...)) // the second use gets no answer of its own
	conn := b.next(t, 1)
	for tag := 2; tag <= mostOpen+1; tag++ {
		c.Write(ask(fmt.Sprint(tag)))
	}
	if got := c.answer(t); got != fmt.Sprint(mostOpen+1, " 503 later=70 ") {
		t.Errorf("beyond %d open: %q", mostOpen, got)
	}
	c.Write(frame("NEVERMIND", "2"))
	if tag := get(t, b.never); tag != 2 {
		t.Errorf("gave up %d", tag)
	}
	conn.Fail(2) // no answer is owed any more
	conn.Fail(1)
	if got := c.answer(t); got != "1 500  " {
		t.Errorf("got %q", got)
	}
}

func TestMalformedFrameAfterRequests(t *testing.T) {
	b := serve(t, 8, 64, 10*time.Second)
	c, other := b.dial(t), b.dial(t)
	c.Write(append(ask("1"), "rubbish\r\n"...))
	conn := b.next(t, 1)
	conn.Succeed(1, b.body(100_000), false)
	if got := c.answer(t); !strings.HasPrefix(got, "1 200  xxx") {
		t.Errorf("got %.20q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the answer: %v, want the end", err)
	}
	other.Write(frame("STATUS", "1"))
	if got := other.answer(t); got != "1 serving  " {
		t.Errorf("another connection got %q", got)
	}
}

func TestHangUpWithRequestsOpen(t *testing.T) {
	b := serve(t, 8, 64, 10*time.Second)
	c := b.dial(t)
	c.Write(append(ask("1"), ask("2")...))
	conn := b.next(t, 1)
	c.Close()
	if get(t, b.closed) != conn {
		t.Error("another connection was reported")
	}
	conn.Succeed(1, b.body(100_000), false) // its buffers go back, as the clean-up checks
}

// A client that reads nothing is left after a while, or when it holds too much; others are served meanwhile.
func TestClientThatReadsNothing(t *testing.T) {
	cases := []struct {
		name    string
		buffers int
		flush   time.Duration
	}{{"too long", 4096, 50 * time.Millisecond}, {"too much", 64, time.Hour}}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			b := serve(t, 8, x.buffers, x.flush)
			c, other := b.dial(t), b.dial(t)
			closed := false
			for tag := 1; !closed && tag < 1000; tag++ {
				c.Write(ask(fmt.Sprint(tag)))
				select {
				case a := <-b.asks:
					a.c.Succeed(a.tag, b.body(240_000), false)
				case <-b.closed:
					closed = true
				}
				if tag == 3 { // much is waiting by now
					other.Write(ask("1"))
					b.next(t, 1).Succeed(1, b.body(240_000), false)
					if got := other.answer(t); len(got) != len("1 200  ")+240_000 {
						t.Errorf("another client got %.20q", got)
					}
				}
			}
			if !closed {
				t.Error("it was never left")
			}
		})
	}
}

// With all its connections in use a server takes a further one once one of them is idle.
func TestConnectionsUsedUp(t *testing.T) {
	b := serve(t, 2, 64, 10*time.Second)
	c1, c2 := b.dial(t), b.dial(t)
	c1.Write(ask("1"))
	conn := b.next(t, 1)
	c2.Write(ask("2"))
	b.next(t, 2).Fail(2)
	c2.answer(t)
	c3 := b.dial(t)
	c3.Write(ask("3"))
	if _, err := c2.in.ReadByte(); err != io.EOF {
		t.Errorf("the idle one was not closed: %v", err)
	}
	c2.Close()
	b.next(t, 3).Fail(3)
	conn.Fail(1)
	if a, b := c1.answer(t), c3.answer(t); a != "1 500  " || b != "3 500  " {
		t.Errorf("got %q and %q", a, b)
	}
}

// What comes is checked whole; the rest of the connection goes on, up to a number of faults.
func TestUnusable(t *testing.T) {
	b := serve(t, 8, 64, 10*time.Second)
	c := b.dial(t)
	for tag := 1; tag < mostOpen; tag++ {
		c.Write(frame("ASK", fmt.Sprint(tag), "song", fields))
		if got := c.answer(t); got != fmt.Sprint(tag, " 500  ") {
			t.Fatalf("got %q", got)
		}
	}
	c.Write(ask("90"))
	b.next(t, 90).Fail(90)
	c.answer(t)
	c.Write(append(frame("ASK", "91", "song", fields), ask("92")...))
	if got := c.answer(t); got != "91 500  " {
		t.Errorf("got %q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF || len(b.asks) != 0 {
		t.Errorf("after too many faults: %v, %d asked for", err, len(b.asks))
	}
	d := b.dial(t) // 60 MB that never come: the head is enough
	fmt.Fprint(d, "*5\r\n$3\r\nASK\r\n$1\r\n7\r\n$7\r\nsegment\r\n$1\r\nx\r\n$60000000\r\n")
	if got := d.answer(t); got != "7 500  " {
		t.Errorf("got %q", got)
	}
	if _, err := d.in.ReadByte(); err != io.EOF {
		t.Errorf("after 60 MB: %v, want the end", err)
	}
}

// Connections without a whole message, and those that rest, are closed; one with a request open is not.
func TestConnectionsThatRest(t *testing.T) {
	short := func(m *policy.Timeouts) { m.RequestRead, m.DownstreamIdle = policy.Second/20, policy.Second/10 }
	cases := []struct{ name, first string }{
		{"nothing sent", ""},
		{"half a message", "*2\r\n$6\r\nSTA"},
		{"a whole one, then half", string(frame("STATUS", "1")) + "*2\r\n$6"},
		{"asked once", string(frame("STATUS", "1"))},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			b := serve(t, 8, 64, 10*time.Second, short)
			busy, c := b.dial(t), b.dial(t)
			busy.Write(ask("1"))
			conn := b.next(t, 1)
			io.WriteString(c, x.first)
			if all, err := io.ReadAll(c.in); err != nil || strings.Contains(x.first, "1") != (len(all) > 0) {
				t.Errorf("got %q, %v", all, err)
			}
			conn.Fail(1)
			if got := busy.answer(t); got != "1 500  " {
				t.Errorf("the busy one got %q", got)
			}
		})
	}
}

// Connections that are silent or asked once make room for those that speak and for each other, however many come.
func TestFloodOfConnections(t *testing.T) {
	for _, first := range []string{"", string(frame("STATUS", "1"))} {
		b := serve(t, 4, 64, 10*time.Second, func(m *policy.Timeouts) { m.PollRetry = policy.Second / 100 })
		good := b.dial(t)
		good.Write(ask("6"))
		open := b.next(t, 6)
		for range 40 {
			io.WriteString(b.dial(t), first)
		}
		late := b.dial(t)
		late.Write(ask("7"))
		b.next(t, 7).Fail(7)
		if got := late.answer(t); got != "7 500  " {
			t.Errorf("the late one got %q", got)
		}
		open.Fail(6)
		if got := good.answer(t); got != "6 500  " {
			t.Errorf("the one with a request open got %q", got)
		}
	}
}

// A client that is slow to read is not at rest: its answers are not cut off to make room.
func TestSlowReaderKeepsItsPlace(t *testing.T) {
	b := serve(t, 2, 4096, 10*time.Second, func(m *policy.Timeouts) { m.PollRetry = policy.Second / 100 })
	slow := b.dial(t)
	slow.Write(ask("1"))
	conn := b.next(t, 1)
	conn.Succeed(1, b.body(16<<20), false) // more than the sockets between them hold
	eventually(t, "the answer was not taken up", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return len(conn.queue) == 0 && time.Since(conn.used) > 2*span(b.margins.PollRetry)
	})
	for range 8 {
		b.dial(t)
	}
	late := b.dial(t)
	late.Write(frame("STATUS", "1"))
	late.answer(t)
	if got := slow.answer(t); len(got) < 16<<20 {
		t.Errorf("its answer has %d bytes", len(got))
	}
}

// Where the silent are too new to tell, one that asked and rests makes room.
func TestRestingMakesRoomForNew(t *testing.T) {
	b := serve(t, 3, 64, 10*time.Second, func(m *policy.Timeouts) { m.PollRetry = 3600 * policy.Second })
	rested := b.dial(t)
	rested.Write(frame("STATUS", "1"))
	rested.answer(t)
	b.Server.mu.Lock()
	for c := range b.Server.conns {
		c.mu.Lock()
		c.used = c.used.Add(-2 * span(b.margins.PollRetry))
		c.mu.Unlock()
	}
	b.Server.mu.Unlock()
	b.dial(t)
	b.dial(t)
	eventually(t, "not all are held", func() bool { return b.ConnCount() == 3 })
	late := b.dial(t)
	late.Write(frame("STATUS", "1"))
	if got := late.answer(t); got != "1 serving  " {
		t.Errorf("got %q", got)
	}
}

// poor is a listener that has no descriptor left at first.
type poor struct {
	net.Listener
	failed bool
}

func (p *poor) Accept() (net.Conn, error) {
	if !p.failed {
		p.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return p.Listener.Accept()
}

func TestDescriptorsUsedUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New([]Handler{sink{closed: make(chan *Conn, 1)}}, site, bufpool.New(1), 1,
		policy.Timeouts{WriteFlush: policy.Second, PollRetry: policy.Second / 5, RequestRead: policy.Second, DownstreamIdle: policy.Second})
	done := make(chan error, 1)
	go func() { done <- s.Serve(&poor{Listener: l}) }()
	c := (&bed{addr: l.Addr().String()}).dial(t)
	c.Write(frame("STATUS", "1"))
	if got := c.answer(t); got != "1 serving  " {
		t.Errorf("got %q", got)
	}
	c.Close()
	l.Close()
	if err := get(t, done); !errors.Is(err, net.ErrClosed) {
		t.Errorf("ended with %v", err)
	}
}

// closes begins the server's end, and waits until a connection knows of it.
func (b *bed) closes(t *testing.T, conn *Conn) (done chan struct{}) {
	t.Helper()
	done = make(chan struct{})
	go func() {
		b.Server.Shutdown()
		close(done)
	}()
	eventually(t, "the end was not begun", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.phase == ending
	})
	return done
}

func TestCloseAnswersFirst(t *testing.T) {
	b := serve(t, 2, 64, 10*time.Second)
	c := b.dial(t)
	c.Write(ask("1"))
	conn := b.next(t, 1)
	done := b.closes(t, conn)
	conn.Fail(1)
	if got := c.answer(t); got != "1 500  " {
		t.Errorf("got %q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the answer: %v, want the end", err)
	}
	c.Close()
	get(t, done)
}

// A sink that panics ends the connection that called it, no more.
func TestPanicEndsOneConnection(t *testing.T) {
	b := serve(t, 4, 64, 10*time.Second)
	close(b.asks) // so that Ask panics
	c, other := b.dial(t), b.dial(t)
	c.Write(ask("1"))
	get(t, b.closed)
	other.Write(frame("STATUS", "1"))
	if got := other.answer(t); got != "1 serving  " {
		t.Errorf("another connection got %q", got)
	}
}
