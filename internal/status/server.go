// Package status reports a director's condition to its own machine: its configuration, its view of nodes and other
// directors, its counters. The report is served as JSON over HTTP on a Unix socket that only the director's user may
// open, and only where the operator's script names one.
package status

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"tallyproxy/internal/logevent"
)

// Errors of Serve, wrapped with the socket's path.
var (
	// ErrInUse says that a living director listens at the path.
	ErrInUse = errors.New("another director listens there")
	// ErrNotSocket says that the path names a file that is not a socket; it is left as it is.
	ErrNotSocket = errors.New("something else is there")
)

const (
	maxConcurrentRequests = 8
	maxHeaderBytes        = 4 << 10
	ioTimeout             = 2 * time.Second // for a connection to come up, and for each read, write and idle wait
	reportPath            = "/state"
	socketMode            = 0o600 // only the director's user may connect
)

// Server answers GET /state on a Unix socket with a Report. It is safe for concurrent use.
type Server struct {
	http http.Server
}

// Serve listens on a Unix socket at path and answers with what report returns; report is called from several
// goroutines at once. A socket that a killed director left behind is replaced. Errors are ErrInUse, ErrNotSocket and
// those of the file system.
func Serve(path string, report func() Report) (*Server, error) {
	if err := removeStaleSocket(path); err != nil {
		return nil, err
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, socketMode); err != nil {
		_ = listener.Close() // nothing was served; the first error is the one to tell
		return nil, err
	}
	s := &Server{http: http.Server{
		Handler: newHandler(report), ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, IdleTimeout: ioTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}}
	go func() {
		_ = s.http.Serve(listener) // the director goes on without its status socket
	}()
	return s, nil
}

// removeStaleSocket removes a socket at path that nobody listens on.
func removeStaleSocket(path string) error {
	if conn, err := net.DialTimeout("unix", path, ioTimeout); err == nil {
		_ = conn.Close() // nothing was sent
		return fmt.Errorf("%s: %w", path, ErrInUse)
	}
	info, err := os.Lstat(path)
	if err != nil {
		return nil // nothing is there, or listening will fail with the better message
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("%s: %w", path, ErrNotSocket)
	}
	return os.Remove(path)
}

// newHandler returns the handler of the socket: GET /state and nothing else, for maxConcurrentRequests at a time.
func newHandler(report func() Report) http.Handler {
	slots := make(chan struct{}, maxConcurrentRequests)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer recoverPanic()
		if r.Method != http.MethodGet || r.URL.Path != reportPath {
			http.Error(w, "GET "+reportPath, http.StatusNotFound)
			return
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report()) // fails only if the reader has gone
	})
}

// recoverPanic logs a panic of a request, which must not end the director.
func recoverPanic() {
	if value := recover(); value != nil {
		slog.Error(logevent.PanicRecovered, "component", "status", "err", value, "stack", string(debug.Stack()))
	}
}

// Close stops serving, drops open connections and removes the socket. It does nothing on a nil Server.
func (s *Server) Close() {
	if s != nil {
		_ = s.http.Close() // an error tells of the listener, which is gone either way
	}
}
