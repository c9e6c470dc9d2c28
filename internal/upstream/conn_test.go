package upstream

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/fakes"
	"tallyproxy/policy"
)

// TestUnwrittenRequestMoves guards against two faults: a request that fails although it was not
// written when its connection was closed, and one that is sent again although it was fully written.
func TestUnwrittenRequestMoves(t *testing.T) {
	f := newFixture(t, testTimeouts, 8)
	var c *conn
	f.locked(func() { c = f.endpoint.pickConn(&Attempt{request: Request{ID: "a1"}}) })
	n := f.accept()
	eventually(t, "the connection was not opened", func() bool {
		f.endpoint.mu.Lock()
		defer f.endpoint.mu.Unlock()
		return c.netConn != nil
	})
	a, outcomes := f.newAttempt("a1")
	f.locked(func() { // the connection is closed before its goroutine can write
		f.endpoint.enqueue(a)
		c.close(io.EOF)
	})
	n.close()
	n = f.accept()
	n.expect("want a1")
	n.close()
	expectOutcome(t, outcomes, "fully written")
}

// TestConnectionResetWhileDialling guards against a request that fails because its connection is
// reset during the dial. As with a reset of an open connection, another one must be dialed.
func TestConnectionResetWhileDialling(t *testing.T) {
	f := newFixture(t, testTimeouts, 8)
	a, outcomes := f.newAttempt("a1")
	f.locked(func() {
		f.endpoint.enqueue(a)
		a.conn.close(&net.OpError{Op: "dial", Err: syscall.ECONNRESET})
	})
	for range 2 { // one of them is the first connection, which is closed
		if n := f.accept(); n.lineStartsWith("want a1 ") {
			n.write("a1 full - 0\r\n\r\n")
			expectOutcome(t, outcomes, "full 0")
			return
		}
	}
	t.Error("the endpoint was not dialed again")
}

// TestMovedRequestAvoidsPreviousConnections guards against a request that moves to a connection of
// an earlier attempt after its own was closed before the write. A late response on that connection
// would be taken for its own.
func TestMovedRequestAvoidsPreviousConnections(t *testing.T) {
	timeouts := testTimeouts
	timeouts.PreferredStreams, timeouts.MaxStreams = 1, 1
	f := newFixture(t, timeouts, 8)
	first, firstOutcomes := f.send("a1")
	n := f.accept()
	n.expect("want a1")
	n.write("a1 absent - 0\r\n\r\n") // a second response follows
	expectOutcome(t, firstOutcomes, "absent 0")
	a, outcomes := f.newAttempt("a1", first)
	f.locked(func() { // the next connection is reset while it is dialled
		if !f.endpoint.enqueue(a) || a.conn == first.conn {
			t.Error("the attempt uses the connection of the first attempt")
		}
		a.conn.close(&net.OpError{Op: "dial", Err: syscall.ECONNRESET})
		if a.finished || !a.moved || a.conn == first.conn {
			t.Errorf("finished %v, moved %v, uses the connection of the first attempt %v", a.finished, a.moved, a.conn == first.conn)
		}
	})
	n.write("a1 data - 3\r\nold\r\n") // late response to the first attempt
	for range 2 {                     // one of them is the connection that was reset
		if n := f.accept(); n.lineStartsWith("want a1 ") {
			n.write("a1 full - 0\r\n\r\n")
			break
		}
	}
	expectOutcome(t, outcomes, "full 0")
	if len(firstOutcomes) != 0 {
		t.Error("the first attempt ended twice")
	}
}

// TestStalledResponse guards against a connection that stays open after it stalled within a
// response. Each attempt on it must fail with its own stage.
func TestStalledResponse(t *testing.T) {
	cases := []struct{ text, want string }{
		{"a1 data - 9\r\nxyz", "response started"},
		{"a1 da", "fully written"},
	}
	for _, c := range cases {
		timeouts := testTimeouts
		timeouts.ReadStall = policy.Second / 50
		f := newFixture(t, timeouts, 8)
		_, a1 := f.send("a1")
		n := f.accept()
		n.expect("want a1")
		_, a2 := f.send("a2")
		n.expect("want a2")
		time.Sleep(2 * timeouts.ReadStall.Duration()) // no timeout between responses
		n.write("a2 full - 0\r\n\r\n")
		expectOutcome(t, a2, "full 0")
		_, a2 = f.send("a2")
		n.expect("want a2")
		n.write(c.text)
		expectOutcome(t, a1, c.want)
		expectOutcome(t, a2, "fully written")
		if _, err := n.in.ReadByte(); err == nil {
			t.Error("the connection is still open")
		}
	}
}

// TestUnsolicitedResponses guards against a connection that fails on the first responses without a
// request, and one that stays in use after many of them.
func TestUnsolicitedResponses(t *testing.T) {
	f := newFixture(t, testTimeouts, 8)
	_, a1 := f.send("a1")
	n := f.accept()
	n.expect("want a1")
	for range maxUnsolicited - 1 {
		n.write("zz data - 2\r\nxx\r\n")
	}
	n.write("a1 full - 0\r\n\r\n")
	expectOutcome(t, a1, "full 0")
	_, a2 := f.send("a2")
	n.expect("want a2") // on the same connection
	n.write("zz data - 2\r\nxx\r\n")
	n.write("a2 full - 0\r\n\r\n")
	expectOutcome(t, a2, "full 0")
	if _, err := n.in.ReadByte(); err != io.EOF {
		t.Errorf("the connection is still open: %v", err)
	}
}

// TestConnectionOpenedAfterCancel guards against a request that is written although it was
// cancelled before its connection opened. The node's accept queue is full, so the connection opens
// late.
func TestConnectionOpenedAfterCancel(t *testing.T) {
	listener, err := fakes.ListenUnresponsive()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	pool := New(bufpool.New(4), testTimeouts, 8)
	defer pool.Close()
	e := pool.NewEndpoint(listener.Addr().String())
	for i, confirm := range []bool{false, true} {
		a, outcomes := sendTo(e, testRequest(fmt.Sprint("a", i)))
		a.Cancel(confirm)
		expectOutcome(t, outcomes, "not connected, cancelled")
	}
	_, outcomes := sendTo(e, testRequest("a2"))
	// The first connections that Accept returns are those that fill the queue.
	for answered := false; !answered; {
		netConn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = netConn.Close() }()
		// SetDeadline fails on a connection that was closed while it was in the queue.
		_ = netConn.SetDeadline(time.Now().Add(10 * time.Second))
		if netConn.RemoteAddr() == nil || !listener.HoldsQueue(netConn) {
			n := newNodeConn(t, netConn)
			n.expect("want a2")
			n.write("a2 full - 0\r\n\r\n")
			answered = true
		}
	}
	expectOutcome(t, outcomes, "full 0")
}
