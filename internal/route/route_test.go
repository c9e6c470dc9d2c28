package route

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

	"tallyproxy/director"
	"tallyproxy/internal/back"
	"tallyproxy/internal/config"
	"tallyproxy/internal/feed"
	"tallyproxy/internal/front"
	"tallyproxy/internal/pool"
)

func TestEndings(t *testing.T) {
	fail := func(stage back.Stage, gaveUp bool) error {
		return &back.Error{Stage: stage, GaveUp: gaveUp, Err: errors.New("x")}
	}
	cases := []struct {
		name string
		word back.Word
		err  error
		want director.Ending
	}{
		{"data", back.Data, nil, director.Fulfilled}, {"unchanged", back.Unchanged, nil, director.Fulfilled},
		{"absent", back.Absent, nil, director.Missing}, {"full", back.Full, nil, director.TurnedAway},
		{"failed", back.Failed, nil, director.Failed}, {"moot", back.Moot, nil, director.NeverSent},
		{"not connected", "", fail(back.NotConnected, false), director.Unreached},
		{"nothing written", "", fail(back.NothingWritten, false), director.Unreached},
		{"partly written", "", fail(back.PartlyWritten, false), director.Unreached},
		{"wholly written", "", fail(back.WhollyWritten, false), director.Broken},
		{"answer begun", "", fail(back.AnswerBegun, false), director.Broken},
		{"given up, not connected", "", fail(back.NotConnected, true), director.NeverSent},
		{"given up, partly written", "", fail(back.PartlyWritten, true), director.NeverSent},
		{"given up, wholly written", "", fail(back.WhollyWritten, true), director.Cancelled},
		{"given up, answer begun", "", fail(back.AnswerBegun, true), director.Cancelled},
		{"another error", "", errors.New("x"), director.Broken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := ending(back.Answer{Word: c.word}, c.err); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

// script is a module that answers as it is told and writes down what it hears.
type script struct {
	answers []director.Answer
	wait    director.Micros
	heard   chan string
	gate    chan struct{} // a download is asked about again only once this is closed
}

func (s *script) next(heard string) director.Answer {
	s.heard <- heard
	if len(s.answers) == 0 {
		return director.Answer{}
	}
	a := s.answers[0]
	if s.answers = s.answers[1:]; a.Verb == director.Cancel {
		s.wait = 0 // the outcome comes next
	}
	return a
}

func (s *script) Where(_ director.Micros, dl *director.Download) director.Answer {
	if dl.Object == "baaaaaaaaaaaaaad" {
		panic(dl.Object)
	}
	if dl.Notes == nil {
		dl.Notes = s
	} else {
		<-s.gate
	}
	return s.next("where " + dl.Object)
}

func (s *script) After(_ director.Micros, _ *director.Download, out director.Outcome) director.Answer {
	return s.next(fmt.Sprint("after ", out.Pull, " ", out.Ending, " ", out.Filling, " ", out.Last))
}

func (s *script) Connected(director.Micros) {}

func (s *script) Wait(director.Micros, *director.Download) director.Micros { return s.wait }

func (s *script) Listed(_ director.Micros, rows []director.Node, complete bool) {
	s.heard <- fmt.Sprint("listed ", len(rows), " ", complete)
}

func (s *script) Purged(_ director.Micros, object string, group int, at director.Micros) {
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
	fleet  *back.Fleet
	server *front.Server
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

var pulls = director.Answer{
	Verb: director.Pull, Node: &director.Node{ID: "e1"}, Source: &director.Node{ID: "p1"}, TimeOut: 60 * director.Second,
}

func newBed(t *testing.T, wait director.Micros, answers ...director.Answer) *bed {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{script: &script{answers, wait, make(chan string, 64), make(chan struct{})}, t: t}
	if b.node, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	m := director.Margins{Connect: 10 * director.Second, Idle: 100 * director.Second, Shared: 8, Most: 8, Flush: 10 * director.Second, Stall: 10 * director.Second,
		Silent: 60 * director.Second, Resting: 60 * director.Second}
	p := pool.New(64)
	fleet := back.New(p, m, 8)
	site := config.Site{Types: []string{"clip"}, Settings: director.Settings{Types: []*director.ContentType{{Expiry: 60 * director.Second}}}}
	b.Router, b.fleet = New(b.script, m, fleet, 1), fleet
	go b.Router.Run()
	server := front.New([]front.Sink{b.Router.Shards()[0]}, site, p, 8, m)
	b.server = server
	go server.Serve(l)
	b.list(director.Ready)
	if b.client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	b.client.SetDeadline(time.Now().Add(10 * time.Second))
	b.in = bufio.NewReader(b.client)
	t.Cleanup(func() {
		b.client.Close()
		b.node.Close()
		l.Close()
		for until := time.Now().Add(10 * time.Second); b.Open() > 0 || server.Conns() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("downloads or connections are left")
			}
		}
		fleet.Close()
		for until := time.Now().Add(10 * time.Second); fleet.Conns() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("connections to nodes are left")
			}
		}
		b.Router.Stop()
		if out, _ := p.Out(); out != 0 {
			t.Errorf("%d buffers are still out", out)
		}
	})
	return b
}

