package downstream

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"tallyproxy/internal/socket"
	"tallyproxy/policy"
)

// TestShutdownAnswersFirst: a connection ends after its pending request is answered.
func TestShutdownAnswersFirst(t *testing.T) {
	b := startServer(t, 2, 64, 10*time.Second)
	c := b.dial(t)
	c.send(t, requestFrame("1"))
	conn := b.nextConn(t, 1)
	done := b.shutdownAsync(t, conn)
	conn.Fail(1)
	if got := c.answer(t); got != "1 500  " {
		t.Errorf("got %q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the answer: %v, want the end", err)
	}
	c.close(t)
	receive(t, done)
}

// TestRequestDuringHalfClose: a request that was sent before the connection was half-closed is answered, also where it lay unread then.
func TestRequestDuringHalfClose(t *testing.T) {
	b, listener := startUnbuffered(t, 2, func(m *policy.Timeouts) { m.MaxDecisionAge = 0 })
	c := b.dial(t)
	c.send(t, requestFrame("1"))
	first := receive(t, b.requests)
	c.send(t, requestFrame("2"))
	eventually(t, "2 is not open", func() bool { return first.conn.IsPending(2) }) // the reader stands still with it
	c.send(t, requestFrame("3"))                                                   // and this lies in the socket
	closeListener(t, listener)
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
	c.trySend(requestFrame("4")) // too late: it is sent again on another
	c.close(t)
	receive(t, done)
	select {
	case a := <-b.requests:
		t.Errorf("%d was taken after the end", a.tag)
	default:
	}
}

// TestLateRequestDuringHalfClose guards against a request that is lost where it lies unread as a connection is half-closed after its drain
// deadline: a busy connection, or one whose request was answered at the last moment.
func TestLateRequestDuringHalfClose(t *testing.T) {
	b, listener := startUnbuffered(t, 2, func(m *policy.Timeouts) { m.MaxDecisionAge, m.Connect = 0, policy.Second/1000 })
	c := b.dial(t)
	c.send(t, requestFrame("1"))
	first := receive(t, b.requests)
	c.send(t, requestFrame("2"))
	eventually(t, "2 is not open", func() bool { return first.conn.IsPending(2) }) // the reader stands still with it
	closeListener(t, listener)
	done := b.shutdownAsync(t, first.conn)
	eventually(t, "the deadline has not passed", func() bool {
		first.conn.mu.Lock()
		defer first.conn.mu.Unlock()
		return first.conn.phase == phaseDraining && time.Now().After(first.conn.closeDeadline)
	})
	c.send(t, requestFrame("3")) // this lies in the socket
	first.conn.Fail(1)
	first.conn.Fail(2) // all that is known of is answered
	for _, want := range []string{"1 500  ", "2 500  "} {
		if got := c.answer(t); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	eventually(t, "an answer is on its way", func() bool {
		first.conn.mu.Lock()
		defer first.conn.mu.Unlock()
		return first.conn.idleLocked()
	})
	first.conn.wakeReader() // as the writer does
	receive(t, b.requests)
	if got := c.answer(t); got != "3 503 later=70 " {
		t.Errorf("got %q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the answers: %v, want the end", err)
	}
	c.close(t)
	receive(t, done)
}

// TestEndlessRequestsDuringDrain guards against a client that never stops sending requests, and would so put the end of its connection off.
func TestEndlessRequestsDuringDrain(t *testing.T) {
	b := startServer(t, 2, 64, 10*time.Second, func(m *policy.Timeouts) { m.Connect = policy.Second / 1000 })
	c := b.dial(t)
	c.send(t, requestFrame("1"))
	conn := b.nextConn(t, 1)
	done := b.shutdownAsync(t, conn)
	stop := make(chan struct{})
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for tag := 2; ; tag++ {
			select {
			case <-stop:
				return
			default:
				c.trySend(requestFrame(strconv.Itoa(tag)))
			}
		}
	}()
	conn.Fail(1)
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, c.in) // whatever the end is, a reset included
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the connection did not end")
	}
	close(stop)
	<-sent
	c.close(t)
	receive(t, done)
}

