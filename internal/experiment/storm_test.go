package experiment

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/faulttest"
	"tallyproxy/internal/logevent"
	"tallyproxy/internal/server"
)

// The test program is the director too, when a test starts it as one.
func TestMain(m *testing.M) {
	if os.Getenv("TALLYPROXY_TEST_DIRECTOR") != "" {
		os.Exit(server.Main(os.Args[1:]))
	}
	os.Setenv("TALLYPROXY_TEST_DIRECTOR", "1")
	slog.SetDefault(slog.New(slog.DiscardHandler)) // the log of agents, who are in this process; directors write theirs
	os.Exit(m.Run())
}

func argv(t *testing.T) []string {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return []string{self}
}

// program is the director as it is built for use. Storms are about what it does when there is too much to do, and the race detector,
// which makes it several times slower, would make that of every one; it looks on in all other tests.
func program(t *testing.T) []string {
	path := filepath.Join(t.TempDir(), "tallyproxy")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, "tallyproxy/cmd/tallyproxy").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return []string{path}
}

// storms are days with clients, boxes and directors on loopback, one at a time: beside each other directors wait for processors,
// and what is late for that is lost by the books. What is looked at are the rules, and whether a storm was seen where there is one.
func TestStorms(t *testing.T) {
	cases := []struct {
		name  string
		storm Storm
		calm  bool // it is no storm, and must not be taken for one
	}{
		{"2,000 clients within a second on fresh boxes", Storm{Clients: 2000, IgnoreShare: 0.25}, false},
		{"half of them ignore the advice", Storm{Clients: 500, IgnoreShare: 0.5}, false},
		{"all of them do", Storm{Clients: 500, IgnoreShare: 1}, false},
		{"none marks its repeats", Storm{Clients: 500, IgnoreShare: 0.5, UnmarkedShare: 1}, false},
		{"a second storm while the first drains away", Storm{Clients: 600, Faults: []string{"second"}}, false},
		{"a drain and a purge in the middle", Storm{Clients: 500, Faults: []string{"drain", "purge"}}, false},
		{"a director killed, its clients at its neighbours", Storm{Clients: 500, Faults: []string{"restart"}}, false},
		{"a director rolled and another reloaded", Storm{Clients: 500, Faults: []string{"roll", "reload"}}, false},
		{"a box that dies, another slow, a purge", Storm{Clients: 500, Faults: []string{"die", "slow", "purge"}}, false},
		{"clients that say nothing among them, few places", Storm{Clients: 500, IdleClients: 300, SocketLimit: 256}, false},
		{"a busy morning", Storm{Clients: 300, Scenario: "morning", Load: 0.4}, true},
		{"one popular object", Storm{Clients: 300, Scenario: "popular", Load: 0.3}, true},
	}
	built := program(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := c.storm
			s.ConnectWindow, s.Seed, s.OverloadMode, s.Argv = time.Second, 1, "on", built
			s.MaxRetries, s.RetryPause, s.MemoryLimitMB = 12, 100*time.Millisecond, 64
			if s.Duration = 3500 * time.Millisecond; len(s.Faults) > 0 || s.Clients > 1000 { // so many on cold boxes take as long
				s.Duration = 6500 * time.Millisecond
			}
			if s.Directors, s.CacheNodes = 2, 6; s.Scenario == "" {
				s.Scenario = "storm"
			}
			if s.SocketLimit == 0 {
				s.SocketLimit = 512
			}
			if s.Load == 0 {
				s.Load = 0.5
			}
			var log bytes.Buffer
			s.Log = &log
			r, err := s.Execute(t.Context())
			if err != nil {
				t.Fatalf("%v\n%s", err, log.String())
			}
			if broken := r.Broken(); len(broken) > 0 || r.PeakLoad > 0.8 {
				r.Series = StormSeries{}
				t.Errorf("broken: %v; %+v", broken, r)
			}
			if strings.Contains(log.String(), "event="+logevent.PanicRecovered) {
				t.Error(log.String())
			}
			if r.FirstAnswered < s.Clients || r.Requests < s.Clients/2 || r.Succeeded == 0 {
				t.Errorf("%d first tries were answered, %d downloads ended, %d of them fulfilled", r.FirstAnswered, r.Requests, r.Succeeded)
			}
			if c.calm != (r.OverloadsDetected == 0) {
				t.Errorf("%d storms noticed: %+v", r.OverloadsDetected, r)
			}
		})
	}
}

// bed is a world with one director for single downloads.
type bed struct {
	*fakes.Cluster
	d *faulttest.Director
	c *fakes.Client
}

