package faulttest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

const (
	coldWindow   = 2 * time.Second        // overload window of caches
	coldWarmUp   = 30 * time.Second       // slow start of caches
	coldTransfer = 200 * time.Millisecond // mean transfer time at full rate
	// coldCapacity is the number of requests in a window that a cache can serve at its start:
	// 2.5 x 2 transfers x 0.2 x 2 s, at 0.2 s of work each.
	coldCapacity = 10.0
)

// countingNode is a cache node that answers every request after a delay, with a fixed note, and
// records the arrival times.
type countingNode struct {
	net.Listener
	note     string
	delay    time.Duration
	mu       sync.Mutex
	arrivals []time.Time
}

// startCountingNode starts a countingNode on a free port. The node runs until the test ends.
func startCountingNode(t *testing.T, note string, delay time.Duration) *countingNode {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &countingNode{Listener: l, note: note, delay: delay}
	t.Cleanup(func() { closeQuietly(l) })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return n
}

// serve answers the requests of one connection until it ends.
func (n *countingNode) serve(conn net.Conn) {
	defer closeQuietly(conn)
	for in := bufio.NewReader(conn); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.Fields(line)
		if len(fields) != 4 || fields[0] != "want" {
			continue
		}
		n.mu.Lock()
		n.arrivals = append(n.arrivals, time.Now())
		n.mu.Unlock()
		answer := func() {
			// A failed write ends the connection, which the read loop notices.
			_, _ = fmt.Fprintf(conn, "%s data n=%s 2\r\nok\r\n", fields[1], n.note)
		}
		if n.delay == 0 {
			answer()
		} else {
			time.AfterFunc(n.delay, answer)
		}
	}
}

// peakLoad returns the number of requests that reached the node, which started cold at startedAt,
// and the highest number of them in one window, as a multiple of the node's capacity plus the
// margin for random variation.
func (n *countingNode) peakLoad(startedAt time.Time) (arrivals int, peak float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, at := range n.arrivals {
		last, _ := slices.BinarySearchFunc(n.arrivals, at.Add(coldWindow), time.Time.Compare)
		// The limit rises linearly from 0.2 of the full capacity.
		capacity := coldCapacity * (1 + 4*float64(at.Sub(startedAt))/float64(coldWarmUp))
		peak = max(peak, float64(last-i)/overloadBound(capacity))
	}
	return len(n.arrivals), peak
}

// overloadBound returns the number of requests in a window above which a cold cache that can serve
// capacity of them falls. The rule allows a few more if the capacity is below 30.
func overloadBound(capacity float64) float64 { return capacity + 2*math.Sqrt(capacity) + 2 }

