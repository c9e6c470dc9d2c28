package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/fakes"
	"tallyproxy/internal/socket"
	"tallyproxy/policy"
)

// A request that moves to another connection, since its own ended before it was written, goes over none that an earlier pull of
// its download went over: what still comes there would be taken for its answer.
func TestMovedRequestKeepsApart(t *testing.T) {
	m := margins
	m.PreferredStreams, m.MaxStreams = 1, 1
	b := newBed(t, m, 8)
	first, ends := b.send("a1")
	n := b.accept()
	n.hears(t, "want a1")
	io.WriteString(n, "a1 absent - 0\r\n\r\n") // a second answer follows
	expect(t, ends, "absent 0")
	pull := &Attempt{request: Request{ID: "a1", ContentType: "clip", Object: "o"}, endpoint: b.Endpoint, maxSize: maxRequestHead, previous: []*Attempt{first}}
	pull.done = func(a Response, err error) { ends <- result{a, err} }
	b.Endpoint.mu.Lock() // the next connection is reset while it comes up
	if !b.Endpoint.enqueue(pull) || pull.conn == first.conn {
		t.Error("it goes over the connection of the first")
	}
	pull.conn.close(&net.OpError{Op: "dial", Err: syscall.ECONNRESET})
	if pull.finished || !pull.moved || pull.conn == first.conn {
		t.Errorf("over %v, moved %v, to the connection of the first %v", pull.finished, pull.moved, pull.conn == first.conn)
	}
	b.Endpoint.mu.Unlock()
	io.WriteString(n, "a1 data - 3\r\nold\r\n") // late, and not this pull's
	for range 2 {                               // one of them is the one that was reset
		if n := b.accept(); n.begins("want a1 ") {
			io.WriteString(n, "a1 full - 0\r\n\r\n")
			break
		}
	}
	expect(t, ends, "full 0")
}

// begins reads a line, where there is one, and says how it begins.
func (n node) begins(words string) bool {
	line, _ := n.in.ReadString('\n')
	return strings.HasPrefix(line, words)
}

// A request that waits behind a node that takes no bytes is looked at again: what no longer stands is not begun.
func TestRequestBehindASlowNode(t *testing.T) {
	for _, how := range []string{"void", "given up"} {
		t.Run(how, func(t *testing.T) {
			m := margins
			m.MaxDecisionAge, m.PreferredStreams, m.MaxStreams, m.Connect = policy.Second/50, 1000, 1000, 3600*policy.Second
			b := newBed(t, m, 1)
			body := bufpool.New(4).NewBody(0)
			body.Append(make([]byte, 48_000))
			var void atomic.Bool
			var all sync.WaitGroup
			const large = 300 // more than the sockets between them hold
			for i := range large {
				all.Add(2)
				b.Endpoint.Send(Request{ID: fmt.Sprint("l", i), ContentType: "clip", Object: "o", Body: body}, func(Response, error) { all.Done() })
				b.Endpoint.Send(Request{ID: fmt.Sprint("s", i), ContentType: "clip", Object: "o", Superseded: void.Load}, func(Response, error) { all.Done() })
			}
			n := b.accept()
			stuck := func() (ids []string) { // written as far as is known, and behind a large one that no one takes
				b.Endpoint.mu.Lock()
				defer b.Endpoint.mu.Unlock()
				for _, c := range b.Endpoint.conns {
					for id, l := range c.attempts {
						if l.stage == WhollyWritten && strings.HasPrefix(id, "s") {
							ids = append(ids, id)
						}
					}
				}
				return ids
			}
			before := -1
			eventually(t, "the node takes all", func() bool { // no more was written for a while
				now := len(stuck())
				if now == before {
					return true
				}
				before = now
				time.Sleep(10 * m.MaxDecisionAge.Duration())
				return false
			})
			last := fmt.Sprint("s", before-1) // in order: all before it are in the sockets
			b.Endpoint.mu.Lock()
			pull := b.Endpoint.conns[0].attempts[last]
			b.Endpoint.mu.Unlock()
			if pull == nil {
				t.Fatalf("%s is not open", last)
			}
			if void.Store(true); how != "void" {
				void.Store(false)
				pull.Cancel(false)
			}
			eventually(t, "it is still to be written", func() bool {
				b.Endpoint.mu.Lock()
				defer b.Endpoint.mu.Unlock()
				return pull.finished && pull.stage == NothingWritten
			})
			void.Store(true)
			n.SetDeadline(time.Now().Add(10 * time.Second))
			for i := 0; ; i++ {
				line, err := n.in.ReadString('\n')
				if err != nil || strings.HasPrefix(line, fmt.Sprint("want l", large-1, " ")) {
					break
				}
				if strings.HasPrefix(line, "want "+last+" ") {
					t.Errorf("the node heard %q", line)
				}
				if strings.HasPrefix(line, "want l") {
					n.in.Discard(48_002)
				} else {
					n.in.Discard(2)
				}
			}
			n.Close()
			all.Wait()
		})
	}
}

