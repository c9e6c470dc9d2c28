package downstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/config"
	"tallyproxy/policy"
)

// site has a content type whose objects are split into parts, and an unsplit one whose requests
// carry an idempotency key.
var site = config.Site{
	TypeNames: []string{"segment", "cover"},
	Settings: policy.Settings{ContentTypes: []*policy.ContentType{
		{Timeout: 2 * policy.Second}, {Timeout: 2 * policy.Second, RetrySafety: policy.IdempotentWithKey, Unsplit: true},
	}},
}

// fields are request fields that are valid for every content type without an idempotency key.
const fields = "txn=9b1f03aa5c7e2d41,limit=1500,item=7f3a9c21e0b4d655,n=3,shard=17"

// frame encodes a message.
func frame(elements ...string) []byte {
	out := redcon.AppendArray(nil, len(elements))
	for _, element := range elements {
		out = redcon.AppendBulkString(out, element)
	}
	return out
}

// requestFrame encodes a request.
func requestFrame(tag string) []byte { return frame("ASK", tag, "segment", fields) }

// testHandler forwards the calls of a server's connections to channels.
type testHandler struct {
	requests    chan receivedCall
	closedConns chan *Conn
	cancels     chan uint64
}

// receivedCall holds the arguments of a HandleRequest call.
type receivedCall struct {
	conn    *Conn
	tag     uint64
	request Request
}

func (h testHandler) HandleRequest(c *Conn, tag uint64, request Request) {
	h.requests <- receivedCall{c, tag, request}
}
func (h testHandler) HandleCancel(_ *Conn, tag uint64) { h.cancels <- tag }
func (h testHandler) ConnClosed(c *Conn)               { h.closedConns <- c }
func (h testHandler) ConnOpened(*Conn)                 {}

// nextRequest waits for the next request, which must have the given tag.
func (h testHandler) nextRequest(t *testing.T, tag uint64) receivedCall {
	t.Helper()
	call := receive(t, h.requests)
	if call.tag != tag {
		t.Fatalf("got a request with tag %d, want %d", call.tag, tag)
	}
	return call
}

// nextConn waits for the next request, which must have the given tag, and returns its connection.
func (h testHandler) nextConn(t *testing.T, tag uint64) *Conn {
	t.Helper()
	return h.nextRequest(t, tag).conn
}

// receive waits for a value from a channel.
func receive[T any](t *testing.T, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(10 * time.Second):
		t.Fatal("timed out waiting for a value from the channel")
	}
	return v
}

// eventually waits until a condition holds.
func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(failure)
		}
	}
}

// requireNoError fails the test at once if err is not nil.
func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// testServer is a server with its own listener. The test answers its requests.
type testServer struct {
	*Server
	testHandler
	pool    *bufpool.Pool
	address string
}

// startServer runs a server until the test ends and then checks that no connection and no buffer is
// left. The change functions modify its timeouts.
func startServer(t *testing.T, maxConns, buffers int, flush time.Duration, change ...func(*policy.Timeouts)) *testServer {
	t.Helper()
	listener := listen(t)
	srv := &testServer{pool: bufpool.New(buffers), address: listener.Addr().String()}
	srv.testHandler = testHandler{make(chan receivedCall, 64), make(chan *Conn, 64), make(chan uint64, 64)}
	timeouts := policy.Timeouts{
		WriteFlush: policy.Micros(flush.Microseconds()), Connect: policy.Second, PollRetry: policy.Second / 20,
		RequestRead: 20 * policy.Second, DownstreamIdle: 20 * policy.Second, DefaultRetryAfter: 70_000,
	}
	for _, set := range change {
		set(&timeouts)
	}
	srv.Server = New([]Handler{srv.testHandler}, site, srv.pool, maxConns, timeouts)
	srv.serveOn(t, listener)
	t.Cleanup(func() {
		closeListener(t, listener)
		srv.mu.Lock()
		for c := range srv.conns {
			_ = c.netConn.Close() // it may already be closed
		}
		srv.mu.Unlock()
		eventually(t, "connections are still open", func() bool { return srv.ConnCount() == 0 })
		if inUse, _ := srv.pool.InUse(); inUse != 0 {
			t.Errorf("%d buffers are still in use", inUse)
		}
	})
	return srv
}

// unbufferedHandler accepts one call at a time: the connection's reader blocks until the test
// receives the call.
type unbufferedHandler struct{ testHandler }

