package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/policy"
)

// bed is a fleet with one node, whose connections the test plays itself.
type bed struct {
	*Pool
	*Endpoint
	t     *testing.T
	l     net.Listener
	conns chan node
}

// node is its end of a connection.
type node struct {
	net.Conn
	in *bufio.Reader
}

func newBed(t *testing.T, m policy.Timeouts, dials int) *bed {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := bufpool.New(16)
	b := &bed{Pool: New(p, m, dials), t: t, l: l, conns: make(chan node, 16)}
	b.Endpoint = b.Pool.NewEndpoint(l.Addr().String())
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			nc.SetDeadline(time.Now().Add(10 * time.Second))
			t.Cleanup(func() { nc.Close() })
			b.conns <- node{nc, bufio.NewReader(nc)}
		}
	}()
	t.Cleanup(func() {
		l.Close()
		b.Pool.Close()
		eventually(t, "connections or buffers are still out", func() bool {
			out, _ := p.InUse()
			return out == 0 && b.Connections() == 0
		})
	})
	return b
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal(what)
		}
	}
}

var margins = policy.Timeouts{
	Connect: 10 * policy.Second, ReadStall: 10 * policy.Second, CancelConfirm: 10 * policy.Second, Idle: 100 * policy.Second, PreferredStreams: 2, MaxStreams: 3,
}

// accept takes the next connection.
func (b *bed) accept() node {
	b.t.Helper()
	select {
	case n := <-b.conns:
		return n
	case <-time.After(10 * time.Second):
		b.t.Fatal("no connection came")
		return node{}
	}
}

// hears reads a request, or that one is given up, and gives its words.
func (n node) hears(t *testing.T, want string) {
	t.Helper()
	line, err := n.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, want+" ") && line != want+"\r\n" {
		t.Fatalf("the node heard %q, %v; want %s", line, err, want)
	}
	if strings.HasPrefix(line, "want ") {
		n.in.Discard(2)
	}
}

type result struct {
	Response
	error
}

// send sends a request whose end comes on the channel.
func (b *bed) send(id string) (*Attempt, chan result) {
	ends := make(chan result, 2)
	return b.Endpoint.Send(Request{ID: id, ContentType: "clip", Object: "o"}, func(a Response, err error) { ends <- result{a, err} }), ends
}

