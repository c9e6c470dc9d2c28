package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/policy"
)

// testTimeouts are too long to expire in a test that does not shorten them.
var testTimeouts = policy.Timeouts{
	Connect:          10 * policy.Second,
	ReadStall:        10 * policy.Second,
	CancelConfirm:    10 * policy.Second,
	Idle:             100 * policy.Second,
	PreferredStreams: 2,
	MaxStreams:       3,
}

// fixture is a pool with one endpoint. The test acts as the node.
type fixture struct {
	t        *testing.T
	pool     *Pool
	endpoint *Endpoint
	listener net.Listener
	accepted chan *nodeConn
}

// newFixture starts a listener and a pool of at most limit connections. At the end of the test it
// checks that all connections are closed and all buffers returned.
func newFixture(t *testing.T, timeouts policy.Timeouts, limit int) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	buffers := bufpool.New(16)
	f := &fixture{t: t, pool: New(buffers, timeouts, limit), listener: listener, accepted: make(chan *nodeConn, 16)}
	f.endpoint = f.pool.NewEndpoint(listener.Addr().String())
	go f.acceptAll()
	t.Cleanup(func() {
		_ = listener.Close() // a test may have closed it
		f.pool.Close()
		eventually(t, "connections or buffers are still in use", func() bool {
			inUse, _ := buffers.InUse()
			return inUse == 0 && f.pool.Connections() == 0
		})
	})
	return f
}

// acceptAll accepts connections until the listener is closed.
func (f *fixture) acceptAll() {
	for {
		netConn, err := f.listener.Accept()
		if err != nil {
			return
		}
		_ = netConn.SetDeadline(time.Now().Add(10 * time.Second))
		f.t.Cleanup(func() { _ = netConn.Close() }) // a test may have closed it
		f.accepted <- newNodeConn(f.t, netConn)
	}
}

// accept returns the next connection.
func (f *fixture) accept() *nodeConn {
	f.t.Helper()
	select {
	case n := <-f.accepted:
		return n
	case <-time.After(10 * time.Second):
		f.t.Fatal("no connection was accepted")
		return nil
	}
}

// send sends a request with the given ID to the endpoint. The channel receives the outcome.
func (f *fixture) send(id string) (*Attempt, chan outcome) {
	return sendTo(f.endpoint, testRequest(id))
}

// newAttempt returns an attempt that is not sent.
func (f *fixture) newAttempt(id string, previous ...*Attempt) (*Attempt, chan outcome) {
	outcomes := make(chan outcome, 2)
	return &Attempt{
		request:  testRequest(id),
		done:     func(response Response, err error) { outcomes <- outcome{response, err} },
		endpoint: f.endpoint,
		previous: previous,
		maxSize:  maxRequestHead,
	}, outcomes
}

// locked calls do with the endpoint's lock held.
func (f *fixture) locked(do func()) {
	f.endpoint.mu.Lock()
	defer f.endpoint.mu.Unlock()
	do()
}

// testRequest returns a request with the given ID.
func testRequest(id string) Request { return Request{ID: id, ContentType: "clip", Object: "o"} }

// sendTo sends a request. The channel receives the outcome, and has room for a second one, which
// would be a fault.
func sendTo(e *Endpoint, r Request, previous ...*Attempt) (*Attempt, chan outcome) {
	outcomes := make(chan outcome, 2)
	return e.Send(r, func(response Response, err error) { outcomes <- outcome{response, err} }, previous...), outcomes
}

// outcome holds the arguments of a call of an attempt's done function.
type outcome struct {
	response Response
	err      error
}

// expectOutcome checks how an attempt ended: with a status and body length, or at a stage.
func expectOutcome(t *testing.T, outcomes chan outcome, want string) {
	t.Helper()
	select {
	case o := <-outcomes:
		got := fmt.Sprint(o.response.Status, " ", o.response.Body.Len())
		if e := (*Error)(nil); errors.As(o.err, &e) {
			got = e.Stage.String()
			if e.Cancelled {
				got += ", cancelled"
			}
		}
		o.response.Body.Free()
		if got != want {
			t.Errorf("attempt ended with %q, want %q", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("attempt did not end, want %q", want)
	}
}

// eventually waits until condition returns true, and fails the test with the message after 10
// seconds.
func eventually(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal(message)
		}
	}
}

// nodeConn is the node's end of a connection.
type nodeConn struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

// newNodeConn wraps an accepted connection.
func newNodeConn(t *testing.T, netConn net.Conn) *nodeConn {
	return &nodeConn{netConn, t, bufio.NewReader(netConn)}
}

// write writes a text.
func (n *nodeConn) write(text string) {
	n.t.Helper()
	if _, err := n.Write([]byte(text)); err != nil {
		n.t.Fatal(err)
	}
}

func (n *nodeConn) close() {
	n.t.Helper()
	if err := n.Close(); err != nil {
		n.t.Fatal(err)
	}
}

// expect reads a request without a body, a cancel message or a probe, and checks its first words.
func (n *nodeConn) expect(words string) {
	n.t.Helper()
	line, err := n.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, words+" ") && line != words+"\r\n" {
		n.t.Fatalf("the node read %q, %v; want %s", line, err, words)
	}
	if strings.HasPrefix(line, "want ") {
		n.skip(len("\r\n"))
	}
}

// skip discards the given number of bytes.
func (n *nodeConn) skip(bytes int) {
	n.t.Helper()
	if _, err := n.in.Discard(bytes); err != nil {
		n.t.Fatal(err)
	}
}

// lineStartsWith reads a line and reports whether it starts with the prefix. It returns false if
// the connection was closed.
func (n *nodeConn) lineStartsWith(prefix string) bool {
	line, _ := n.in.ReadString('\n') // an error leaves the line incomplete
	return strings.HasPrefix(line, prefix)
}
