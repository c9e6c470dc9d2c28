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

// readAllFirst are margins under which what lies in a socket is read whole before it is handed on.
func readAllFirst(m *policy.Timeouts) { m.MaxDecisionAge = policy.Second }

// requireNoMoreRequests checks that nothing more was asked for, behind a request of another connection that is.
func (b *testServer) requireNoMoreRequests(t *testing.T) {
	t.Helper()
	other := b.dial(t)
	other.Write(requestFrame("9000"))
	b.nextConn(t, 9000).Fail(9000)
	if got := other.answer(t); got != "9000 500  " {
		t.Errorf("another connection got %q", got)
	}
	if len(b.requests) != 0 || len(b.cancels) != 0 {
		t.Errorf("%d more were asked for, %d taken back", len(b.requests), len(b.cancels))
	}
}

// What a client asked for and left or took back while it waited to be read is not handed on.
func TestClientThatLeftWhileItWaited(t *testing.T) {
	many := func() (out []byte) {
		for tag := range maxPendingRequests {
			out = append(out, requestFrame(fmt.Sprint(tag+1))...)
		}
		return out
	}
	cases := []struct {
		name string
		sent []byte
		ends func(testClient)
	}{
		{"closed", requestFrame("1"), func(c testClient) { c.Close() }},
		{"its side closed", requestFrame("1"), func(c testClient) { c.Conn.(*net.TCPConn).CloseWrite() }},
		{"reset", requestFrame("1"), func(c testClient) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() }},
		{"as many as may be open, closed", many(), func(c testClient) { c.Close() }},
		{"much that is written, closed", bytes.Join([][]byte{
			frame("ASK", "1", "segment", fields, strings.Repeat("x", 48_000)),
			frame("ASK", "2", "segment", strings.Replace(fields, "9b", "9c", 1), strings.Repeat("x", 48_000)),
		}, nil), func(c testClient) { c.Close() }},
		{"what can't be read after it, closed", append(requestFrame("1"), "rubbish\r\n"...), func(c testClient) { c.Close() }},
		{"much that can't be read after it, closed", append(requestFrame("1"), strings.Repeat("rubbish\r\n", 10_000)...), func(c testClient) { c.Close() }},
		{"half of another, closed", append(requestFrame("1"), "*2\r\n$9"...), func(c testClient) { c.Close() }},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			b := startServer(t, 1, 64, 10*time.Second, readAllFirst)
			first := b.dial(t) // has the one place
			first.Write(requestFrame("1"))
			conn := b.nextConn(t, 1)
			c := b.dial(t)
			c.Write(x.sent)
			eventually(t, "it does not wait", b.awaitingSlot.Load)
			x.ends(c)
			conn.Fail(1)
			first.answer(t)
			first.Close()
			receive(t, b.closedConns)
			if x.name != "reset" { // which may be gone before it is accepted
				receive(t, b.closedConns)
			}
			b.requireNoMoreRequests(t)
		})
	}
	t.Run("taken back", func(t *testing.T) {
		b := startServer(t, 1, 64, 10*time.Second, readAllFirst)
		c := b.dial(t)
		c.Write(bytes.Join([][]byte{requestFrame("1"), requestFrame("2"), frame("NEVERMIND", "1"), requestFrame("3"), frame("NEVERMIND", "3"), requestFrame("3")}, nil))
		conn := b.nextConn(t, 2)
		b.nextConn(t, 3)
		conn.Fail(2)
		conn.Fail(3)
		for _, want := range []string{"2 500  ", "3 500  "} {
			if got := c.answer(t); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		}
		if len(b.requests)+len(b.cancels) != 0 {
			t.Errorf("%d more asked for, %d taken back", len(b.requests), len(b.cancels))
		}
	})
}

