package faulttest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
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

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/logevent"
)

// counted is a node that answers every request at once, as a fill, and keeps when each came.
type counted struct {
	net.Listener
	mu   sync.Mutex
	came []time.Time
}

func newCounted(t *testing.T) *counted {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &counted{Listener: l}
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
						n.mu.Lock()
						n.came = append(n.came, time.Now())
						n.mu.Unlock()
						fmt.Fprintf(nc, "%s data n=pulled 2\r\nok\r\n", words[1])
					}
				}
			}()
		}
	}()
	return n
}

// flood asks a director for objects that nobody asked for before, as many at a time as may be open, until the context ends.
func flood(ctx context.Context, addr string, number int, barrier <-chan struct{}) error {
	nc, err := net.Dial("tcp4", addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	tag := 0
	ask := func(times int) {
		var out []byte
		for range times {
			tag++
			out = redcon.AppendArray(out, 4)
			id := fmt.Sprintf("%08x%08x", number, tag)
			for _, w := range []string{"ASK", strconv.Itoa(tag), "clip", "txn=" + id + ",limit=3000,item=" + id + ",n=0,shard=1"} {
				out = redcon.AppendBulkString(out, w)
			}
		}
		nc.Write(out)
	}
	<-barrier
	ask(32)
	for in := bufio.NewReader(nc); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return nil
		}
		if strings.HasPrefix(line, "*") { // an answer begins
			time.Sleep(2 * time.Millisecond)
			ask(1)
		}
	}
}

// Rule 4 under the sum of processes: 24 directors that know nothing of one another, of one seed, are asked all at once for more than a
// cold cache bears. In every window it gets no more than that and what chance has.
func TestColdCacheUnder24Directors(t *testing.T) {
	const directors, bears = 24, 10.0 // requests in a window at its start: 2.5 x 2 transfers x 0.2 x 2 s, 0.2 s of work each
	const window, warm = 2 * time.Second, 30 * time.Second
	beside(t)
	argv := program(t)
	channel := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(500 * time.Millisecond):
		case <-r.Context().Done():
		}
		fmt.Fprint(w, `{"cursor":1,"cmds":[]}`)
	}))
	defer channel.Close()
	began := time.Now()
	cold := newCounted(t)
	rows := []string{fmt.Sprintf(`{"name":"e9","address":%q,"zone":"town","type":"edge","status":"up","since_ms":%d}`, cold.Addr(), began.UnixMilli()),
		fmt.Sprintf(`{"name":"p0","address":%q,"zone":"hub","type":"parent","status":"up"}`, newCounted(t).Addr()),
		fmt.Sprintf(`{"name":"o","address":%q,"zone":"hub","type":"origin","status":"up"}`, newCounted(t).Addr())}
	for i := range 3 {
		rows = append(rows, fmt.Sprintf(`{"name":"e%d","address":%q,"zone":"town","type":"edge","status":"up"}`, i, newCounted(t).Addr()))
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
			i, addr, strings.TrimPrefix(channel.URL, "http://"), strings.Join(rows, ","), warm.Milliseconds(), window.Milliseconds(), directors)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		d := &Director{argv: argv, log: io.Discard, now: func() time.Duration { return time.Since(began) }, env: append(os.Environ(), "NODE_CONFIG="+path)}
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
		d.Signal(os.Kill)
		d.Wait()
	}
	cold.mu.Lock()
	defer cold.mu.Unlock()
	most := 0.0
	for i, at := range cold.came {
		last, _ := slices.BinarySearchFunc(cold.came, at.Add(window), time.Time.Compare)
		n := bears * (1 + 4*float64(at.Sub(began))/float64(warm)) // from 0.2 of its capacity on a straight line
		most = max(most, float64(last-i)/(n+2*math.Sqrt(n)+2))
	}
	t.Logf("%d came, at the most %.2f of what it bears", len(cold.came), most)
	if most > 1 || len(cold.came) == 0 { // eleven by the budgets' sum
		t.Errorf("%d came, at the most %.2f of what it bears and what chance has beyond", len(cold.came), most)
	}
}

