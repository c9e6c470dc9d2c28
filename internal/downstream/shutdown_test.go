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

// TestShutdownAnswersFirst guards against ending a connection before its pending request is
// answered.
func TestShutdownAnswersFirst(t *testing.T) {
	srv := startServer(t, 2, 64, 10*time.Second)
	c := srv.dial(t)
	c.send(t, requestFrame("1"))
	conn := srv.nextConn(t, 1)
	done := srv.shutdownAsync(t, conn)
	conn.Fail(1)
	if got := c.answer(t); got != "1 500  " {
		t.Errorf("got %q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the response: got %v, want io.EOF", err)
	}
	c.close(t)
	receive(t, done)
}

// TestRequestDuringHalfClose guards against losing a request that was sent before the connection
// was half-closed, even if it was unread at that time.
func TestRequestDuringHalfClose(t *testing.T) {
	srv, listener := startUnbuffered(t, 2, func(m *policy.Timeouts) { m.MaxDecisionAge = 0 })
	c := srv.dial(t)
	c.send(t, requestFrame("1"))
	first := receive(t, srv.requests)
	c.send(t, requestFrame("2"))
	// the reader blocks while it delivers request 2
	eventually(t, "request 2 is not pending", func() bool { return first.conn.IsPending(2) })
	c.send(t, requestFrame("3")) // this stays unread in the socket
	closeListener(t, listener)
	done := srv.shutdownAsync(t, first.conn)
	first.conn.Fail(1)
	first.conn.Fail(2) // all requests that were read are answered
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
	receive(t, srv.requests)
	if third := receive(t, srv.requests); third.tag != 3 {
		t.Errorf("got request %d, want 3", third.tag)
	}
	first.conn.Fail(3)
	if got := c.answer(t); got != "3 500  " {
		t.Errorf("got %q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the responses: got %v, want io.EOF", err)
	}
	c.trySend(requestFrame("4")) // too late: the client would send it again on another connection
	c.close(t)
	receive(t, done)
	select {
	case call := <-srv.requests:
		t.Errorf("request %d was handled after the half-close", call.tag)
	default:
	}
}

