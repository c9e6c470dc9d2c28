package dispatch

import (
	"bufio"
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
	"tallyproxy/internal/discovery"
	"tallyproxy/internal/downstream"
	"tallyproxy/internal/upstream"
	"tallyproxy/policy"
)

func TestEndings(t *testing.T) {
	fail := func(stage upstream.Stage, gaveUp bool) error {
		return &upstream.Error{Stage: stage, Cancelled: gaveUp, Err: errors.New("x")}
	}
	cases := []struct {
		name string
		word upstream.Status
		err  error
		want policy.Result
	}{
		{"data", upstream.StatusData, nil, policy.Succeeded}, {"unchanged", upstream.StatusUnchanged, nil, policy.Succeeded},
		{"absent", upstream.StatusAbsent, nil, policy.CacheMiss}, {"full", upstream.StatusFull, nil, policy.Rejected},
		{"failed", upstream.StatusFailed, nil, policy.Failed}, {"moot", upstream.StatusMoot, nil, policy.NotSent},
		{"not connected", "", fail(upstream.NotConnected, false), policy.ConnectFailed},
		{"nothing written", "", fail(upstream.NothingWritten, false), policy.ConnectFailed},
		{"partly written", "", fail(upstream.PartlyWritten, false), policy.ConnectFailed},
		{"wholly written", "", fail(upstream.WhollyWritten, false), policy.ConnectionLost},
		{"answer begun", "", fail(upstream.ResponseStarted, false), policy.ConnectionLost},
		{"given up, not connected", "", fail(upstream.NotConnected, true), policy.NotSent},
		{"given up, partly written", "", fail(upstream.PartlyWritten, true), policy.NotSent},
		{"given up, wholly written", "", fail(upstream.WhollyWritten, true), policy.Cancelled},
		{"given up, answer begun", "", fail(upstream.ResponseStarted, true), policy.Cancelled},
		{"another error", "", errors.New("x"), policy.ConnectionLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := resultOf(upstream.Response{Status: c.word}, c.err); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

// script is a module that answers as it is told and writes down what it hears.
type script struct {
	answers []policy.Decision
	wait    policy.Micros
	heard   chan string
	gate    chan struct{} // a download is asked about again only once this is closed
}

func (s *script) next(heard string) policy.Decision {
	s.heard <- heard
	if len(s.answers) == 0 {
		return policy.Decision{}
	}
	a := s.answers[0]
	if s.answers = s.answers[1:]; a.Action == policy.CancelAttempt {
		s.wait = 0 // the outcome comes next
	}
	return a
}

func (s *script) Route(_ policy.Micros, dl *policy.Request) policy.Decision {
	if dl.Object == "baaaaaaaaaaaaaad" {
		panic(dl.Object)
	}
	if dl.PolicyState == nil {
		dl.PolicyState = s
	} else {
		<-s.gate
	}
	return s.next("where " + dl.Object)
}

func (s *script) AttemptDone(_ policy.Micros, _ *policy.Request, out policy.Outcome) policy.Decision {
	return s.next(fmt.Sprint("after ", out.Attempt, " ", out.Result, " ", out.CacheStatus, " ", out.Final))
}

func (s *script) ClientConnected(policy.Micros) {}

func (s *script) RecheckAfter(policy.Micros, *policy.Request) policy.Micros { return s.wait }

func (s *script) UpdateEndpoints(_ policy.Micros, rows []policy.Endpoint, complete bool) {
	s.heard <- fmt.Sprint("listed ", len(rows), " ", complete)
}

func (s *script) Purge(_ policy.Micros, object string, group int, at policy.Micros) {
	if object == "bad" {
		panic(object)
	}
	s.heard <- fmt.Sprint("purged ", object, " ", group, " ", at)
}

type bed struct {
	*Router
	*script
	t      *testing.T
	client net.Conn
	in     *bufio.Reader
	node   net.Listener
	back   *bufio.Reader // what the node hears
	nc     net.Conn      // its connection
	fleet  *upstream.Pool
	server *downstream.Server
}

func get[T any](t *testing.T, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing came")
	}
	return v
}

func (b *bed) hears(want string) {
	b.t.Helper()
	if got := get(b.t, b.heard); got != want {
		b.t.Fatalf("the module heard %q, want %q", got, want)
	}
}

// nodeHears reads the next line that starts with the words.
func (b *bed) nodeHears(words string) {
	b.t.Helper()
	if b.nc == nil {
		nc, err := b.node.Accept()
		if err != nil {
			b.t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(10 * time.Second))
		b.t.Cleanup(func() { nc.Close() })
		b.nc, b.back = nc, bufio.NewReader(nc)
	}
	line, err := b.back.ReadString('\n')
	if strings.HasPrefix(line, "want ") {
		b.back.Discard(2)
	}
	if err != nil || !strings.HasPrefix(line, words) {
		b.t.Fatalf("the node heard %q, %v; want %s", line, err, words)
	}
}

func (b *bed) send(words ...string) {
	out := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		out = redcon.AppendBulkString(out, w)
	}
	b.client.Write(out)
}

func (b *bed) ask(tag, more string) {
	b.send("ASK", tag, "clip", "txn="+id("t", tag)+",limit=60000,item="+id("o", tag)+",n=0,shard=1"+more)
}

// id is a short name as an id of 16 digits, in the letters that those have.
func id(name, tag string) string {
	return strings.Map(func(r rune) rune { return map[rune]rune{'t': 'a', 'o': 'b'}[r] }, name) + strings.Repeat("0", 15-len(tag)) + tag
}

// answered reads an answer and checks its words.
func (b *bed) answered(want string) {
	b.t.Helper()
	var got []string
	for range 9 {
		line, err := b.in.ReadString('\n')
		if err != nil {
			b.t.Fatal(err)
		}
		got = append(got, strings.TrimSpace(line))
	}
	if text := got[2] + " " + got[4] + " " + got[6] + " " + got[8]; text != want {
		b.t.Fatalf("answered %q, want %q", text, want)
	}
}

var pulls = policy.Decision{
	Action: policy.Send, Endpoint: &policy.Endpoint{ID: "e1"}, Source: &policy.Endpoint{ID: "p1"}, Timeout: 60 * policy.Second,
}

func newBed(t *testing.T, wait policy.Micros, answers ...policy.Decision) *bed {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{script: &script{answers, wait, make(chan string, 64), make(chan struct{})}, t: t}
	if b.node, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	m := policy.Timeouts{Connect: 10 * policy.Second, Idle: 100 * policy.Second, PreferredStreams: 8, MaxStreams: 8, WriteFlush: 10 * policy.Second, ReadStall: 10 * policy.Second,
		RequestRead: 60 * policy.Second, DownstreamIdle: 60 * policy.Second}
	p := bufpool.New(64)
	fleet := upstream.New(p, m, 8)
	site := config.Site{TypeNames: []string{"clip"}, Settings: policy.Settings{ContentTypes: []*policy.ContentType{{Timeout: 60 * policy.Second}}}}
	b.Router, b.fleet = New(b.script, m, fleet, 1), fleet
	go b.Router.Run()
	server := downstream.New([]downstream.Handler{b.Router.Shards()[0]}, site, p, 8, m)
	b.server = server
	go server.Serve(l)
	b.list(policy.Ready)
	if b.client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	b.client.SetDeadline(time.Now().Add(10 * time.Second))
	b.in = bufio.NewReader(b.client)
	t.Cleanup(func() {
		b.client.Close()
		b.node.Close()
		l.Close()
		for until := time.Now().Add(10 * time.Second); b.OpenRequests() > 0 || server.ConnCount() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("downloads or connections are left")
			}
		}
		fleet.Close()
		for until := time.Now().Add(10 * time.Second); fleet.Connections() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("connections to nodes are left")
			}
		}
		b.Router.Stop()
		if out, _ := p.InUse(); out != 0 {
			t.Errorf("%d buffers are still out", out)
		}
	})
	return b
}