// listedNode returns the entry of a node on the command channel. The node has been running for
// long if startedAt is zero.
func listedNode(name, zone, kind string, n *countingNode, startedAt time.Time) string {
	since := int64(0)
	if !startedAt.IsZero() {
		since = startedAt.UnixMilli()
	}
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"status":"up","since_ms":%d}`, name, n.Addr(), zone, kind, since)
}

// nodeListChannel is a command channel that publishes lists of nodes.
type nodeListChannel struct {
	*httptest.Server
	mu     sync.Mutex
	events []string
}

// startNodeListChannel starts a channel whose first event is the complete list.
func startNodeListChannel(t *testing.T, nodes []string) *nodeListChannel {
	c := &nodeListChannel{}
	c.publish(true, nodes)
	c.Server = httptest.NewServer(http.HandlerFunc(c.serve))
	t.Cleanup(c.Close)
	return c
}

// publish adds an event with the nodes.
func (c *nodeListChannel) publish(complete bool, nodes []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, fmt.Sprintf(`{"cursor":%d,"nodes":{"snapshot":%t,"endpoints":[%s]}}`, len(c.events)+1, complete, strings.Join(nodes, ",")))
}

// after returns the events after the cursor, as the channel and a director's configuration have
// them.
func (c *nodeListChannel) after(cursor int) (text string, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := c.events[min(cursor, len(c.events)):]
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, len(c.events), strings.Join(events, ",")), len(events) > 0
}

// serve answers a poll once there are events, or after half a second.
func (c *nodeListChannel) serve(w http.ResponseWriter, r *http.Request) {
	cursor, err := strconv.Atoi(r.URL.Query().Get("resume"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	text, found := c.after(cursor)
	for wait := 0; !found && wait < 10 && r.Context().Err() == nil; wait++ {
		time.Sleep(50 * time.Millisecond)
		text, found = c.after(cursor)
	}
	// A director whose poll was interrupted polls again.
	_, _ = io.WriteString(w, text)
}

// startColdCacheFleet starts directors that do not know each other and have the same seed, in a
// zone whose link carries four transfers.
func startColdCacheFleet(t *testing.T, channel *nodeListChannel, directors int) (all []*Director) {
	argv, folder, startedAt := buildProgram(t), t.TempDir(), time.Now()
	known, _ := channel.after(0)
	for i := range directors {
		addr, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(folder, fmt.Sprint(i))
		text := fmt.Sprintf(`{"name":"n%d","listen":%q,"seed":"000000000000000a","channel":%q,"limits":{"cores":1,"memory_mb":64,"sockets":128},
			"known":%s,
			"settings":{"zone":1,"zones":["hub","town"],"machine-types":["edge","parent","origin"],
			"lanes":[{"name":"clip","aim":400,"aim-stretch":1,"hard-limit":3000,"repeat":"free","value":1}],
			"contract":{"grace-to-answer":8,"cold":%d,"cold-from":0.2,"overload-for":%d,"tip-multiple":2.5,"stop-sending-within":1000},
			"limits":{"cancel":true,"try-limit":6,"connect-timeout":400,"keepalive":30000,"max-streams":100},
			"specifics":{"origin-kind":2,"shield-kind":1,"gone-everywhere":6000,"note-level":"all","max-age":[0],"pace-kb-per-s":1000,
			"pipe-kb-per-s":[0,4000],"count-by-zone":[0,%d]}}}`,
			i, addr, strings.TrimPrefix(channel.URL, "http://"), known, coldWarmUp.Milliseconds(), coldWindow.Milliseconds(), directors)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		d := &Director{argv: argv, log: io.Discard, now: func() time.Duration { return time.Since(startedAt) }, env: append(os.Environ(), "NODE_CONFIG="+path)}
		d.Addr = addr
		all = append(all, d)
	}
	var started sync.WaitGroup
	for _, d := range all {
		started.Go(func() {
			if err := d.Start(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
	started.Wait()
	t.Cleanup(func() {
		for _, d := range all {
			d.Kill()
		}
	})
	return all
}

// flood requests objects from a director until the context or the connection ends, always with as
// many requests open as the director allows. item returns the object of a request by its number.
func flood(ctx context.Context, addr string, number int, item func(request int) string) error {
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		return err
	}
	defer closeQuietly(conn)
	defer context.AfterFunc(ctx, func() { closeQuietly(conn) })()
	tag := 0
	send := func(times int) {
		var out []byte
		for range times {
			tag++
			out = redcon.AppendArray(out, 4)
			id := fmt.Sprintf("%08x%08x", number, tag)
			for _, w := range []string{"ASK", strconv.Itoa(tag), "clip", "txn=" + id + ",limit=3000,item=" + item(tag) + ",n=0,shard=1"} {
				out = redcon.AppendBulkString(out, w)
			}
		}
		// A write error needs no handling: the read loop ends with the connection.
		_, _ = conn.Write(out)
	}
	send(32)
	for in := bufio.NewReader(conn); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return nil
		}
		if strings.HasPrefix(line, "*") { // start of an answer
			time.Sleep(2 * time.Millisecond)
			send(1)
		}
	}
}
