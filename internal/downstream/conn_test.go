package downstream

import (
	"fmt"
	"testing"
	"time"
)

// TestPanicEndsOneConnection: a handler that panics ends the connection that called it, and no other.
func TestPanicEndsOneConnection(t *testing.T) {
	b := startServer(t, 4, 64, 10*time.Second)
	close(b.requests) // so that HandleRequest panics
	c, other := b.dial(t), b.dial(t)
	c.send(t, requestFrame("1"))
	receive(t, b.closedConns)
	other.send(t, frame("STATUS", "1"))
	if got := other.answer(t); got != "1 serving  " {
		t.Errorf("another connection got %q", got)
	}
}

// TestClientClosesWithPendingRequests: the handler is told, and a response that comes later is freed.
func TestClientClosesWithPendingRequests(t *testing.T) {
	b := startServer(t, 8, 64, 10*time.Second)
	c := b.dial(t)
	c.send(t, requestFrame("1"), requestFrame("2"))
	conn := b.nextConn(t, 1)
	c.close(t)
	if receive(t, b.closedConns) != conn {
		t.Error("another connection was reported")
	}
	conn.Succeed(1, b.body(100_000), false) // its buffers go back, as the clean-up checks
}

// TestClientDisconnectsWhileInputIsIgnored: the end of a client whose requests are ignored is seen while earlier ones are pending. So are its
// cancellations, unless its input can't be read.
func TestClientDisconnectsWhileInputIsIgnored(t *testing.T) {
	cases := []struct {
		name    string
		provoke func(t *testing.T, b *testServer, c testClient)
		cancels bool
	}{
		{"after what can't be read", func(t *testing.T, b *testServer, c testClient) { c.send(t, []byte("rubbish\r\n")) }, false},
		{"after too many faults", func(t *testing.T, b *testServer, c testClient) {
			for tag := range maxPendingRequests {
				c.send(t, frame("ASK", fmt.Sprint(100+tag), "song", fields))
				c.answer(t)
			}
		}, true},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			b := startServer(t, 2, 64, 10*time.Second)
			c := b.dial(t)
			c.send(t, requestFrame("1"), requestFrame("2"))
			conn := b.nextConn(t, 1)
			b.nextConn(t, 2)
			x.provoke(t, b, c)
			eventually(t, "it is listened to", func() bool {
				conn.mu.Lock()
				defer conn.mu.Unlock()
				return conn.phase == phaseDraining
			})
			if x.cancels {
				c.send(t, requestFrame("3"), frame("NEVERMIND", "1"))
				if tag := receive(t, b.cancels); tag != 1 {
					t.Errorf("took back %d", tag)
				}
			}
			if !conn.IsPending(2) {
				t.Error("it does not wait")
			}
			c.close(t)
			if receive(t, b.closedConns) != conn || conn.IsPending(2) {
				t.Error("its leaving was not seen")
			}
			if len(b.requests) > 0 {
				t.Error("it was listened to")
			}
		})
	}
}

// TestClientDisconnectsWhileWriterIsBlocked: the end of a client is seen while the writer waits for it to read, and its other requests are no
// longer pending.
func TestClientDisconnectsWhileWriterIsBlocked(t *testing.T) {
	b := startServer(t, 2, 4096, time.Hour)
	c := b.dial(t)
	c.send(t, requestFrame("1"), requestFrame("2"))
	conn := b.nextConn(t, 1)
	b.nextConn(t, 2)
	conn.Succeed(1, b.body(16<<20), false) // more than the sockets between them hold
	eventually(t, "the answer was not taken up", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return len(conn.queue) == 0 && conn.queuedBytes > 0
	})
	c.close(t)
	if receive(t, b.closedConns) != conn || conn.IsPending(2) {
		t.Error("its leaving was not seen")
	}
}