// list tells of the one node.
func (b *bed) list(state policy.EndpointState) {
	b.Apply([]discovery.Event{{HasEndpoints: true, Snapshot: true, Endpoints: []discovery.Endpoint{
		{Endpoint: policy.Endpoint{ID: "e1", State: state}, Address: b.node.Addr().String()},
	}}})
	b.hears("listed 1 true")
}

func TestDownloads(t *testing.T) {
	again, cancel := policy.Decision{Action: policy.Queue}, policy.Decision{Action: policy.CancelAttempt}
	late := policy.Decision{Action: policy.Reject, RetryAfter: 250_000}
	short := pulls
	short.Timeout = 1000
	cases := []struct {
		name    string
		wait    policy.Micros
		answers []policy.Decision
		more    string // of the client's fields
		play    func(*bed)
	}{
		{"fulfilled", 0, []policy.Decision{pulls}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 sort=clip,asset=b000000000000001,slice=0,patience=60000,from=p1 0\r\n")
			io.WriteString(b.nc, "a000000000000001 data n=local 3\r\nxyz\r\n")
			b.answered("1 200  xyz")
			b.hears("after 0 0 1 true")
		}},
		{"a copy that it lacks is said to hold", 0, []policy.Decision{pulls, late}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 ")
			io.WriteString(b.nc, "a000000000000001 unchanged - 0\r\n\r\n")
			b.hears("after 0 5 0 false")
			b.answered("1 503 later=250 ")
		}},
		{"its copy holds", 0, []policy.Decision{pulls}, ",mine=4be0c1927d55a6f3", func(b *bed) {
			b.nodeHears("want a000000000000001 sort=clip,asset=b000000000000001,slice=0,patience=60000,from=p1,seen=4be0c1927d55a6f3 0\r\n")
			io.WriteString(b.nc, "a000000000000001 unchanged n=expired 0\r\n\r\n")
			b.answered("1 200 still=1 ")
			b.hears("after 0 0 5 true")
		}},
		{"a miss, then throttled", 0, []policy.Decision{pulls, late}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 ")
			io.WriteString(b.nc, "a000000000000001 absent n=not_there 0\r\n\r\n")
			b.hears("after 0 8 8 false")
			b.answered("1 503 later=250 ")
		}},
		{"failed, then pulled again", 0, []policy.Decision{pulls, pulls}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 ")
			io.WriteString(b.nc, "a000000000000001 failed n=far_fault 0\r\n\r\n")
			b.hears("after 0 1 10 false")
			b.nc = nil // over another connection
			b.nodeHears("want a000000000000001 ")
			io.WriteString(b.nc, "a000000000000001 data - 0\r\n\r\n")
			b.answered("1 200  ")
			b.hears("after 1 0 0 true")
		}},
		{"held, then abandoned", 1000, []policy.Decision{again, again, {Action: policy.Fail}}, "", func(b *bed) {
			close(b.gate)
			b.hears("where b000000000000001")
			b.hears("where b000000000000001")
			b.answered("1 500  ")
		}},
		{"cancelled, its node silent", 1000, []policy.Decision{pulls, cancel, late}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 ")
			close(b.gate)
			b.hears("where b000000000000001")
			b.hears("after 0 6 0 false")
			b.answered("1 503 later=250 ")
		}},
		{"timed out", 0, []policy.Decision{short, late}, "", func(b *bed) {
			b.hears("after 0 3 0 false")
			b.answered("1 503 later=250 ")
		}},
		{"the client gives up", 0, []policy.Decision{pulls}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 ")
			b.send("NEVERMIND", "1")
			b.nodeHears("never_mind a000000000000001")
			b.hears("after 0 6 0 true")
		}},
		{"the client hangs up", 0, []policy.Decision{pulls}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 ")
			b.client.Close()
			b.nodeHears("never_mind a000000000000001")
			b.hears("after 0 6 0 true")
		}},
		{"a node that is not listed", 0, []policy.Decision{
			{Action: policy.Send, Endpoint: &policy.Endpoint{ID: "e9"}, Source: &policy.Endpoint{ID: "e9"}, Timeout: policy.Second}, late,
		}, "", func(b *bed) {
			b.hears("after 0 9 0 false")
			b.answered("1 503 later=250 ")
		}},
		{"its node leaves meanwhile", 0, []policy.Decision{pulls}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 ")
			b.list(policy.Removed)
			io.WriteString(b.nc, "a000000000000001 data n=pulled 3\r\nxyz\r\n")
			b.answered("1 200  xyz")
			b.hears("after 0 0 2 true")
			if _, err := b.back.ReadByte(); err != io.EOF {
				b.t.Errorf("its connection was not closed: %v", err)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t, c.wait, c.answers...)
			b.ask("1", c.more)
			b.hears("where b000000000000001")
			c.play(b)
		})
	}
}

