package experiment

import (
	"bytes"
	"testing"
	"time"
)

// TestPausedDirector guards against a director that was stopped (SIGSTOP) and then handles the
// requests in its sockets before it reads the events of the command channel. While it is stopped, a
// cache node drains and half of the groups are purged. However long the director was stopped, on
// one core or several, it must not send requests to the node or serve copies older than the purges.
func TestPausedDirector(t *testing.T) {
	cases := []struct {
		name      string
		storm     Storm
		minStalls int
	}{
		{"four seconds", Storm{PauseDuration: 4 * time.Second}, 1},
		{"on two cores", Storm{PauseDuration: 1500 * time.Millisecond, Cores: 2}, 1},
		{"less than what a purge is heeded within", Storm{PauseDuration: 400 * time.Millisecond}, 1},
		{"too short to matter", Storm{PauseDuration: 20 * time.Millisecond}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := c.storm
			s.Clients, s.Directors, s.CacheNodes, s.Scenario, s.Load, s.OverloadMode, s.Seed = 400, 2, 6, "morning", 0.4, "fixed", 1
			s.ConnectWindow, s.MaxRetries, s.RetryPause, s.MemoryLimitMB, s.SocketLimit = time.Second, 12, 100*time.Millisecond, 64, 512
			s.Faults, s.Duration, s.Argv = []string{"pause"}, s.PauseDuration+3500*time.Millisecond, selfAsDirector(t)
			var log bytes.Buffer
			s.Log = &log
			r, err := s.Execute(t.Context())
			if err != nil {
				t.Fatalf("%v\n%s", err, log.String())
			}
			if broken := r.Broken(); len(broken) > 0 {
				t.Errorf("broken: %v; %+v\n%s", broken, r, log.String())
			}
			if r.ClockStalls < c.minStalls || r.Succeeded < r.Requests/2 {
				t.Errorf("%d clock stalls detected, want at least %d; %+v", r.ClockStalls, c.minStalls, r)
			}
		})
	}
}
