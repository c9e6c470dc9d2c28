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
	"regexp"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"tallyproxy/internal/config"
	"tallyproxy/internal/status"
	"tallyproxy/overload"
)

// node is a stand-in for a cache node: do says what it does with each request, by its id.
type node struct {
	net.Listener
	do func(nc net.Conn, id string)
}

func newNode(t *testing.T, do func(nc net.Conn, id string)) *node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{l, do}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				for in := bufio.NewReader(nc); ; {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					if words := strings.Fields(line); len(words) > 1 && words[0] == "want" {
						go n.do(nc, words[1])
					}
				}
			}()
		}
	}()
	return n
}

func serves(nc net.Conn, id string) { fmt.Fprintf(nc, "%s data n=local 5\r\nhello\r\n", id) }
func large(nc net.Conn, id string) {
	fmt.Fprintf(nc, "%s data n=local 240000\r\n%s\r\n", id, strings.Repeat("x", 240_000))
}
func silent(net.Conn, string) {}
func hangsUp(nc net.Conn, id string) {
	fmt.Fprintf(nc, "%s data n=local 5\r\nhe", id)
	nc.Close()
}

const settings = `{"zone":0,"zones":["a"],"machine-types":["edge","parent","origin"],
 "lanes":[{"name":"clip","aim":200,"hard-limit":5000,"repeat":"free","value":1}],"contract":{"grace-to-answer":8},
 "limits":{"cancel":true,"try-limit":6,"connect-timeout":200,"keepalive":30000,"max-streams":100},
 "specifics":{"origin-kind":2,"shield-kind":1,"gone-everywhere":6000,"note-level":"all","max-age":[0]}}`

// proxy is a whole director under test.
type proxy struct {
	addr         string
	stop, reload chan os.Signal
	ended        chan error
	path         string // of the configuration
	script       string // of the operator's
}

func start(t *testing.T, nodes ...*node) *proxy { return startWith(t, "", nodes...) }

// startWith starts a director with an operator's script, where there is one.
func startWith(t *testing.T, script string, nodes ...*node) *proxy {
	return startIn(t, settings, script, nodes...)
}

// startIn starts a director with the settings given. The list gives every node a weight, its place in it.
func startIn(t *testing.T, settings, script string, nodes ...*node) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0") // to find a free port
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	channel := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-r.Context().Done():
		}
		fmt.Fprint(w, `{"cursor":1,"cmds":[]}`)
	}))
	t.Cleanup(channel.Close)
	var rows []string
	for i, n := range nodes {
		rows = append(rows, fmt.Sprintf(`{"name":"e%d","address":%q,"zone":"a","type":"edge","status":"up","weight":%d}`,
			i, n.Addr(), i+1))
	}
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"channel":%q,"settings":%s,"limits":{"sockets":64},
		"known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"snapshot":true,"endpoints":[%s]}}]}}`,
		l.Addr(), strings.TrimPrefix(channel.URL, "http://"), settings, strings.Join(rows, ","))
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &proxy{l.Addr().String(), make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan error, 1), path, ""}
	if script != "" {
		p.script = filepath.Join(t.TempDir(), "director.star")
		if err := os.WriteFile(p.script, []byte(script), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	go func() {
		p.ended <- run(flags{Config: path, Settings: p.script}, func(string) string { return "" }, new(slog.LevelVar), p.stop, p.reload)
	}()
	c := p.dial(t)
	c.send("STATUS", "1", "")
	if tag, word, _ := c.answer(t); tag != "1" || word != "serving" {
		t.Fatalf("STATUS was answered %s %s", tag, word)
	}
	c.Close()
	return p
}

// leave stops the director and waits for its end.
func (p *proxy) leave(t *testing.T) {
	t.Helper()
	p.stop <- syscall.SIGTERM
	p.gone(t)
}

func (p *proxy) gone(t *testing.T) {
	t.Helper()
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("still running")
	}
}

type client struct {
	net.Conn
	in *bufio.Reader
}

func (p *proxy) dial(t *testing.T) client {
	t.Helper()
	var nc net.Conn
	var err error
	for until := time.Now().Add(10 * time.Second); nc == nil && time.Now().Before(until); time.Sleep(time.Millisecond) {
		nc, err = net.Dial("tcp", p.addr)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	return client{nc, bufio.NewReader(nc)}
}

func (c client) send(words ...string) {
	out := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		out = redcon.AppendBulkString(out, w)
	}
	c.Write(out)
}

