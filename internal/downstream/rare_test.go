package downstream

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"tallyproxy/policy"
)

// soon are margins under which what lies in a socket is read whole before it is handed on.
func soon(m *policy.Timeouts) { m.MaxDecisionAge = policy.Second }

// none checks that nothing more was asked for, behind a request of another connection that is.
func (b *bed) none(t *testing.T) {
	t.Helper()
	other := b.dial(t)
	other.Write(ask("9000"))
	b.next(t, 9000).Fail(9000)
	if got := other.answer(t); got != "9000 500  " {
		t.Errorf("another connection got %q", got)
	}
	if len(b.asks) != 0 || len(b.never) != 0 {
		t.Errorf("%d more were asked for, %d taken back", len(b.asks), len(b.never))
	}
}

// What a client asked for and left or took back while it waited to be read is not handed on.
func TestClientThatLeftWhileItWaited(t *testing.T) {
	many := func() (out []byte) {
		for tag := range mostOpen {
			out = append(out, ask(fmt.Sprint(tag+1))...)
		}
		return out
	}
	cases := []struct {
		name string
		sent []byte
		ends func(client)
	}{
		{"closed", ask("1"), func(c client) { c.Close() }},
		{"its side closed", ask("1"), func(c client) { c.Conn.(*net.TCPConn).CloseWrite() }},
		{"reset", ask("1"), func(c client) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() }},
		{"as many as may be open, closed", many(), func(c client) { c.Close() }},
		{"much that is written, closed", bytes.Join([][]byte{
			frame("ASK", "1", "segment", fields, strings.Repeat("x", 48_000)),
			frame("ASK", "2", "segment", strings.Replace(fields, "9b", "9c", 1), strings.Repeat("x", 48_000)),
		}, nil), func(c client) { c.Close() }},
		{"what can't be read after it, closed", append(ask("1"), "rubbish\r\n"...), func(c client) { c.Close() }},
		{"much that can't be read after it, closed", append(ask("1"), strings.Repeat("rubbish\r\n", 10_000)...), func(c client) { c.Close() }},
		{"half of another, closed", append(ask("1"), "*2\r\n$9"...), func(c client) { c.Close() }},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			b := serve(t, 1, 64, 10*time.Second, soon)
			first := b.dial(t) // has the one place
			first.Write(ask("1"))
			conn := b.next(t, 1)
			c := b.dial(t)
			c.Write(x.sent)
			eventually(t, "it does not wait", b.waiting.Load)
			x.ends(c)
			conn.Fail(1)
			first.answer(t)
			first.Close()
			get(t, b.closed)
			if x.name != "reset" { // which may be gone before it is accepted
				get(t, b.closed)
			}
			b.none(t)
		})
	}
	t.Run("taken back", func(t *testing.T) {
		b := serve(t, 1, 64, 10*time.Second, soon)
		c := b.dial(t)
		c.Write(bytes.Join([][]byte{ask("1"), ask("2"), frame("NEVERMIND", "1"), ask("3"), frame("NEVERMIND", "3"), ask("3")}, nil))
		conn := b.next(t, 2)
		b.next(t, 3)
		conn.Fail(2)
		conn.Fail(3)
		for _, want := range []string{"2 500  ", "3 500  "} {
			if got := c.answer(t); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		}
		if len(b.asks)+len(b.never) != 0 {
			t.Errorf("%d more asked for, %d taken back", len(b.asks), len(b.never))
		}
	})
}

// A client that is not listened to any more is seen to leave, and to take back, while its requests are open.
func TestLeavingIsSeenByTheDeaf(t *testing.T) {
	cases := []struct {
		name  string
		fault func(t *testing.T, b *bed, c client)
		takes bool
	}{
		{"after what can't be read", func(t *testing.T, b *bed, c client) { io.WriteString(c, "rubbish\r\n") }, false},
		{"after too many faults", func(t *testing.T, b *bed, c client) {
			for tag := range mostOpen {
				c.Write(frame("ASK", fmt.Sprint(100+tag), "song", fields))
				c.answer(t)
			}
		}, true},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			b := serve(t, 2, 64, 10*time.Second)
			c := b.dial(t)
			c.Write(append(ask("1"), ask("2")...))
			conn := b.next(t, 1)
			b.next(t, 2)
			x.fault(t, b, c)
			eventually(t, "it is listened to", func() bool {
				conn.mu.Lock()
				defer conn.mu.Unlock()
				return conn.phase == ending
			})
			if x.takes {
				c.Write(append(ask("3"), frame("NEVERMIND", "1")...))
				if tag := get(t, b.never); tag != 1 {
					t.Errorf("took back %d", tag)
				}
			}
			if !conn.IsPending(2) {
				t.Error("it does not wait")
			}
			c.Close()
			if get(t, b.closed) != conn || conn.IsPending(2) {
				t.Error("its leaving was not seen")
			}
			if len(b.asks) > 0 {
				t.Error("it was listened to")
			}
		})
	}
}

