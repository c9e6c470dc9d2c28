package downstream

import (
	"fmt"
	"testing"
	"time"
)

// TestResponses: pending requests are answered in any order, and once each.
func TestResponses(t *testing.T) {
	b := startServer(t, 8, 64, 10*time.Second)
	c := b.dial(t)
	c.send(t, frame("STATUS", "1", ""), requestFrame("2"), requestFrame("3"), requestFrame("4"), requestFrame("5"), requestFrame("6"))
	if got := c.answer(t); got != "1 serving  " {
		t.Errorf("got %q", got)
	}
	conn := b.nextConn(t, 2)
	for tag := uint64(3); tag < 7; tag++ {
		b.nextConn(t, tag)
	}
	for _, x := range []struct {
		do   func()
		want string
	}{
		{func() { conn.Succeed(6, b.body(3), false) }, "6 200  xxx"}, // in any order
		{func() { conn.Succeed(2, nil, true) }, "2 200 still=1 "},
		{func() { conn.Reject(3, 250*time.Millisecond) }, "3 503 later=250 "},
		{func() { conn.Reject(4, 0) }, "4 503  "},
		{func() { conn.Fail(4); conn.Fail(5) }, "5 500  "}, // a second answer to 4 is not passed on
		{func() { c.send(t, frame("SING", "9")) }, "9 500  "},
		{func() { c.send(t, frame("ASK", "10", "segment", "txn=1")) }, "10 500  "},
		{func() { b.SetNotServing(); c.send(t, frame("STATUS", "11")) }, "11 not_serving  "},
	} {
		x.do()
		if got := c.answer(t); got != x.want {
			t.Errorf("got %q, want %q", got, x.want)
		}
	}
}

// TestClientThatDoesNotRead: the connection is closed after WriteFlush, or once too much is queued; others are served meanwhile.
func TestClientThatDoesNotRead(t *testing.T) {
	cases := []struct {
		name    string
		buffers int
		flush   time.Duration
	}{{"too long", 4096, 50 * time.Millisecond}, {"too much", 64, time.Hour}}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			b := startServer(t, 8, x.buffers, x.flush)
			c, other := b.dial(t), b.dial(t)
			closed := false
			for tag := 1; !closed && tag < 1000; tag++ {
				c.trySend(requestFrame(fmt.Sprint(tag)))
				select {
				case a := <-b.requests:
					a.conn.Succeed(a.tag, b.body(240_000), false)
				case <-b.closedConns:
					closed = true
				}
				if tag == 3 { // much is waiting by now
					other.send(t, requestFrame("1"))
					b.nextConn(t, 1).Succeed(1, b.body(240_000), false)
					if got := other.answer(t); len(got) != len("1 200  ")+240_000 {
						t.Errorf("another client got %.20q", got)
					}
				}
			}
			if !closed {
				t.Error("it was never left")
			}
		})
	}
}
