package experiment

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"tallyproxy/internal/logevent"
)

// TestStorms checks that storms break no rule, and that an overload is detected if and only if
// there is one. The storms run one at a time: in parallel, directors would wait for CPUs, and late
// answers would count as lost.
func TestStorms(t *testing.T) {
	cases := []struct {
		name       string
		storm      Storm
		noOverload bool // no overload occurs, so none may be detected
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
	built := buildDirector(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := c.storm
			s.ConnectWindow, s.Seed, s.OverloadMode, s.Argv = time.Second, 1, "on", built
			s.MaxRetries, s.RetryPause, s.MemoryLimitMB = 12, 100*time.Millisecond, 64
			// Storms with more than 1,000 clients on cold caches need the longer time.
			if s.Duration = 3500 * time.Millisecond; len(s.Faults) > 0 || s.Clients > 1000 {
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
				t.Errorf("%d first attempts were answered, %d requests ended, %d of them succeeded", r.FirstAnswered, r.Requests, r.Succeeded)
			}
			if c.noOverload != (r.OverloadsDetected == 0) {
				t.Errorf("%d overloads detected: %+v", r.OverloadsDetected, r)
			}
		})
	}
}
