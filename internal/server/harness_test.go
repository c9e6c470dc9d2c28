package server

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// stopDeadline is the time after the stop signal at which a process may be killed: the longest
// request timeout, capped at 3 s, and another 0.7 s.
const stopDeadline = 3700 * time.Millisecond

// fakeNode is a fake cache node. It calls respond for each request, with the request's ID, in a
// separate goroutine.
type fakeNode struct {
	net.Listener
	respond func(conn net.Conn, id string)
}

// newFakeNode starts a node that is closed at the end of the test.
func newFakeNode(t *testing.T, respond func(conn net.Conn, id string)) *fakeNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &fakeNode{listener, respond}
	t.Cleanup(func() { _ = listener.Close() }) // the test may have closed it already
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return n
}

// serve reads requests until the connection ends.
func (n *fakeNode) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // respond may have closed it already
	for in := bufio.NewReader(conn); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "want" {
			go n.respond(conn, fields[1])
		}
	}
}

// reply writes to a director and ignores errors, since the director may have disconnected.
func reply(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// respondHello answers with a small body.
func respondHello(conn net.Conn, id string) { reply(conn, "%s data n=local 5\r\nhello\r\n", id) }

// respondLarge answers with a body that fills many buffers.
func respondLarge(conn net.Conn, id string) {
	reply(conn, "%s data n=local 240000\r\n%s\r\n", id, strings.Repeat("x", 240_000))
}

// respondNothing leaves requests unanswered.
func respondNothing(net.Conn, string) {}

// respondPartly closes the connection in the middle of a body.
func respondPartly(conn net.Conn, id string) {
	reply(conn, "%s data n=local 5\r\nhe", id)
	_ = conn.Close() // another request on it may have closed it already
}

// newCountingNode starts a node that counts its requests.
func newCountingNode(t *testing.T, requests *atomic.Int64) *fakeNode {
	t.Helper()
	return newFakeNode(t, func(conn net.Conn, id string) {
		requests.Add(1)
		respondHello(conn, id)
	})
}

const platformSettings = `{"zone":0,"zones":["a"],"machine-types":["edge","parent","origin"],
 "lanes":[{"name":"clip","aim":200,"hard-limit":5000,"repeat":"free","value":1}],"contract":{"grace-to-answer":8},
 "limits":{"cancel":true,"try-limit":6,"connect-timeout":200,"keepalive":30000,"max-streams":100},
 "specifics":{"origin-kind":2,"shield-kind":1,"gone-everywhere":6000,"note-level":"all","max-age":[0]}}`

// testDirector is a whole director that runs in the test process.
type testDirector struct {
	addr         string
	stop, reload chan os.Signal
	ended        chan error
	platformFile string
	script       string // path of the operator's script; empty for none
}

// startDirector starts a director without an operator's script.
func startDirector(t *testing.T, nodes ...*fakeNode) *testDirector {
	t.Helper()
	return startDirectorWith(t, platformSettings, "", nodes...)
}

// startDirectorWith starts a director with the given platform settings and operator's script, which
// may be empty. The endpoint list gives node i (from 0) the weight i+1.
func startDirectorWith(t *testing.T, settings, script string, nodes ...*fakeNode) *testDirector {
	t.Helper()
	d := &testDirector{
		addr: freeAddress(t), stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1), ended: make(chan error, 1),
		platformFile: filepath.Join(t.TempDir(), "config.json"),
	}
	var endpoints []string
	for i, n := range nodes {
		endpoints = append(endpoints, fmt.Sprintf(`{"name":"e%d","address":%q,"zone":"a","type":"edge","status":"up","weight":%d}`,
			i, n.Addr(), i+1))
	}
	writeFile(t, d.platformFile, fmt.Sprintf(`{"name":"n1","listen":%q,"channel":%q,"settings":%s,"limits":{"sockets":64},
		"known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"snapshot":true,"endpoints":[%s]}}]}}`,
		d.addr, startSilentChannel(t), settings, strings.Join(endpoints, ",")))
	if script != "" {
		d.script = filepath.Join(t.TempDir(), "director.star")
		writeFile(t, d.script, script)
	}
	go func() {
		d.ended <- run(flags{Config: d.platformFile, Settings: d.script}, noEnvironment, new(slog.LevelVar), d.stop, d.reload)
	}()
	c := d.dial(t)
	c.send("STATUS", "1", "")
	if tag, code, _ := c.readAnswer(t); tag != "1" || code != "serving" {
		t.Fatalf("STATUS was answered %s %s", tag, code)
	}
	c.close(t)
	return d
}

// freeAddress returns an address on which no process listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// startSilentChannel starts a command channel without events and returns its address.
func startSilentChannel(t *testing.T) string {
	t.Helper()
	channel := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-r.Context().Done():
		}
		reply(w, `{"cursor":1,"cmds":[]}`)
	}))
	t.Cleanup(channel.Close)
	return strings.TrimPrefix(channel.URL, "http://")
}

// noEnvironment stands for an environment without variables.
func noEnvironment(string) string { return "" }

// writeFile writes a file or fails the test.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// stopAndWait sends the stop signal and waits until the director has stopped.
func (d *testDirector) stopAndWait(t *testing.T) {
	t.Helper()
	d.stop <- syscall.SIGTERM
	d.waitStopped(t)
}

// waitStopped waits until the director has stopped.
func (d *testDirector) waitStopped(t *testing.T) {
	t.Helper()
	select {
	case err := <-d.ended:
		if err != nil {
			t.Errorf("stopped with error %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("director still running after 10 s")
	}
}

// testClient is a client connection.
type testClient struct {
	net.Conn
	in *bufio.Reader
}

// dial connects a client, whose connection is closed at the end of the test.
func (d *testDirector) dial(t *testing.T) testClient {
	t.Helper()
	var conn net.Conn
	var err error
	for until := time.Now().Add(10 * time.Second); conn == nil && time.Now().Before(until); time.Sleep(time.Millisecond) {
		conn, err = net.Dial("tcp", d.addr)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it already
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return testClient{conn, bufio.NewReader(conn)}
}

// close closes the connection.
func (c testClient) close(t *testing.T) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// send sends a command.
func (c testClient) send(arguments ...string) {
	out := redcon.AppendArray(nil, len(arguments))
	for _, argument := range arguments {
		out = redcon.AppendBulkString(out, argument)
	}
	_, _ = c.Write(out) // if the director has closed the connection, the next read fails
}

// request sends a request for an object.
func (c testClient) request(tag, object string, limit time.Duration) {
	c.send("ASK", tag, "clip", fmt.Sprintf("txn=%s,limit=%d,item=%s,n=0,shard=0", requestID(tag+object), limit.Milliseconds(), requestID(object)))
}

// requestID derives an ID of 16 hex digits from a short name.
func requestID(name string) string { return fmt.Sprintf("%016x", name)[:16] }

// readAnswer reads a whole answer and returns its tag, code and body.
func (c testClient) readAnswer(t *testing.T) (tag, code, body string) {
	t.Helper()
	if _, err := c.in.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	var parts [4]string
	for i := range parts {
		var size int
		if _, err := fmt.Fscanf(c.in, "$%d\r\n", &size); err != nil {
			t.Fatal(err)
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(c.in, text); err != nil {
			t.Fatal(err)
		}
		parts[i] = string(text[:size])
	}
	return parts[0], parts[1], parts[3]
}
