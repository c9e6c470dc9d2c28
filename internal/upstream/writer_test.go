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

// A request that was sent before its endpoint or its source was draining, or which is superseded, is withdrawn and not written; the
// next request is.
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
		{"source that left", withSource, func(_ *fixture, source *Endpoint) { source.CloseWhenIdle() }, true},
		{"superseded", superseded(true), func(*fixture, *Endpoint) {}, true},
		{"not superseded", superseded(false), func(*fixture, *Endpoint) {}, false},
		{"draining no longer", plain, func(f *fixture, _ *Endpoint) { f.endpoint.SetDraining(true); f.endpoint.SetDraining(false) }, false},
		{"pause of the process", plain, func(f *fixture, _ *Endpoint) {
			calls := 0 // by one goroutine
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
				t.Errorf("ended with %v", o.err)
			}
			f.endpoint.SetDraining(false)
			f.send("2")
			n.expect("want 2")
		})
	}
}

// A request that waits behind an endpoint that reads nothing is looked at again: it is not written once it is superseded or cancelled.
func TestRequestBehindSlowEndpoint(t *testing.T) {
	for _, how := range []string{"superseded", "cancelled"} {
		t.Run(how, func(t *testing.T) {
			const pairs = 300 // of a large and a small request: more than the sockets between them hold
			timeouts := testTimeouts
			timeouts.MaxDecisionAge, timeouts.Connect = policy.Second/50, 3600*policy.Second
			timeouts.PreferredStreams, timeouts.MaxStreams = 1000, 1000
			f := newFixture(t, timeouts, 1)
			var superseded atomic.Bool
			var open sync.WaitGroup
			sendPairs(f, pairs, &superseded, &open)
			n := f.accept()
			a := lastBehindSlowEndpoint(f, timeouts.MaxDecisionAge.Duration())
			if how == "superseded" {
				superseded.Store(true)
			} else {
				a.Cancel(false)
			}
			eventually(t, "it is still to be written", func() bool {
				f.endpoint.mu.Lock()
				defer f.endpoint.mu.Unlock()
				return a.finished && a.stage == NothingWritten
			})
			superseded.Store(true)
			expectNot(n, "want "+a.request.ID+" ", fmt.Sprint("want l", pairs-1, " "))
			n.close()
			open.Wait()
		})
	}
}

// sendPairs sends pairs of a large request, whose id starts with l, and a small one, whose id starts with s.
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

// lastBehindSlowEndpoint waits until no more is written, and returns the last small request that is written as far as is known.
func lastBehindSlowEndpoint(f *fixture, pause time.Duration) *Attempt {
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
	last := fmt.Sprint("s", before-1) // they are written in order: all before it are in the sockets
	var a *Attempt
	f.locked(func() { a = f.endpoint.conns[0].attempts[last] })
	if a == nil {
		f.t.Fatalf("%s is not open", last)
	}
	return a
}

// expectNot reads requests up to the one that starts with end, or to the connection's end. None may start with the prefix.
func expectNot(n *nodeConn, prefix, end string) {
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

// The endpoint closed an idle connection, which the reader has not seen yet, when a request is queued on it: the request moves to
// another, unwritten.
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
			eventually(t, "its end has not come", func() bool { _, closed := socket.PendingInput(netConn); return closed })
			a, outcomes := f.newAttempt("a1")
			c := newConn(f.endpoint) // without a reader
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