// A client that is not listened to any more is seen to leave, and to take back, while its requests are open.
func TestLeavingIsSeenByTheDeaf(t *testing.T) {
	cases := []struct {
		name  string
		fault func(t *testing.T, b *testServer, c testClient)
		takes bool
	}{
		{"after what can't be read", func(t *testing.T, b *testServer, c testClient) { io.WriteString(c, "rubbish\r\n") }, false},
		{"after too many faults", func(t *testing.T, b *testServer, c testClient) {
			for tag := range maxPendingRequests {
				c.Write(frame("ASK", fmt.Sprint(100+tag), "song", fields))
				c.answer(t)
			}
		}, true},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			b := startServer(t, 2, 64, 10*time.Second)
			c := b.dial(t)
			c.Write(append(requestFrame("1"), requestFrame("2")...))
			conn := b.nextConn(t, 1)
			b.nextConn(t, 2)
			x.fault(t, b, c)
			eventually(t, "it is listened to", func() bool {
				conn.mu.Lock()
				defer conn.mu.Unlock()
				return conn.phase == phaseDraining
			})
			if x.takes {
				c.Write(append(requestFrame("3"), frame("NEVERMIND", "1")...))
				if tag := receive(t, b.cancels); tag != 1 {
					t.Errorf("took back %d", tag)
				}
			}
			if !conn.IsPending(2) {
				t.Error("it does not wait")
			}
			c.Close()
			if receive(t, b.closedConns) != conn || conn.IsPending(2) {
				t.Error("its leaving was not seen")
			}
			if len(b.requests) > 0 {
				t.Error("it was listened to")
			}
		})
	}
}

// unbufferedHandler is a sink that takes one thing at a time: a connection's reader stands still until it is taken.
type unbufferedHandler struct{ testHandler }

func startUnbuffered(t *testing.T, conns int, change ...func(*policy.Timeouts)) (*testServer, net.Listener) {
	b := startServer(t, conns, 64, 10*time.Second, change...)
	asks := make(chan receivedCall) // not buffered
	b.testHandler.requests = asks
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.Server.handlers[0] = unbufferedHandler{b.testHandler}
	b.addr = l.Addr().String()
	go b.Serve(l)
	t.Cleanup(func() { l.Close() })
	return b, l
}

// What was sent before the client is told that nothing more comes is answered, also where it lies unread at that moment.
func TestRequestInTheMomentOfTheShut(t *testing.T) {
	b, l := startUnbuffered(t, 2, func(m *policy.Timeouts) { m.MaxDecisionAge = 0 })
	c := b.dial(t)
	c.Write(requestFrame("1"))
	first := receive(t, b.requests)
	c.Write(requestFrame("2"))
	eventually(t, "2 is not open", func() bool { return first.conn.IsPending(2) }) // the reader stands still with it
	c.Write(requestFrame("3"))                                                     // and this lies in the socket
	l.Close()
	done := b.shutdownAsync(t, first.conn)
	first.conn.Fail(1)
	first.conn.Fail(2) // all that is known of is answered
	for _, want := range []string{"1 500  ", "2 500  "} {
		if got := c.answer(t); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	eventually(t, "the reader was not woken", func() bool {
		first.conn.mu.Lock()
		defer first.conn.mu.Unlock()
		return first.conn.idleLocked()
	})
	receive(t, b.requests)
	if third := receive(t, b.requests); third.tag != 3 {
		t.Errorf("took %d", third.tag)
	}
	first.conn.Fail(3)
	if got := c.answer(t); got != "3 500  " {
		t.Errorf("got %q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the answers: %v, want the end", err)
	}
	c.Write(requestFrame("4")) // too late: it is sent again on another
	c.Close()
	receive(t, done)
	select {
	case a := <-b.requests:
		t.Errorf("%d was taken after the end", a.tag)
	default:
	}
}

// A connection that was accepted and waits for a place while the listener closes is served.
func TestWaitingForAPlaceAtTheEnd(t *testing.T) {
	b, l := startUnbuffered(t, 1)
	first, c := b.dial(t), b.dial(t)
	first.Write(requestFrame("1"))
	conn := receive(t, b.requests).conn
	c.Write(requestFrame("2"))
	eventually(t, "it does not wait", b.awaitingSlot.Load)
	l.Close()
	done := b.shutdownAsync(t, conn)
	conn.Fail(1)
	first.answer(t)
	first.Close()
	a := receive(t, b.requests)
	select {
	case <-done:
		t.Error("ended with a request open")
	default:
	}
	a.conn.Fail(a.tag)
	if got := c.answer(t); got != "2 500  " {
		t.Errorf("got %q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the answer: %v, want the end", err)
	}
	c.Close()
	receive(t, done)
}

// A client that always has something open does not keep the server from its end.
func TestClientThatNeverRests(t *testing.T) {
	b := startServer(t, 2, 64, time.Hour, func(m *policy.Timeouts) { m.Connect = policy.Second / 20 })
	c := b.dial(t)
	stop := make(chan struct{})
	defer close(stop)
	go func() { // answers each only once the next is open
		var last receivedCall
		for {
			select {
			case a := <-b.requests:
				if last.conn != nil {
					last.conn.Fail(last.tag)
				}
				last = a
			case <-time.After(b.timeouts.Connect.Duration()): // where no next one comes
				if last.conn != nil {
					last.conn.Fail(last.tag)
				}
			case <-stop:
				return
			}
		}
	}()
	c.Write(append(requestFrame("1"), requestFrame("2")...))
	c.answer(t)
	done := make(chan struct{})
	go func() {
		b.Server.Shutdown()
		close(done)
	}()
	ended := false
	for tag := 3; !ended; tag++ {
		c.Write(requestFrame(fmt.Sprint(tag)))
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
	receive(t, done)
}

// An answer that a slow reader has not taken yet is not lost when the connection is left, whatever the client sends meanwhile.
func TestSlowReaderAtTheEnd(t *testing.T) {
	b := startServer(t, 2, 4096, 10*time.Second, func(m *policy.Timeouts) { m.Connect = policy.Second / 50 })
	c := b.dial(t)
	c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	c.Write(requestFrame("1"))
	conn := b.nextConn(t, 1)
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
		if conn.phase >= phaseHalfClosed && over.IsZero() {
			over = time.Now().Add(3 * b.timeouts.Connect.Duration())
		}
		return !over.IsZero() && time.Now().After(over)
	})
	io.WriteString(c, "*2\r\n") // on a closed connection it brings a reset
	if got := c.answer(t); len(got) != len("1 200  ")+1<<20 {
		t.Errorf("got %d bytes", len(got))
	}
	c.Close()
	receive(t, done)
}

