package experiment

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/faulttest"
)

// TestSameRequestOnTwoCores guards against duplicates that arrive on different cores: one of two
// concurrent requests with the same id must be refused, and requests with the same idempotency key
// must have one effect.
func TestSameRequestOnTwoCores(t *testing.T) {
	b := newSingleDirector(t, func(*fakes.Spec) {}, "machine(cores = 4)\n")
	for _, n := range b.Nodes {
		n.SetFault(fakes.FaultNone, 20) // slow, so that both requests are open at the same time
	}
	for round := range 5 {
		statuses := make([]string, 2)
		var requests sync.WaitGroup
		for i := range statuses {
			c := b.newClient()
			c.Rand = rand.New(rand.NewPCG(7, uint64(round))) // the same ids
			requests.Go(func() {
				defer c.Close()
				statuses[i], _, _, _ = c.Attempt(t.Context(), b.Object(&b.ContentTypes[1], round), 5*time.Second, false, "")
			})
		}
		requests.Wait()
		if statuses[0] > statuses[1] {
			statuses[0], statuses[1] = statuses[1], statuses[0]
		}
		if statuses[0] != "200" && statuses[0] != "503" || statuses[1] != "500" {
			t.Errorf("answered %v", statuses)
		}
	}
	key := fmt.Sprintf("%032x", 5)
	var requests sync.WaitGroup
	for range 4 {
		c := b.newClient()
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), 1))
		requests.Go(func() {
			defer c.Close()
			// Only the number of effects is checked.
			_, _, _, _ = c.Attempt(t.Context(), b.Object(&b.ContentTypes[2], 1), 3*time.Second, false, key)
		})
	}
	requests.Wait()
	if n := b.EffectCount(key); n != 1 {
		t.Errorf("%d effects", n)
	}
	if r := b.Violations(); r.ConcurrentAttempts > 0 {
		t.Errorf("%+v", r)
	}
}

// TestFloodOnOneCore checks that clients are answered in time while another client floods one core.
func TestFloodOnOneCore(t *testing.T) {
	b := newSingleDirector(t, func(*fakes.Spec) {}, "machine(cores = 4)\n")
	ctx, cancel := context.WithCancel(t.Context())
	flood := newLoadConnection(b.Cluster, b.director.Addr, 32, 0, 1)
	var requests sync.WaitGroup
	// Only the answers to the other clients are checked.
	requests.Go(func() { _ = flood.run(ctx, time.Now()) })
	for i := range 40 {
		c := b.newClient()
		c.Rand = rand.New(rand.NewPCG(uint64(i), 9))
		startedAt := time.Now()
		status, _, _, err := c.Attempt(ctx, b.Object(&b.ContentTypes[0], i), 3*time.Second, false, "")
		if err != nil || time.Since(startedAt) > 2*time.Second {
			t.Errorf("client %d: %s, %v after %v", i, status, err, time.Since(startedAt))
		}
		c.Close()
	}
	cancel()
	requests.Wait()
}

// singleDirector is a cluster of fakes with one director, for tests that send single requests.
type singleDirector struct {
	*fakes.Cluster
	director      *faulttest.Director
	defaultClient *fakes.Client
}

