package dispatch

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/config"
	"tallyproxy/internal/discovery"
	"tallyproxy/internal/downstream"
	"tallyproxy/internal/upstream"
	"tallyproxy/policy"
)

// testTimeout bounds every wait in these tests.
const testTimeout = 10 * time.Second

// panicObject is an object for which the scripted policy panics.
const panicObject = "baaaaaaaaaaaaaad"

// scriptedPolicy returns the decisions it was created with, in order, and records its calls.
type scriptedPolicy struct {
	decisions    []policy.Decision
	recheckAfter policy.Micros
	calls        chan string
	recheck      chan struct{} // a request is routed a second time only once this is closed
}

func (p *scriptedPolicy) next(call string) policy.Decision {
	p.calls <- call
	if len(p.decisions) == 0 {
		return policy.Decision{}
	}
	d := p.decisions[0]
	if p.decisions = p.decisions[1:]; d.Action == policy.CancelAttempt {
		p.recheckAfter = 0 // AttemptDone is called next
	}
	return d
}

func (p *scriptedPolicy) Route(_ policy.Micros, req *policy.Request) policy.Decision {
	if req.Object == panicObject {
		panic(req.Object)
	}
	if req.PolicyState == nil {
		req.PolicyState = p
	} else {
		<-p.recheck
	}
	return p.next("route " + req.Object)
}

func (p *scriptedPolicy) AttemptDone(_ policy.Micros, _ *policy.Request, outcome policy.Outcome) policy.Decision {
	return p.next(fmt.Sprint("done ", outcome.Attempt, " ", int(outcome.Result), " ", int(outcome.CacheStatus), " ", outcome.Final))
}

func (p *scriptedPolicy) ClientConnected(policy.Micros) {}

func (p *scriptedPolicy) RecheckAfter(policy.Micros, *policy.Request) policy.Micros {
	return p.recheckAfter
}

func (p *scriptedPolicy) UpdateEndpoints(_ policy.Micros, endpoints []policy.Endpoint, complete bool) {
	p.calls <- fmt.Sprint("endpoints ", len(endpoints), " ", complete)
}

func (p *scriptedPolicy) Purge(_ policy.Micros, object string, group int, at policy.Micros) {
	if object == "bad" {
		panic(object)
	}
	p.calls <- fmt.Sprint("purge ", object, " ", group, " ", int64(at))
}

// blockingPolicy blocks in Route until the test provides a decision.
type blockingPolicy struct {
	*scriptedPolicy
	routing   chan string            // objects for which Route blocks
	decide    chan policy.Decision   // decisions for Route to return
	outcomes  chan policy.Outcome    // outcomes passed to AttemptDone
	afterDone func() policy.Decision // decides for AttemptDone unless the outcome is final
	// sets NotAfter of Route's decisions; nil for none
	notAfter func(now policy.Micros) policy.Micros
}

func (p *blockingPolicy) Route(now policy.Micros, req *policy.Request) policy.Decision {
	p.routing <- req.Object
	d := <-p.decide
	if p.notAfter != nil {
		d.NotAfter = p.notAfter(now)
	}
	return d
}

func (p *blockingPolicy) AttemptDone(_ policy.Micros, _ *policy.Request, outcome policy.Outcome) policy.Decision {
	p.outcomes <- outcome
	if outcome.Final {
		return policy.Decision{}
	}
	return p.afterDone()
}

// harness is a router of one shard with one client and one endpoint, e1. The test acts for both.
type harness struct {
	t             *testing.T
	router        *Router
	policy        *scriptedPolicy
	server        *downstream.Server
	client        net.Conn
	clientIn      *bufio.Reader
	endpoint      net.Listener
	endpointConn  net.Conn      // last accepted connection to the endpoint; nil to accept another
	endpointInput *bufio.Reader // reads from endpointConn
	clientReads   sync.RWMutex  // while it is locked, the server gets nothing of what clients send
}

// pausableListener accepts connections that deliver what they read only while pause is not locked.
type pausableListener struct {
	net.Listener
	pause *sync.RWMutex
}

func (l pausableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return pausableConn{conn.(*net.TCPConn), l.pause}, nil
}

// pausableConn is a connection of a pausableListener.
type pausableConn struct {
	*net.TCPConn
	pause *sync.RWMutex
}

func (c pausableConn) Read(buffer []byte) (n int, err error) {
	n, err = c.TCPConn.Read(buffer)
	c.pause.RLock()
	defer c.pause.RUnlock()
	return n, err
}