// One that was told to stay away makes room only once it must have heard so: a reset could take the answer with it.
func TestRoomIsNotMadeOverAnAnswerOnItsWay(t *testing.T) {
	b := startServer(t, 2, 64, 10*time.Second, func(m *policy.Timeouts) { m.PollRetry, m.MaxDecisionAge = 3600*policy.Second, 3600*policy.Second })
	c := b.dial(t)
	c.Write(requestFrame("1"))
	conn := b.nextConn(t, 1)
	conn.Reject(1, 2*time.Hour)
	c.answer(t)
	eventually(t, "it is not answered", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.idleLocked()
	})
	if n := b.evictIdle(1); n != 0 {
		t.Errorf("%d ended at once", n)
	}
	conn.mu.Lock()
	conn.lastUsed = conn.lastUsed.Add(-2 * b.timeouts.MaxDecisionAge.Duration())
	conn.mu.Unlock()
	if n := b.evictIdle(1); n != 1 {
		t.Errorf("%d ended later", n)
	}
}

// A limit that is lowered holds for the connections that are there.
func TestLoweredLimit(t *testing.T) {
	b := startServer(t, 8, 64, 10*time.Second, func(m *policy.Timeouts) { m.RequestRead, m.PollRetry = 20*policy.Second/10, 1000 })
	busy := b.dial(t)
	busy.Write(requestFrame("1"))
	conn := b.nextConn(t, 1)
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
	b := startServer(t, 2, 4096, time.Hour)
	c := b.dial(t)
	c.Write(append(requestFrame("1"), requestFrame("2")...))
	conn := b.nextConn(t, 1)
	b.nextConn(t, 2)
	conn.Succeed(1, b.body(16<<20), false) // more than the sockets between them hold
	eventually(t, "the answer was not taken up", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return len(conn.queue) == 0 && conn.queuedBytes > 0
	})
	c.Close()
	if receive(t, b.closedConns) != conn || conn.IsPending(2) {
		t.Error("its leaving was not seen")
	}
}
