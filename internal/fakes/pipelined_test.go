package fakes

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

// TestPipelinedClientCountsLosses guards against miscounted losses: a request is lost if a director
// received it and ended the connection without an answer, but not if the director was killed, even
// if it has been started again by the time the client notices.
func TestPipelinedClientCountsLosses(t *testing.T) {
	for _, c := range []struct {
		name      string
		killed    bool
		restarted bool // the director was killed and started again
		lost      bool
	}{
		{"a connection ended under a request", false, false, true},
		{"a director that was killed", true, false, false},
		{"a director that was killed and started again", false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster := newTestCluster(t, func(*Spec) {})
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer closeQuietly(listener)
			target := &Target{Addr: listener.Addr().String()}
			target.SetKilled(c.killed)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					time.AfterFunc(100*time.Millisecond, func() {
						if c.restarted {
							target.SetKilled(true)
							target.SetKillCompleted(cluster.Now())
							target.SetKilled(false)
						}
						closeQuietly(conn)
					})
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			client := &PipelinedClient{
				Cluster: cluster, Targets: []*Target{target}, LocalAddress: "127.0.0.1", Moments: &Moments{}, Zipf: NewZipf(10, 1),
				Behavior: Behavior{MaxOpen: 1, MaxBurst: 1, MeanPause: time.Millisecond}, Rand: rand.New(rand.NewPCG(1, 2)),
			}
			client.Run(ctx)
			cluster.Clients.WithLock(func(s *ClientStats) {
				if lost := s.Lost+len(s.LostAtEnds) > 0; lost != c.lost || !c.lost && s.LostToKills == 0 {
					t.Errorf("%d lost, %d lost to kills", s.Lost+len(s.LostAtEnds), s.LostToKills)
				}
			})
		})
	}
}
