package dispatch

import (
	"bufio"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/config"
	"tallyproxy/internal/discovery"
	"tallyproxy/internal/downstream"
	"tallyproxy/internal/upstream"
	"tallyproxy/policy"
	"tallyproxy/routing"
)

// box answers every request at once, and counts them.
type box struct {
	net.Listener
	asked, fills atomic.Int64 // requests; those that name the other box as source
}

func newBox(t *testing.T) *box {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &box{Listener: l}
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
					if words := strings.Fields(line); len(words) == 4 && words[0] == "want" {
						b.asked.Add(1)
						if strings.Contains(words[2], ",from=p0") {
							b.fills.Add(1)
						}
						fmt.Fprintf(nc, "%s data n=local 2\r\nok\r\n", words[1])
					}
				}
			}()
		}
	}()
	return b
}

// cores is a router of several shards with the real module, two boxes and two parents, and a client on each shard.
type cores struct {
	*Router
	boxes   []*box
	parents []*box
	clients []net.Conn
	in      []*bufio.Reader
	n       int
}

func newCores(t *testing.T, shards int) *cores {
	s := policy.Settings{
		Zone: 1, ZoneDirectors: 1, ParentKind: 1, OriginKind: 2, CanCancel: true, MaxAttempts: 8, TransferKBPerSecond: 1000, FillLinkKBPerSecond: 1e6,
		PurgeRetention: 6 * policy.Second, ReportsCacheStatus: true, ConnectTimeout: policy.Second, KeepAliveTimeout: 30 * policy.Second, MaxConcurrentStreams: 100,
		ContentTypes: []*policy.ContentType{{LatencyObjective: policy.Second, Timeout: 10 * policy.Second, PriorityWeight: 1}},
	}
	m := routing.Timeouts(s)
	p := bufpool.New(64)
	fleet := upstream.New(p, m, 64)
	c := &cores{Router: New(routing.New(s, routing.Options{}), m, fleet, shards)}
	for range 2 {
		c.boxes, c.parents = append(c.boxes, newBox(t)), append(c.parents, newBox(t))
	}
	c.Apply([]discovery.Event{{HasEndpoints: true, Snapshot: true, Endpoints: []discovery.Endpoint{
		c.node("e0", 1, 0, c.boxes[0], policy.Ready), c.node("e1", 1, 0, c.boxes[1], policy.Ready),
		c.node("p0", 0, 1, c.parents[0], policy.Ready), c.node("p1", 0, 1, c.parents[1], policy.Ready),
	}}})
	go c.Run()
	var sinks []downstream.Handler
	for _, s := range c.Shards() {
		sinks = append(sinks, s)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := downstream.New(sinks, config.Site{TypeNames: []string{"clip"}, Settings: s}, p, 64, m)
	go server.Serve(l)
	for i := range shards { // each goes to the next shard
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(20 * time.Second))
		c.clients, c.in = append(c.clients, nc), append(c.in, bufio.NewReader(nc))
		for server.ConnCount() <= i {
			time.Sleep(time.Millisecond)
		}
	}
	t.Cleanup(func() {
		for _, nc := range c.clients {
			nc.Close()
		}
		l.Close()
		fleet.Close()
		c.Stop()
	})
	return c
}

func (c *cores) node(id string, zone, kind int, b *box, s policy.EndpointState) discovery.Endpoint {
	return discovery.Endpoint{Endpoint: policy.Endpoint{ID: id, Zone: zone, Kind: kind, State: s}, Address: b.Addr().String()}
}

func (c *cores) ask(client int) {
	c.n++
	out := redcon.AppendArray(nil, 4)
	for _, w := range []string{"ASK", fmt.Sprint(c.n), "clip", fmt.Sprintf("txn=%016x,limit=9000,item=%016x,n=0,shard=0", c.n, c.n)} {
		out = redcon.AppendBulkString(out, w)
	}
	c.clients[client].Write(out)
}

// answered reads an answer's word.
func (c *cores) answered(t *testing.T, client int) string {
	t.Helper()
	var lines []string
	for range 9 { // *4 and four words
		line, err := c.in[client].ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, strings.TrimSpace(line))
	}
	return lines[4]
}

