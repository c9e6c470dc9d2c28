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

// TestTagsAndPendingLimit: a tag that is used twice is answered once, and requests beyond the limit are rejected.
func TestTagsAndPendingLimit(t *testing.T) {
	b := startServer(t, 8, 64, 10*time.Second)
	c := b.dial(t)
	c.send(t, requestFrame("1"), requestFrame("1")) // the second use gets no answer of its own
	conn := b.nextConn(t, 1)
	for tag := 2; tag <= maxPendingRequests+1; tag++ {
		c.send(t, requestFrame(fmt.Sprint(tag)))
	}
	if got := c.answer(t); got != fmt.Sprint(maxPendingRequests+1, " 503 later=70 ") {
		t.Errorf("beyond %d open: %q", maxPendingRequests, got)
	}
	c.send(t, frame("NEVERMIND", "2"))
	if tag := receive(t, b.cancels); tag != 2 {
		t.Errorf("gave up %d", tag)
	}
	conn.Fail(2) // no answer is owed any more
	conn.Fail(1)
	if got := c.answer(t); got != "1 500  " {
		t.Errorf("got %q", got)
	}
}

// TestMalformedFrameAfterRequests: a connection whose input can't be read ends once its earlier requests are answered.
func TestMalformedFrameAfterRequests(t *testing.T) {
	b := startServer(t, 8, 64, 10*time.Second)
	c, other := b.dial(t), b.dial(t)
	c.send(t, append(requestFrame("1"), "rubbish\r\n"...))
	conn := b.nextConn(t, 1)
	conn.Succeed(1, b.body(100_000), false)
	if got := c.answer(t); !strings.HasPrefix(got, "1 200  xxx") {
		t.Errorf("got %.20q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the answer: %v, want the end", err)
	}
	other.send(t, frame("STATUS", "1"))
	if got := other.answer(t); got != "1 serving  " {
		t.Errorf("another connection got %q", got)
	}
}

// TestBadRequests: requests that can't be used fail one by one, until there were too many and the connection is drained.
func TestBadRequests(t *testing.T) {
	b := startServer(t, 8, 64, 10*time.Second)
	c := b.dial(t)
	for tag := 1; tag < maxPendingRequests; tag++ {
		c.send(t, frame("ASK", fmt.Sprint(tag), "song", fields))
		if got := c.answer(t); got != fmt.Sprint(tag, " 500  ") {
			t.Fatalf("got %q", got)
		}
	}
	c.send(t, requestFrame("90"))
	b.nextConn(t, 90).Fail(90)
	c.answer(t)
	c.send(t, frame("ASK", "91", "song", fields), requestFrame("92"))
	if got := c.answer(t); got != "91 500  " {
		t.Errorf("got %q", got)
	}
	if _, err := c.in.ReadByte(); err != io.EOF || len(b.requests) != 0 {
		t.Errorf("after too many faults: %v, %d asked for", err, len(b.requests))
	}
	d := b.dial(t) // 60 MB that never come: the head is enough
	d.send(t, []byte("*5\r\n$3\r\nASK\r\n$1\r\n7\r\n$7\r\nsegment\r\n$1\r\nx\r\n$60000000\r\n"))
	if got := d.answer(t); got != "7 500  " {
		t.Errorf("got %q", got)
	}
	if _, err := d.in.ReadByte(); err != io.EOF {
		t.Errorf("after 60 MB: %v, want the end", err)
	}
}

// readAllFirst sets a timeout under which all that lies in a socket is read before it is given to the handler.
func readAllFirst(m *policy.Timeouts) { m.MaxDecisionAge = policy.Second }

// TestClientDisconnectsBeforeDelivery: requests whose client has left, or cancelled them, before they were read do not reach the handler.
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
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			b := startServer(t, 1, 64, 10*time.Second, readAllFirst)
			first := b.dial(t) // has the one place
			first.send(t, requestFrame("1"))
			conn := b.nextConn(t, 1)
			c := b.dial(t)
			c.send(t, x.sent)
			eventually(t, "it does not wait", b.awaitingSlot.Load)
			x.leave(c, t)
			conn.Fail(1)
			first.answer(t)
			first.close(t)
			receive(t, b.closedConns)
			if x.name != "reset" { // which may be gone before it is accepted
				receive(t, b.closedConns)
			}
			b.requireNoMoreRequests(t)
		})
	}
	t.Run("taken back", func(t *testing.T) {
		b := startServer(t, 1, 64, 10*time.Second, readAllFirst)
		c := b.dial(t)
		c.send(t, requestFrame("1"), requestFrame("2"), frame("NEVERMIND", "1"), requestFrame("3"), frame("NEVERMIND", "3"), requestFrame("3"))
		conn := b.nextConn(t, 2)
		b.nextConn(t, 3)
		conn.Fail(2)
		conn.Fail(3)
		for _, want := range []string{"2 500  ", "3 500  "} {
			if got := c.answer(t); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		}
		if len(b.requests)+len(b.cancels) != 0 {
			t.Errorf("%d more asked for, %d taken back", len(b.requests), len(b.cancels))
		}
	})
}

// Guards against a request that is given to the handler while its cancelling lies in the socket, since an earlier one that was cancelled
// there has left its time standing.
func TestCancelledRequestLeavesNoTime(t *testing.T) {
	b := startServer(t, 2, 64, 10*time.Second, func(m *policy.Timeouts) { m.MaxDecisionAge = policy.Second / 20 })
	client, netConn := connectedPair(t)
	_, err := client.Write([]byte("what is not read yet"))
	requireNoError(t, err)
	c := newConn(b.Server, b.testHandler, netConn)
	eventually(t, "nothing came", func() bool { data, _ := socket.PendingInput(netConn); return data })
	begun := time.Now()
	receive := func(tag uint64, at time.Time) {
		c.pending[tag] = true
		c.received = append(c.received, receivedRequest{tag, Request{Body: b.pool.NewBody(0)}})
		c.deliverWhenRead(at)
	}
	receive(1, begun)
	c.handleCancel(1)
	c.deliverWhenRead(begun.Add(time.Millisecond))
	receive(2, begun.Add(time.Second))
	select {
	case call := <-b.requests:
		t.Errorf("request %d was given to the handler with input unread", call.tag)
	default:
	}
	c.handleCancel(2)
}
