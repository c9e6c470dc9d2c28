package downstream

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"tallyproxy/internal/socket"
	"tallyproxy/policy"
)

// TestTagsAndPendingLimit guards against answering a reused tag more than once and against
// accepting more requests than the limit.
func TestTagsAndPendingLimit(t *testing.T) {
	srv := startServer(t, 8, 64, 10*time.Second)
	c := srv.dial(t)
	c.send(t, requestFrame("1"), requestFrame("1")) // the second request gets no response
	conn := srv.nextConn(t, 1)
	for tag := 2; tag <= maxPendingRequests+1; tag++ {
		c.send(t, requestFrame(fmt.Sprint(tag)))
	}
	if got := c.answer(t); got != fmt.Sprint(maxPendingRequests+1, " 503 later=70 ") {
		t.Errorf("request beyond %d pending ones got %q", maxPendingRequests, got)
	}
	c.send(t, frame("NEVERMIND", "2"))
	if tag := receive(t, srv.cancels); tag != 2 {
		t.Errorf("cancelled request %d, want 2", tag)
	}
	conn.Fail(2) // a cancelled request gets no response
	conn.Fail(1)
	if got := c.answer(t); got != "1 500  " {
		t.Errorf("got %q", got)
	}
}

// TestMalformedFrameAfterRequests guards against ending a connection with malformed input before
// its earlier requests are answered, and against keeping it open afterwards.
func TestMalformedFrameAfterRequests(t *testing.T) {
	srv := startServer(t, 8, 64, 10*time.Second)
	c, other := srv.dial(t), srv.dial(t)
	c.send(t, append(requestFrame("1"), "rubbish\r\n"...))
	conn := srv.nextConn(t, 1)
	conn.Succeed(1, srv.body(100_000), false)
	if got := c.answer(t); !strings.HasPrefix(got, "1 200  xxx") {
		t.Errorf("got %.20q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the response: got %v, want io.EOF", err)
	}
	other.send(t, frame("STATUS", "1"))
	if got := other.answer(t); got != "1 serving  " {
		t.Errorf("another connection got %q", got)
	}
}

