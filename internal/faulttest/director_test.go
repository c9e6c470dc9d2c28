package faulttest

import (
	"io"
	"testing"
	"time"

	"tallyproxy/internal/fakes"
)

// TestWaitAfterFailedStart guards against a Wait that never returns for a director whose process
// could not be started.
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
		t.Fatal("Start succeeded without a program")
	}
	ended := make(chan error, 1)
	go func() { ended <- d.Wait() }()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("Wait reports exit status 0 for a process that was not started")
		}
	case <-time.After(5 * time.Second):
		t.Error("Wait does not return")
	}
}
