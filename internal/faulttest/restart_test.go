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

// TestReadinessAfterRestart shows that a restarted director is ready soon, in whatever state the channel is.
func TestReadinessAfterRestart(t *testing.T) {
	parallel(t)
	argv := buildProgram(t)
	for _, x := range []struct {
		name string
		how  func(*fakes.Cluster)
	}{
		{"up", func(*fakes.Cluster) {}},
		{"slow", func(w *fakes.Cluster) {
			w.SetChannelCapacity(fakes.ChannelCapacity{PerCall: 2 * time.Second, MaxWait: time.Hour})
		}},
		{"short", func(w *fakes.Cluster) { w.SetChannelMode(fakes.ChannelUnavailable, 5) }},
		{"hanging", func(w *fakes.Cluster) { w.SetChannelMode(fakes.ChannelHanging, 0) }},
		{"breaking off", func(w *fakes.Cluster) { w.SetChannelMode(fakes.ChannelTruncating, 0) }},
		{"gone", func(w *fakes.Cluster) {
			if err := w.CutSecondPath(true); err != nil {
				t.Error(err)
			}
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := fakes.DefaultSpec(4, 10)
			s.SecondPath = true
			w, err := fakes.New(s)
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			folder, took := t.TempDir(), make([]time.Duration, 10)
			var all sync.WaitGroup
			var directors []*Director
			for i := range took {
				d, err := NewDirector(w, folder, fmt.Sprint("n", 2*i+1), argv, "", Limits{Sockets: 256, MemoryMB: 64, Cores: 1}, io.Discard)
				if err != nil {
					t.Fatal(err)
				}
				if err := d.Start(t.Context()); err != nil {
					t.Fatal(err)
				}
				directors = append(directors, d)
			}
			x.how(w)
			for i, d := range directors {
				all.Go(func() {
					if err := d.Stop(); err != nil {
						t.Error(err)
					}
					begun := time.Now()
					if err := d.Start(t.Context()); err != nil {
						t.Error(err)
					}
					took[i] = time.Since(begun)
				})
			}
			all.Wait()
			for _, d := range directors {
				d.Kill()
			}
			slices.Sort(took)
			if t.Logf("nine in ten after %v, all after %v", took[8], took[9]); took[8] > 10*time.Second {
				t.Errorf("nine in ten after %v", took[8])
			}
		})
	}
}
