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

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/config"
	"tallyproxy/internal/discovery"
	"tallyproxy/internal/downstream"
	"tallyproxy/internal/upstream"
	"tallyproxy/policy"
	"tallyproxy/routing"
)

// cacheNode is a fake cache node that answers every request at once and counts the requests.
type cacheNode struct {
	net.Listener
	requests, fillsFromP0 atomic.Int64
}

func newCacheNode(t *testing.T) *cacheNode {
	t.Helper()
	n := &cacheNode{Listener: listen(t)}
	t.Cleanup(func() { closeAll(t, n) })
	go func() {
		for {
			conn, err := n.Accept()
			if err != nil {
				return
			}
			go n.answer(conn)
		}
	}()
	return n
}

// answer serves one connection until it ends.
func (n *cacheNode) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the test only checks the answers
	for in := bufio.NewReader(conn); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.Fields(line)
		if len(fields) != 4 || fields[0] != "want" {
			continue
		}
		n.requests.Add(1)
		if strings.Contains(fields[2], ",from=p0") {
			n.fillsFromP0.Add(1)
		}
		if _, err := fmt.Fprintf(conn, "%s data n=local 2\r\nok\r\n", fields[1]); err != nil {
			return
		}
	}
}

// shardedRouter is a router of several shards with the real policy, two edges, two parents and one
// client per shard.
type shardedRouter struct {
	*Router
	t        *testing.T
	edges    []*cacheNode
	parents  []*cacheNode
	clients  []net.Conn
	clientIn []*bufio.Reader
	sent     int
}

func newShardedRouter(t *testing.T, shards int) *shardedRouter {
	t.Helper()
	settings := policy.Settings{
		Zone: 1, ZoneDirectors: 1, ParentKind: 1, OriginKind: 2, CanCancel: true, MaxAttempts: 8,
		TransferKBPerSecond: 1000, FillLinkKBPerSecond: 1e6, PurgeRetention: 6 * policy.Second, ReportsCacheStatus: true,
		ConnectTimeout: policy.Second, KeepAliveTimeout: 30 * policy.Second, MaxConcurrentStreams: 100,
		ContentTypes: []*policy.ContentType{{LatencyObjective: policy.Second, Timeout: 10 * policy.Second, PriorityWeight: 1}},
	}
	timeouts := routing.Timeouts(settings)
	buffers := bufpool.New(64)
	pool := upstream.New(buffers, timeouts, 64)
	r := &shardedRouter{Router: New(routing.New(settings, routing.Options{}), timeouts, pool, shards), t: t}
	for range 2 {
		r.edges, r.parents = append(r.edges, newCacheNode(t)), append(r.parents, newCacheNode(t))
	}
	r.update(true, r.edge(0, policy.Ready), r.edge(1, policy.Ready), r.parent(0, policy.Ready), r.parent(1, policy.Ready))
	go r.Run()
	var handlers []downstream.Handler
	for _, s := range r.Shards() {
		handlers = append(handlers, s)
	}
	listener := listen(t)
	server := downstream.New(handlers, config.Site{TypeNames: []string{"clip"}, Settings: settings}, buffers, 64, timeouts)
	go serve(t, server, listener)
	for i := range shards { // each connection is assigned to the next shard
		client := dial(t, listener.Addr())
		setDeadline(t, client, 2*testTimeout)
		r.clients, r.clientIn = append(r.clients, client), append(r.clientIn, bufio.NewReader(client))
		for server.ConnCount() <= i {
			time.Sleep(time.Millisecond)
		}
	}
	t.Cleanup(func() {
		for _, client := range r.clients {
			closeAll(t, client)
		}
		closeAll(t, listener)
		pool.Close()
		r.Stop()
	})
	return r
}

// update applies a complete endpoint list, or only changed entries if complete is false.
func (r *shardedRouter) update(complete bool, endpoints ...discovery.Endpoint) {
	r.Apply([]discovery.Event{{HasEndpoints: true, Snapshot: complete, Endpoints: endpoints}})
}

func (r *shardedRouter) edge(i int, state policy.EndpointState) discovery.Endpoint {
	return discovery.Endpoint{
		Endpoint: policy.Endpoint{ID: fmt.Sprint("e", i), Zone: 1, Kind: 0, State: state}, Address: r.edges[i].Addr().String(),
	}
}

func (r *shardedRouter) parent(i int, state policy.EndpointState) discovery.Endpoint {
	return discovery.Endpoint{
		Endpoint: policy.Endpoint{ID: fmt.Sprint("p", i), Zone: 0, Kind: 1, State: state}, Address: r.parents[i].Addr().String(),
	}
}

