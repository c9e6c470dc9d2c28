package faulttest

import (
	"bytes"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/logevent"
)

// TestDescriptorsDuringChannelOutage guards against a director that runs out of descriptors while
// the channel hangs. The system limits it to 64, with 200 nodes and more idle clients than it may
// hold. It must still serve clients and reach the nodes, and apply a drain in time once the channel
// is back.
func TestDescriptorsDuringChannelOutage(t *testing.T) {
	parallel(t)
	spec := fakes.DefaultSpec(200, 1)
	spec.ColdEdges, spec.CacheCapacity, spec.LinkCapacity, spec.ParentCapacity, spec.OriginCapacity, spec.OriginLatency = false, 1000, 1e5, 1e5, 1e5, time.Millisecond
	spec.ContentTypes[0].MeanTransfer = time.Millisecond
	cluster, err := fakes.New(spec)
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	var log lockedBuffer
	argv := append([]string{"/bin/sh", "-c", `ulimit -n 64 && exec "$0"`}, buildProgram(t)...)
	d, err := NewDirector(cluster, t.TempDir(), "n0", argv, "", Limits{Sockets: 64, MemoryMB: 64, Cores: 1}, &log)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer d.Kill()
	cluster.SetChannelMode(fakes.ChannelHanging, 0)
	for range 100 { // idle clients
		conn, err := net.Dial("tcp4", d.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeQuietly(conn) })
	}
	client := &fakes.Client{Cluster: cluster, Targets: []*fakes.Target{&d.Target}, Rand: rand.New(rand.NewPCG(1, 2))}
	defer client.Close()
	number := 0
	request := func(times int) (served int) {
		for range times {
			number++
			status, _, _, err := client.Attempt(t.Context(), cluster.Object(&cluster.ContentTypes[0], number), 3*time.Second, false, "")
			if err == nil && status == "200" {
				served++
			}
		}
		return served
	}
	if n := request(600); n < 595 {
		t.Errorf("%d of 600 requests served", n)
	}
	reached := 0
	for _, n := range cluster.Nodes {
		if strings.HasPrefix(n.Name, "box") && n.RequestCount() > 0 {
			reached++
		}
	}
	if reached < 180 { // 600 objects are spread over 200 nodes
		t.Errorf("%d of 200 nodes received requests", reached)
	}
	calls := len(cluster.ChannelCalls())
	cluster.SetChannelMode(fakes.ChannelServing, 0)
	restored := time.Now()
	draining := cluster.Node("box-7")
	draining.Announce("draining")
	// Wait for the call that returned the drain and for the next one.
	for len(cluster.ChannelCalls()) < calls+2 {
		request(1)
		if time.Since(restored) > 3*time.Second {
			t.Fatalf("%d calls to the channel within 3 s, want 2", len(cluster.ChannelCalls())-calls)
		}
	}
	before := draining.RequestCount()
	if n := request(400); n < 395 {
		t.Errorf("%d of 400 requests served", n)
	}
	if n := draining.RequestCount(); n != before {
		t.Errorf("%d more requests reached the draining node", n-before)
	}
	if text := log.String(); strings.Contains(text, "too many open files") || strings.Contains(text, logevent.AcceptFailed) {
		t.Errorf("director ran out of descriptors; log: %s", text)
	}
}

// lockedBuffer is a log that can be read and written concurrently.
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
