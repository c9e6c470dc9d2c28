package status

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"tallyproxy/routing"
)

// The socket serves the report to its owner alone, replaces what a killed director left, and goes with the server.
func TestServe(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n0.sock")
	stale, err := net.Listen("unix", path) // of a director that was killed
	if err != nil {
		t.Fatal(err)
	}
	stale.(*net.UnixListener).SetUnlinkOnClose(false)
	if err := stale.Close(); err != nil {
		t.Fatal(err)
	}
	s, err := Serve(path, func() Report {
		return Report{Name: "n0", NodeViews: []routing.EndpointView{{ID: "e0", SlowStartShare: 0.5}}}
	})
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", info, err)
	}
	if r, err := Read(t.Context(), path); err != nil || r.Name != "n0" || len(r.NodeViews) != 1 || r.NodeViews[0].SlowStartShare != 0.5 {
		t.Errorf("%+v, %v", r, err)
	}
	if _, err := Serve(path, func() Report { return Report{} }); err == nil {
		t.Error("two directors serve on one socket")
	}
	client := http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		return net.Dial("unix", path)
	}}}
	if resp, err := client.Post("http://x/state", "", nil); err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("a POST: %v, %v", resp, err)
	}
	client.CloseIdleConnections()
	s.Close()
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		t.Errorf("the socket is left: %v", err)
	}
	if _, err := Read(t.Context(), path); err == nil {
		t.Error("read where nobody listens")
	}
	if err := os.WriteFile(path, []byte("mine"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Serve(path, nil); err == nil {
		t.Error("a file that is no socket was taken away")
	}
	(*Server)(nil).Close()
}

// A panic while the report is made fails its request and nothing else.
func TestPanicIsAnswered(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n0.sock")
	first := true
	s, err := Serve(path, func() Report {
		if first {
			first = false
			panic("x")
		}
		return Report{Name: "n0"}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := Read(t.Context(), path); err == nil {
		t.Error("a panic was answered well")
	}
	if r, err := Read(t.Context(), path); err != nil || r.Name != "n0" {
		t.Errorf("after it: %+v, %v", r, err)
	}
}
