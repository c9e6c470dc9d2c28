package server

import (
	"strings"
	"sync/atomic"
	"testing"
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
