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

// A request that was not written moves to another connection when its own is closed; one that was does not.
func TestUnwrittenRequestMoves(t *testing.T) {
	f := newFixture(t, testTimeouts, 8)
	var c *conn
	f.locked(func() { c = f.endpoint.pickConn(&Attempt{request: Request{ID: "a1"}}) })
	n := f.accept()
	eventually(t, "never open", func() bool {
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

// A connection that is reset while it is dialled says no more of its endpoint than one that is reset when it is open: it is dialled again.
func TestConnectionResetWhileDialling(t *testing.T) {
	f := newFixture(t, testTimeouts, 8)
	a, outcomes := f.newAttempt("a1")
	f.locked(func() {
		f.endpoint.enqueue(a)
		a.conn.close(&net.OpError{Op: "dial", Err: syscall.ECONNRESET})
	})
	for range 2 { // one of them is the first, which is closed
		if n := f.accept(); n.lineStartsWith("want a1 ") {
			n.write("a1 full - 0\r\n\r\n")
			expectOutcome(t, outcomes, "full 0")
			return
		}
	}
	t.Error("it was not dialled again")
}

// A request that moves to another connection, since its own was closed before it was written, uses none of an earlier attempt: what
// still comes there would be taken for its response.
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
			t.Error("it uses the connection of the first")
		}
		a.conn.close(&net.OpError{Op: "dial", Err: syscall.ECONNRESET})
		if a.finished || !a.moved || a.conn == first.conn {
			t.Errorf("finished %v, moved %v, to the connection of the first %v", a.finished, a.moved, a.conn == first.conn)
		}
	})
	n.write("a1 data - 3\r\nold\r\n") // late, and not this attempt's
	for range 2 {                     // one of them is the one that was reset
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

// A connection that stalls within a response is closed; the other attempts on it end at their stages.
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
		time.Sleep(2 * timeouts.ReadStall.Duration()) // between responses there is no such timeout
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

// A connection with many responses that nobody requested takes no further requests; a few are skipped.
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
		t.Errorf("it is still open: %v", err)
	}
}

// A connection that is opened after its attempt was cancelled carries nothing of it. The node's accept queue is full, so that the
// connection opens late.
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
	for answered := false; !answered; { // connections of the queue come first
		netConn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = netConn.Close() }()
		_ = netConn.SetDeadline(time.Now().Add(10 * time.Second)) // a connection of the queue may have been closed
		if netConn.RemoteAddr() == nil || !listener.HoldsQueue(netConn) {
			n := newNodeConn(t, netConn)
			n.expect("want a2")
			n.write("a2 full - 0\r\n\r\n")
			answered = true
		}
	}
	expectOutcome(t, outcomes, "full 0")
}
