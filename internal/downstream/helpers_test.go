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

// site has a type of content that is split into parts, and one whose requests carry an idempotency key and have none.
var site = config.Site{
	TypeNames: []string{"segment", "cover"},
	Settings: policy.Settings{ContentTypes: []*policy.ContentType{
		{Timeout: 2 * policy.Second}, {Timeout: 2 * policy.Second, RetrySafety: policy.IdempotentWithKey, Unsplit: true},
	}},
}

// fields are a request's that every type without a key admits.
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

// testHandler passes on what a server's connections tell it.
type testHandler struct {
	requests    chan receivedCall
	closedConns chan *Conn
	cancels     chan uint64
}

// receivedCall is a call of HandleRequest.
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

// nextRequest waits for the next request, which must have the tag.
func (h testHandler) nextRequest(t *testing.T, tag uint64) receivedCall {
	t.Helper()
	call := receive(t, h.requests)
	if call.tag != tag {
		t.Fatalf("asked for tag %d, want %d", call.tag, tag)
	}
	return call
}

// nextConn waits for the next request, which must have the tag, and returns its connection.
func (h testHandler) nextConn(t *testing.T, tag uint64) *Conn {
	t.Helper()
	return h.nextRequest(t, tag).conn
}

// receive waits for what a channel brings.
func receive[T any](t *testing.T, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing came")
	}
	return v
}

// eventually waits until a condition holds.
func eventually(t *testing.T, failure string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(failure)
		}
	}
}

// requireNoError ends the test on an error.
func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// testServer is a server with a listener of its own, whose requests the test answers.
type testServer struct {
	*Server
	testHandler
	pool    *bufpool.Pool
	address string
}

// startServer runs a server until the test ends, and checks then that no connection and no buffer is left. Further timeouts are set by
// change.
func startServer(t *testing.T, maxConns, buffers int, flush time.Duration, change ...func(*policy.Timeouts)) *testServer {
	t.Helper()
	listener := listen(t)
	b := &testServer{pool: bufpool.New(buffers), address: listener.Addr().String()}
	b.testHandler = testHandler{make(chan receivedCall, 64), make(chan *Conn, 64), make(chan uint64, 64)}
	timeouts := policy.Timeouts{
		WriteFlush: policy.Micros(flush.Microseconds()), Connect: policy.Second, PollRetry: policy.Second / 20,
		RequestRead: 20 * policy.Second, DownstreamIdle: 20 * policy.Second, DefaultRetryAfter: 70_000,
	}
	for _, set := range change {
		set(&timeouts)
	}
	b.Server = New([]Handler{b.testHandler}, site, b.pool, maxConns, timeouts)
	b.serveOn(t, listener)
	t.Cleanup(func() {
		closeListener(t, listener)
		b.mu.Lock()
		for c := range b.conns {
			_ = c.netConn.Close() // it may be closed already
		}
		b.mu.Unlock()
		eventually(t, "connections are left", func() bool { return b.ConnCount() == 0 })
		if out, _ := b.pool.InUse(); out != 0 {
			t.Errorf("%d buffers are still out", out)
		}
	})
	return b
}

// unbufferedHandler is a handler that takes one call at a time: a connection's reader stands still until the test takes it.
type unbufferedHandler struct{ testHandler }

// startUnbuffered is startServer with an unbufferedHandler. It returns the listener that clients dial.
func startUnbuffered(t *testing.T, maxConns int, change ...func(*policy.Timeouts)) (*testServer, net.Listener) {
	t.Helper()
	b := startServer(t, maxConns, 64, 10*time.Second, change...)
	b.requests = make(chan receivedCall)
	b.handlers[0] = unbufferedHandler{b.testHandler}
	listener := listen(t)
	b.address = listener.Addr().String()
	b.serveOn(t, listener)
	t.Cleanup(func() { closeListener(t, listener) })
	return b, listener
}

// listen opens a listener on a free port of the loopback interface.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	return listener
}

// connectedPair returns both ends of a connection over loopback, which nobody reads.
func connectedPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener := listen(t)
	client, err := net.Dial("tcp", listener.Addr().String())
	requireNoError(t, err)
	t.Cleanup(func() { _ = client.Close() }) // nothing is lost with it
	server, err = listener.Accept()
	requireNoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// closeListener closes a listener, unless the test or the server did before.
func closeListener(t *testing.T, listener net.Listener) {
	t.Helper()
	if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
}

// serveOn runs Serve, which must end with the listener.
func (b *testServer) serveOn(t *testing.T, listener net.Listener) {
	go func() {
		if err := b.Serve(listener); !errors.Is(err, net.ErrClosed) {
			t.Errorf("Serve ended with %v", err)
		}
	}()
}

// shutdownAsync begins the server's shutdown, and waits until a connection is draining.
func (b *testServer) shutdownAsync(t *testing.T, conn *Conn) (done chan struct{}) {
	t.Helper()
	done = make(chan struct{})
	go func() {
		b.Shutdown()
		close(done)
	}()
	eventually(t, "the end was not begun", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.phase == phaseDraining
	})
	return done
}

// requireNoMoreRequests checks that nothing more was asked for, behind a request of another connection that is.
func (b *testServer) requireNoMoreRequests(t *testing.T) {
	t.Helper()
	other := b.dial(t)
	other.send(t, requestFrame("9000"))
	b.nextConn(t, 9000).Fail(9000)
	if got := other.answer(t); got != "9000 500  " {
		t.Errorf("another connection got %q", got)
	}
	if len(b.requests) != 0 || len(b.cancels) != 0 {
		t.Errorf("%d more were asked for, %d taken back", len(b.requests), len(b.cancels))
	}
}

// body returns a body of that many bytes.
func (b *testServer) body(bytesTotal int) *bufpool.Body {
	body := b.pool.NewBody(0)
	body.Append(bytes.Repeat([]byte("x"), bytesTotal))
	return body
}

// testClient is a client's side of a connection.
type testClient struct {
	net.Conn
	in *bufio.Reader
}

// dial connects a client until the test ends. Reads and writes that take 10 seconds fail.
func (b *testServer) dial(t *testing.T) testClient {
	t.Helper()
	conn, err := net.Dial("tcp", b.address)
	requireNoError(t, err)
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	requireNoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return testClient{conn, bufio.NewReader(conn)}
}

// send writes frames in one piece.
func (c testClient) send(t *testing.T, frames ...[]byte) {
	t.Helper()
	_, err := c.Write(bytes.Join(frames, nil))
	requireNoError(t, err)
}

// trySend is send for a connection that the server may have closed.
func (c testClient) trySend(frames ...[]byte) { _, _ = c.Write(bytes.Join(frames, nil)) }

// close closes the connection.
func (c testClient) close(t *testing.T) {
	t.Helper()
	requireNoError(t, c.Close())
}

// answer reads one response, and returns its elements with blanks between them.
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
