package upstream

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/socket"
	"tallyproxy/policy"
)

// TestWithdrawn guards against a request that is written although its endpoint or its source is
// draining, it is superseded, or the write check refuses the write. A request that is sent later
// must be written.
func TestWithdrawn(t *testing.T) {
	plain := Request{}
	withSource := Request{SourceID: "p"}
	superseded := func(superseded bool) Request { return Request{Superseded: func() bool { return superseded }} }
	cases := []struct {
		name      string
		request   Request
		change    func(f *fixture, source *Endpoint)
		withdrawn bool
	}{
		{"draining endpoint", plain, func(f *fixture, _ *Endpoint) { f.endpoint.SetDraining(true) }, true},
		{"draining source", withSource, func(_ *fixture, source *Endpoint) { source.SetDraining(true) }, true},
		{"removed source", withSource, func(_ *fixture, source *Endpoint) { source.CloseWhenIdle() }, true},
		{"superseded", superseded(true), func(*fixture, *Endpoint) {}, true},
		{"not superseded", superseded(false), func(*fixture, *Endpoint) {}, false},
		{"draining no longer", plain, func(f *fixture, _ *Endpoint) { f.endpoint.SetDraining(true); f.endpoint.SetDraining(false) }, false},
		{"pause of the process", plain, func(f *fixture, _ *Endpoint) {
			calls := 0 // only the writer goroutine uses it
			f.pool.SetWriteCheck(func() bool { calls++; return calls > 1 })
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, testTimeouts, 8)
			source := f.pool.NewEndpoint("127.0.0.1:1")
			request := c.request
			request.ID, request.ContentType, request.Object = "1", "clip", "o"
			if request.SourceID != "" {
				request.Source = source
			}
			c.change(f, source)
			_, outcomes := sendTo(f.endpoint, request)
			n := f.accept()
			if !c.withdrawn {
				n.expect("want 1")
				return
			}
			o := <-outcomes
			if e := (*Error)(nil); !errors.As(o.err, &e) || !errors.Is(o.err, ErrWithdrawn) || e.Stage != NothingWritten {
				t.Errorf("attempt ended with %v", o.err)
			}
			f.endpoint.SetDraining(false)
			f.send("2")
			n.expect("want 2")
		})
	}
}

// TestRequestBehindSlowEndpoint guards against a request that waits behind an endpoint that reads
// nothing, and is written although it was superseded or cancelled meanwhile.
func TestRequestBehindSlowEndpoint(t *testing.T) {
	for _, how := range []string{"superseded", "cancelled"} {
		t.Run(how, func(t *testing.T) {
			const pairs = 300 // of a large and a small request; more than the socket buffers hold
			timeouts := testTimeouts
			timeouts.MaxDecisionAge, timeouts.Connect = policy.Second/50, 3600*policy.Second
			timeouts.PreferredStreams, timeouts.MaxStreams = 1000, 1000
			f := newFixture(t, timeouts, 1)
			var superseded atomic.Bool
			var open sync.WaitGroup
			sendPairs(f, pairs, &superseded, &open)
			n := f.accept()
			a := lastWrittenSmallRequest(f, timeouts.MaxDecisionAge.Duration())
			if how == "superseded" {
				superseded.Store(true)
			} else {
				a.Cancel(false)
			}
			eventually(t, "the request was not withdrawn", func() bool {
				f.endpoint.mu.Lock()
				defer f.endpoint.mu.Unlock()
				return a.finished && a.stage == NothingWritten
			})
			superseded.Store(true)
			expectNoRequest(n, "want "+a.request.ID+" ", fmt.Sprint("want l", pairs-1, " "))
			n.close()
			open.Wait()
		})
	}
}

// sendPairs sends pairs of requests: a large one, whose ID starts with l, and a small one, whose ID
// starts with s.
func sendPairs(f *fixture, pairs int, superseded *atomic.Bool, open *sync.WaitGroup) {
	body := bufpool.New(4).NewBody(0)
	body.Append(make([]byte, 48_000))
	done := func(Response, error) { open.Done() }
	for i := range pairs {
		open.Add(2)
		large, small := testRequest(fmt.Sprint("l", i)), testRequest(fmt.Sprint("s", i))
		large.Body, small.Superseded = body, superseded.Load
		f.endpoint.Send(large, done)
		f.endpoint.Send(small, done)
	}
}

