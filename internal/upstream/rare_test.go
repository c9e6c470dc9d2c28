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
	pull := &Pull{want: Want{ID: "a1", Sort: "clip", Asset: "o"}, peer: b.Peer, size: longestHead, before: []*Pull{first}}
	pull.done = func(a Answer, err error) { ends <- result{a, err} }
	b.Peer.mu.Lock() // the next connection is reset while it comes up
	if !b.Peer.put(pull) || pull.conn == first.conn {
		t.Error("it goes over the connection of the first")
	}
	pull.conn.end(&net.OpError{Op: "dial", Err: syscall.ECONNRESET})
	if pull.over || !pull.moved || pull.conn == first.conn {
		t.Errorf("over %v, moved %v, to the connection of the first %v", pull.over, pull.moved, pull.conn == first.conn)
	}
	b.Peer.mu.Unlock()
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
			body := bufpool.New(4).Body(0)
			body.Write(make([]byte, 48_000))
			var void atomic.Bool
			var all sync.WaitGroup
			const large = 300 // more than the sockets between them hold
			for i := range large {
				all.Add(2)
				b.Peer.Send(Want{ID: fmt.Sprint("l", i), Sort: "clip", Asset: "o", Body: body}, func(Answer, error) { all.Done() })
				b.Peer.Send(Want{ID: fmt.Sprint("s", i), Sort: "clip", Asset: "o", Void: void.Load}, func(Answer, error) { all.Done() })
			}
			n := b.accept()
			stuck := func() (ids []string) { // written as far as is known, and behind a large one that no one takes
				b.Peer.mu.Lock()
				defer b.Peer.mu.Unlock()
				for _, c := range b.Peer.conns {
					for id, l := range c.open {
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
				time.Sleep(10 * span(m.MaxDecisionAge))
				return false
			})
			last := fmt.Sprint("s", before-1) // in order: all before it are in the sockets
			b.Peer.mu.Lock()
			pull := b.Peer.conns[0].open[last]
			b.Peer.mu.Unlock()
			if pull == nil {
				t.Fatalf("%s is not open", last)
			}
			if void.Store(true); how != "void" {
				void.Store(false)
				pull.GiveUp(false)
			}
			eventually(t, "it is still to be written", func() bool {
				b.Peer.mu.Lock()
				defer b.Peer.mu.Unlock()
				return pull.over && pull.stage == NothingWritten
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
	var peers []*Peer
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
		peers = append(peers, f.Peer(l.Addr().String()))
	}
	over := func() bool { return f.held.Load() > most+Firsts(most) }
	for round := range 2 {
		for i, p := range peers {
			ends := make(chan result, 1)
			p.Send(Want{ID: fmt.Sprint(round, "-", i), Sort: "clip", Asset: "o"}, func(a Answer, err error) { ends <- result{a, err} })
			if over() {
				t.Fatalf("%d held", f.held.Load())
			}
			expect(t, ends, "full 0")
		}
	}
	var held []*Pull // all are in use
	for i, p := range peers {
		refused := make(chan error, 1)
		l := p.Send(Want{ID: fmt.Sprint("held", i), Sort: "clip", Asset: "o"}, func(_ Answer, err error) { refused <- err })
		if over() {
			t.Fatalf("%d held", f.held.Load())
		}
		select {
		case err := <-refused:
			if !errors.Is(err, ErrNoRoom) {
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
		l.GiveUp(false)
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
			eventually(t, "its end has not come", func() bool { _, end := socket.Unread(nc); return end })
			ends := make(chan result, 1)
			pull := &Pull{want: Want{ID: "a1", Sort: "clip", Asset: "o"}, peer: b.Peer, size: longestHead, stage: NothingWritten}
			pull.done = func(a Answer, err error) { ends <- result{a, err} }
			c := &conn{p: b.Peer, nc: nc, open: map[string]*Pull{"a1": pull}, old: map[string]bool{}, wake: make(chan struct{}, 1)} // without a reader
			c.queue = append(c.queue, item{pull: pull})
			pull.conn = c
			b.Peer.mu.Lock()
			b.Peer.conns = append(b.Peer.conns, c)
			b.Peer.mu.Unlock()
			c.signal()
			c.write()
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
	for range mostStray - 1 {
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
	p := f.Peer(l.Addr().String())
	for i, sure := range []bool{false, true} {
		ends := make(chan result, 1)
		p.Send(Want{ID: fmt.Sprint("a", i), Sort: "clip", Asset: "o"}, func(a Answer, err error) { ends <- result{a, err} }).GiveUp(sure)
		expect(t, ends, "not connected, given up")
	}
	ends := make(chan result, 1)
	p.Send(Want{ID: "a2", Sort: "clip", Asset: "o"}, func(a Answer, err error) { ends <- result{a, err} })
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