// expect checks how a pull ended: with a word and the body's length, or at a stage.
func expect(t *testing.T, ends chan result, want string) {
	t.Helper()
	select {
	case r := <-ends:
		got := fmt.Sprint(r.Status, " ", r.Body.Len())
		if e := (*Error)(nil); errors.As(r.error, &e) {
			got = e.Stage.String()
			if e.Cancelled {
				got += ", given up"
			}
		}
		r.Body.Free()
		if got != want {
			t.Errorf("ended %q, want %q", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("no end came, want %q", want)
	}
}

func TestSharedConnections(t *testing.T) {
	b := newBed(t, margins, 8)
	_, a1 := b.send("a1")
	n1 := b.accept()
	n1.hears(t, "want a1")
	_, a2 := b.send("a2")
	n1.hears(t, "want a2")
	_, a3 := b.send("a3") // the first is shared by two
	n2 := b.accept()
	n2.hears(t, "want a3")
	io.WriteString(n1, "zz data - 2\r\nxx\r\na2 data n=local 3\r\nxyz\r\na2 data - 0\r\n\r\n") // unknown, asked, over
	expect(t, a2, "data 3")
	_, a4 := b.send("a4")
	n1.hears(t, "want a4")
	io.WriteString(n1, "a1 absent - 0\r\n\r\na4 moot - 0\r\n\r\n")
	io.WriteString(n2, "a3 full - 0\r\n\r\n")
	expect(t, a1, "absent 0")
	expect(t, a4, "moot 0")
	expect(t, a3, "full 0")
}

func TestHowFarAPullHadCome(t *testing.T) {
	cases := []struct {
		name string
		do   func(node)
		want string
	}{
		{"closed without an answer", func(node) {}, "wholly written"},
		{"closed within an answer", func(n node) { io.WriteString(n, "a1 data - 9\r\nxyz") }, "response started"},
		{"closed within another's", func(n node) { io.WriteString(n, "a2 data - 9\r\nxyz") }, "wholly written"},
		{"unreadable", func(n node) { io.WriteString(n, "rubbish\r\n") }, "wholly written"},
		{"a copy that it lacks is said to hold", func(n node) { io.WriteString(n, "a1 unchanged - 0\r\n\r\n") }, "response started"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t, margins, 8)
			_, ends := b.send("a1")
			n := b.accept()
			n.hears(t, "want a1")
			c.do(n)
			n.Close()
			expect(t, ends, c.want)
		})
	}
	t.Run("refused", func(t *testing.T) {
		b := newBed(t, margins, 8)
		b.l.Close()
		_, ends := b.send("a1")
		expect(t, ends, "not connected")
	})
	t.Run("never up", func(t *testing.T) {
		m := margins
		m.Connect = 1 // a microsecond
		b := newBed(t, m, 8)
		_, ends := b.send("a1")
		expect(t, ends, "not connected")
	})
	t.Run("no connection free", func(t *testing.T) {
		b := newBed(t, margins, 1)
		_, a1 := b.send("a1")
		n := b.accept()
		n.hears(t, "want a1")
		_, a2 := b.send("a2") // it shares
		n.hears(t, "want a2")
		_, a3 := b.send("a3")
		n.hears(t, "want a3")
		_, a4 := b.send("a4") // as many as one may carry
		expect(t, a4, "not connected")
		other := b.Pool.NewEndpoint(b.l.Addr().String()) // each node has one
		ends := make(chan result, 1)
		other.Send(Request{ID: "a5", ContentType: "clip", Object: "o"}, func(a Response, err error) { ends <- result{a, err} })
		n2 := b.accept()
		n2.hears(t, "want a5")
		n2.Close()
		expect(t, ends, "wholly written")
		io.WriteString(n, "a1 moot - 0\r\n\r\na2 moot - 0\r\n\r\na3 moot - 0\r\n\r\n")
		for _, end := range []chan result{a1, a2, a3} {
			expect(t, end, "moot 0")
		}
	})
	t.Run("taking no bytes", func(t *testing.T) {
		m := margins
		m.Connect, m.PreferredStreams, m.MaxStreams = policy.Second/4, 1000, 1000
		b := newBed(t, m, 1)
		body := bufpool.New(1).NewBody(0)
		body.Append(make([]byte, 48_000))
		ends := make(chan result, 1000)
		for i := range 1000 { // more than the sockets between them hold
			b.Endpoint.Send(Request{ID: fmt.Sprint(i), Body: body}, func(a Response, err error) { ends <- result{a, err} })
		}
		seen := map[Stage]int{}
		for range 1000 {
			r := <-ends
			seen[r.error.(*Error).Stage]++
		}
		if seen[WhollyWritten] == 0 || seen[PartlyWritten] > 1 || seen[NothingWritten] == 0 || len(seen) > 3 {
			t.Errorf("ended as %v", seen)
		}
	})
}