// sendToE1 decides to send a request to e1, with p1 as its source.
var sendToE1 = policy.Decision{
	Action: policy.Send, Endpoint: &policy.Endpoint{ID: "e1"}, Source: &policy.Endpoint{ID: "p1"}, Timeout: 60 * policy.Second,
}

func newHarness(t *testing.T, recheckAfter policy.Micros, decisions ...policy.Decision) *harness {
	t.Helper()
	h := &harness{t: t, policy: &scriptedPolicy{decisions, recheckAfter, make(chan string, 64), make(chan struct{})}}
	timeouts := policy.Timeouts{
		Connect: 10 * policy.Second, Idle: 100 * policy.Second, PreferredStreams: 8, MaxStreams: 8, WriteFlush: 10 * policy.Second,
		ReadStall: 10 * policy.Second, RequestRead: 60 * policy.Second, DownstreamIdle: 60 * policy.Second,
		MaxDecisionAge: 10 * policy.Second, // a slow test does not change the timeout that an endpoint is told
	}
	buffers := bufpool.New(64)
	pool := upstream.New(buffers, timeouts, 8)
	site := config.Site{
		TypeNames: []string{"clip"}, Settings: policy.Settings{ContentTypes: []*policy.ContentType{{Timeout: 60 * policy.Second}}},
	}
	h.endpoint = listen(t)
	h.router = New(h.policy, timeouts, pool, 1)
	go h.router.Run()
	h.server = downstream.New([]downstream.Handler{h.router.Shards()[0]}, site, buffers, 8, timeouts)
	listener := listen(t)
	go serve(t, h.server, pausableListener{listener, &h.clientReads})
	h.updateEndpoint(policy.Ready)
	h.client = dial(t, listener.Addr())
	h.clientIn = bufio.NewReader(h.client)
	t.Cleanup(func() {
		closeAll(t, h.client, h.endpoint, listener)
		waitFor(t, "requests and clients' connections to end", func() bool {
			return h.router.OpenRequests() == 0 && h.server.ConnCount() == 0
		})
		pool.Close()
		waitFor(t, "the endpoint's connections to end", func() bool { return pool.Connections() == 0 })
		h.router.Stop()
		if inUse, _ := buffers.InUse(); inUse != 0 {
			t.Errorf("%d buffers are still in use", inUse)
		}
	})
	return h
}

func newBlockingHarness(t *testing.T) (*harness, *blockingPolicy) {
	t.Helper()
	h := newHarness(t, 0)
	p := &blockingPolicy{
		scriptedPolicy: h.policy, routing: make(chan string, 2000), decide: make(chan policy.Decision),
		outcomes:  make(chan policy.Outcome, 64),
		afterDone: func() policy.Decision { return policy.Decision{Action: policy.Reject} },
	}
	h.router.WithPolicy(func() { h.router.policy = p })
	return h, p
}

// updateEndpoint applies a complete list that contains only e1.
func (h *harness) updateEndpoint(state policy.EndpointState) {
	h.t.Helper()
	h.router.Apply([]discovery.Event{{HasEndpoints: true, Snapshot: true, Endpoints: []discovery.Endpoint{
		{Endpoint: policy.Endpoint{ID: "e1", State: state}, Address: h.endpoint.Addr().String()},
	}}})
	h.expectCall("endpoints 1 true")
}

// expectCall reads the next call of the policy, which must be the given one.
func (h *harness) expectCall(want string) {
	h.t.Helper()
	if got := receive(h.t, h.policy.calls); got != want {
		h.t.Fatalf("the policy was called for %q, want %q", got, want)
	}
}

// expectAtEndpoint reads the next line that the endpoint receives, which must start with prefix.
func (h *harness) expectAtEndpoint(prefix string) {
	h.t.Helper()
	if h.endpointConn == nil {
		h.endpointConn = accept(h.t, h.endpoint)
		h.endpointInput = bufio.NewReader(h.endpointConn)
	}
	line, err := h.endpointInput.ReadString('\n')
	if strings.HasPrefix(line, "want ") { // an empty body follows
		if _, err := h.endpointInput.Discard(2); err != nil {
			h.t.Fatal(err)
		}
	}
	if err != nil || !strings.HasPrefix(line, prefix) {
		h.t.Fatalf("the endpoint got %q, %v; want %s", line, err, prefix)
	}
}

