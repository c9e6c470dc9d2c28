package downstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/policy"
)

// TestMaxConns guards against a server at its connection limit that does not evict an idle
// connection to accept a new one.
func TestMaxConns(t *testing.T) {
	srv := startServer(t, 2, 64, 10*time.Second)
	c1, c2 := srv.dial(t), srv.dial(t)
	c1.send(t, requestFrame("1"))
	conn := srv.nextConn(t, 1)
	c2.send(t, requestFrame("2"))
	srv.nextConn(t, 2).Fail(2)
	c2.answer(t)
	c3 := srv.dial(t)
	c3.send(t, requestFrame("3"))
	if _, err := c2.in.ReadByte(); err != io.EOF {
		t.Errorf("idle connection was not closed: %v", err)
	}
	c2.close(t)
	srv.nextConn(t, 3).Fail(3)
	conn.Fail(1)
	if first, third := c1.answer(t), c3.answer(t); first != "1 500  " || third != "3 500  " {
		t.Errorf("got %q and %q", first, third)
	}
}

// TestLoweredMaxConns guards against a lowered limit that does not evict idle connections opened
// before.
func TestLoweredMaxConns(t *testing.T) {
	srv := startServer(t, 8, 64, 10*time.Second, func(m *policy.Timeouts) { m.RequestRead, m.PollRetry = 20*policy.Second/10, 1000 })
	busy := srv.dial(t)
	busy.send(t, requestFrame("1"))
	conn := srv.nextConn(t, 1)
	for range 7 {
		srv.dial(t)
	}
	eventually(t, "not all connections were accepted", func() bool { return srv.ConnCount() == 8 })
	srv.SetMaxConns(3)
	eventually(t, "excess connections were not evicted", func() bool { return srv.ConnCount() == 3 })
	conn.Fail(1)
	if got := busy.answer(t); got != "1 500  " {
		t.Errorf("client with a pending request got %q", got)
	}
}

// TestIdleAndIncompleteConnections guards against keeping idle connections or connections without a
// complete message, and against closing one with a pending request.
func TestIdleAndIncompleteConnections(t *testing.T) {
	shortTimeouts := func(m *policy.Timeouts) { m.RequestRead, m.DownstreamIdle = policy.Second/20, policy.Second/10 }
	cases := []struct{ name, sent string }{
		{"nothing sent", ""},
		{"half a message", "*2\r\n$6\r\nSTA"},
		{"a whole one, then half", string(frame("STATUS", "1")) + "*2\r\n$6"},
		{"asked once", string(frame("STATUS", "1"))},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			srv := startServer(t, 8, 64, 10*time.Second, shortTimeouts)
			busy, c := srv.dial(t), srv.dial(t)
			busy.send(t, requestFrame("1"))
			conn := srv.nextConn(t, 1)
			c.trySend([]byte(tc.sent)) // it may have timed out already
			if received, err := io.ReadAll(c.in); err != nil || strings.Contains(tc.sent, "1") != (len(received) > 0) {
				t.Errorf("got %q, %v", received, err)
			}
			conn.Fail(1)
			if got := busy.answer(t); got != "1 500  " {
				t.Errorf("client with a pending request got %q", got)
			}
		})
	}
}

// lastingErrorListener is a listener on which no connection can be accepted.
type lastingErrorListener struct {
	net.Listener
	err    error
	calls  atomic.Int64
	closed atomic.Bool
}

func (l *lastingErrorListener) Accept() (net.Conn, error) {
	l.calls.Add(1)
	if l.closed.Load() {
		return nil, net.ErrClosed
	}
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.err)}
}

// TestLastingAcceptError guards against a listener that spins where every accept fails at once, as
// it does under a firewall rule (EPERM).
func TestLastingAcceptError(t *testing.T) {
	const pause, span = 20 * time.Millisecond, 200 * time.Millisecond
	for _, err := range []error{syscall.EPERM, syscall.EMFILE} {
		t.Run(err.Error(), func(t *testing.T) {
			failing := &lastingErrorListener{Listener: listen(t), err: err}
			defer closeListener(t, failing.Listener)
			s := New([]Handler{testHandler{}}, site, bufpool.New(1), 4, policy.Timeouts{PollRetry: policy.MicrosOf(pause), RequestRead: policy.Second})
			done := make(chan error, 1)
			go func() { done <- s.Serve(failing) }()
			time.Sleep(span)
			if calls := failing.calls.Load(); calls > maxConnectionErrors+int64(span/pause)+1 {
				t.Errorf("accept was called %d times in %v", calls, span)
			}
			failing.closed.Store(true)
			if err := receive(t, done); !errors.Is(err, net.ErrClosed) {
				t.Errorf("Serve returned %v", err)
			}
		})
	}
}