func TestGivingUp(t *testing.T) {
	b := newBed(t, margins, 8)
	pull, ends := b.send("a1")
	n := b.accept()
	n.hears(t, "want a1")
	pull.Cancel(false)
	pull.Cancel(true)
	n.hears(t, "never_mind a1")
	expect(t, ends, "wholly written, given up")
	_, again := b.send("a1") // a late answer must not be taken for this one's
	n2 := b.accept()
	n2.hears(t, "want a1")
	io.WriteString(n, "a1 data - 3\r\nxyz\r\n")
	io.WriteString(n2, "a1 failed - 0\r\n\r\n")
	expect(t, again, "failed 0")
	if len(ends) != 0 {
		t.Error("a pull ended twice")
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	m := margins
	m.Connect = policy.Second / 4 // silent from then on
	m.PreferredStreams, m.MaxStreams = 9, 9
	b := newBed(t, m, 8)
	pull, ends := b.send("a1")
	n := b.accept()
	n.hears(t, "want a1")
	eventually(t, "never silent", func() bool {
		b.Endpoint.mu.Lock()
		defer b.Endpoint.mu.Unlock()
		return time.Since(pull.sentAt) > m.Connect.Duration()
	})
	pull.Cancel(false)
	expect(t, ends, "wholly written, given up")
	_, a2 := b.send("a2")
	n2 := b.accept()
	n2.hears(t, "want a2")
	io.WriteString(n2, "a2 absent - 0\r\n\r\n")
	expect(t, a2, "absent 0")
	n.hears(t, "never_mind a1")
	if _, err := n.in.ReadByte(); err != io.EOF {
		t.Errorf("the silent one was not closed: %v", err)
	}
}

// What a silent node had taken must not stay with it while the download goes elsewhere.
func TestSilentNodeIsLeft(t *testing.T) {
	m := margins
	m.PreferredStreams = 3
	b := newBed(t, m, 8)
	pull, ends := b.send("a1")
	_, other := b.send("a2")
	n := b.accept()
	n.hears(t, "want a1")
	n.hears(t, "want a2")
	pull.Cancel(true)
	expect(t, ends, "wholly written, given up")
	expect(t, other, "wholly written")
	if _, err := n.in.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("not reset: %v", err)
	}
	pull, ends = b.send("a3")
	n = b.accept()
	n.hears(t, "want a3")
	_, other = b.send("a4")
	n.hears(t, "want a4")
	_, still := b.send("b1")
	n.hears(t, "want b1")
	io.WriteString(n, "a4 full - 0\r\n\r\n")
	expect(t, other, "full 0")
	pull.Cancel(true) // another was answered over it, another is open
	n.hears(t, "never_mind a3")
	n.hears(t, "there a3")
	if len(ends) != 0 {
		t.Error("ended before the node's word")
	}
	io.WriteString(n, "a3 well - 0\r\n\r\n")
	expect(t, ends, "wholly written, given up")
	b.Pool.timeouts.CancelConfirm = 1000
	pull, ends = b.send("a5")
	n.hears(t, "want a5")
	_, other = b.send("a6")
	n.hears(t, "want a6")
	io.WriteString(n, "a6 full - 0\r\n\r\n")
	expect(t, other, "full 0")
	pull.Cancel(true) // but this time no word comes
	expect(t, ends, "wholly written, given up")
	expect(t, still, "wholly written")
	n.hears(t, "never_mind a5")
	n.hears(t, "there a5")
	if _, err := n.in.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("not reset: %v", err)
	}
}

// A request that was not written goes over another connection when its own ends; one that was does not.
func TestConnectionThatIsResetWhenNew(t *testing.T) {
	b := newBed(t, margins, 8)
	b.Endpoint.mu.Lock()
	c := b.Endpoint.pickConn(&Attempt{request: Request{ID: "a1"}})
	b.Endpoint.mu.Unlock()
	n := b.accept()
	eventually(t, "never up", func() bool {
		b.Endpoint.mu.Lock()
		defer b.Endpoint.mu.Unlock()
		return c.netConn != nil
	})
	b.Endpoint.mu.Lock() // the connection ends before its goroutine can write
	ends := make(chan result, 1)
	pull := &Attempt{request: Request{ID: "a1", ContentType: "clip", Object: "o"}, endpoint: b.Endpoint, maxSize: maxRequestHead}
	pull.done = func(a Response, err error) { ends <- result{a, err} }
	b.Endpoint.enqueue(pull)
	c.close(io.EOF)
	b.Endpoint.mu.Unlock()
	n.Close()
	n = b.accept()
	n.hears(t, "want a1")
	n.Close()
	expect(t, ends, "wholly written")
}

// A connection that is reset while it comes up says no more of its node than one that is reset then: it is dialled again.
func TestConnectionThatIsResetWhileDialling(t *testing.T) {
	b := newBed(t, margins, 8)
	ends := make(chan result, 1)
	pull := &Attempt{request: Request{ID: "a1", ContentType: "clip", Object: "o"}, endpoint: b.Endpoint, maxSize: maxRequestHead}
	pull.done = func(a Response, err error) { ends <- result{a, err} }
	b.Endpoint.mu.Lock()
	b.Endpoint.enqueue(pull)
	pull.conn.close(&net.OpError{Op: "dial", Err: syscall.ECONNRESET})
	b.Endpoint.mu.Unlock()
	for range 2 { // one of them is the first, which is closed
		n := b.accept()
		if line, _ := n.in.ReadString('\n'); strings.HasPrefix(line, "want a1 ") {
			io.WriteString(n, "a1 full - 0\r\n\r\n")
			expect(t, ends, "full 0")
			return
		}
	}
	t.Error("it was not dialled again")
}

