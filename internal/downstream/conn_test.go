package downstream

import (
	"fmt"
	"testing"
	"time"
)

// TestPanicEndsOneConnection guards against a handler panic that ends any connection other than the
// one whose request caused it.
func TestPanicEndsOneConnection(t *testing.T) {
	srv := startServer(t, 4, 64, 10*time.Second)
	close(srv.requests) // makes HandleRequest panic
	c, other := srv.dial(t), srv.dial(t)
	c.send(t, requestFrame("1"))
	receive(t, srv.closedConns)
	other.send(t, frame("STATUS", "1"))
	if got := other.answer(t); got != "1 serving  " {
		t.Errorf("another connection got %q", got)
	}
}

// TestClientClosesWithPendingRequests guards against a disconnect that is not reported to the
// handler, and against leaking the body of a response that comes afterwards.
func TestClientClosesWithPendingRequests(t *testing.T) {
	srv := startServer(t, 8, 64, 10*time.Second)
	c := srv.dial(t)
	c.send(t, requestFrame("1"), requestFrame("2"))
	conn := srv.nextConn(t, 1)
	c.close(t)
	if receive(t, srv.closedConns) != conn {
		t.Error("ConnClosed reported another connection")
	}
	conn.Succeed(1, srv.body(100_000), false) // the cleanup checks that its buffers are freed
}

// TestClientDisconnectsWhileInputIsIgnored guards against missing the disconnect of a client whose
// new requests are ignored while earlier ones are pending. Its cancellations must still be
// processed unless its input is malformed.
func TestClientDisconnectsWhileInputIsIgnored(t *testing.T) {
	cases := []struct {
		name    string
		provoke func(t *testing.T, srv *testServer, c testClient)
		cancels bool
	}{
		{"after what can't be read", func(t *testing.T, srv *testServer, c testClient) { c.send(t, []byte("rubbish\r\n")) }, false},
		{"after too many faults", func(t *testing.T, srv *testServer, c testClient) {
			for tag := range maxPendingRequests {
				c.send(t, frame("ASK", fmt.Sprint(100+tag), "song", fields))
				c.answer(t)
			}
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			srv := startServer(t, 2, 64, 10*time.Second)
			c := srv.dial(t)
			c.send(t, requestFrame("1"), requestFrame("2"))
			conn := srv.nextConn(t, 1)
			srv.nextConn(t, 2)
			tc.provoke(t, srv, c)
			eventually(t, "connection is not draining", func() bool {
				conn.mu.Lock()
				defer conn.mu.Unlock()
				return conn.phase == phaseDraining
			})
			if tc.cancels {
				c.send(t, requestFrame("3"), frame("NEVERMIND", "1"))
				if tag := receive(t, srv.cancels); tag != 1 {
					t.Errorf("cancelled request %d, want 1", tag)
				}
			}
			if !conn.IsPending(2) {
				t.Error("request 2 is no longer pending")
			}
			c.close(t)
			if receive(t, srv.closedConns) != conn || conn.IsPending(2) {
				t.Error("client disconnect was not detected")
			}
			if len(srv.requests) > 0 {
				t.Error("a request was handled although it must be ignored")
			}
		})
	}
}

// TestClientDisconnectsWhileWriterIsBlocked guards against missing a client's disconnect while the
// writer waits for the client to read. Its other requests must no longer be pending.
func TestClientDisconnectsWhileWriterIsBlocked(t *testing.T) {
	srv := startServer(t, 2, 4096, time.Hour)
	c := srv.dial(t)
	c.send(t, requestFrame("1"), requestFrame("2"))
	conn := srv.nextConn(t, 1)
	srv.nextConn(t, 2)
	conn.Succeed(1, srv.body(16<<20), false) // more than the socket buffers of both sides hold
	eventually(t, "the writer did not take the response", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return len(conn.queue) == 0 && conn.queuedBytes > 0
	})
	c.close(t)
	if receive(t, srv.closedConns) != conn || conn.IsPending(2) {
		t.Error("client disconnect was not detected")
	}
}