func newBed(t *testing.T, change func(*fakes.Spec), script string) *bed {
	spec := fakes.DefaultSpec(2, 1)
	spec.ColdEdges, spec.Parents = false, 1
	change(&spec)
	w, err := fakes.New(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	var log bytes.Buffer
	d, err := faulttest.NewDirector(w, t.TempDir(), "n0", argv(t), script, faulttest.Limits{Sockets: 128, MemoryMB: 64, Cores: 1}, &log)
	if err == nil {
		err = d.Start(t.Context())
	}
	if err != nil {
		t.Fatalf("%v\n%s", err, log.String())
	}
	t.Cleanup(func() {
		if err := d.Stop(); err != nil {
			t.Errorf("%v\n%s", err, log.String())
		}
	})
	b := &bed{Cluster: w, d: d}
	b.c = b.client()
	return b
}

func (b *bed) client() *fakes.Client {
	return &fakes.Client{
		Cluster: b.Cluster, Targets: []*fakes.Target{&b.d.Target}, MaxRetries: 5, RetryPause: 50 * time.Millisecond,
		Rand: rand.New(rand.NewPCG(1, uint64(b.Now()))), Zipf: fakes.NewZipf(10, 1),
	}
}

// A cover pick whose pull ran but whose answer was lost: repeated inside its window it has its effect once, repeated after
// more than 3 s, on another connection, it is given up and has no second effect.
func TestCoverPickRepeatedLate(t *testing.T) {
	b := newBed(t, func(s *fakes.Spec) { s.ContentTypes[2].Timeout = 20 * time.Second }, "")
	pick := &b.ContentTypes[2]
	for i, x := range []struct {
		after time.Duration
		want  string
	}{{time.Second, "200"}, {3200 * time.Millisecond, "500"}} {
		key := fmt.Sprintf("%032x", i+1)
		ctx, leave := context.WithCancel(t.Context())
		first := b.client()
		go func() { // it leaves before the answer, which takes as long as the origin's
			for b.EffectCount(key) == 0 && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			leave()
		}()
		first.Connect(ctx)
		first.Attempt(ctx, b.Object(pick, i), 10*time.Second, false, key)
		if b.EffectCount(key) != 1 {
			t.Fatalf("key %d: %d effects of the first try", i, b.EffectCount(key))
		}
		time.Sleep(x.after)
		word, _, _, err := b.client().Attempt(t.Context(), b.Object(pick, i), 5*time.Second, true, key)
		if err != nil || word != x.want || b.EffectCount(key) != 1 {
			t.Errorf("repeated after %v: %s, %v; %d effects", x.after, word, err, b.EffectCount(key))
		}
	}
}

// Clients whose requests are well formed but name what no node knows cost a pull each after the first, and none of their
// answers is lost; others are served.
func TestUnknownToAllNodes(t *testing.T) {
	b := newBed(t, func(*fakes.Spec) {}, "")
	for _, n := range b.Nodes {
		n.SetFault(fakes.FaultError, 1)
	}
	asked := func() (n int) {
		for _, x := range b.Nodes {
			n += x.RequestCount()
		}
		return n
	}
	for i := range 100 {
		if word, _, _, err := b.c.Attempt(t.Context(), b.Object(&b.ContentTypes[0], i), time.Second, false, ""); err != nil || word != "503" {
			t.Errorf("download %d: %s, %v", i, word, err)
		}
	}
	if n := asked(); n > 103 {
		t.Errorf("100 downloads cost %d pulls", n)
	}
	for _, n := range b.Nodes {
		n.SetFault(fakes.FaultNone, 1)
	}
	time.Sleep(1200 * time.Millisecond) // boxes that erred are asked again
	if word, _, _, err := b.client().Attempt(t.Context(), b.Object(&b.ContentTypes[0], 1), 3*time.Second, false, ""); word != "200" {
		t.Errorf("another client: %s, %v", word, err)
	}
}

// What waits in the listener's queue when SIGTERM comes was taken, and is answered.
func TestQueueAtSIGTERM(t *testing.T) {
	b := newBed(t, func(*fakes.Spec) {}, "")
	for _, n := range b.Nodes { // holds every download, so that places stay taken
		n.SetFault(fakes.FaultNone, 30)
	}
	var all sync.WaitGroup
	answered := make(chan string, 200)
	for i := range 120 { // the director has 64 places
		c := b.client()
		all.Go(func() {
			defer c.Close()
			word, _, _, err := c.Attempt(t.Context(), b.Object(&b.ContentTypes[1], i), 3*time.Second, false, "")
			if err != nil {
				word = err.Error()
			}
			answered <- word
		})
	}
	time.Sleep(200 * time.Millisecond)
	b.d.Signal(os.Interrupt)
	all.Wait()
	close(answered)
	words := map[string]int{}
	for word := range answered {
		words[word]++
	}
	if words["200"]+words["503"] != 120 {
		t.Errorf("answered %v", words)
	}
}

func TestDraw(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.png")
	r := StormResult{Series: StormSeries{Attempts: []int{1, 2, 3}, Succeeded: []int{1, 1}, Load: []float64{0.1, 0.5}}}
	if err := DrawStorm(path, r); err != nil {
		t.Fatal(err)
	}
	if b, err := os.ReadFile(path); err != nil || !bytes.HasPrefix(b, []byte("\x89PNG")) {
		t.Errorf("%.8q, %v", b, err)
	}
	if err := DrawStorm(filepath.Join(path, "x"), r); err == nil {
		t.Error("drawn where nothing can be")
	}
}
