package upstream

import (
	"errors"
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/policy"
)

// TestStageOfFailedAttempt guards against an error with the wrong stage: the stage decides whether
// a retry is safe.
func TestStageOfFailedAttempt(t *testing.T) {
	cases := []struct {
		name string
		do   func(*nodeConn)
		want string
	}{
		{"closed without a response", func(*nodeConn) {}, "fully written"},
		{"closed within a response", func(n *nodeConn) { n.write("a1 data - 9\r\nxyz") }, "response started"},
		{"closed within another's", func(n *nodeConn) { n.write("a2 data - 9\r\nxyz") }, "fully written"},
		{"malformed", func(n *nodeConn) { n.write("rubbish\r\n") }, "fully written"},
		{"unchanged without a tag", func(n *nodeConn) { n.write("a1 unchanged - 0\r\n\r\n") }, "response started"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, testTimeouts, 8)
			_, outcomes := f.send("a1")
			n := f.accept()
			n.expect("want a1")
			c.do(n)
			n.close()
			expectOutcome(t, outcomes, c.want)
		})
	}
	t.Run("refused", func(t *testing.T) {
		f := newFixture(t, testTimeouts, 8)
		if err := f.listener.Close(); err != nil {
			t.Fatal(err)
		}
		_, outcomes := f.send("a1")
		expectOutcome(t, outcomes, "not connected")
	})
	t.Run("connect timeout", func(t *testing.T) {
		timeouts := testTimeouts
		timeouts.Connect = 1 // microsecond
		f := newFixture(t, timeouts, 8)
		_, outcomes := f.send("a1")
		expectOutcome(t, outcomes, "not connected")
	})
	t.Run("connection limit", func(t *testing.T) {
		f := newFixture(t, testTimeouts, 1)
		_, a1 := f.send("a1")
		n := f.accept()
		n.expect("want a1")
		_, a2 := f.send("a2") // shares the connection
		n.expect("want a2")
		_, a3 := f.send("a3")
		n.expect("want a3")
		_, a4 := f.send("a4") // the connection carries the maximum number of attempts
		expectOutcome(t, a4, "not connected")
		// Each endpoint may open a first connection above the limit.
		other := f.pool.NewEndpoint(f.listener.Addr().String())
		_, a5 := sendTo(other, testRequest("a5"))
		n2 := f.accept()
		n2.expect("want a5")
		n2.close()
		expectOutcome(t, a5, "fully written")
		n.write("a1 moot - 0\r\n\r\na2 moot - 0\r\n\r\na3 moot - 0\r\n\r\n")
		for _, outcomes := range []chan outcome{a1, a2, a3} {
			expectOutcome(t, outcomes, "moot 0")
		}
	})
	t.Run("endpoint that reads nothing", func(t *testing.T) {
		const requests = 1000 // more than the socket buffers hold
		timeouts := testTimeouts
		timeouts.Connect, timeouts.PreferredStreams, timeouts.MaxStreams = policy.Second/4, requests, requests
		f := newFixture(t, timeouts, 1)
		body := bufpool.New(1).NewBody(0)
		body.Append(make([]byte, 48_000))
		outcomes := make(chan outcome, requests)
		for i := range requests {
			f.endpoint.Send(Request{ID: fmt.Sprint(i), Body: body}, func(response Response, err error) { outcomes <- outcome{response, err} })
		}
		count := map[Stage]int{}
		for range requests {
			failure := (*Error)(nil)
			if o := <-outcomes; !errors.As(o.err, &failure) {
				t.Fatal(o.err)
			}
			count[failure.Stage]++
		}
		if count[FullyWritten] == 0 || count[PartlyWritten] > 1 || count[NothingWritten] == 0 || len(count) > 3 {
			t.Errorf("unexpected number of attempts by stage: %v", count)
		}
	})
}

// TestCancel guards against an attempt that ends twice or a cancel message that is sent twice. A
// retry with the same ID must not receive the late response to the cancelled attempt.
func TestCancel(t *testing.T) {
	f := newFixture(t, testTimeouts, 8)
	a, outcomes := f.send("a1")
	n := f.accept()
	n.expect("want a1")
	a.Cancel(false)
	a.Cancel(true)
	n.expect("never_mind a1")
	expectOutcome(t, outcomes, "fully written, cancelled")
	_, retry := f.send("a1") // opens a second connection
	n2 := f.accept()
	n2.expect("want a1")
	n.write("a1 data - 3\r\nxyz\r\n")
	n2.write("a1 failed - 0\r\n\r\n")
	expectOutcome(t, retry, "failed 0")
	if len(outcomes) != 0 {
		t.Error("an attempt ended twice")
	}
}

