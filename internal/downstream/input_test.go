package downstream

import (
	"strings"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
)

// keyedWrite encodes a write with an idempotency key and the largest body.
func keyedWrite(tag, moreFields string) []byte {
	const key = ",unique=00112233445566778899aabbccddeeff"
	return frame("ASK", tag, "cover", strings.Replace(fields, "n=3", "n=0", 1)+key+moreFields, strings.Repeat("x", maxBodyBytes))
}

// TestIncompleteMessagesAreBounded guards against a process that passes its memory limit while
// hundreds of clients stop in the middle of a large message: each held a buffer of the largest size.
// The oldest such messages must be given up with an answer, and another client's write be served.
func TestIncompleteMessagesAreBounded(t *testing.T) {
	const clients, buffers = 60, 16
	srv := startServer(t, clients+1, buffers, 10*time.Second)
	var stopped []testClient
	for i := range clients {
		c := srv.dial(t)
		moreFields := ""
		if i%2 == 1 {
			moreFields = ",second=1"
		}
		write := keyedWrite("7", moreFields)
		c.send(t, write[:len(write)-100])
		stopped = append(stopped, c)
	}
	for i, c := range stopped[:clients/2] { // the oldest
		want := "7 503 later=70 "
		if i%2 == 1 {
			want = "7 500  " // an earlier try may have run
		}
		if got := c.answer(t); got != want {
			t.Fatalf("client %d got %q, want %q", i, got, want)
		}
	}
	held := srv.inputBytes.Load()
	if limit := int64(buffers * bufpool.BufferSize / maxInputFraction); held > limit || held <= 0 {
		t.Errorf("%d bytes are held by incomplete messages, want %d at most", held, limit)
	}
	other := srv.dial(t)
	other.send(t, keyedWrite("1", ""))
	call := srv.nextRequest(t, 1)
	if call.request.Body.Len() != maxBodyBytes {
		t.Errorf("a body of %d bytes", call.request.Body.Len())
	}
	call.request.Body.Free()
	call.conn.Fail(1)
	if got := other.answer(t); got != "1 500  " {
		t.Errorf("another client got %q", got)
	}
	for _, c := range stopped {
		c.close(t)
	}
	eventually(t, "bytes of incomplete messages are still counted", func() bool { return srv.inputBytes.Load() == 0 })
}

// TestSlowWriteIsServed guards against giving up a message that arrives in pieces while there is
// memory for it.
func TestSlowWriteIsServed(t *testing.T) {
	srv := startServer(t, 8, 64, 10*time.Second)
	c := srv.dial(t)
	write := keyedWrite("3", "")
	for len(write) > 0 {
		piece := min(5000, len(write))
		c.send(t, write[:piece])
		write = write[piece:]
		time.Sleep(time.Millisecond)
	}
	call := srv.nextRequest(t, 3)
	call.request.Body.Free()
	call.conn.Reject(3, 0)
	if got := c.answer(t); got != "3 503  " {
		t.Errorf("got %q", got)
	}
}
