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

// countingNode is a cache node that answers every request at once, as a fill, and records the
// arrival times.
type countingNode struct {
	net.Listener
	mu       sync.Mutex
	arrivals []time.Time
}

// startCountingNode starts a countingNode on a free port. The node runs until the test ends.
func startCountingNode(t *testing.T) *countingNode {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &countingNode{Listener: l}
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
		if _, err := fmt.Fprintf(conn, "%s data n=pulled 2\r\nok\r\n", fields[1]); err != nil {
			return
		}
	}
}

// flood requests new objects from a director until the context ends, always with as many requests
// open as the director allows.
func flood(ctx context.Context, addr string, number int, barrier <-chan struct{}) error {
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
			for _, w := range []string{"ASK", strconv.Itoa(tag), "clip", "txn=" + id + ",limit=3000,item=" + id + ",n=0,shard=1"} {
				out = redcon.AppendBulkString(out, w)
			}
		}
		// A write error needs no handling: the read loop ends with the connection.
		_, _ = conn.Write(out)
	}
	<-barrier
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

// TestColdCacheUnder24Directors guards against directors that together overload a cold cache. 24
// directors that do not know each other have the same seed and start to send at once, with more
// requests than the cache can serve. In no window may the cache receive more than its capacity plus
// a margin for random variation.
func TestColdCacheUnder24Directors(t *testing.T) {
	// capacity is the number of requests in a window that the cache can serve at its start:
	// 2.5 x 2 transfers x 0.2 x 2 s, at 0.2 s of work each.
	const directors, capacity = 24, 10.0
	const window, warmUp = 2 * time.Second, 30 * time.Second
	parallel(t)
	argv := buildProgram(t)
	channel := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(500 * time.Millisecond):
		case <-r.Context().Done():
		}
		// A director whose poll was interrupted polls again.
		_, _ = fmt.Fprint(w, `{"cursor":1,"cmds":[]}`)
	}))
	defer channel.Close()
	startedAt := time.Now()
	cold := startCountingNode(t)
	endpoints := []string{fmt.Sprintf(`{"name":"e9","address":%q,"zone":"town","type":"edge","status":"up","since_ms":%d}`, cold.Addr(), startedAt.UnixMilli()),
		fmt.Sprintf(`{"name":"p0","address":%q,"zone":"hub","type":"parent","status":"up"}`, startCountingNode(t).Addr()),
		fmt.Sprintf(`{"name":"o","address":%q,"zone":"hub","type":"origin","status":"up"}`, startCountingNode(t).Addr())}
	for i := range 3 {
		endpoints = append(endpoints, fmt.Sprintf(`{"name":"e%d","address":%q,"zone":"town","type":"edge","status":"up"}`, i, startCountingNode(t).Addr()))
	}
	folder, all := t.TempDir(), []*Director{}
	for i := range directors {
		addr, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(folder, fmt.Sprint(i))
		text := fmt.Sprintf(`{"name":"n%d","listen":%q,"seed":"000000000000000a","channel":%q,"limits":{"cores":1,"memory_mb":64,"sockets":128},
			"known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"snapshot":true,"endpoints":[%s]}}]},
			"settings":{"zone":1,"zones":["hub","town"],"machine-types":["edge","parent","origin"],
			"lanes":[{"name":"clip","aim":400,"aim-stretch":1,"hard-limit":3000,"repeat":"free","value":1}],
			"contract":{"grace-to-answer":8,"cold":%d,"cold-from":0.2,"overload-for":%d,"tip-multiple":2.5,"stop-sending-within":1000},
			"limits":{"cancel":true,"try-limit":6,"connect-timeout":400,"keepalive":30000,"max-streams":100},
			"specifics":{"origin-kind":2,"shield-kind":1,"gone-everywhere":6000,"note-level":"all","max-age":[0],"pace-kb-per-s":1000,
			"pipe-kb-per-s":[0,4000],"count-by-zone":[0,%d]}}}`,
			i, addr, strings.TrimPrefix(channel.URL, "http://"), strings.Join(endpoints, ","), warmUp.Milliseconds(), window.Milliseconds(), directors)
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
	ctx, stop := context.WithTimeout(t.Context(), 3*window+window/2)
	defer stop()
	barrier := make(chan struct{})
	var floods sync.WaitGroup
	for i, d := range all {
		floods.Go(func() {
			if err := flood(ctx, d.Addr, i, barrier); err != nil {
				t.Error(err)
			}
		})
	}
	close(barrier)
	floods.Wait()
	for _, d := range all {
		d.Kill()
	}
	cold.mu.Lock()
	defer cold.mu.Unlock()
	peak := 0.0
	for i, at := range cold.arrivals {
		last, _ := slices.BinarySearchFunc(cold.arrivals, at.Add(window), time.Time.Compare)
		// The limit rises linearly from 0.2 of the full capacity.
		n := capacity * (1 + 4*float64(at.Sub(startedAt))/float64(warmUp))
		peak = max(peak, float64(last-i)/(n+2*math.Sqrt(n)+2))
	}
	t.Logf("%d requests, peak load %.2f of the limit", len(cold.arrivals), peak)
	if peak > 1 || len(cold.arrivals) == 0 { // the sum of the budgets would allow a peak of eleven
		t.Errorf("%d requests reached the cold cache, peak load %.2f of its capacity plus the margin", len(cold.arrivals), peak)
	}
}