// list tells of the one node.
func (b *bed) list(state director.State) {
	b.Apply([]feed.Event{{Listed: true, Complete: true, Nodes: []feed.Node{
		{Node: director.Node{ID: "e1", State: state}, Addr: b.node.Addr().String()},
	}}})
	b.hears("listed 1 true")
}

func TestDownloads(t *testing.T) {
	again, cancel := director.Answer{Verb: director.Hold}, director.Answer{Verb: director.Cancel}
	late := director.Answer{Verb: director.Throttle, ComeBack: 250_000}
	short := pulls
	short.TimeOut = 1000
	cases := []struct {
		name    string
		wait    director.Micros
		answers []director.Answer
		more    string // of the client's fields
		play    func(*bed)
	}{
		{"fulfilled", 0, []director.Answer{pulls}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 sort=clip,asset=b000000000000001,slice=0,patience=60000,from=p1 0\r\n")
			io.WriteString(b.nc, "a000000000000001 data n=local 3\r\nxyz\r\n")
			b.answered("1 200  xyz")
			b.hears("after 0 0 1 true")
		}},
		{"a copy that it lacks is said to hold", 0, []director.Answer{pulls, late}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 ")
			io.WriteString(b.nc, "a000000000000001 unchanged - 0\r\n\r\n")
			b.hears("after 0 5 0 false")
			b.answered("1 503 later=250 ")
		}},
		{"its copy holds", 0, []director.Answer{pulls}, ",mine=4be0c1927d55a6f3", func(b *bed) {
			b.nodeHears("want a000000000000001 sort=clip,asset=b000000000000001,slice=0,patience=60000,from=p1,seen=4be0c1927d55a6f3 0\r\n")
			io.WriteString(b.nc, "a000000000000001 unchanged n=expired 0\r\n\r\n")
			b.answered("1 200 still=1 ")
			b.hears("after 0 0 5 true")
		}},
		{"a miss, then throttled", 0, []director.Answer{pulls, late}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 ")
			io.WriteString(b.nc, "a000000000000001 absent n=not_there 0\r\n\r\n")
			b.hears("after 0 8 8 false")
			b.answered("1 503 later=250 ")
		}},
		{"failed, then pulled again", 0, []director.Answer{pulls, pulls}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 ")
			io.WriteString(b.nc, "a000000000000001 failed n=far_fault 0\r\n\r\n")
			b.hears("after 0 1 10 false")
			b.nc = nil // over another connection
			b.nodeHears("want a000000000000001 ")
			io.WriteString(b.nc, "a000000000000001 data - 0\r\n\r\n")
			b.answered("1 200  ")
			b.hears("after 1 0 0 true")
		}},
		{"held, then abandoned", 1000, []director.Answer{again, again, {Verb: director.Abandon}}, "", func(b *bed) {
			close(b.gate)
			b.hears("where b000000000000001")
			b.hears("where b000000000000001")
			b.answered("1 500  ")
		}},
		{"cancelled, its node silent", 1000, []director.Answer{pulls, cancel, late}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 ")
			close(b.gate)
			b.hears("where b000000000000001")
			b.hears("after 0 6 0 false")
			b.answered("1 503 later=250 ")
		}},
		{"timed out", 0, []director.Answer{short, late}, "", func(b *bed) {
			b.hears("after 0 3 0 false")
			b.answered("1 503 later=250 ")
		}},
		{"the client gives up", 0, []director.Answer{pulls}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 ")
			b.send("NEVERMIND", "1")
			b.nodeHears("never_mind a000000000000001")
			b.hears("after 0 6 0 true")
		}},
		{"the client hangs up", 0, []director.Answer{pulls}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 ")
			b.client.Close()
			b.nodeHears("never_mind a000000000000001")
			b.hears("after 0 6 0 true")
		}},
		{"a node that is not listed", 0, []director.Answer{
			{Verb: director.Pull, Node: &director.Node{ID: "e9"}, Source: &director.Node{ID: "e9"}, TimeOut: director.Second}, late,
		}, "", func(b *bed) {
			b.hears("after 0 9 0 false")
			b.answered("1 503 later=250 ")
		}},
		{"its node leaves meanwhile", 0, []director.Answer{pulls}, "", func(b *bed) {
			b.nodeHears("want a000000000000001 ")
			b.list(director.Gone)
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
	b := newBed(t, 0, pulls, director.Answer{}, pulls)
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
	b.Apply([]feed.Event{{Object: "o", Group: -1, At: 5}, {}, {Group: 3, At: 6}})
	b.hears("purged o -1 5")
	b.hears("purged  3 6")
	b.ask("1", "")
	b.hears("where b000000000000001")
	b.nodeHears("want a000000000000001 ")
	// The same name and address with another start is a new process: what follows goes over a new connection.
	b.Apply([]feed.Event{{Listed: true, Nodes: []feed.Node{
		{Node: director.Node{ID: "e1", Started: 7}, Addr: b.node.Addr().String()},
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
	b.Apply([]feed.Event{{Object: "bad", At: 1}})
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
