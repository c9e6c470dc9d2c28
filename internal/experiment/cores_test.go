package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"tallyproxy/internal/fakes"
)

// Loads on several cores: every rule holds, by every division.
func TestCores(t *testing.T) {
	cases := []struct {
		name  string
		cores Cores
	}{
		{"two", Cores{Cores: []int{2}, Division: "whole"}},
		{"four, by the clock", Cores{Cores: []int{4}, Division: "whole", Rate: 100}},
		{"two directors", Cores{Cores: []int{2}, Division: "separate"}},
		{"divided beliefs", Cores{Cores: []int{2}, Division: "divided"}},
		{"as many as there are, and more", Cores{Cores: []int{300}, Division: "whole"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := c.cores
			s.ContentTypes, s.Duration, s.Connections, s.Pipelining = []string{"thumbnails", "clips", "picks"}, time.Second/2, 16, 4
			s.CacheNodes, s.Argv = 4, argv(t)
			if s.Cores[0] == 300 { // the file may ask for no more than 256: refused, with its key
				if _, err := s.Execute(t.Context()); err == nil {
					t.Error("300 cores were taken")
				}
				return
			}
			r, err := s.Execute(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if x := r.Runs[0]; len(r.Broken()) > 0 || x.Rate == 0 || x.P50 <= 0 || x.P999 < x.P50 {
				t.Errorf("%+v", r)
			}
		})
	}
	if _, err := (&Cores{Cores: []int{0}}).Execute(t.Context()); err == nil {
		t.Error("no core at all was taken")
	}
}

// Storms on a director of four cores, with what goes wrong meanwhile.
func TestStormsOnCores(t *testing.T) {
	cases := []struct {
		name  string
		storm Storm
	}{
		{"a drain, a purge, the list turned over ten times a second", Storm{Faults: []string{"drain", "purge", "turnover"}}},
		{"rolled and reloaded under load", Storm{Faults: []string{"roll", "reload"}}},
		{"boxes that say nothing, spoil answers and reset connections", Storm{Faults: []string{"mute", "spoil", "reset"}}},
		{"one object is most of the traffic", Storm{Scenario: "popular"}},
		{"boxes that die and are slow, a second storm", Storm{Faults: []string{"die", "slow", "second"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := c.storm
			s.Clients, s.ConnectWindow, s.Seed, s.OverloadMode, s.Argv, s.IgnoreShare = 400, time.Second, 1, "on", argv(t), 0.25
			s.MaxRetries, s.RetryPause, s.MemoryLimitMB, s.SocketLimit = 12, 100*time.Millisecond, 128, 512
			if s.Scenario == "" {
				s.Scenario = "storm"
			}
			s.Directors, s.CacheNodes, s.Load, s.Duration, s.Cores = 1, 6, 0.5, 7*time.Second, 4
			r, err := s.Execute(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if broken := r.Broken(); len(broken) > 0 || r.PeakLoad > 0.8 || r.Succeeded == 0 {
				t.Errorf("broken: %v; %+v", broken, r)
			}
		})
	}
}

// The same id on two cores at once: one download of it, and the other is refused; the same key: one effect.
func TestSameOnTwoCores(t *testing.T) {
	b := newBed(t, func(*fakes.Spec) {}, "machine(cores = 4)\n")
	for _, n := range b.Nodes {
		n.SetFault(fakes.FaultNone, 20) // so that both are open together
	}
	for round := range 5 {
		words := make([]string, 2)
		var all sync.WaitGroup
		for i := range words {
			c := b.client()
			c.Rand = rand.New(rand.NewPCG(7, uint64(round))) // the same ids
			all.Go(func() {
				defer c.Close()
				words[i], _, _, _ = c.Attempt(t.Context(), b.Object(&b.ContentTypes[1], round), 5*time.Second, false, "")
			})
		}
		all.Wait()
		if words[0] > words[1] {
			words[0], words[1] = words[1], words[0]
		}
		if words[0] != "200" && words[0] != "503" || words[1] != "500" {
			t.Errorf("answered %v", words)
		}
	}
	key := fmt.Sprintf("%032x", 5)
	var all sync.WaitGroup
	for range 4 {
		c := b.client()
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), 1))
		all.Go(func() {
			defer c.Close()
			c.Attempt(t.Context(), b.Object(&b.ContentTypes[2], 1), 3*time.Second, false, key)
		})
	}
	all.Wait()
	if n := b.EffectCount(key); n != 1 {
		t.Errorf("%d effects", n)
	}
	if r := b.Violations(); r.ConcurrentAttempts > 0 {
		t.Errorf("%+v", r)
	}
}

// A client that floods its core costs the others nothing but their share: they are answered in time.
func TestFloodOnOneCore(t *testing.T) {
	b := newBed(t, func(*fakes.Spec) {}, "machine(cores = 4)\n")
	ctx, leave := context.WithCancel(t.Context())
	flood := newLoadConnection(b.Cluster, b.d.Addr, 32, 0, 1)
	var all sync.WaitGroup
	all.Go(func() { flood.run(ctx, time.Now()) })
	for i := range 40 {
		c := b.client()
		c.Rand = rand.New(rand.NewPCG(uint64(i), 9))
		begun := time.Now()
		word, _, _, err := c.Attempt(ctx, b.Object(&b.ContentTypes[0], i), 3*time.Second, false, "")
		if err != nil || time.Since(begun) > 2*time.Second {
			t.Errorf("client %d: %s, %v after %v", i, word, err, time.Since(begun))
		}
		c.Close()
	}
	leave()
	all.Wait()
}