// narrow is a sink that takes one thing at a time: a connection's reader stands still until it is taken.
type narrow struct{ sink }

func narrowBed(t *testing.T, conns int, change ...func(*policy.Timeouts)) (*bed, net.Listener) {
	b := serve(t, conns, 64, 10*time.Second, change...)
	asks := make(chan asked) // not buffered
	b.sink.asks = asks
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.Server.sinks[0] = narrow{b.sink}
	b.addr = l.Addr().String()
	go b.Serve(l)
	t.Cleanup(func() { l.Close() })
	return b, l
}

// What was sent before the client is told that nothing more comes is answered, also where it lies unread at that moment.
func TestRequestInTheMomentOfTheShut(t *testing.T) {
	b, l := narrowBed(t, 2, func(m *policy.Timeouts) { m.MaxDecisionAge = 0 })
	c := b.dial(t)
	c.Write(ask("1"))
	first := get(t, b.asks)
	c.Write(ask("2"))
	eventually(t, "2 is not open", func() bool { return first.c.IsPending(2) }) // the reader stands still with it
	c.Write(ask("3"))                                                           // and this lies in the socket
	l.Close()
	done := b.closes(t, first.c)
	first.c.Fail(1)
	first.c.Fail(2) // all that is known of is answered
	for _, want := range []string{"1 500  ", "2 500  "} {
		if got := c.answer(t); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	eventually(t, "the reader was not woken", func() bool {
		first.c.mu.Lock()
		defer first.c.mu.Unlock()
		return first.c.answered()
	})
	get(t, b.asks)
	if third := get(t, b.asks); third.tag != 3 {
		t.Errorf("took %d", third.tag)
	}
	first.c.Fail(3)
	if got := c.answer(t); got != "3 500  " {
		t.Errorf("got %q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the answers: %v, want the end", err)
	}
	c.Write(ask("4")) // too late: it is sent again on another
	c.Close()
	get(t, done)
	select {
	case a := <-b.asks:
		t.Errorf("%d was taken after the end", a.tag)
	default:
	}
}

// A connection that was accepted and waits for a place while the listener closes is served.
func TestWaitingForAPlaceAtTheEnd(t *testing.T) {
	b, l := narrowBed(t, 1)
	first, c := b.dial(t), b.dial(t)
	first.Write(ask("1"))
	conn := get(t, b.asks).c
	c.Write(ask("2"))
	eventually(t, "it does not wait", b.waiting.Load)
	l.Close()
	done := b.closes(t, conn)
	conn.Fail(1)
	first.answer(t)
	first.Close()
	a := get(t, b.asks)
	select {
	case <-done:
		t.Error("ended with a request open")
	default:
	}
	a.c.Fail(a.tag)
	if got := c.answer(t); got != "2 500  " {
		t.Errorf("got %q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the answer: %v, want the end", err)
	}
	c.Close()
	get(t, done)
}

// A client that always has something open does not keep the server from its end.
func TestClientThatNeverRests(t *testing.T) {
	b := serve(t, 2, 64, time.Hour, func(m *policy.Timeouts) { m.Connect = policy.Second / 20 })
	c := b.dial(t)
	stop := make(chan struct{})
	defer close(stop)
	go func() { // answers each only once the next is open
		var last asked
		for {
			select {
			case a := <-b.asks:
				if last.c != nil {
					last.c.Fail(last.tag)
				}
				last = a
			case <-time.After(span(b.margins.Connect)): // where no next one comes
				if last.c != nil {
					last.c.Fail(last.tag)
				}
			case <-stop:
				return
			}
		}
	}()
	c.Write(append(ask("1"), ask("2")...))
	c.answer(t)
	done := make(chan struct{})
	go func() {
		b.Server.Shutdown()
		close(done)
	}()
	ended := false
	for tag := 3; !ended; tag++ {
		c.Write(ask(fmt.Sprint(tag)))
		_, err := c.in.ReadByte()
		if ended = err != nil; !ended {
			c.in.UnreadByte()
			c.answer(t)
		}
		if tag > 100_000 {
			t.Fatal("it is still served")
		}
	}
	c.Close()
	get(t, done)
}

// An answer that a slow reader has not taken yet is not lost when the connection is left, whatever the client sends meanwhile.
func TestSlowReaderAtTheEnd(t *testing.T) {
	b := serve(t, 2, 4096, 10*time.Second, func(m *policy.Timeouts) { m.Connect = policy.Second / 50 })
	c := b.dial(t)
	c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	c.Write(ask("1"))
	conn := b.next(t, 1)
	conn.Succeed(1, b.body(1<<20), false) // more than the client's side holds
	done := make(chan struct{})
	go func() {
		b.Server.Shutdown()
		close(done)
	}()
	over := time.Time{}
	eventually(t, "it is never shut", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		if conn.phase >= shut && over.IsZero() {
			over = time.Now().Add(3 * span(b.margins.Connect))
		}
		return !over.IsZero() && time.Now().After(over)
	})
	io.WriteString(c, "*2\r\n") // on a closed connection it brings a reset
	if got := c.answer(t); len(got) != len("1 200  ")+1<<20 {
		t.Errorf("got %d bytes", len(got))
	}
	c.Close()
	get(t, done)
}