// However many nodes there are, no more connections are held than the limit and its part for first ones; each node is reached, and
// those that rest make room.
func TestManyNodesWithinTheLimit(t *testing.T) {
	const most, nodes = 20, 200
	p := bufpool.New(16)
	f := New(p, margins, most)
	defer f.Close()
	answers := func(nc net.Conn) {
		defer nc.Close()
		for in := (node{nc, bufio.NewReader(nc)}); ; {
			line, err := in.in.ReadString('\n')
			if err != nil {
				return
			}
			if words := strings.Fields(line); len(words) > 1 && words[0] == "want" && !strings.HasPrefix(words[1], "held") {
				fmt.Fprintf(nc, "%s full - 0\r\n\r\n", words[1])
			}
		}
	}
	var peers []*Endpoint
	for range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				go answers(nc)
			}
		}()
		peers = append(peers, f.NewEndpoint(l.Addr().String()))
	}
	over := func() bool { return f.connections.Load() > most+firstConnectionReserve(most) }
	for round := range 2 {
		for i, p := range peers {
			ends := make(chan result, 1)
			p.Send(Request{ID: fmt.Sprint(round, "-", i), ContentType: "clip", Object: "o"}, func(a Response, err error) { ends <- result{a, err} })
			if over() {
				t.Fatalf("%d held", f.connections.Load())
			}
			expect(t, ends, "full 0")
		}
	}
	var held []*Attempt // all are in use
	for i, p := range peers {
		refused := make(chan error, 1)
		l := p.Send(Request{ID: fmt.Sprint("held", i), ContentType: "clip", Object: "o"}, func(_ Response, err error) { refused <- err })
		if over() {
			t.Fatalf("%d held", f.connections.Load())
		}
		select {
		case err := <-refused:
			if !errors.Is(err, ErrConnectionLimit) {
				t.Fatal(err)
			}
		default:
			held = append(held, l)
		}
	}
	if len(held) < most {
		t.Errorf("%d nodes were reached", len(held))
	}
	for _, l := range held {
		l.Cancel(false)
	}
}

// A node closed a connection while it rested, which its reader has not seen yet, as a request is put on it: it goes over another,
// unwritten.
func TestRequestOnAClosedConnection(t *testing.T) {
	for _, how := range []string{"closed", "reset"} {
		t.Run(how, func(t *testing.T) {
			b := newBed(t, margins, 8)
			nc, err := net.Dial("tcp4", b.l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			n := b.accept()
			if how == "reset" {
				n.Conn.(*net.TCPConn).SetLinger(0)
			}
			n.Close()
			eventually(t, "its end has not come", func() bool { _, end := socket.PendingInput(nc); return end })
			ends := make(chan result, 1)
			pull := &Attempt{request: Request{ID: "a1", ContentType: "clip", Object: "o"}, endpoint: b.Endpoint, maxSize: maxRequestHead, stage: NothingWritten}
			pull.done = func(a Response, err error) { ends <- result{a, err} }
			c := &conn{endpoint: b.Endpoint, netConn: nc, attempts: map[string]*Attempt{"a1": pull}, cancelledIDs: map[string]bool{}, wake: make(chan struct{}, 1)} // without a reader
			c.queue = append(c.queue, message{attempt: pull})
			pull.conn = c
			b.Endpoint.mu.Lock()
			b.Endpoint.conns = append(b.Endpoint.conns, c)
			b.Endpoint.mu.Unlock()
			c.wakeWriter()
			c.writeLoop()
			n = b.accept()
			n.hears(t, "want a1")
			io.WriteString(n, "a1 full - 0\r\n\r\n")
			expect(t, ends, "full 0")
		})
	}
}

// A node that goes on answering what nobody asked for is left with that connection; a few such answers are passed over.
func TestAnswersWithoutEnd(t *testing.T) {
	b := newBed(t, margins, 8)
	_, a1 := b.send("a1")
	n := b.accept()
	n.hears(t, "want a1")
	for range maxUnsolicited - 1 {
		io.WriteString(n, "zz data - 2\r\nxx\r\n")
	}
	io.WriteString(n, "a1 full - 0\r\n\r\n")
	expect(t, a1, "full 0")
	_, a2 := b.send("a2")
	n.hears(t, "want a2") // over the same
	io.WriteString(n, "zz data - 2\r\nxx\r\n")
	io.WriteString(n, "a2 full - 0\r\n\r\n")
	expect(t, a2, "full 0")
	if _, err := n.in.ReadByte(); err != io.EOF {
		t.Errorf("it is still open: %v", err)
	}
}

// A connection that comes up after its pull was given up brings nothing of it. Its node's queue is full, so that it comes up late.
func TestConnectionThatComesUpLate(t *testing.T) {
	l, err := fakes.Unheard()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f := New(bufpool.New(4), margins, 8)
	defer f.Close()
	p := f.NewEndpoint(l.Addr().String())
	for i, sure := range []bool{false, true} {
		ends := make(chan result, 1)
		p.Send(Request{ID: fmt.Sprint("a", i), ContentType: "clip", Object: "o"}, func(a Response, err error) { ends <- result{a, err} }).Cancel(sure)
		expect(t, ends, "not connected, given up")
	}
	ends := make(chan result, 1)
	p.Send(Request{ID: "a2", ContentType: "clip", Object: "o"}, func(a Response, err error) { ends <- result{a, err} })
	for answered := false; !answered; { // what came before it, and it
		nc, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(10 * time.Second))
		defer nc.Close()
		if nc.RemoteAddr() == nil || !l.Ours(nc) {
			n := node{nc, bufio.NewReader(nc)}
			n.hears(t, "want a2")
			io.WriteString(n, "a2 full - 0\r\n\r\n")
			answered = true
		}
	}
	expect(t, ends, "full 0")
}
