package faulttest

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"tallyproxy/internal/fakes"
)

// TestReadinessAfterRestart guards against a restarted director that becomes ready late because of
// the state of the channel.
func TestReadinessAfterRestart(t *testing.T) {
	parallel(t)
	argv := buildProgram(t)
	for _, c := range []struct {
		name       string
		setChannel func(*fakes.Cluster)
	}{
		{"up", func(*fakes.Cluster) {}},
		{"slow", func(cluster *fakes.Cluster) {
			cluster.SetChannelCapacity(fakes.ChannelCapacity{PerCall: 2 * time.Second, MaxWait: time.Hour})
		}},
		{"short", func(cluster *fakes.Cluster) { cluster.SetChannelMode(fakes.ChannelUnavailable, 5) }},
		{"hanging", func(cluster *fakes.Cluster) { cluster.SetChannelMode(fakes.ChannelHanging, 0) }},
		{"breaking off", func(cluster *fakes.Cluster) { cluster.SetChannelMode(fakes.ChannelTruncating, 0) }},
		{"gone", func(cluster *fakes.Cluster) {
			if err := cluster.CutSecondPath(true); err != nil {
				t.Error(err)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := fakes.DefaultSpec(4, 10)
			spec.SecondPath = true
			cluster, err := fakes.New(spec)
			if err != nil {
				t.Fatal(err)
			}
			defer cluster.Close()
			folder, took := t.TempDir(), make([]time.Duration, 10)
			var all sync.WaitGroup
			var directors []*Director
			for i := range took {
				d, err := NewDirector(cluster, folder, fmt.Sprint("n", 2*i+1), argv, "", Limits{Sockets: 256, MemoryMB: 64, Cores: 1}, io.Discard)
				if err != nil {
					t.Fatal(err)
				}
				if err := d.Start(t.Context()); err != nil {
					t.Fatal(err)
				}
				directors = append(directors, d)
			}
			c.setChannel(cluster)
			for i, d := range directors {
				all.Go(func() {
					if err := d.Stop(); err != nil {
						t.Error(err)
					}
					startedAt := time.Now()
					if err := d.Start(t.Context()); err != nil {
						t.Error(err)
					}
					took[i] = time.Since(startedAt)
				})
			}
			all.Wait()
			for _, d := range directors {
				d.Kill()
			}
			slices.Sort(took)
			if t.Logf("nine in ten directors ready after %v, all after %v", took[8], took[9]); took[8] > 10*time.Second {
				t.Errorf("nine in ten directors ready after %v, want 10s at most", took[8])
			}
		})
	}
}