// newSingleDirector starts a director with a script on two cache nodes and a parent. change may
// modify the spec of the cluster first. Everything ends with the test.
func newSingleDirector(t *testing.T, change func(*fakes.Spec), script string) *singleDirector {
	t.Helper()
	spec := fakes.DefaultSpec(2, 1)
	spec.ColdEdges, spec.Parents = false, 1
	change(&spec)
	cluster, err := fakes.New(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	var log bytes.Buffer
	d, err := faulttest.NewDirector(cluster, t.TempDir(), "n0", selfAsDirector(t), script, faulttest.Limits{Sockets: 128, MemoryMB: 64, Cores: 1}, &log)
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
	b := &singleDirector{Cluster: cluster, director: d}
	b.defaultClient = b.newClient()
	return b
}

// newClient returns a client of the director with its own random generator.
func (b *singleDirector) newClient() *fakes.Client {
	return &fakes.Client{
		Cluster: b.Cluster, Targets: []*fakes.Target{&b.director.Target}, MaxRetries: 5, RetryPause: 50 * time.Millisecond,
		Rand: rand.New(rand.NewPCG(1, uint64(b.Now()))), Zipf: fakes.NewZipf(10, 1),
	}
}

// TestLateRetryOfCoverPick checks that a request whose effect happened but whose answer was lost
// has no second effect when it is retried on another connection. A retry within the deduplication
// window is answered; after more than 3 s it fails.
func TestLateRetryOfCoverPick(t *testing.T) {
	b := newSingleDirector(t, func(s *fakes.Spec) { s.ContentTypes[2].Timeout = 20 * time.Second }, "")
	pick := &b.ContentTypes[2]
	for i, x := range []struct {
		after time.Duration
		want  string
	}{{time.Second, "200"}, {3200 * time.Millisecond, "500"}} {
		key := fmt.Sprintf("%032x", i+1)
		ctx, cancel := context.WithCancel(t.Context())
		first := b.newClient()
		go func() { // the client disconnects after the effect and before the origin's answer
			for b.EffectCount(key) == 0 && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		if err := first.Connect(ctx); err != nil {
			t.Fatal(err)
		}
		// The attempt is interrupted, so its result is ignored.
		_, _, _, _ = first.Attempt(ctx, b.Object(pick, i), 10*time.Second, false, key)
		if b.EffectCount(key) != 1 {
			t.Fatalf("key %d: %d effects of the first attempt", i, b.EffectCount(key))
		}
		time.Sleep(x.after)
		status, _, _, err := b.newClient().Attempt(t.Context(), b.Object(pick, i), 5*time.Second, true, key)
		if err != nil || status != x.want || b.EffectCount(key) != 1 {
			t.Errorf("retried after %v: %s, %v; %d effects", x.after, status, err, b.EffectCount(key))
		}
	}
}

// TestUnknownObjects checks that valid requests that every node fails cost one upstream attempt
// each after the first request, that all of them are answered, and that other clients are served
// afterwards.
func TestUnknownObjects(t *testing.T) {
	b := newSingleDirector(t, func(*fakes.Spec) {}, "")
	for _, n := range b.Nodes {
		n.SetFault(fakes.FaultError, 1)
	}
	requestCount := func() (n int) {
		for _, x := range b.Nodes {
			n += x.RequestCount()
		}
		return n
	}
	for i := range 100 {
		if status, _, _, err := b.defaultClient.Attempt(t.Context(), b.Object(&b.ContentTypes[0], i), time.Second, false, ""); err != nil || status != "503" {
			t.Errorf("request %d: %s, %v", i, status, err)
		}
	}
	if n := requestCount(); n > 103 {
		t.Errorf("100 requests cost %d upstream attempts", n)
	}
	for _, n := range b.Nodes {
		n.SetFault(fakes.FaultNone, 1)
	}
	// Cache nodes that returned errors get requests again after this time.
	time.Sleep(1200 * time.Millisecond)
	if status, _, _, err := b.newClient().Attempt(t.Context(), b.Object(&b.ContentTypes[0], 1), 3*time.Second, false, ""); status != "200" {
		t.Errorf("another client: %s, %v", status, err)
	}
}

// TestQueueAtSIGTERM checks that connections which are still in the listen queue when the signal to
// stop arrives are answered.
func TestQueueAtSIGTERM(t *testing.T) {
	b := newSingleDirector(t, func(*fakes.Spec) {}, "")
	for _, n := range b.Nodes { // slow, so that connections stay open
		n.SetFault(fakes.FaultNone, 30)
	}
	var requests sync.WaitGroup
	answered := make(chan string, 200)
	for i := range 120 { // the director allows 64 connections
		c := b.newClient()
		requests.Go(func() {
			defer c.Close()
			status, _, _, err := c.Attempt(t.Context(), b.Object(&b.ContentTypes[1], i), 3*time.Second, false, "")
			if err != nil {
				status = err.Error()
			}
			answered <- status
		})
	}
	time.Sleep(200 * time.Millisecond)
	b.director.Signal(os.Interrupt)
	requests.Wait()
	close(answered)
	statuses := map[string]int{}
	for status := range answered {
		statuses[status]++
	}
	if statuses["200"]+statuses["503"] != 120 {
		t.Errorf("answered %v", statuses)
	}
}
