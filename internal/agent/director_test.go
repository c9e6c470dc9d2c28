package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"tallyproxy/internal/config"
)

// TestStopReturnsContextError guards against a director that counts as stopped although only the
// caller's context has ended: its status may hang.
func TestStopReturnsContextError(t *testing.T) {
	dir := t.TempDir()
	process := exec.Command("sleep", "60")
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = process.Process.Kill() // it may have exited on the signal
		_ = process.Wait()
	})
	pidfile, socket := filepath.Join(dir, "pid"), filepath.Join(dir, "sock")
	if err := os.WriteFile(pidfile, fmt.Append(nil, process.Process.Pid), 0o600); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("unix", socket) // nothing accepts connections
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	d := &Director{DirectorEntry: config.DirectorEntry{Name: "n0", PIDFile: pidfile, StatusSocket: socket}}
	if err := d.Stop(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want context.DeadlineExceeded", err)
	}
}