// One that was told to stay away makes room only once it must have heard so: a reset could take the answer with it.
func TestRoomIsNotMadeOverAnAnswerOnItsWay(t *testing.T) {
	b := serve(t, 2, 64, 10*time.Second, func(m *policy.Timeouts) { m.PollRetry, m.MaxDecisionAge = 3600*policy.Second, 3600*policy.Second })
	c := b.dial(t)
	c.Write(ask("1"))
	conn := b.next(t, 1)
	conn.Reject(1, 2*time.Hour)
	c.answer(t)
	eventually(t, "it is not answered", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.answered()
	})
	if n := b.makeRoom(1); n != 0 {
		t.Errorf("%d ended at once", n)
	}
	conn.mu.Lock()
	conn.used = conn.used.Add(-2 * span(b.margins.MaxDecisionAge))
	conn.mu.Unlock()
	if n := b.makeRoom(1); n != 1 {
		t.Errorf("%d ended later", n)
	}
}

// A limit that is lowered holds for the connections that are there.
func TestLoweredLimit(t *testing.T) {
	b := serve(t, 8, 64, 10*time.Second, func(m *policy.Timeouts) { m.RequestRead, m.PollRetry = 20*policy.Second/10, 1000 })
	busy := b.dial(t)
	busy.Write(ask("1"))
	conn := b.next(t, 1)
	for range 7 {
		b.dial(t)
	}
	eventually(t, "not all are held", func() bool { return b.ConnCount() == 8 })
	b.SetMaxConns(3)
	eventually(t, "more are held", func() bool { return b.ConnCount() == 3 })
	conn.Fail(1)
	if got := busy.answer(t); got != "1 500  " {
		t.Errorf("the busy one got %q", got)
	}
}

// A client that leaves is seen to while its writer is stuck, since it read nothing: what else it asked for is given up at once.
func TestLeavingWhileTheWriterIsStuck(t *testing.T) {
	b := serve(t, 2, 4096, time.Hour)
	c := b.dial(t)
	c.Write(append(ask("1"), ask("2")...))
	conn := b.next(t, 1)
	b.next(t, 2)
	conn.Succeed(1, b.body(16<<20), false) // more than the sockets between them hold
	eventually(t, "the answer was not taken up", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return len(conn.queue) == 0 && conn.queued > 0
	})
	c.Close()
	if get(t, b.closed) != conn || conn.IsPending(2) {
		t.Error("its leaving was not seen")
	}
}