// A connection that stalls within an answer is closed; the others on it end by how far they had come.
func TestStalledAnswer(t *testing.T) {
	for _, text := range []string{"a1 data - 9\r\nxyz", "a1 da"} {
		m := margins
		m.ReadStall = policy.Second / 50
		b := newBed(t, m, 8)
		_, a1 := b.send("a1")
		n := b.accept()
		n.hears(t, "want a1")
		_, a2 := b.send("a2")
		n.hears(t, "want a2")
		time.Sleep(2 * m.ReadStall.Duration()) // as long as it likes between answers
		io.WriteString(n, "a2 full - 0\r\n\r\n")
		expect(t, a2, "full 0")
		_, a2 = b.send("a2")
		n.hears(t, "want a2")
		io.WriteString(n, text)
		expect(t, a1, map[bool]string{true: "response started", false: "wholly written"}[len(text) > 9])
		expect(t, a2, "wholly written")
		if _, err := n.in.ReadByte(); err == nil {
			t.Error("the connection is still open")
		}
	}
}

// A pull goes over none of the connections that the pulls before it took: what comes twice there is not its answer.
func TestAnswerThatComesTwice(t *testing.T) {
	b := newBed(t, margins, 8)
	first, ends := b.send("a1")
	n := b.accept()
	n.hears(t, "want a1")
	io.WriteString(n, "a1 absent - 0\r\n\r\n")
	expect(t, ends, "absent 0")
	b.Endpoint.Send(Request{ID: "a1", ContentType: "clip", Object: "o"}, func(a Response, err error) { ends <- result{a, err} }, first)
	other := b.accept()
	other.hears(t, "want a1")
	io.WriteString(n, "a1 absent - 0\r\n\r\n")
	io.WriteString(other, "a1 full - 0\r\n\r\n")
	expect(t, ends, "full 0")
}

func TestConnectionsAreClosed(t *testing.T) {
	for _, name := range []string{"idle", "the node left"} {
		t.Run(name, func(t *testing.T) {
			m := margins
			if name == "idle" {
				m.Idle = policy.Second / 50
			}
			b := newBed(t, m, 8)
			_, ends := b.send("a1")
			n := b.accept()
			n.hears(t, "want a1")
			if name != "idle" {
				b.Endpoint.CloseWhenIdle() // what is open is waited for
			}
			io.WriteString(n, "a1 full - 0\r\n\r\n")
			expect(t, ends, "full 0")
			if _, err := n.in.ReadByte(); err != io.EOF {
				t.Errorf("not closed: %v", err)
			}
		})
	}
}

// A pull that was decided before its node or its source was shunned, or what it asks for voided, is not written; it is
// recalled, and the next to go is.
func TestRecalled(t *testing.T) {
	cases := []struct {
		name string
		want func(b *bed) Request
		shun func(b *bed, source *Endpoint)
		back bool
	}{
		{"the node", func(b *bed) Request { return Request{} }, func(b *bed, _ *Endpoint) { b.SetDraining(true) }, true},
		{"the source", func(b *bed) Request { return Request{SourceID: "p"} }, func(_ *bed, s *Endpoint) { s.SetDraining(true) }, true},
		{"a source that left", func(b *bed) Request { return Request{SourceID: "p"} }, func(_ *bed, s *Endpoint) { s.CloseWhenIdle() }, true},
		{"void", func(b *bed) Request { return Request{Superseded: func() bool { return true }} }, func(*bed, *Endpoint) {}, true},
		{"not void", func(b *bed) Request { return Request{Superseded: func() bool { return false }} }, func(*bed, *Endpoint) {}, false},
		{"shunned and used again", func(b *bed) Request { return Request{} }, func(b *bed, _ *Endpoint) { b.SetDraining(true); b.SetDraining(false) }, false},
		{"a pause of the director", func(b *bed) Request { return Request{} }, func(b *bed, _ *Endpoint) {
			asked := 0 // by one goroutine
			b.SetWriteCheck(func() bool { asked++; return asked > 1 })
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t, margins, 8)
			source := b.Pool.NewEndpoint("127.0.0.1:1")
			w := c.want(b)
			w.ID, w.ContentType, w.Object = "1", "clip", "o"
			if w.SourceID != "" {
				w.Source = source
			}
			c.shun(b, source)
			ends := make(chan result, 2)
			b.Endpoint.Send(w, func(a Response, err error) { ends <- result{a, err} })
			n := b.accept()
			if c.back {
				r := <-ends
				if e := (*Error)(nil); !errors.As(r.error, &e) || !errors.Is(r.error, ErrWithdrawn) || e.Stage != NothingWritten {
					t.Errorf("ended with %v", r.error)
				}
				b.SetDraining(false)
				b.send("2")
				n.hears(t, "want 2")
				return
			}
			n.hears(t, "want 1")
		})
	}
}
