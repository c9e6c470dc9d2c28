// Package status reports a director's status on its own machine: its configuration, its view of
// nodes and other directors, and its counters. The report is served as JSON over HTTP on a Unix
// socket that only the director's user may open. There is no socket unless the operator's script
// names one.
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
	// ErrInUse reports that a running director listens on the path.
	ErrInUse = errors.New("another director listens on this socket")
	// ErrNotSocket reports that the path names a file that is not a socket. The file is left
	// unchanged.
	ErrNotSocket = errors.New("the file exists and is not a socket")
)

const (
	maxConcurrentRequests = 8
	maxHeaderBytes        = 4 << 10
	ioTimeout             = 2 * time.Second // of dialing, and of each read, write and idle wait
	reportPath            = "/state"
	socketMode            = 0o600 // only the director's user may connect
)

// Server answers GET /state on a Unix socket with a Report. It is safe for concurrent use.
type Server struct {
	http http.Server
}

// Serve listens on a Unix socket at path and answers requests with the result of report, which it
// may call from several goroutines at the same time. It replaces a socket that a killed director
// left. It returns ErrInUse, ErrNotSocket and errors of the file system.
func Serve(path string, report func() Report) (*Server, error) {
	if err := removeStaleSocket(path); err != nil {
		return nil, err
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, socketMode); err != nil {
		_ = listener.Close() // nothing was served; return the first error
		return nil, err
	}
	s := &Server{http: http.Server{
		Handler: newHandler(report), ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, IdleTimeout: ioTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}}
	go func() {
		_ = s.http.Serve(listener) // the director keeps running without its status socket
	}()
	return s, nil
}

// removeStaleSocket removes a socket at path on which no process listens.
func removeStaleSocket(path string) error {
	if conn, err := net.DialTimeout("unix", path, ioTimeout); err == nil {
		_ = conn.Close() // nothing was sent
		return fmt.Errorf("%s: %w", path, ErrInUse)
	}
	info, err := os.Lstat(path)
	if err != nil {
		return nil // no such file, or listening fails with a clearer error
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("%s: %w", path, ErrNotSocket)
	}
	return os.Remove(path)
}

// newHandler returns the handler of the socket. It answers only GET /state, and at most
// maxConcurrentRequests at the same time.
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
		_ = json.NewEncoder(w).Encode(report()) // fails only if the client has disconnected
	})
}

// recoverPanic logs a panic of a request instead of ending the director.
func recoverPanic() {
	if value := recover(); value != nil {
		slog.Error(logevent.PanicRecovered, "component", "status", "err", value, "stack", string(debug.Stack()))
	}
}

// Close stops serving, closes open connections and removes the socket. It does nothing on a nil
// Server.
func (s *Server) Close() {
	if s != nil {
		_ = s.http.Close() // an error concerns the listener, which is closed either way
	}
}