// startUnbuffered is like startServer but uses an unbufferedHandler. It also returns the listener
// that clients dial.
func startUnbuffered(t *testing.T, maxConns int, change ...func(*policy.Timeouts)) (*testServer, net.Listener) {
	t.Helper()
	srv := startServer(t, maxConns, 64, 10*time.Second, change...)
	srv.requests = make(chan receivedCall)
	srv.handlers[0] = unbufferedHandler{srv.testHandler}
	listener := listen(t)
	srv.address = listener.Addr().String()
	srv.serveOn(t, listener)
	t.Cleanup(func() { closeListener(t, listener) })
	return srv, listener
}

// listen opens a listener on a free port of the loopback interface.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	return listener
}

// connectedPair returns both ends of a loopback connection that no goroutine reads.
func connectedPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener := listen(t)
	client, err := net.Dial("tcp", listener.Addr().String())
	requireNoError(t, err)
	t.Cleanup(func() { _ = client.Close() }) // a close error does not affect the test
	server, err = listener.Accept()
	requireNoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// closeListener closes a listener unless the test or the server has already closed it.
func closeListener(t *testing.T, listener net.Listener) {
	t.Helper()
	if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
}

// serveOn runs Serve, which must return once the listener is closed.
func (srv *testServer) serveOn(t *testing.T, listener net.Listener) {
	go func() {
		if err := srv.Serve(listener); !errors.Is(err, net.ErrClosed) {
			t.Errorf("Serve ended with %v", err)
		}
	}()
}

// shutdownAsync starts the server's shutdown and waits until conn is draining. It returns a channel
// that is closed once Shutdown has returned.
func (srv *testServer) shutdownAsync(t *testing.T, conn *Conn) (done chan struct{}) {
	t.Helper()
	done = make(chan struct{})
	go func() {
		srv.Shutdown()
		close(done)
	}()
	eventually(t, "connection is not draining", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.phase == phaseDraining
	})
	return done
}

// requireNoMoreRequests checks that the handler has received no further requests or cancellations
// by the time it has answered a request on another connection.
func (srv *testServer) requireNoMoreRequests(t *testing.T) {
	t.Helper()
	other := srv.dial(t)
	other.send(t, requestFrame("9000"))
	srv.nextConn(t, 9000).Fail(9000)
	if got := other.answer(t); got != "9000 500  " {
		t.Errorf("another connection got %q", got)
	}
	if len(srv.requests) != 0 || len(srv.cancels) != 0 {
		t.Errorf("got %d more requests and %d cancellations", len(srv.requests), len(srv.cancels))
	}
}

// body returns a body of bytesTotal bytes.
func (srv *testServer) body(bytesTotal int) *bufpool.Body {
	body := srv.pool.NewBody(0)
	body.Append(bytes.Repeat([]byte("x"), bytesTotal))
	return body
}

// testClient is the client side of a connection.
type testClient struct {
	net.Conn
	in *bufio.Reader
}

// dial connects a client until the test ends. Its reads and writes fail after 10 seconds.
func (srv *testServer) dial(t *testing.T) testClient {
	t.Helper()
	conn, err := net.Dial("tcp", srv.address)
	requireNoError(t, err)
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	requireNoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return testClient{conn, bufio.NewReader(conn)}
}

// send writes frames with a single Write call.
func (c testClient) send(t *testing.T, frames ...[]byte) {
	t.Helper()
	_, err := c.Write(bytes.Join(frames, nil))
	requireNoError(t, err)
}

// trySend is like send for a connection that the server may have closed.
func (c testClient) trySend(frames ...[]byte) { _, _ = c.Write(bytes.Join(frames, nil)) }

// close closes the connection and fails the test on an error.
func (c testClient) close(t *testing.T) {
	t.Helper()
	requireNoError(t, c.Close())
}

// answer reads one response and returns its elements separated by spaces.
func (c testClient) answer(t *testing.T) string {
	t.Helper()
	var count, length int
	_, err := fmt.Fscanf(c.in, "*%d\r\n", &count)
	requireNoError(t, err)
	var elements []string
	for range count {
		_, err := fmt.Fscanf(c.in, "$%d\r\n", &length)
		requireNoError(t, err)
		element := make([]byte, length+2)
		_, err = io.ReadFull(c.in, element)
		requireNoError(t, err)
		elements = append(elements, string(element[:length]))
	}
	return strings.Join(elements, " ")
}