// failingListener is a listener that fails once with an error, after it has accepted the given
// number of connections.
type failingListener struct {
	net.Listener
	err      error
	accepted int // connections still to be accepted before the error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.accepted--; l.accepted == -1 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.Listener.Accept()
}

// TestAcceptErrors guards against a listener that keeps clients waiting where accept failed for one
// connection alone, and against one that spins during a shortage.
func TestAcceptErrors(t *testing.T) {
	const pause = 300 * time.Millisecond
	for _, c := range []struct {
		err      error
		shortage bool
	}{
		{syscall.EMFILE, true}, {syscall.ENFILE, true}, {syscall.ENOBUFS, true}, {syscall.ENOMEM, true},
		{syscall.ECONNABORTED, false}, {syscall.EPROTO, false}, {syscall.EHOSTUNREACH, false}, {syscall.ENETUNREACH, false},
		{syscall.ETIMEDOUT, false}, {syscall.EPERM, false}, {syscall.EINTR, false},
	} {
		t.Run(c.err.Error(), func(t *testing.T) {
			t.Parallel()
			listener := listen(t)
			timeouts := policy.Timeouts{
				WriteFlush: policy.Second, PollRetry: policy.MicrosOf(pause), RequestRead: 5 * policy.Second, DownstreamIdle: 5 * policy.Second,
			}
			s := New([]Handler{testHandler{closedConns: make(chan *Conn, 4)}}, site, bufpool.New(1), 4, timeouts)
			done := make(chan error, 1)
			failing := &failingListener{listener, c.err, 1}
			go func() { done <- s.Serve(failing) }()
			target := &testServer{address: listener.Addr().String()}
			status := func(c testClient, tag string) {
				c.send(t, frame("STATUS", tag))
				if got := c.answer(t); got != tag+" serving  " {
					t.Fatalf("got %q", got)
				}
			}
			idle := target.dial(t)
			status(idle, "1")
			startedAt := time.Now()
			late := target.dial(t)
			status(late, "1")
			if waited := time.Since(startedAt); waited >= pause/2 != c.shortage {
				t.Errorf("the next connection waited for %v", waited)
			}
			if !c.shortage {
				status(idle, "2")
			}
			idle.close(t)
			late.close(t)
			closeListener(t, listener)
			if err := receive(t, done); !errors.Is(err, net.ErrClosed) {
				t.Errorf("Serve returned %v", err)
			}
		})
	}
}

// TestAcceptError guards against Serve returning when Accept fails. It must return only once the
// listener is closed.
func TestAcceptError(t *testing.T) {
	listener := listen(t)
	s := New([]Handler{testHandler{closedConns: make(chan *Conn, 1)}}, site, bufpool.New(1), 1,
		policy.Timeouts{WriteFlush: policy.Second, PollRetry: policy.Second / 5, RequestRead: policy.Second, DownstreamIdle: policy.Second})
	done := make(chan error, 1)
	go func() { done <- s.Serve(&failingListener{listener, syscall.EMFILE, 0}) }()
	c := (&testServer{address: listener.Addr().String()}).dial(t)
	c.send(t, frame("STATUS", "1"))
	if got := c.answer(t); got != "1 serving  " {
		t.Errorf("got %q", got)
	}
	c.close(t)
	closeListener(t, listener)
	if err := receive(t, done); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Serve returned %v", err)
	}
}

// TestRequestAtReadTimeout guards against dropping a request that arrived in time, but that the
// reader has read and not yet registered when the time for the client's message has passed: the
// client's first request after a pause, and the end of a message in two pieces.
func TestRequestAtReadTimeout(t *testing.T) {
	message := requestFrame("1")
	for _, tc := range []struct {
		name   string
		pieces [][]byte
	}{
		{"first request of a connection", [][]byte{message}},
		{"end of a message in two pieces", [][]byte{message[:len(message)/2], message[len(message)/2:]}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv := startServer(t, 8, 64, 10*time.Second, func(m *policy.Timeouts) { m.RequestRead = policy.Second / 5 })
			clientEnd, serverEnd := connectedPair(t)
			paused := pausingConn{serverEnd.(*net.TCPConn), make(chan struct{}, 16), make(chan struct{})}
			srv.start(newConn(srv.Server, srv.testHandler, paused))
			client := testClient{clientEnd, bufio.NewReader(clientEnd)}
			for i, piece := range tc.pieces {
				if i > 0 {
					paused.resume <- struct{}{}
				}
				client.send(t, piece)
				receive(t, paused.read)
			}
			time.Sleep(2 * srv.timeouts.RequestRead.Duration())
			close(paused.resume)
			srv.nextConn(t, 1).Fail(1)
			if got := client.answer(t); got != "1 500  " {
				t.Errorf("got %q", got)
			}
		})
	}
}