// TestInputPutsHalfCloseOff guards against losing the requests of a client that sends many after the drain deadline: however many came,
// input keeps the connection until the client has left no moment without any for PollRetry, in as many looks as it may have requests
// pending: a director that had no processor for PollRetry has not looked.
func TestInputPutsHalfCloseOff(t *testing.T) {
	b := startServer(t, 2, 64, 10*time.Second)
	client, netConn := connectedPair(t)
	_, err := client.Write([]byte("a request"))
	requireNoError(t, err)
	eventually(t, "nothing came", func() bool { data, _ := socket.PendingInput(netConn); return data })
	c, deadline := newConn(b.Server, b.testHandler, netConn), time.Now()
	c.phase, c.closeDeadline = phaseDraining, deadline
	pollRetry := b.timeouts.PollRetry.Duration()
	for _, looks := range []struct {
		after  time.Duration // the deadline
		count  int
		closed bool
	}{
		{-time.Second, 100, false}, {time.Second, 1, false}, {time.Second + pollRetry/2, 1, false}, {time.Second + pollRetry, maxPendingRequests - 2, false},
		{time.Second + pollRetry - 1, 100, false}, {time.Second + pollRetry, 1, true},
	} {
		for range looks.count {
			c.tryHalfCloseLocked(deadline.Add(looks.after))
		}
		if closed := c.phase == phaseHalfClosed; closed != looks.closed {
			t.Errorf("%d looks %v after the deadline: half-closed %v, want %v", looks.count, looks.after, closed, looks.closed)
		}
	}
}

// TestConnAwaitingSlotAtShutdown: a connection that was accepted and waits for a slot when the listener closes is served.
func TestConnAwaitingSlotAtShutdown(t *testing.T) {
	b, listener := startUnbuffered(t, 1)
	first, c := b.dial(t), b.dial(t)
	first.send(t, requestFrame("1"))
	conn := receive(t, b.requests).conn
	c.send(t, requestFrame("2"))
	eventually(t, "it does not wait", b.awaitingSlot.Load)
	closeListener(t, listener)
	done := b.shutdownAsync(t, conn)
	conn.Fail(1)
	first.answer(t)
	first.close(t)
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
	c.close(t)
	receive(t, done)
}

// TestShutdownWithBusyClient: a client that always has a pending request does not put off the end of its connection.
func TestShutdownWithBusyClient(t *testing.T) {
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
	c.send(t, requestFrame("1"), requestFrame("2"))
	c.answer(t)
	done := make(chan struct{})
	go func() {
		b.Shutdown()
		close(done)
	}()
	ended := false
	for tag := 3; !ended; tag++ {
		c.trySend(requestFrame(fmt.Sprint(tag)))
		_, err := c.in.ReadByte()
		if ended = err != nil; !ended {
			requireNoError(t, c.in.UnreadByte())
			c.answer(t)
		}
		if tag > 100_000 {
			t.Fatal("it is still served")
		}
	}
	c.close(t)
	receive(t, done)
}

// TestShutdownWithSlowReader: a half-closed connection stays until its client has read all responses, whatever it sends meanwhile.
func TestShutdownWithSlowReader(t *testing.T) {
	b := startServer(t, 2, 4096, 10*time.Second, func(m *policy.Timeouts) { m.Connect = policy.Second / 50 })
	c := b.dial(t)
	requireNoError(t, c.Conn.(*net.TCPConn).SetReadBuffer(64<<10))
	c.send(t, requestFrame("1"))
	conn := b.nextConn(t, 1)
	conn.Succeed(1, b.body(1<<20), false) // more than the client's side holds
	done := make(chan struct{})
	go func() {
		b.Shutdown()
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
	c.send(t, []byte("*2\r\n")) // on a closed connection it brings a reset
	if got := c.answer(t); len(got) != len("1 200  ")+1<<20 {
		t.Errorf("got %d bytes", len(got))
	}
	c.close(t)
	receive(t, done)
}