// TestLateRequestDuringHalfClose guards against losing a request that is unread when a connection
// is half-closed after its drain deadline, because the connection is busy or because its last
// request was answered just then.
func TestLateRequestDuringHalfClose(t *testing.T) {
	srv, listener := startUnbuffered(t, 2, func(m *policy.Timeouts) { m.MaxDecisionAge, m.Connect = 0, policy.Second/1000 })
	c := srv.dial(t)
	c.send(t, requestFrame("1"))
	first := receive(t, srv.requests)
	c.send(t, requestFrame("2"))
	// the reader blocks while it delivers request 2
	eventually(t, "request 2 is not pending", func() bool { return first.conn.IsPending(2) })
	closeListener(t, listener)
	done := srv.shutdownAsync(t, first.conn)
	eventually(t, "the deadline has not passed", func() bool {
		first.conn.mu.Lock()
		defer first.conn.mu.Unlock()
		return first.conn.phase == phaseDraining && time.Now().After(first.conn.closeDeadline)
	})
	c.send(t, requestFrame("3")) // this stays unread in the socket
	first.conn.Fail(1)
	first.conn.Fail(2) // all requests that were read are answered
	for _, want := range []string{"1 500  ", "2 500  "} {
		if got := c.answer(t); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	eventually(t, "responses are still being written", func() bool {
		first.conn.mu.Lock()
		defer first.conn.mu.Unlock()
		return first.conn.idleLocked()
	})
	first.conn.wakeReader() // as the writer would
	receive(t, srv.requests)
	if got := c.answer(t); got != "3 503 later=70 " {
		t.Errorf("got %q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the responses: got %v, want io.EOF", err)
	}
	c.close(t)
	receive(t, done)
}

// TestEndlessRequestsDuringDrain guards against a client that delays the end of its connection by
// sending requests without pause.
func TestEndlessRequestsDuringDrain(t *testing.T) {
	srv := startServer(t, 2, 64, 10*time.Second, func(m *policy.Timeouts) { m.Connect = policy.Second / 1000 })
	c := srv.dial(t)
	c.send(t, requestFrame("1"))
	conn := srv.nextConn(t, 1)
	done := srv.shutdownAsync(t, conn)
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
		_, _ = io.Copy(io.Discard, c.in) // any end is accepted, including a reset
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

// TestInputPutsHalfCloseOff guards against losing requests of a client that sends many after the
// drain deadline. Input must delay the half-close until it has been found for PollRetry and in
// maxPendingRequests checks. The time alone is not enough, because a director that had no processor
// for PollRetry has made no checks.
func TestInputPutsHalfCloseOff(t *testing.T) {
	srv := startServer(t, 2, 64, 10*time.Second)
	client, netConn := connectedPair(t)
	_, err := client.Write([]byte("a request"))
	requireNoError(t, err)
	eventually(t, "input did not arrive", func() bool { data, _ := socket.PendingInput(netConn); return data })
	c, deadline := newConn(srv.Server, srv.testHandler, netConn), time.Now()
	c.phase, c.closeDeadline = phaseDraining, deadline
	pollRetry := srv.timeouts.PollRetry.Duration()
	for _, step := range []struct {
		after  time.Duration // time since the deadline
		count  int
		closed bool
	}{
		{-time.Second, 100, false}, {time.Second, 1, false}, {time.Second + pollRetry/2, 1, false}, {time.Second + pollRetry, maxPendingRequests - 2, false},
		{time.Second + pollRetry - 1, 100, false}, {time.Second + pollRetry, 1, true},
	} {
		for range step.count {
			c.tryHalfCloseLocked(deadline.Add(step.after))
		}
		if closed := c.phase == phaseHalfClosed; closed != step.closed {
			t.Errorf("%d checks %v after the deadline: half-closed %v, want %v", step.count, step.after, closed, step.closed)
		}
	}
}

// TestConnAwaitingSlotAtShutdown guards against dropping a connection that was accepted and waits
// for a slot when the listener closes.
func TestConnAwaitingSlotAtShutdown(t *testing.T) {
	srv, listener := startUnbuffered(t, 1)
	first, c := srv.dial(t), srv.dial(t)
	first.send(t, requestFrame("1"))
	conn := receive(t, srv.requests).conn
	c.send(t, requestFrame("2"))
	eventually(t, "connection does not wait for a slot", srv.awaitingSlot.Load)
	closeListener(t, listener)
	done := srv.shutdownAsync(t, conn)
	conn.Fail(1)
	first.answer(t)
	first.close(t)
	call := receive(t, srv.requests)
	select {
	case <-done:
		t.Error("Shutdown returned with a pending request")
	default:
	}
	call.conn.Fail(call.tag)
	if got := c.answer(t); got != "2 500  " {
		t.Errorf("got %q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the response: got %v, want io.EOF", err)
	}
	c.close(t)
	receive(t, done)
}

// TestShutdownWithBusyClient guards against a client that delays the end of its connection by
// always having a pending request.
func TestShutdownWithBusyClient(t *testing.T) {
	srv := startServer(t, 2, 64, time.Hour, func(m *policy.Timeouts) { m.Connect = policy.Second / 20 })
	c := srv.dial(t)
	stop := make(chan struct{})
	defer close(stop)
	go func() { // answers each request only once the next one is pending
		var last receivedCall
		for {
			select {
			case call := <-srv.requests:
				if last.conn != nil {
					last.conn.Fail(last.tag)
				}
				last = call
			case <-time.After(srv.timeouts.Connect.Duration()): // no further request arrives
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
		srv.Shutdown()
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
			t.Fatal("connection is still served")
		}
	}
	c.close(t)
	receive(t, done)
}

// TestShutdownWithSlowReader guards against closing a half-closed connection before its client has
// read all responses, even if the client sends data meanwhile.
func TestShutdownWithSlowReader(t *testing.T) {
	srv := startServer(t, 2, 4096, 10*time.Second, func(m *policy.Timeouts) { m.Connect = policy.Second / 50 })
	c := srv.dial(t)
	requireNoError(t, c.Conn.(*net.TCPConn).SetReadBuffer(64<<10))
	c.send(t, requestFrame("1"))
	conn := srv.nextConn(t, 1)
	conn.Succeed(1, srv.body(1<<20), false) // more than the client's receive buffer holds
	done := make(chan struct{})
	go func() {
		srv.Shutdown()
		close(done)
	}()
	openUntil := time.Time{}
	eventually(t, "connection was not half-closed", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		if conn.phase >= phaseHalfClosed && openUntil.IsZero() {
			openUntil = time.Now().Add(3 * srv.timeouts.Connect.Duration())
		}
		return !openUntil.IsZero() && time.Now().After(openUntil)
	})
	c.send(t, []byte("*2\r\n")) // would cause a reset if the connection were closed
	if got := c.answer(t); len(got) != len("1 200  ")+1<<20 {
		t.Errorf("got %d bytes", len(got))
	}
	c.close(t)
	receive(t, done)
}
