package experiment

import (
	"testing"
	"time"
)

// TestCores checks that no rule is broken under load on several cores, for every division of the
// directors' state, and that invalid numbers of cores are rejected.
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
			s.CacheNodes, s.Argv = 4, selfAsDirector(t)
			if s.Cores[0] == 300 { // a script may set 256 cores at most
				if _, err := s.Execute(t.Context()); err == nil {
					t.Error("300 cores were accepted")
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
		t.Error("0 cores were accepted")
	}
}

// TestStormsOnCores checks that faults during a storm break no rule of a director that runs on four
// cores.
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
			s.Clients, s.ConnectWindow, s.Seed, s.OverloadMode, s.Argv, s.IgnoreShare = 400, time.Second, 1, "on", selfAsDirector(t), 0.25
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
