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

// TestDescriptorsDuringChannelOutage has a director with 64 descriptors, which the system holds it to, 200 nodes, and more idle clients
// than it may hold, while the channel hangs: clients are served, each node is reached, and once the channel is back a drain is in force in time.
func TestDescriptorsDuringChannelOutage(t *testing.T) {
	parallel(t)
	s := fakes.DefaultSpec(200, 1)
	s.ColdEdges, s.CacheCapacity, s.LinkCapacity, s.ParentCapacity, s.OriginCapacity, s.OriginLatency = false, 1000, 1e5, 1e5, 1e5, time.Millisecond
	s.ContentTypes[0].MeanTransfer = time.Millisecond
	w, err := fakes.New(s)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	var log lockedBuffer
	argv := append([]string{"/bin/sh", "-c", `ulimit -n 64 && exec "$0"`}, buildProgram(t)...)
	d, err := NewDirector(w, t.TempDir(), "n0", argv, "", Limits{Sockets: 64, MemoryMB: 64, Cores: 1}, &log)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer d.Kill()
	w.SetChannelMode(fakes.ChannelHanging, 0)
	for range 100 { // idle clients
		conn, err := net.Dial("tcp4", d.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeQuietly(conn) })
	}
	c := &fakes.Client{Cluster: w, Targets: []*fakes.Target{&d.Target}, Rand: rand.New(rand.NewPCG(1, 2))}
	defer c.Close()
	number := 0
	request := func(times int) (served int) {
		for range times {
			number++
			status, _, _, err := c.Attempt(t.Context(), w.Object(&w.ContentTypes[0], number), 3*time.Second, false, "")
			if err == nil && status == "200" {
				served++
			}
		}
		return served
	}
	if n := request(600); n < 595 {
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
	restored := time.Now()
	draining := w.Node("box-7")
	draining.Announce("draining")
	for len(w.ChannelCalls()) < calls+2 { // one that brought the drain, and the next
		request(1)
		if time.Since(restored) > 3*time.Second {
			t.Fatalf("%d calls in 3 s", len(w.ChannelCalls())-calls)
		}
	}
	before := draining.RequestCount()
	if n := request(400); n < 395 {
		t.Errorf("%d of 400 were served", n)
	}
	if n := draining.RequestCount(); n != before {
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