// lastWrittenSmallRequest waits until the writer makes no more progress. It returns the last small
// request whose stage is FullyWritten, although its bytes wait to be written.
func lastWrittenSmallRequest(f *fixture, pause time.Duration) *Attempt {
	f.t.Helper()
	countWritten := func() (count int) {
		f.locked(func() {
			for _, c := range f.endpoint.conns {
				for id, a := range c.attempts {
					if a.stage == FullyWritten && strings.HasPrefix(id, "s") {
						count++
					}
				}
			}
		})
		return count
	}
	before := -1
	eventually(f.t, "the node reads everything", func() bool {
		now := countWritten()
		if now == before {
			return true
		}
		before = now
		time.Sleep(10 * pause)
		return false
	})
	// The requests are written in order: all that precede this one are in the socket buffers.
	last := fmt.Sprint("s", before-1)
	var a *Attempt
	f.locked(func() { a = f.endpoint.conns[0].attempts[last] })
	if a == nil {
		f.t.Fatalf("%s is not open", last)
	}
	return a
}

// expectNoRequest reads requests up to the one that starts with end, or until the connection is
// closed. No request before it may start with the prefix.
func expectNoRequest(n *nodeConn, prefix, end string) {
	n.t.Helper()
	if err := n.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		n.t.Fatal(err)
	}
	for {
		line, err := n.in.ReadString('\n')
		if err != nil || strings.HasPrefix(line, end) {
			return
		}
		if strings.HasPrefix(line, prefix) {
			n.t.Errorf("the node read %q", line)
		}
		rest := len("\r\n")
		if strings.HasPrefix(line, "want l") {
			rest += 48_000
		}
		if _, err := n.in.Discard(rest); err != nil {
			return
		}
	}
}

// TestRequestOnClosedConnection guards against a request that is written to an idle connection that
// the endpoint has closed, before the reader noticed. The request must move to another connection.
func TestRequestOnClosedConnection(t *testing.T) {
	for _, how := range []string{"closed", "reset"} {
		t.Run(how, func(t *testing.T) {
			f := newFixture(t, testTimeouts, 8)
			netConn, err := net.Dial("tcp4", f.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			n := f.accept()
			if how == "reset" {
				if err := n.Conn.(*net.TCPConn).SetLinger(0); err != nil {
					t.Fatal(err)
				}
			}
			n.close()
			eventually(t, "the connection was not closed", func() bool { _, closed := socket.PendingInput(netConn); return closed })
			a, outcomes := f.newAttempt("a1")
			c := newConn(f.endpoint) // no reader runs on it
			c.netConn, c.attempts["a1"], c.queue = netConn, a, []message{{attempt: a}}
			a.conn, a.stage = c, NothingWritten
			f.locked(func() { f.endpoint.conns = append(f.endpoint.conns, c) })
			c.wakeWriter()
			c.writeLoop()
			n = f.accept()
			n.expect("want a1")
			n.write("a1 full - 0\r\n\r\n")
			expectOutcome(t, outcomes, "full 0")
		})
	}
}

// TestNoBufferForRequest guards against a write buffer beyond the pool's limit, and against blaming
// the endpoint for the lack of one. A cancel message needs none, and later requests are written.
func TestNoBufferForRequest(t *testing.T) {
	f := newFixture(t, testTimeouts, 8)
	large := testRequest("1")
	large.Body = f.pool.buffers.NewBody(0)
	large.Body.Append(make([]byte, 10_000))
	var taken [][]byte
	for buffer := f.pool.buffers.TryGet(1); buffer != nil; buffer = f.pool.buffers.TryGet(1) {
		taken = append(taken, buffer)
	}
	_, outcomes := sendTo(f.endpoint, large)
	if got := <-outcomes; !errors.Is(got.err, ErrNoBuffer) || !IsLocal(got.err) {
		t.Errorf("ended with %v", got.err)
	}
	for _, buffer := range taken {
		f.pool.buffers.Put(buffer)
	}
	_, outcomes = sendTo(f.endpoint, large)
	n := f.accept()
	n.expect("want 1")
	n.write("1 data - 0\r\n\r\n")
	expectOutcome(t, outcomes, "data 0")
	large.Body.Free()
}