// TestBadRequests guards against ending a connection because of a single invalid request, and
// against keeping it open after too many.
func TestBadRequests(t *testing.T) {
	srv := startServer(t, 8, 64, 10*time.Second)
	c := srv.dial(t)
	for tag := 1; tag < maxPendingRequests; tag++ {
		c.send(t, frame("ASK", fmt.Sprint(tag), "song", fields))
		if got := c.answer(t); got != fmt.Sprint(tag, " 500  ") {
			t.Fatalf("got %q", got)
		}
	}
	c.send(t, requestFrame("90"))
	srv.nextConn(t, 90).Fail(90)
	c.answer(t)
	c.send(t, frame("ASK", "91", "song", fields), requestFrame("92"))
	if got := c.answer(t); got != "91 500  " {
		t.Errorf("got %q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF || len(srv.requests) != 0 {
		t.Errorf("after too many invalid requests: got %v, %d requests handled", err, len(srv.requests))
	}
	d := srv.dial(t) // announces 60 MB, which are never sent: the announcement is enough
	d.send(t, []byte("*5\r\n$3\r\nASK\r\n$1\r\n7\r\n$7\r\nsegment\r\n$1\r\nx\r\n$60000000\r\n"))
	if got := d.answer(t); got != "7 500  " {
		t.Errorf("got %q", got)
	}
	if _, err := d.in.ReadByte(); err != io.EOF {
		t.Errorf("after announcing 60 MB: got %v, want io.EOF", err)
	}
}

// withLongDecisionAge sets a MaxDecisionAge under which all input in a socket is read before
// requests are passed to the handler.
func withLongDecisionAge(m *policy.Timeouts) { m.MaxDecisionAge = policy.Second }

// TestClientDisconnectsBeforeDelivery guards against passing requests to the handler although the
// client disconnected or cancelled them before they were read.
func TestClientDisconnectsBeforeDelivery(t *testing.T) {
	many := func() (out []byte) {
		for tag := range maxPendingRequests {
			out = append(out, requestFrame(fmt.Sprint(tag+1))...)
		}
		return out
	}
	cases := []struct {
		name  string
		sent  []byte
		leave func(testClient, *testing.T)
	}{
		{"closed", requestFrame("1"), testClient.close},
		{"its side closed", requestFrame("1"), func(c testClient, t *testing.T) { requireNoError(t, c.Conn.(*net.TCPConn).CloseWrite()) }},
		{"reset", requestFrame("1"), func(c testClient, t *testing.T) {
			requireNoError(t, c.Conn.(*net.TCPConn).SetLinger(0))
			c.close(t)
		}},
		{"as many as may be open, closed", many(), testClient.close},
		{"much that is written, closed", bytes.Join([][]byte{
			frame("ASK", "1", "segment", fields, strings.Repeat("x", 48_000)),
			frame("ASK", "2", "segment", strings.Replace(fields, "9b", "9c", 1), strings.Repeat("x", 48_000)),
		}, nil), testClient.close},
		{"what can't be read after it, closed", append(requestFrame("1"), "rubbish\r\n"...), testClient.close},
		{"much that can't be read after it, closed", append(requestFrame("1"), strings.Repeat("rubbish\r\n", 10_000)...), testClient.close},
		{"half of another, closed", append(requestFrame("1"), "*2\r\n$9"...), testClient.close},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			srv := startServer(t, 1, 64, 10*time.Second, withLongDecisionAge)
			first := srv.dial(t) // occupies the only slot
			first.send(t, requestFrame("1"))
			conn := srv.nextConn(t, 1)
			c := srv.dial(t)
			c.send(t, tc.sent)
			eventually(t, "connection does not wait for a slot", srv.awaitingSlot.Load)
			tc.leave(c, t)
			conn.Fail(1)
			first.answer(t)
			first.close(t)
			receive(t, srv.closedConns)
			if tc.name != "reset" { // a reset connection may be gone before it is accepted
				receive(t, srv.closedConns)
			}
			srv.requireNoMoreRequests(t)
		})
	}
	t.Run("cancelled", func(t *testing.T) {
		srv := startServer(t, 1, 64, 10*time.Second, withLongDecisionAge)
		c := srv.dial(t)
		c.send(t, requestFrame("1"), requestFrame("2"), frame("NEVERMIND", "1"), requestFrame("3"), frame("NEVERMIND", "3"), requestFrame("3"))
		conn := srv.nextConn(t, 2)
		srv.nextConn(t, 3)
		conn.Fail(2)
		conn.Fail(3)
		for _, want := range []string{"2 500  ", "3 500  "} {
			if got := c.answer(t); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		}
		if len(srv.requests)+len(srv.cancels) != 0 {
			t.Errorf("got %d more requests and %d cancellations", len(srv.requests), len(srv.cancels))
		}
	})
}

// TestCancelledRequestResetsReceivedSince guards against passing a request to the handler while its
// cancellation is unread in the socket. This happened if receivedSince was not reset after an
// earlier request was cancelled in the same way.
func TestCancelledRequestResetsReceivedSince(t *testing.T) {
	srv := startServer(t, 2, 64, 10*time.Second, func(m *policy.Timeouts) { m.MaxDecisionAge = policy.Second / 20 })
	client, netConn := connectedPair(t)
	_, err := client.Write([]byte("what is not read yet"))
	requireNoError(t, err)
	c := newConn(srv.Server, srv.testHandler, netConn)
	eventually(t, "input did not arrive", func() bool { data, _ := socket.PendingInput(netConn); return data })
	start := time.Now()
	receive := func(tag uint64, at time.Time) {
		c.pending[tag] = true
		c.received = append(c.received, receivedRequest{tag, Request{Body: srv.pool.NewBody(0)}})
		c.deliverWhenInputRead(at)
	}
	receive(1, start)
	c.handleCancel(1)
	c.deliverWhenInputRead(start.Add(time.Millisecond))
	receive(2, start.Add(time.Second))
	select {
	case call := <-srv.requests:
		t.Errorf("request %d was passed to the handler with unread input", call.tag)
	default:
	}
	c.handleCancel(2)
}