func (c client) ask(tag, object string, limit time.Duration) {
	c.send("ASK", tag, "clip", fmt.Sprintf("txn=%s,limit=%d,item=%s,n=0,shard=0", id(tag+object), limit.Milliseconds(), id(object)))
}

// id is a short name as an id of 16 digits.
func id(name string) string { return fmt.Sprintf("%016x", name)[:16] }

// answer reads a whole answer: tag, word, body.
func (c client) answer(t *testing.T) (tag, word, body string) {
	t.Helper()
	var words [4]string
	c.in.ReadString('\n')
	for i := range words {
		var size int
		if _, err := fmt.Fscanf(c.in, "$%d\r\n", &size); err != nil {
			t.Fatal(err)
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(c.in, text); err != nil {
			t.Fatal(err)
		}
		words[i] = string(text[:size])
	}
	return words[0], words[1], words[3]
}

func TestNodes(t *testing.T) {
	dead := newNode(t, silent)
	dead.Close()
	cases := []struct {
		name  string
		nodes []*node
		word  string
	}{
		{"well", []*node{newNode(t, serves)}, "200"},
		{"one says nothing", []*node{newNode(t, serves), newNode(t, silent)}, "200"},
		{"one closes in the middle of answers", []*node{newNode(t, serves), newNode(t, hangsUp)}, "200"},
		{"an old list: one is dead", []*node{newNode(t, serves), dead}, "200"},
		{"all say nothing", []*node{newNode(t, silent)}, "503"},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			p := start(t, x.nodes...)
			defer p.leave(t)
			var all sync.WaitGroup
			for i := range 8 { // enough for every node to be home to some
				c := p.dial(t)
				all.Go(func() {
					c.ask("1", fmt.Sprint("o", i), 2*time.Second)
					begun := time.Now()
					if tag, word, _ := c.answer(t); tag != "1" || word != x.word {
						t.Errorf("answered %s %s, want %s", tag, word, x.word)
					}
					if took := time.Since(begun); took > 2*time.Second {
						t.Errorf("after %v", took)
					}
				})
			}
			all.Wait()
		})
	}
}

// What is open at the signal and what comes shortly after it is answered; then the director ends.
func TestSIGTERM(t *testing.T) {
	begun, goOn := make(chan struct{}, 1), make(chan struct{})
	p := start(t, newNode(t, func(nc net.Conn, txn string) {
		if txn == id("1slow") {
			begun <- struct{}{}
			<-goOn
		}
		serves(nc, txn)
	}))
	c := p.dial(t)
	c.ask("1", "slow", 5*time.Second)
	<-begun
	p.stop <- syscall.SIGTERM
	later := p.dial(t) // a new connection
	word := ""
	for tag := 1; word != "not_serving"; tag++ {
		later.send("STATUS", fmt.Sprint(tag))
		_, word, _ = later.answer(t)
	}
	later.ask("9999", "o", time.Second)
	if _, word, body := later.answer(t); word != "200" || body != "hello" {
		t.Errorf("after the signal: %s %q", word, body)
	}
	c.ask("2", "o", time.Second) // on an open one
	if tag, word, _ := c.answer(t); tag != "2" || word != "200" {
		t.Errorf("on an open connection: %s %s", tag, word)
	}
	select {
	case <-p.ended:
		t.Error("ended with a download open")
	default:
	}
	close(goOn)
	if tag, word, _ := c.answer(t); tag != "1" || word != "200" {
		t.Errorf("the open one: %s %s", tag, word)
	}
	c.Close()
	later.Close()
	p.gone(t)
}

