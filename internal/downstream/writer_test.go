package downstream

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
)

// TestResponses guards against responses that are lost or sent twice if requests are answered out
// of order.
func TestResponses(t *testing.T) {
	srv := startServer(t, 8, 64, 10*time.Second)
	c := srv.dial(t)
	c.send(t, frame("STATUS", "1", ""), requestFrame("2"), requestFrame("3"), requestFrame("4"), requestFrame("5"), requestFrame("6"))
	if got := c.answer(t); got != "1 serving  " {
		t.Errorf("got %q", got)
	}
	conn := srv.nextConn(t, 2)
	for tag := uint64(3); tag < 7; tag++ {
		srv.nextConn(t, tag)
	}
	for _, tc := range []struct {
		do   func()
		want string
	}{
		{func() { conn.Succeed(6, srv.body(3), false) }, "6 200  xxx"}, // out of order
		{func() { conn.Succeed(2, nil, true) }, "2 200 still=1 "},
		{func() { conn.Reject(3, 250*time.Millisecond) }, "3 503 later=250 "},
		{func() { conn.Reject(4, 0) }, "4 503  "},
		{func() { conn.Fail(4); conn.Fail(5) }, "5 500  "}, // the second response to 4 is dropped
		{func() { c.send(t, frame("SING", "9")) }, "9 500  "},
		{func() { c.send(t, frame("ASK", "10", "segment", "txn=1")) }, "10 500  "},
		{func() { srv.SetNotServing(); c.send(t, frame("STATUS", "11")) }, "11 not_serving  "},
	} {
		tc.do()
		if got := c.answer(t); got != tc.want {
			t.Errorf("got %q, want %q", got, tc.want)
		}
	}
}

// TestClientThatDoesNotRead guards against keeping a connection whose client does not read: it must
// be closed after WriteFlush. Other clients must be served meanwhile.
func TestClientThatDoesNotRead(t *testing.T) {
	srv := startServer(t, 8, 4096, 50*time.Millisecond)
	c, other := srv.dial(t), srv.dial(t)
	closed := false
	for tag := 1; !closed && tag < 1000; tag++ {
		c.trySend(requestFrame(fmt.Sprint(tag)))
		select {
		case call := <-srv.requests:
			call.conn.Succeed(call.tag, srv.body(240_000), false)
		case <-srv.closedConns:
			closed = true
		}
		if tag == 3 { // much data is queued by now
			other.send(t, requestFrame("1"))
			srv.nextConn(t, 1).Succeed(1, srv.body(240_000), false)
			if got := other.answer(t); len(got) != len("1 200  ")+240_000 {
				t.Errorf("another client got %.20q", got)
			}
		}
	}
	if !closed {
		t.Error("connection was not closed")
	}
}

// TestSlowReaderKeepsItsRequests guards against losing requests of a client that has as many open
// as the protocol allows and does not read large responses as fast as they arrive. Bodies beyond its
// share of the buffers must be refused, and its connection and its other requests must live on.
func TestSlowReaderKeepsItsRequests(t *testing.T) {
	const bodyBytes, buffers = 500_000, 64
	srv := startServer(t, 8, buffers, 10*time.Second)
	c, other := srv.dial(t), srv.dial(t)
	var frames [][]byte
	for tag := 1; tag <= maxPendingRequests; tag++ {
		frames = append(frames, requestFrame(fmt.Sprint(tag)))
	}
	c.send(t, frames...)
	refused := map[uint64]bool{}
	for tag := uint64(1); tag <= maxPendingRequests; tag++ {
		conn := srv.nextConn(t, tag)
		if !conn.Succeed(tag, srv.body(bodyBytes), false) {
			refused[tag] = true
			conn.Reject(tag, 0)
		}
	}
	if len(refused) == 0 || len(refused) == maxPendingRequests {
		t.Errorf("%d of %d bodies were refused", len(refused), maxPendingRequests)
	}
	share := buffers/queueFraction + 2*(bodyBytes/bufpool.BufferSize+1)
	if inUse, _ := srv.pool.InUse(); inUse > share {
		t.Errorf("%d buffers are queued for a client, want %d at most", inUse, share)
	}
	other.send(t, requestFrame("1"))
	srv.nextConn(t, 1).Succeed(1, srv.body(10), false)
	if got := other.answer(t); got != "1 200  xxxxxxxxxx" {
		t.Errorf("another client got %.20q", got)
	}
	for tag := uint64(1); tag <= maxPendingRequests; tag++ {
		want, wantBytes := fmt.Sprint(tag, " 200  x"), bodyBytes
		if refused[tag] {
			want, wantBytes = fmt.Sprint(tag, " 503  "), 0
		}
		if got := c.answer(t); !strings.HasPrefix(got, want) || strings.Count(got, "x") != wantBytes {
			t.Fatalf("got %d bytes: %.20q, want %q", len(got), got, want)
		}
	}
}

// TestUnreadSmallResponses guards against a queue that grows without bound while a client sends
// messages and reads no responses: its input must not be read any more. Other clients must be served
// meanwhile.
func TestUnreadSmallResponses(t *testing.T) {
	srv := startServer(t, 8, 4096, 10*time.Second)
	c, other := srv.dial(t), srv.dial(t)
	c.send(t, requestFrame("1"))
	conn := srv.nextConn(t, 1)
	requireNoError(t, c.SetWriteDeadline(time.Now().Add(2*time.Second)))
	flood := bytes.Repeat(frame("STATUS", "2"), 2000)
	for {
		if _, err := c.Write(flood); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error(err)
			}
			break
		}
		conn.mu.Lock()
		queued := conn.queuedResponses
		conn.mu.Unlock()
		if queued > maxQueuedResponses+maxPendingRequests {
			t.Fatalf("%d responses are queued", queued)
		}
	}
	other.send(t, requestFrame("1"))
	srv.nextConn(t, 1).Fail(1)
	if got := other.answer(t); got != "1 500  " {
		t.Errorf("another client got %q", got)
	}
}

// TestSlowReaderOutlastsWriteFlush guards against disconnecting a client that reads all the time,
// only because all its queued responses together take it longer than WriteFlush.
func TestSlowReaderOutlastsWriteFlush(t *testing.T) {
	const responses, bodyBytes = 16, 1_000_000
	const readBytes, readPause = 64 << 10, 16 * time.Millisecond // 4 MB/s
	srv := startServer(t, 8, 4096, 1500*time.Millisecond)
	c := srv.dial(t)
	requireNoError(t, c.Conn.(*net.TCPConn).SetReadBuffer(readBytes))
	var frames [][]byte
	for tag := 1; tag <= responses; tag++ {
		frames = append(frames, requestFrame(fmt.Sprint(tag)))
	}
	c.send(t, frames...)
	for tag := uint64(1); tag <= responses; tag++ {
		if !srv.nextConn(t, tag).Succeed(tag, srv.body(bodyBytes), false) {
			t.Fatalf("body %d was refused", tag)
		}
	}
	buffer, received := make([]byte, readBytes), 0
	for received < responses*bodyBytes {
		n, err := c.Read(buffer)
		if received += n; err != nil {
			t.Fatalf("after %d bytes: %v", received, err)
		}
		time.Sleep(readPause)
	}
}