// TestProbeAnswerBeforeRecord guards against a cancelled ID that is not recorded because the answer
// to the probe arrives before recordProgress runs. A request with that ID must not use the
// connection again, since a late response would be taken for its own.
func TestProbeAnswerBeforeRecord(t *testing.T) {
	f := newFixture(t, testTimeouts, 8)
	a, outcomes := f.newAttempt("a1")
	c := newConn(f.endpoint)
	var b batch
	f.locked(func() {
		a.conn, a.stage, a.cancelled, a.confirm = c, FullyWritten, true, true
		c.attempts["a1"] = a
		c.encode(&message{attempt: a, isCancel: true}, &b)
		b.messages, b.ends = []message{{attempt: a, isCancel: true}}, []int{len(b.data)}
	})
	c.probeAnswered("a1")
	expectOutcome(t, outcomes, "fully written, cancelled")
	c.recordProgress(&b, len(b.data), nil)
	again, _ := f.newAttempt("a1")
	f.locked(func() {
		if c.accepts(again) {
			t.Error("the connection accepts a request with an ID that was cancelled on it")
		}
	})
}

// TestCancelWithConfirmation guards against a request that an unresponsive endpoint still runs
// while it is retried elsewhere: the connection must be reset unless the cancellation is confirmed.
func TestCancelWithConfirmation(t *testing.T) {
	timeouts := testTimeouts
	timeouts.PreferredStreams = 3
	f := newFixture(t, timeouts, 8)
	a, outcomes := f.send("a1")
	_, other := f.send("a2")
	n := f.accept()
	n.expect("want a1")
	n.expect("want a2")
	a.Cancel(true)
	expectOutcome(t, outcomes, "fully written, cancelled")
	expectOutcome(t, other, "fully written")
	if _, err := n.in.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("connection was not reset: %v", err)
	}
	a, outcomes = f.send("a3")
	n = f.accept()
	n.expect("want a3")
	_, other = f.send("a4")
	n.expect("want a4")
	_, open := f.send("b1")
	n.expect("want b1")
	n.write("a4 full - 0\r\n\r\n")
	expectOutcome(t, other, "full 0")
	a.Cancel(true) // one request was answered since, and another one is open
	n.expect("never_mind a3")
	n.expect("there a3")
	if len(outcomes) != 0 {
		t.Error("attempt ended before the probe was answered")
	}
	n.write("a3 well - 0\r\n\r\n")
	expectOutcome(t, outcomes, "fully written, cancelled")
	f.pool.timeouts.CancelConfirm = 1000
	a, outcomes = f.send("a5")
	n.expect("want a5")
	_, other = f.send("a6")
	n.expect("want a6")
	n.write("a6 full - 0\r\n\r\n")
	expectOutcome(t, other, "full 0")
	a.Cancel(true) // the probe is not answered
	expectOutcome(t, outcomes, "fully written, cancelled")
	expectOutcome(t, open, "fully written")
	n.expect("never_mind a5")
	n.expect("there a5")
	if _, err := n.in.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("connection was not reset: %v", err)
	}
}

// TestUnresponsiveConnectionIsReplaced guards against requests that are queued on an unresponsive
// connection: one on which a request was cancelled after the connect timeout and nothing was
// received since the request was written.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	timeouts := testTimeouts
	timeouts.Connect = policy.Second / 4 // a connection without input for this time is unresponsive
	timeouts.PreferredStreams, timeouts.MaxStreams = 9, 9
	f := newFixture(t, timeouts, 8)
	a, outcomes := f.send("a1")
	n := f.accept()
	n.expect("want a1")
	eventually(t, "the connect timeout has not passed", func() bool {
		f.endpoint.mu.Lock()
		defer f.endpoint.mu.Unlock()
		return time.Since(a.sentAt) > timeouts.Connect.Duration()
	})
	a.Cancel(false)
	expectOutcome(t, outcomes, "fully written, cancelled")
	_, a2 := f.send("a2")
	n2 := f.accept()
	n2.expect("want a2")
	n2.write("a2 absent - 0\r\n\r\n")
	expectOutcome(t, a2, "absent 0")
	n.expect("never_mind a1")
	if _, err := n.in.ReadByte(); err != io.EOF {
		t.Errorf("unresponsive connection was not closed: %v", err)
	}
}

// TestDuplicateResponse guards against a retry that uses a connection of an earlier attempt and
// takes a duplicate response on it for its own.
func TestDuplicateResponse(t *testing.T) {
	f := newFixture(t, testTimeouts, 8)
	first, outcomes := f.send("a1")
	n := f.accept()
	n.expect("want a1")
	n.write("a1 absent - 0\r\n\r\n")
	expectOutcome(t, outcomes, "absent 0")
	// Both attempts use the same channel, so that a second outcome of the first would be seen.
	retryDone := func(response Response, err error) { outcomes <- outcome{response, err} }
	f.endpoint.Send(testRequest("a1"), retryDone, first)
	other := f.accept()
	other.expect("want a1")
	n.write("a1 absent - 0\r\n\r\n")
	other.write("a1 full - 0\r\n\r\n")
	expectOutcome(t, outcomes, "full 0")
}