// fillsFromP0 returns the number of requests that named the first parent as their source.
func (r *shardedRouter) fillsFromP0() int64 {
	return r.edges[0].fillsFromP0.Load() + r.edges[1].fillsFromP0.Load()
}

func (r *shardedRouter) send(client int) {
	r.t.Helper()
	r.sent++
	fields := fmt.Sprintf("txn=%016x,limit=9000,item=%016x,n=0,shard=0", r.sent, r.sent)
	write(r.t, r.clients[client], message("ASK", fmt.Sprint(r.sent), "clip", fields))
}

// readStatus reads an answer and returns its status.
func (r *shardedRouter) readStatus(client int) string {
	r.t.Helper()
	// the array header *4 and four bulk strings of two lines each
	return readLines(r.t, r.clientIn[client], 9)[4]
}

// TestDrainWithABusyShard guards against a shard that uses a draining endpoint after Apply has
// returned, even if it was busy at that time, and against reporting the drain as applied before the
// busy shard has acknowledged it.
func TestDrainWithABusyShard(t *testing.T) {
	r := newShardedRouter(t, 4)
	for i := range 40 { // opens the connections and uses both edges
		r.send(i % 4)
		if status := r.readStatus(i % 4); status != "200" {
			t.Fatalf("got status %s", status)
		}
	}
	if r.edges[0].requests.Load() == 0 || r.fillsFromP0() == 0 {
		t.Fatal("an edge or a parent received no requests")
	}
	busy, resume := make(chan struct{}), make(chan struct{})
	r.Shards()[1].calls.PutUnbounded(func() { close(busy); <-resume })
	<-busy
	for range 10 {
		r.send(1) // these wait for the busy shard
	}
	r.update(false, r.edge(0, policy.Draining), r.parent(0, policy.Draining))
	requests, fills := r.edges[0].requests.Load(), r.fillsFromP0()
	for i := range 60 {
		client := []int{0, 2, 3}[i%3]
		r.send(client)
		if status := r.readStatus(client); status != "200" {
			t.Fatalf("got status %s", status)
		}
	}
	if latest, applied := r.Epochs(); applied >= latest {
		t.Errorf("event %d counts as applied, at %d, although a shard has not acknowledged it", latest, applied)
	}
	close(resume)
	for range 10 {
		if status := r.readStatus(1); status != "200" {
			t.Fatalf("got status %s", status)
		}
	}
	if n := r.edges[0].requests.Load(); n != requests {
		t.Errorf("%d more requests reached the edge after its drain", n-requests)
	}
	if n := r.fillsFromP0(); n != fills {
		t.Errorf("%d more requests named the parent as source after its drain", n-fills)
	}
	waitFor(t, "the drain to be applied", func() bool {
		latest, applied := r.Epochs()
		return applied == latest
	})
}

// TestEndpointUpdatesUnderLoad guards against losing requests while the state of an endpoint
// changes repeatedly and all shards serve.
func TestEndpointUpdatesUnderLoad(t *testing.T) {
	r := newShardedRouter(t, 4)
	stop := make(chan struct{})
	updates := make(chan int)
	go func() {
		n := 0
		for ; ; n++ {
			select {
			case <-stop:
				updates <- n
				return
			default:
			}
			r.update(false, r.edge(0, []policy.EndpointState{policy.Draining, policy.Ready}[n%2]))
			// sends the next update once all shards have applied this one
			for latest, applied := r.Epochs(); applied < latest; latest, applied = r.Epochs() {
				runtime.Gosched()
			}
		}
	}()
	for i := range 400 {
		r.send(i % 4)
		if status := r.readStatus(i % 4); status != "200" {
			t.Fatalf("request %d: got status %s", i, status)
		}
	}
	close(stop)
	if n := <-updates; n < 100 {
		t.Errorf("the endpoint was updated only %d times", n)
	}
}

// TestUnchangedUpdatesWhileSending guards against a data race between updates of the same endpoints
// and requests sent to them. The race detector fails the test if an attempt reads data of an
// endpoint while the policy may change it.
func TestUnchangedUpdatesWhileSending(t *testing.T) {
	r := newShardedRouter(t, 2)
	done := make(chan struct{})
	var answered atomic.Int64
	go func() {
		defer close(done)
		// the updates may finish before ten requests are answered
		for n := 0; n < 2000 || answered.Load() < 10; n++ {
			r.update(false, r.edge(0, policy.Ready), r.parent(0, policy.Ready), r.edge(1, policy.Ready), r.parent(1, policy.Ready))
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
			r.send(i % 2)
			r.readStatus(i % 2)
			answered.Add(1)
		}
	}
}