// A restarted director is ready soon, however the channel is.
func TestReadyAgain(t *testing.T) {
	beside(t)
	argv := program(t)
	for _, x := range []struct {
		name string
		how  func(*fakes.Cluster)
	}{
		{"up", func(*fakes.Cluster) {}},
		{"slow", func(w *fakes.Cluster) {
			w.SetChannelCapacity(fakes.ChannelCapacity{PerCall: 2 * time.Second, MaxWait: time.Hour})
		}},
		{"short", func(w *fakes.Cluster) { w.SetChannelMode(fakes.ChannelUnavailable, 5) }},
		{"hanging", func(w *fakes.Cluster) { w.SetChannelMode(fakes.ChannelHanging, 0) }},
		{"breaking off", func(w *fakes.Cluster) { w.SetChannelMode(fakes.ChannelTruncating, 0) }},
		{"gone", func(w *fakes.Cluster) { w.CutSecondPath(true) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := fakes.DefaultSpec(4, 10)
			s.SecondPath = true
			w, err := fakes.New(s)
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			folder, took := t.TempDir(), make([]time.Duration, 10)
			var all sync.WaitGroup
			var directors []*Director
			for i := range took {
				d, err := NewDirector(w, folder, fmt.Sprint("n", 2*i+1), argv, "", Limits{Sockets: 256, MemoryMB: 64, Cores: 1}, io.Discard)
				if err != nil {
					t.Fatal(err)
				}
				if err := d.Start(t.Context()); err != nil {
					t.Fatal(err)
				}
				directors = append(directors, d)
			}
			x.how(w)
			for i, d := range directors {
				all.Go(func() {
					if err := d.Stop(); err != nil {
						t.Error(err)
					}
					begun := time.Now()
					if err := d.Start(t.Context()); err != nil {
						t.Error(err)
					}
					took[i] = time.Since(begun)
				})
			}
			all.Wait()
			for _, d := range directors {
				d.Signal(os.Kill)
				d.Wait()
			}
			slices.Sort(took)
			if t.Logf("nine in ten after %v, all after %v", took[8], took[9]); took[8] > 10*time.Second {
				t.Errorf("nine in ten after %v", took[8])
			}
		})
	}
}

// A director with 64 descriptors, which the system holds it to, 200 nodes, and more idle clients than it may hold, while the channel is
// away: clients are served, each node is reached, and once the channel is back its word is heeded in time.
func TestDescriptorsWhileTheChannelIsAway(t *testing.T) {
	beside(t)
	s := fakes.DefaultSpec(200, 1)
	s.ColdEdges, s.CacheCapacity, s.LinkCapacity, s.ParentCapacity, s.OriginCapacity, s.OriginLatency = false, 1000, 1e5, 1e5, 1e5, time.Millisecond
	s.ContentTypes[0].MeanTransfer = time.Millisecond
	w, err := fakes.New(s)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	var log lockedBuffer
	argv := append([]string{"/bin/sh", "-c", `ulimit -n 64 && exec "$0"`}, program(t)...)
	d, err := NewDirector(w, t.TempDir(), "n0", argv, "", Limits{Sockets: 64, MemoryMB: 64, Cores: 1}, &log)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer func() {
		d.Signal(os.Kill)
		d.Wait()
	}()
	w.SetChannelMode(fakes.ChannelHanging, 0)
	for range 100 { // rest, and say nothing
		nc, err := net.Dial("tcp4", d.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
	}
	c := &fakes.Client{Cluster: w, Targets: []*fakes.Target{&d.Target}, Rand: rand.New(rand.NewPCG(1, 2))}
	defer c.Close()
	number := 0
	ask := func(times int) (served int) {
		for range times {
			number++
			word, _, _, err := c.Attempt(t.Context(), w.Object(&w.ContentTypes[0], number), 3*time.Second, false, "")
			if err == nil && word == "200" {
				served++
			}
		}
		return served
	}
	if n := ask(600); n < 595 {
		t.Errorf("%d of 600 were served", n)
	}
	reached := 0
	for _, n := range w.Nodes {
		if strings.HasPrefix(n.Name, "box") && n.RequestCount() > 0 {
			reached++
		}
	}
	if reached < 180 { // of 200 by 600 objects
		t.Errorf("%d nodes were reached", reached)
	}
	calls := len(w.ChannelCalls())
	w.SetChannelMode(fakes.ChannelServing, 0)
	back := time.Now()
	drains := w.Node("box-7")
	drains.Announce("draining")
	for len(w.ChannelCalls()) < calls+2 { // one that brought it, and the next
		ask(1)
		if time.Since(back) > 3*time.Second {
			t.Fatalf("%d calls in 3 s", len(w.ChannelCalls())-calls)
		}
	}
	before := drains.RequestCount()
	if n := ask(400); n < 395 {
		t.Errorf("%d of 400 were served", n)
	}
	if n := drains.RequestCount(); n != before {
		t.Errorf("%d more reached the node that drains", n-before)
	}
	if text := log.String(); strings.Contains(text, "too many open files") || strings.Contains(text, logevent.AcceptFailed) {
		t.Errorf("its log: %s", text)
	}
}

// lockedBuffer is a log that can be read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
