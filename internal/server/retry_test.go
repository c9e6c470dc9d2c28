package server

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// keyedSettings are platform settings in which requests carry idempotency keys, and a request's
// timeout is no longer than its dedup window.
var keyedSettings = strings.Replace(platformSettings, `"repeat":"free"`, `"repeat":"guarded","dedup-window":5000,"dedup-scope":"all"`, 1)

// TestKeyedRetryAfterRestart guards against running a request twice after a director has lost its
// records: a client repeats a request that ran before the restart, at any time after it. With the
// default settings the director must not send it.
func TestKeyedRetryAfterRestart(t *testing.T) {
	const key = ",unique=00112233445566778899aabbccddeeff"
	var runs atomic.Int64
	node := newCountingNode(t, &runs)
	ask := func(moreFields, want string) {
		t.Helper()
		d := startDirectorWith(t, keyedSettings, "", node)
		c := d.dial(t)
		c.send("ASK", "1", "clip", "txn="+requestID(want)+",limit=5000,item="+requestID("o")+",n=0,shard=0"+key+moreFields)
		if _, code, _ := c.readAnswer(t); code != want {
			t.Errorf("answered %s, want %s", code, want)
		}
		c.close(t)
		d.stopAndWait(t)
	}
	ask("", "200")
	ask(",second=1", "500")
	if runs.Load() != 1 {
		t.Errorf("the request was sent %d times", runs.Load())
	}
}

// TestIDComesAgain guards against running a request that must not run twice a second time, when its
// client leaves before the answer and the same request comes again on another connection.
func TestIDComesAgain(t *testing.T) {
	settings := strings.Replace(platformSettings, `"repeat":"free"`, `"repeat":"single_shot"`, 1)
	var runs atomic.Int64
	node := newFakeNode(t, func(net.Conn, string) { runs.Add(1) })
	d := startDirectorWith(t, settings, "", node)
	first := d.dial(t)
	first.request("1", "o", 5*time.Second)
	for deadline := time.Now().Add(10 * time.Second); runs.Load() == 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	first.close(t)
	// The same request fails: while the first attempt is open, since its ID is in use, and afterwards.
	for range 5 {
		time.Sleep(100 * time.Millisecond)
		again := d.dial(t)
		again.request("1", "o", 5*time.Second)
		if _, code, _ := again.readAnswer(t); code != "500" {
			t.Errorf("answered %s", code)
		}
		again.close(t)
	}
	if runs.Load() != 1 {
		t.Errorf("the request was sent %d times", runs.Load())
	}
	d.stopAndWait(t)
}
