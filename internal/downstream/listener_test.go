package downstream

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/policy"
)

// TestMaxConns: a server that holds all connections that it may takes another once one of them is idle.
func TestMaxConns(t *testing.T) {
	b := startServer(t, 2, 64, 10*time.Second)
	c1, c2 := b.dial(t), b.dial(t)
	c1.send(t, requestFrame("1"))
	conn := b.nextConn(t, 1)
	c2.send(t, requestFrame("2"))
	b.nextConn(t, 2).Fail(2)
	c2.answer(t)
	c3 := b.dial(t)
	c3.send(t, requestFrame("3"))
	if _, err := c2.in.ReadByte(); err != io.EOF {
		t.Errorf("the idle one was not closed: %v", err)
	}
	c2.close(t)
	b.nextConn(t, 3).Fail(3)
	conn.Fail(1)
	if a, b := c1.answer(t), c3.answer(t); a != "1 500  " || b != "3 500  " {
		t.Errorf("got %q and %q", a, b)
	}
}

// TestLoweredMaxConns: a lowered limit evicts idle connections that are held already.
func TestLoweredMaxConns(t *testing.T) {
	b := startServer(t, 8, 64, 10*time.Second, func(m *policy.Timeouts) { m.RequestRead, m.PollRetry = 20*policy.Second/10, 1000 })
	busy := b.dial(t)
	busy.send(t, requestFrame("1"))
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

// TestIdleAndIncompleteConnections: connections without a complete message, and idle ones, are closed; one with a pending request is not.
func TestIdleAndIncompleteConnections(t *testing.T) {
	short := func(m *policy.Timeouts) { m.RequestRead, m.DownstreamIdle = policy.Second/20, policy.Second/10 }
	cases := []struct{ name, first string }{
		{"nothing sent", ""},
		{"half a message", "*2\r\n$6\r\nSTA"},
		{"a whole one, then half", string(frame("STATUS", "1")) + "*2\r\n$6"},
		{"asked once", string(frame("STATUS", "1"))},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			b := startServer(t, 8, 64, 10*time.Second, short)
			busy, c := b.dial(t), b.dial(t)
			busy.send(t, requestFrame("1"))
			conn := b.nextConn(t, 1)
			c.trySend([]byte(x.first)) // its time may be over before
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

// descriptorlessListener is a listener whose first Accept fails since the process has no descriptor left.
type descriptorlessListener struct {
	net.Listener
	failed bool
}

func (l *descriptorlessListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestAcceptError: Serve goes on after an Accept that failed, and ends with the listener.
func TestAcceptError(t *testing.T) {
	listener := listen(t)
	s := New([]Handler{testHandler{closedConns: make(chan *Conn, 1)}}, site, bufpool.New(1), 1,
		policy.Timeouts{WriteFlush: policy.Second, PollRetry: policy.Second / 5, RequestRead: policy.Second, DownstreamIdle: policy.Second})
	done := make(chan error, 1)
	go func() { done <- s.Serve(&descriptorlessListener{Listener: listener}) }()
	c := (&testServer{address: listener.Addr().String()}).dial(t)
	c.send(t, frame("STATUS", "1"))
	if got := c.answer(t); got != "1 serving  " {
		t.Errorf("got %q", got)
	}
	c.close(t)
	closeListener(t, listener)
	if err := receive(t, done); !errors.Is(err, net.ErrClosed) {
		t.Errorf("ended with %v", err)
	}
}