// A sound new configuration replaces the old one while a download is open; a faulty one is left.
func TestReload(t *testing.T) {
	begun, goOn := make(chan struct{}, 1), make(chan struct{})
	p := start(t, newNode(t, func(nc net.Conn, txn string) {
		if txn == id("1slow") {
			begun <- struct{}{}
			<-goOn
		}
		serves(nc, txn)
	}))
	defer p.leave(t)
	asked := make(chan string, 100)
	newer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Query().Get("resume")
		<-r.Context().Done()
	}))
	defer newer.Close()
	defer newer.CloseClientConnections()
	old, err := os.ReadFile(p.path)
	if err != nil {
		t.Fatal(err)
	}
	moved := regexp.MustCompile(`"channel":"[^"]*"`).ReplaceAllString(string(old),
		fmt.Sprintf(`"channel":%q`, strings.TrimPrefix(newer.URL, "http://")))
	c := p.dial(t)
	c.ask("1", "slow", 5*time.Second)
	<-begun
	for _, text := range []string{moved[:len(moved)/2], strings.Replace(moved, `"sockets":64`, `"sockets":1`, 1),
		strings.Replace(moved, `"status":"up"`, `"status":"odd"`, 1), strings.Replace(moved, `"aim":200`, `"aim":100`, 1), moved} {
		if err := os.WriteFile(p.path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		for len(p.reload) > 0 { // the one before is being read
			time.Sleep(time.Millisecond)
		}
		p.reload <- syscall.SIGHUP
		for len(p.reload) > 0 {
			time.Sleep(time.Millisecond)
		}
		if text != moved {
			c.send("STATUS", "2")
			if _, word, _ := c.answer(t); word != "serving" || len(asked) > 0 {
				t.Errorf("%s, asked %d times, after %s", word, len(asked), text)
			}
		}
	}
	select {
	case got := <-asked:
		if got != "1" {
			t.Errorf("the new channel was asked for what follows %s", got)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the new channel was not asked")
	}
	close(goOn)
	if tag, word, _ := c.answer(t); tag != "1" || word != "200" {
		t.Errorf("the open one: %s %s", tag, word)
	}
}

// A faulty script of the operator's ends the start, or is left at a reload, with what stands beside it.
func TestOperatorsScript(t *testing.T) {
	p := start(t, newNode(t, serves))
	defer p.leave(t)
	script := filepath.Join(t.TempDir(), "director.star")
	write := func(text string) {
		if err := os.WriteFile(script, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("storm(mode = \"guard\", rise = 0)")
	f := flags{Config: p.path, Settings: script}
	if _, _, err := load(f, os.Getenv); err == nil || !strings.Contains(err.Error(), "director.star:1: storm.rise: 0 is not from") {
		t.Errorf("got %v", err)
	}
	if err := run(f, os.Getenv, new(slog.LevelVar), nil, nil); err == nil {
		t.Error("started with a faulty script")
	}
	write("storm(mode = \"guard\")\nmachine(cores = 4)")
	if c, o, err := load(f, os.Getenv); err != nil || o.Overload.Mode != overload.ModeReserve || o.ShardCount(c.Limits) != 1 {
		t.Errorf("%+v, %v", o, err)
	}
}

// The state socket tells what is in force, read back by its sum; a box that a reload avoids gets nothing more.
func TestStateAndAvoid(t *testing.T) {
	var asked [2]atomic.Int64
	counts := func(i int) *node {
		return newNode(t, func(nc net.Conn, id string) { asked[i].Add(1); serves(nc, id) })
	}
	socket := filepath.Join(t.TempDir(), "s")
	script := fmt.Sprintf("state(socket = %q)\n", socket)
	p := startWith(t, script, counts(0), counts(1))
	c := p.dial(t)
	ask := func(from, to int) {
		for i := from; i < to; i++ {
			c.ask(fmt.Sprint(i+1), fmt.Sprint("o", i), time.Second)
			if _, word, _ := c.answer(t); word != "200" {
				t.Fatalf("answered %s", word)
			}
		}
	}
	ask(0, 30)
	r, err := status.Read(t.Context(), socket)
	if err != nil || r.Name != "n1" || r.SettingsDigest != config.Digest([]byte(script)) || r.Counters["fulfilled"] != 30 || r.Counters["pulls"] < 30 ||
		len(r.NodeViews) != 2 || r.NodeViews[0].State != "ready" || r.ClientConnections != 1 || r.EventsReceived != 1 || r.OpenRequests != 0 || asked[0].Load() == 0 {
		t.Fatalf("%+v, %v", r, err)
	}
	reload := func(text string, until func(status.Report) bool) {
		t.Helper()
		if err := os.WriteFile(p.script, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p.reload <- syscall.SIGHUP
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
			if r, err = status.Read(t.Context(), socket); err == nil && until(r) {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%+v, %v", r, err)
			}
		}
	}
	reload(script+"avoid(boxes = 5)", func(r status.Report) bool { return strings.Contains(r.ReloadError, "avoid.boxes") })
	if r.SettingsDigest != config.Digest([]byte(script)) || r.Reloads != 0 {
		t.Errorf("after a refused reload: %+v", r)
	}
	avoid := script + "avoid(boxes = [\"e0\"])"
	reload(avoid, func(r status.Report) bool { return r.SettingsDigest == config.Digest([]byte(avoid)) })
	if r.ReloadError != "" || r.Reloads != 1 || r.NodeViews[0].State != "draining" || len(r.AvoidedNodes) != 1 {
		t.Errorf("after the reload: %+v", r)
	}
	before := asked[0].Load()
	ask(30, 60)
	if n := asked[0].Load(); n != before {
		t.Errorf("%d more reached the box that is avoided", n-before)
	}
	reload(script, func(r status.Report) bool { return r.Reloads == 2 })
	ask(60, 90)
	if asked[0].Load() == before || r.NodeViews[0].State != "ready" {
		t.Errorf("the box is not used again: %+v", r.NodeViews)
	}
	reload("state(socket = \"/elsewhere\")", func(r status.Report) bool { return strings.Contains(r.ReloadError, "needs a restart") })
	c.Close()
	p.leave(t)
	if _, err := os.Stat(socket); !os.IsNotExist(err) {
		t.Errorf("the socket is left: %v", err)
	}
}

// After a load of all kinds, goroutines and descriptors are back where they were.
func TestNothingIsLeftBehind(t *testing.T) {
	nodes := []*node{newNode(t, large), newNode(t, hangsUp), newNode(t, silent)}
	descriptors := func() int {
		names, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip("no list of descriptors here")
		}
		return len(names)
	}
	goroutines, files := runtime.NumGoroutine(), descriptors()
	p := start(t, nodes...)
	for i := range 100 { // more connections than there are descriptors to hold them
		c := p.dial(t)
		for tag := range 5 {
			c.ask(fmt.Sprint(tag+1), fmt.Sprint("o", i, tag), 500*time.Millisecond)
		}
		if i%2 == 0 {
			c.answer(t)
		}
		c.Close()
	}
	p.leave(t)
	http.DefaultClient.CloseIdleConnections()
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		g, f := runtime.NumGoroutine(), descriptors()
		if g <= goroutines+4 && f <= files+4 { // the channel's stand-in and its connection
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d goroutines and %d descriptors, from %d and %d", g, f, goroutines, files)
		}
	}
}

func TestFaultyConfigurationEndsTheStart(t *testing.T) {
	for _, text := range []string{"{", `{"listen":"127.0.0.1:0"}`} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := run(flags{Config: path}, os.Getenv, new(slog.LevelVar), nil, nil); err == nil {
			t.Errorf("%s was taken", text)
		}
	}
}