// endpointSends writes text from the endpoint to the router.
func (h *harness) endpointSends(text string) {
	h.t.Helper()
	write(h.t, h.endpointConn, text)
}

// clientSends writes a message from the client.
func (h *harness) clientSends(arguments ...string) {
	h.t.Helper()
	write(h.t, h.client, message(arguments...))
}

// request sends a request from the client, with additional fields.
func (h *harness) request(tag, moreFields string) {
	h.t.Helper()
	h.clientSends("ASK", tag, "clip", "txn="+id("t", tag)+",limit=60000,item="+id("o", tag)+",n=0,shard=1"+moreFields)
}

// expectAnswer reads the client's next answer and compares its tag, status, fields and body.
func (h *harness) expectAnswer(want string) {
	h.t.Helper()
	lines := readLines(h.t, h.clientIn, 9)
	if got := lines[2] + " " + lines[4] + " " + lines[6] + " " + lines[8]; got != want {
		h.t.Fatalf("answered %q, want %q", got, want)
	}
}

// newClient connects an additional client.
func (h *harness) newClient() net.Conn {
	h.t.Helper()
	client := dial(h.t, h.client.RemoteAddr())
	h.t.Cleanup(func() { closeAll(h.t, client) })
	return client
}

// requestFrom sends a request from an additional client.
func (h *harness) requestFrom(client net.Conn, tag string) {
	h.t.Helper()
	write(h.t, client, message("ASK", "1", "clip", "txn="+id("t", tag)+",limit=60000,item="+id("o", tag)+",n=0,shard=1"))
}

// expectAnswerStart reads the first bytes of an additional client's answer.
func (h *harness) expectAnswerStart(client net.Conn) {
	h.t.Helper()
	if _, err := io.ReadFull(client, make([]byte, 10)); err != nil {
		h.t.Fatal(err)
	}
}

// awaitCallForShard waits until a call, for a request or for the end of an attempt, is queued for
// the shard. The shard must be blocked and must have taken all earlier calls.
func (h *harness) awaitCallForShard() {
	h.t.Helper()
	waitFor(h.t, "a call to wait for the shard", func() bool { return len(h.router.Shards()[0].calls.Ready()) > 0 })
}

// awaitClientRead waits until the server has processed all that the client sent. The reader
// processes messages in order, so this is the case once it has answered both STATUS commands.
func (h *harness) awaitClientRead() {
	h.t.Helper()
	for _, tag := range []string{"98", "99"} {
		h.clientSends("STATUS", tag)
		h.expectAnswer(tag + " serving  ")
	}
}

// awaitConnections waits until at most maxConns clients are connected, regardless of the calls that
// wait for the shard.
func (h *harness) awaitConnections(maxConns int) {
	h.t.Helper()
	waitFor(h.t, "a client's disconnect to be detected", func() bool { return h.server.ConnCount() <= maxConns })
}

// id returns an ID of 16 hexadecimal digits for a short name and a tag.
func id(name, tag string) string {
	letters := strings.NewReplacer("t", "a", "o", "b")
	return letters.Replace(name) + strings.Repeat("0", 15-len(tag)) + tag
}

// message encodes a message from a client.
func message(arguments ...string) string {
	out := redcon.AppendArray(nil, len(arguments))
	for _, w := range arguments {
		out = redcon.AppendBulkString(out, w)
	}
	return string(out)
}

func receive[T any](t *testing.T, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for a value from the channel")
	}
	return value
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for " + description)
		}
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func serve(t *testing.T, server *downstream.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, net.ErrClosed) {
		t.Errorf("serve: %v", err)
	}
}

func dial(t *testing.T, address net.Addr) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	setDeadline(t, conn, testTimeout)
	return conn
}

// accept accepts a connection, which is closed when the test ends.
func accept(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	setDeadline(t, conn, testTimeout)
	t.Cleanup(func() { closeAll(t, conn) })
	return conn
}

func setDeadline(t *testing.T, conn net.Conn, after time.Duration) {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(after)); err != nil {
		t.Fatal(err)
	}
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// readLines reads n lines and returns them without line ends.
func readLines(t *testing.T, in *bufio.Reader, n int) (lines []string) {
	t.Helper()
	for range n {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, strings.TrimSpace(line))
	}
	return lines
}

// closeAll closes connections or listeners that may already be closed.
func closeAll(t *testing.T, closers ...io.Closer) {
	t.Helper()
	for _, c := range closers {
		if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}
}
