package faulttest

import (
	"io"
	"testing"
	"time"

	"tallyproxy/internal/fakes"
)

// Guards against a wait without end for a director whose process could not be started at all.
func TestWaitAfterFailedStart(t *testing.T) {
	cluster, err := fakes.New(fakes.DefaultSpec(1, 1))
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	d, err := NewDirector(cluster, t.TempDir(), "n0", []string{"/nonexistent/tallyproxy"}, "", Limits{Sockets: 64, MemoryMB: 64, Cores: 1}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(t.Context()); err == nil {
		t.Fatal("started")
	}
	ended := make(chan error, 1)
	go func() { ended <- d.Wait() }()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("a process that was not started counts as ended with status 0")
		}
	case <-time.After(5 * time.Second):
		t.Error("still waiting")
	}
}
