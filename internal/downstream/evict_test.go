package downstream

import (
	"bufio"
	"net"
	"testing"
	"time"

	"tallyproxy/policy"
)

// TestConnectionFlood guards against connections that sent nothing, or only one STATUS, and that
// keep out a client with a request. However many there are, they must be evicted, and a connection
// with a pending request must not.
func TestConnectionFlood(t *testing.T) {
	for _, initial := range []string{"", string(frame("STATUS", "1"))} {
		srv := startServer(t, 4, 64, 10*time.Second, func(m *policy.Timeouts) { m.PollRetry = policy.Second / 100 })
		busy := srv.dial(t)
		busy.send(t, requestFrame("6"))
		busyConn := srv.nextConn(t, 6)
		for range 40 {
			srv.dial(t).trySend([]byte(initial)) // the server may have evicted it already
		}
		late := srv.dial(t)
		late.send(t, requestFrame("7"))
		srv.nextConn(t, 7).Fail(7)
		if got := late.answer(t); got != "7 500  " {
			t.Errorf("late client got %q", got)
		}
		busyConn.Fail(6)
		if got := busy.answer(t); got != "6 500  " {
			t.Errorf("client with a pending request got %q", got)
		}
	}
}

// TestSlowReaderIsNotEvicted guards against evicting a connection as idle before its client has
// read all responses.
func TestSlowReaderIsNotEvicted(t *testing.T) {
	srv := startServer(t, 2, 4096, 10*time.Second, func(m *policy.Timeouts) { m.PollRetry = policy.Second / 100 })
	slow := srv.dial(t)
	slow.send(t, requestFrame("1"))
	conn := srv.nextConn(t, 1)
	conn.Succeed(1, srv.body(16<<20), false) // more than the socket buffers of both sides hold
	eventually(t, "the writer did not take the response", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return len(conn.queue) == 0 && time.Since(conn.lastUsed) > 2*srv.timeouts.PollRetry.Duration()
	})
	for range 8 {
		srv.dial(t)
	}
	late := srv.dial(t)
	late.send(t, frame("STATUS", "1"))
	late.answer(t)
	if got := slow.answer(t); len(got) < 16<<20 {
		t.Errorf("the response to the slow client has %d bytes", len(got))
	}
}

// TestIdleConnectionIsEvicted guards against evicting nothing while the connections without a
// message are too new: an idle connection must be evicted instead.
func TestIdleConnectionIsEvicted(t *testing.T) {
	srv := startServer(t, 3, 64, 10*time.Second, func(m *policy.Timeouts) { m.PollRetry = 3600 * policy.Second })
	idle := srv.dial(t)
	idle.send(t, frame("STATUS", "1"))
	idle.answer(t)
	srv.mu.Lock()
	for c := range srv.conns {
		c.mu.Lock()
		c.lastUsed = c.lastUsed.Add(-2 * srv.timeouts.PollRetry.Duration())
		c.mu.Unlock()
	}
	srv.mu.Unlock()
	srv.dial(t)
	srv.dial(t)
	eventually(t, "not all connections were accepted", func() bool { return srv.ConnCount() == 3 })
	late := srv.dial(t)
	late.send(t, frame("STATUS", "1"))
	if got := late.answer(t); got != "1 serving  " {
		t.Errorf("got %q", got)
	}
}

// TestRejectionOnItsWayIsNotEvicted guards against evicting a client that was told to retry later
// before it has received the rejection, which a reset of the connection could discard.
func TestRejectionOnItsWayIsNotEvicted(t *testing.T) {
	srv := startServer(t, 2, 64, 10*time.Second, func(m *policy.Timeouts) { m.PollRetry, m.MaxDecisionAge = 3600*policy.Second, 3600*policy.Second })
	c := srv.dial(t)
	c.send(t, requestFrame("1"))
	conn := srv.nextConn(t, 1)
	conn.Reject(1, 2*time.Hour)
	c.answer(t)
	eventually(t, "connection is not idle after the response", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.idleLocked()
	})
	if n := srv.evictIdle(1); n != 0 {
		t.Errorf("evicted %d connections at once, want 0", n)
	}
	conn.mu.Lock()
	conn.lastUsed = conn.lastUsed.Add(-2 * srv.timeouts.MaxDecisionAge.Duration())
	conn.mu.Unlock()
	if n := srv.evictIdle(1); n != 1 {
		t.Errorf("evicted %d connections later, want 1", n)
	}
}

// pausingConn is a connection whose Read blocks after receiving data until the test resumes it.
type pausingConn struct {
	*net.TCPConn
	read   chan struct{} // receives one element per read
	resume chan struct{} // closed to resume reads
}

func (c pausingConn) Read(buffer []byte) (n int, err error) {
	n, err = c.TCPConn.Read(buffer)
	if n > 0 {
		c.read <- struct{}{}
		<-c.resume
	}
	return n, err
}

// TestRequestThatWasReadIsNotEvicted guards against losing a request that the reader has read from
// the socket but not yet registered when the connection is chosen for eviction.
func TestRequestThatWasReadIsNotEvicted(t *testing.T) {
	srv := startServer(t, 8, 64, 10*time.Second, func(m *policy.Timeouts) { m.PollRetry = policy.Second / 1000 })
	clientEnd, serverEnd := connectedPair(t)
	paused := pausingConn{serverEnd.(*net.TCPConn), make(chan struct{}, 16), make(chan struct{})}
	srv.start(newConn(srv.Server, srv.testHandler, paused))
	client := testClient{clientEnd, bufio.NewReader(clientEnd)}
	client.send(t, requestFrame("1"))
	receive(t, paused.read)
	time.Sleep(2 * srv.timeouts.PollRetry.Duration())
	srv.evictIdle(1)
	close(paused.resume)
	srv.nextConn(t, 1).Fail(1)
	if got := client.answer(t); got != "1 500  " {
		t.Errorf("got %q", got)
	}
}
