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

// TestServe guards against a socket that other users can open, that can't replace the socket of a
// killed director, or that remains after the server is closed. It also guards against the
// replacement of a live socket or of another kind of file.
func TestServe(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n0.sock")
	stale, err := net.Listen("unix", path) // the socket of a killed director
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
		t.Errorf("POST answered %v, %v; want 404", resp, err)
	}
	client.CloseIdleConnections()
	s.Close()
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		t.Errorf("the socket still exists: %v", err)
	}
	if _, err := Read(t.Context(), path); err == nil {
		t.Error("Read succeeded although no server listens")
	}
	if err := os.WriteFile(path, []byte("mine"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Serve(path, nil); err == nil {
		t.Error("Serve replaced a file that is not a socket")
	}
	(*Server)(nil).Close()
}

// TestPanicIsAnswered guards against a panic during the creation of a report that affects more than
// its own request.
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
		t.Error("Read succeeded although the report panicked")
	}
	if r, err := Read(t.Context(), path); err != nil || r.Name != "n0" {
		t.Errorf("after the panic: %+v, %v", r, err)
	}
}