// TestShapesAtStart: settings of the new shape start a director that serves from nodes of their sizes, which answer
// with no note; settings that mix the shapes end the start with the key that is out of step.
func TestShapesAtStart(t *testing.T) {
	shaped := func(weights, notes string) string {
		text := strings.Replace(settings, `"zone":0,`, `"zone":0,"weights":"`+weights+`",`, 1)
		return strings.Replace(text, `"note-level":"all"`, `"note-level":"`+notes+`"`, 1)
	}
	bare := func(nc net.Conn, id string) { fmt.Fprintf(nc, "%s data - 5\r\nhello\r\n", id) }
	p := startIn(t, shaped("nominal", "silent"), "", newNode(t, bare), newNode(t, bare))
	c := p.dial(t)
	for i := range 8 {
		c.ask("1", fmt.Sprint("o", i), 2*time.Second)
		if tag, word, _ := c.answer(t); tag != "1" || word != "200" {
			t.Errorf("new shape: answered %s %s", tag, word)
		}
	}
	c.Close()
	p.leave(t)
	for _, x := range []struct{ name, settings, want string }{
		{"sizes, notes told", shaped("nominal", "all"),
			`settings: specifics.note-level: "all" is of the old shape, but weights "nominal" of the new one`},
		{"no sizes, silent notes", shaped("silent", "silent"),
			`settings: specifics.note-level: "silent" is of the new shape, but weights "silent" of the old one`},
	} {
		t.Run(x.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","channel":"127.0.0.1:9","settings":%s,
				"limits":{"sockets":64},"known":{"cursor":0,"cmds":[]}}`, x.settings)
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			err := run(flags{Config: path}, func(string) string { return "" }, new(slog.LevelVar), nil, nil)
			if err == nil || !strings.Contains(err.Error(), x.want) {
				t.Errorf("got %v, want %s", err, x.want)
			}
		})
	}
}
