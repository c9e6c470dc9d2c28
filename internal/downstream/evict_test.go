package downstream

import (
	"bufio"
	"net"
	"testing"
	"time"

	"tallyproxy/policy"
)

// TestConnectionFlood: connections that send nothing, or sent one STATUS, are evicted for each other and for one with a request, however
// many come. One with a pending request stays.
func TestConnectionFlood(t *testing.T) {
	for _, first := range []string{"", string(frame("STATUS", "1"))} {
		b := startServer(t, 4, 64, 10*time.Second, func(m *policy.Timeouts) { m.PollRetry = policy.Second / 100 })
		good := b.dial(t)
		good.send(t, requestFrame("6"))
		open := b.nextConn(t, 6)
		for range 40 {
			b.dial(t).trySend([]byte(first)) // it may be evicted before
		}
		late := b.dial(t)
		late.send(t, requestFrame("7"))
		b.nextConn(t, 7).Fail(7)
		if got := late.answer(t); got != "7 500  " {
			t.Errorf("the late one got %q", got)
		}
		open.Fail(6)
		if got := good.answer(t); got != "6 500  " {
			t.Errorf("the one with a request open got %q", got)
		}
	}
}

// TestSlowReaderIsNotEvicted: a connection is not idle while its client has not read all responses.
func TestSlowReaderIsNotEvicted(t *testing.T) {
	b := startServer(t, 2, 4096, 10*time.Second, func(m *policy.Timeouts) { m.PollRetry = policy.Second / 100 })
	slow := b.dial(t)
	slow.send(t, requestFrame("1"))
	conn := b.nextConn(t, 1)
	conn.Succeed(1, b.body(16<<20), false) // more than the sockets between them hold
	eventually(t, "the answer was not taken up", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return len(conn.queue) == 0 && time.Since(conn.lastUsed) > 2*b.timeouts.PollRetry.Duration()
	})
	for range 8 {
		b.dial(t)
	}
	late := b.dial(t)
	late.send(t, frame("STATUS", "1"))
	late.answer(t)
	if got := slow.answer(t); len(got) < 16<<20 {
		t.Errorf("its answer has %d bytes", len(got))
	}
}

// TestIdleConnectionIsEvicted: where the connections without a message are too new to be evicted, an idle one is.
func TestIdleConnectionIsEvicted(t *testing.T) {
	b := startServer(t, 3, 64, 10*time.Second, func(m *policy.Timeouts) { m.PollRetry = 3600 * policy.Second })
	rested := b.dial(t)
	rested.send(t, frame("STATUS", "1"))
	rested.answer(t)
	b.mu.Lock()
	for c := range b.conns {
		c.mu.Lock()
		c.lastUsed = c.lastUsed.Add(-2 * b.timeouts.PollRetry.Duration())
		c.mu.Unlock()
	}
	b.mu.Unlock()
	b.dial(t)
	b.dial(t)
	eventually(t, "not all are held", func() bool { return b.ConnCount() == 3 })
	late := b.dial(t)
	late.send(t, frame("STATUS", "1"))
	if got := late.answer(t); got != "1 serving  " {
		t.Errorf("got %q", got)
	}
}

// TestRejectionOnItsWayIsNotEvicted: a client that was told to retry later is evicted only once it must have received the rejection, which a
// reset of the connection could take away.
func TestRejectionOnItsWayIsNotEvicted(t *testing.T) {
	b := startServer(t, 2, 64, 10*time.Second, func(m *policy.Timeouts) { m.PollRetry, m.MaxDecisionAge = 3600*policy.Second, 3600*policy.Second })
	c := b.dial(t)
	c.send(t, requestFrame("1"))
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

// pausingConn is a connection whose reader is held up after each read, until the test lets it go on.
type pausingConn struct {
	*net.TCPConn
	read   chan struct{} // an element for each read
	resume chan struct{} // closed: readers go on
}

func (c pausingConn) Read(buffer []byte) (n int, err error) {
	n, err = c.TCPConn.Read(buffer)
	if n > 0 {
		c.read <- struct{}{}
		<-c.resume
	}
	return n, err
}

// TestRequestThatWasReadIsNotEvicted guards against losing a request that the reader has taken from the socket and not noted yet when the
// connection is chosen for eviction.
func TestRequestThatWasReadIsNotEvicted(t *testing.T) {
	b := startServer(t, 8, 64, 10*time.Second, func(m *policy.Timeouts) { m.PollRetry = policy.Second / 1000 })
	clientEnd, serverEnd := connectedPair(t)
	paused := pausingConn{serverEnd.(*net.TCPConn), make(chan struct{}, 16), make(chan struct{})}
	b.start(newConn(b.Server, b.testHandler, paused))
	client := testClient{clientEnd, bufio.NewReader(clientEnd)}
	client.send(t, requestFrame("1"))
	receive(t, paused.read)
	time.Sleep(2 * b.timeouts.PollRetry.Duration())
	b.evictIdle(1)
	close(paused.resume)
	b.nextConn(t, 1).Fail(1)
	if got := client.answer(t); got != "1 500  " {
		t.Errorf("got %q", got)
	}
}