// The id of a request that is open at a client or a node says nothing to the module, whoever sends it.
func TestIDInUse(t *testing.T) {
	b := newBed(t, 0, pulls, policy.Decision{}, pulls)
	b.ask("1", "")
	b.hears("where b000000000000001")
	b.nodeHears("want a000000000000001 ")
	again := func(tag string) {
		b.send("ASK", tag, "clip", "txn=a000000000000001,limit=60000,item=b000000000000009,n=0,shard=1")
	}
	again("2")
	b.answered("2 500  ")
	io.WriteString(b.nc, "a000000000000001 data - 0\r\n\r\n")
	b.answered("1 200  ")
	b.hears("after 0 0 0 true")
	again("3")
	b.hears("where b000000000000009")
	b.nodeHears("want a000000000000001 ")
	io.WriteString(b.nc, "a000000000000001 data - 0\r\n\r\n")
	b.answered("3 200  ")
	b.hears("after 0 0 0 true")
}

func TestEvents(t *testing.T) {
	b := newBed(t, 0, pulls, pulls)
	b.Apply([]discovery.Event{{Object: "o", Group: -1, PurgedAt: 5}, {}, {Group: 3, PurgedAt: 6}})
	b.hears("purged o -1 5")
	b.hears("purged  3 6")
	b.ask("1", "")
	b.hears("where b000000000000001")
	b.nodeHears("want a000000000000001 ")
	// The same name and address with another start is a new process: what follows goes over a new connection.
	b.Apply([]discovery.Event{{HasEndpoints: true, Endpoints: []discovery.Endpoint{
		{Endpoint: policy.Endpoint{ID: "e1", Started: 7}, Address: b.node.Addr().String()},
	}}})
	b.hears("listed 1 false")
	old := b.nc
	b.nc = nil
	b.ask("2", "")
	b.hears("where b000000000000002")
	b.nodeHears("want a000000000000002 ")
	io.WriteString(b.nc, "a000000000000002 data - 0\r\n\r\n")
	b.answered("2 200  ")
	b.hears("after 0 0 0 true")
	io.WriteString(old, "a000000000000001 data - 0\r\n\r\n")
	b.answered("1 200  ")
}

// A fault in a decision costs the connection that it was about, no more.
func TestPanicEndsOneConnection(t *testing.T) {
	b := newBed(t, 0, pulls)
	b.Apply([]discovery.Event{{Object: "bad", PurgedAt: 1}})
	other, err := net.Dial("tcp", b.client.RemoteAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	fmt.Fprint(other, "*4\r\n$3\r\nASK\r\n$1\r\n1\r\n$4\r\nclip\r\n$66\r\ntxn=baaaaaaaaaaaaaad,limit=60000,item=baaaaaaaaaaaaaad,n=0,shard=1\r\n")
	if _, err := other.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("got %v, want the end", err)
	}
	b.ask("1", "")
	b.hears("where b000000000000001")
	b.nodeHears("want a000000000000001 ")
	io.WriteString(b.nc, "a000000000000001 data - 0\r\n\r\n")
	b.answered("1 200  ")
	b.hears("after 0 0 0 true")
}