// A drain is heeded on every core from the call that brings it, also by the one that is busy just then; it counts as in force
// once that one has shown that it took it.
func TestDrainWithABusyCore(t *testing.T) {
	c := newCores(t, 4)
	for i := range 40 { // connections are up, both boxes are used
		c.ask(i % 4)
		if word := c.answered(t, i%4); word != "200" {
			t.Fatalf("answered %s", word)
		}
	}
	if c.boxes[0].asked.Load() == 0 || c.boxes[0].fills.Load()+c.boxes[1].fills.Load() == 0 {
		t.Fatal("a box or a parent has no share")
	}
	busy, goOn := make(chan struct{}), make(chan struct{})
	c.Shards()[1].calls.PutUnbounded(func() { close(busy); <-goOn })
	<-busy
	for range 10 {
		c.ask(1) // they wait for the busy core
	}
	c.Apply([]discovery.Event{{HasEndpoints: true, Endpoints: []discovery.Endpoint{
		c.node("e0", 1, 0, c.boxes[0], policy.Draining), c.node("p0", 0, 1, c.parents[0], policy.Draining),
	}}})
	asked, fills := c.boxes[0].asked.Load(), c.boxes[0].fills.Load()+c.boxes[1].fills.Load()
	for i := range 60 {
		client := []int{0, 2, 3}[i%3]
		c.ask(client)
		if word := c.answered(t, client); word != "200" {
			t.Fatalf("answered %s", word)
		}
	}
	if told, inForce := c.Epochs(); inForce >= told {
		t.Errorf("event %d is in force at %d while a core has not taken it", told, inForce)
	}
	close(goOn)
	for range 10 {
		if word := c.answered(t, 1); word != "200" {
			t.Fatalf("answered %s", word)
		}
	}
	if n := c.boxes[0].asked.Load(); n != asked {
		t.Errorf("%d more reached the box after its drain", n-asked)
	}
	if n := c.boxes[0].fills.Load() + c.boxes[1].fills.Load(); n != fills {
		t.Errorf("%d more named the source after its drain", n-fills)
	}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if told, inForce := c.Epochs(); inForce == told {
			break
		}
		if time.Now().After(until) {
			t.Fatal("it never came into force")
		}
	}
}

// The list turned over and over while all cores serve: nothing is lost, and what is drained last gets nothing more.
func TestListTurnedOver(t *testing.T) {
	c := newCores(t, 4)
	stop := make(chan struct{})
	turned := make(chan int)
	go func() {
		n := 0
		for ; ; n++ {
			select {
			case <-stop:
				turned <- n
				return
			default:
			}
			c.Apply([]discovery.Event{{HasEndpoints: true, Endpoints: []discovery.Endpoint{
				c.node("e0", 1, 0, c.boxes[0], []policy.EndpointState{policy.Draining, policy.Ready}[n%2]),
			}}})
			for told, inForce := c.Epochs(); inForce < told; told, inForce = c.Epochs() { // the next as soon as all cores have taken it
				runtime.Gosched()
			}
		}
	}()
	for i := range 400 {
		c.ask(i % 4)
		if word := c.answered(t, i%4); word != "200" {
			t.Fatalf("download %d: answered %s", i, word)
		}
	}
	close(stop)
	if n := <-turned; n < 100 {
		t.Errorf("the list turned over %d times only", n)
	}
}

// The list tells of nodes anew, as they are, while pulls go out to them: what a pull needs of a node is read while the module is at rest.
func TestListedWhilePulling(t *testing.T) {
	c := newCores(t, 2)
	done := make(chan struct{})
	var asked atomic.Int64
	go func() {
		defer close(done)
		for n := 0; n < 2000 || asked.Load() < 10; n++ { // the lists alone may be told before ten downloads are through
			c.Apply([]discovery.Event{{HasEndpoints: true, Endpoints: []discovery.Endpoint{
				c.node("e0", 1, 0, c.boxes[0], policy.Ready), c.node("p0", 0, 1, c.parents[0], policy.Ready),
				c.node("e1", 1, 0, c.boxes[1], policy.Ready), c.node("p1", 0, 1, c.parents[1], policy.Ready),
			}}})
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
			c.ask(i % 2)
			c.answered(t, i%2)
			asked.Add(1)
		}
	}
}
