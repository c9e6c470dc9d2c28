package downstream

import (
	"fmt"
	"testing"
	"time"
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
// be closed after WriteFlush or once too much data is queued. Other clients must be served
// meanwhile.
func TestClientThatDoesNotRead(t *testing.T) {
	cases := []struct {
		name    string
		buffers int
		flush   time.Duration
	}{{"too long", 4096, 50 * time.Millisecond}, {"too much", 64, time.Hour}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			srv := startServer(t, 8, tc.buffers, tc.flush)
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
		})
	}
}
