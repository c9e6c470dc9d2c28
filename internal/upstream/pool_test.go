package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/policy"
)

// TestSharedConnections guards against responses that are matched to the wrong request, or fail the
// connection, when requests share it: they arrive out of order, twice, or without a request.
func TestSharedConnections(t *testing.T) {
	f := newFixture(t, testTimeouts, 8)
	_, a1 := f.send("a1")
	n1 := f.accept()
	n1.expect("want a1")
	_, a2 := f.send("a2")
	n1.expect("want a2")
	_, a3 := f.send("a3") // two attempts share the first connection
	n2 := f.accept()
	n2.expect("want a3")
	// The IDs of these responses are unknown, open and already answered.
	n1.write("zz data - 2\r\nxx\r\na2 data n=local 3\r\nxyz\r\na2 data - 0\r\n\r\n")
	expectOutcome(t, a2, "data 3")
	_, a4 := f.send("a4")
	n1.expect("want a4")
	n1.write("a1 absent - 0\r\n\r\na4 moot - 0\r\n\r\n")
	n2.write("a3 full - 0\r\n\r\n")
	expectOutcome(t, a1, "absent 0")
	expectOutcome(t, a4, "moot 0")
	expectOutcome(t, a3, "full 0")
}

// TestConnectionsAreClosed guards against connections that stay open after the idle timeout, or
// after their endpoint was removed and the last attempt ended.
func TestConnectionsAreClosed(t *testing.T) {
	for _, name := range []string{"idle", "removed endpoint"} {
		t.Run(name, func(t *testing.T) {
			timeouts := testTimeouts
			if name == "idle" {
				timeouts.Idle = policy.Second / 50
			}
			f := newFixture(t, timeouts, 8)
			_, outcomes := f.send("a1")
			n := f.accept()
			n.expect("want a1")
			if name != "idle" {
				f.endpoint.CloseWhenIdle() // waits for the open attempt
			}
			n.write("a1 full - 0\r\n\r\n")
			expectOutcome(t, outcomes, "full 0")
			if _, err := n.in.ReadByte(); err != io.EOF {
				t.Errorf("connection was not closed: %v", err)
			}
		})
	}
}

// TestManyEndpointsWithinTheLimit guards against more connections than the limit and the reserve
// for first connections, and against endpoints that cannot be reached because idle connections of
// others are not evicted.
func TestManyEndpointsWithinTheLimit(t *testing.T) {
	const limit, endpointCount = 20, 200
	pool := New(bufpool.New(16), testTimeouts, limit)
	defer pool.Close()
	var endpoints []*Endpoint
	for range endpointCount {
		endpoints = append(endpoints, pool.NewEndpoint(listenAndAnswer(t)))
	}
	checkLimit := func() {
		t.Helper()
		if n := pool.connections.Load(); n > limit+firstConnectionReserve(limit) {
			t.Fatalf("%d connections exceed the limit", n)
		}
	}
	for round := range 2 {
		for i, e := range endpoints {
			_, outcomes := sendTo(e, testRequest(fmt.Sprint(round, "-", i)))
			checkLimit()
			expectOutcome(t, outcomes, "full 0")
		}
	}
	var open []*Attempt // keep all connections in use
	for i, e := range endpoints {
		a, outcomes := sendTo(e, testRequest(fmt.Sprint("unanswered", i)))
		checkLimit()
		select {
		case o := <-outcomes:
			if !errors.Is(o.err, ErrConnectionLimit) {
				t.Fatal(o.err)
			}
		default:
			open = append(open, a)
		}
	}
	if len(open) < limit {
		t.Errorf("only %d endpoints were reached", len(open))
	}
	for _, a := range open {
		a.Cancel(false)
	}
}

// listenAndAnswer starts a node that answers all requests except those whose IDs start with
// unanswered, and returns its address.
func listenAndAnswer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			netConn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(netConn)
		}
	}()
	return listener.Addr().String()
}

// answerAll answers the requests on one connection until it is closed.
func answerAll(netConn net.Conn) {
	defer func() { _ = netConn.Close() }()
	lines := bufio.NewReader(netConn)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 2 || words[0] != "want" || strings.HasPrefix(words[1], "unanswered") {
			continue
		}
		if _, err := fmt.Fprintf(netConn, "%s full - 0\r\n\r\n", words[1]); err != nil {
			return
		}
	}
}

// TestLocalDialErrors guards against a node that is blamed, and then ejected, for what this machine
// lacks, and against a node's own failures that are taken for this machine's.
func TestLocalDialErrors(t *testing.T) {
	for _, c := range []struct {
		err   error
		local bool
	}{
		{syscall.EMFILE, true}, {syscall.ENFILE, true}, {syscall.ENOBUFS, true}, {syscall.ENOMEM, true}, {syscall.EADDRNOTAVAIL, true},
		{syscall.EAGAIN, true}, {syscall.ENETUNREACH, true}, {syscall.ENETDOWN, true},
		{syscall.ECONNREFUSED, false}, {syscall.EHOSTUNREACH, false}, {syscall.ETIMEDOUT, false}, {syscall.ECONNRESET, false},
	} {
		t.Run(c.err.Error(), func(t *testing.T) {
			pool := New(bufpool.New(1), policy.Timeouts{Connect: policy.Second, MaxStreams: 1, PreferredStreams: 1, Idle: policy.Second}, 4)
			defer pool.Close()
			pool.dial = func(string, string, time.Duration) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", c.err)}
			}
			failed := make(chan error, 1)
			pool.NewEndpoint("127.0.0.1:1").Send(Request{ID: "a"}, func(_ Response, err error) { failed <- err })
			for name, err := range map[string]error{"attempt": <-failed, "probe": pool.Probe("127.0.0.1:1")} {
				var failure *Error
				if !errors.As(err, &failure) || failure.Stage != NotConnected || errors.Is(err, ErrLocalResources) != c.local || !errors.Is(err, c.err) {
					t.Errorf("%s: %v", name, err)
				}
			}
		})
	}
}
