// Package state tells a director's own machine how the director is: what it was given, what it believes, what it did. It
// listens on a socket in the file system that only the director's user may open, and only where the operator's file says so.
package status

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"tallyproxy/gossip"
	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
	"tallyproxy/overload"
	"tallyproxy/relays"
	"tallyproxy/routing"
)

// Report is what is told.
type Report struct {
	Name                 string                 `json:"name"`
	PID                  int                    `json:"pid"`
	Started              time.Time              `json:"started"`
	Stopping             bool                   `json:"stopping"`
	SettingsDigest       string                 `json:"settings"` // sum of the operator's script that is in force; of no bytes where there is none
	PlatformDigest       string                 `json:"platform"` // of the platform's file
	Reloads              int                    `json:"reloads"`  // that took effect
	ReloadError          string                 `json:"refused"`  // why the last reload did not; empty where it did
	Cores                int                    `json:"cores"`
	EventsReceived       int64                  `json:"told"`     // events of the command channel
	EventsApplied        int64                  `json:"in_force"` // of them on every core
	AvoidedNodes         []string               `json:"avoided"`  // boxes that the operator's file keeps out
	ClientConnections    int                    `json:"clients"`  // connections,
	MaxClientConnections int                    `json:"most_clients"`
	NodeConnections      int                    `json:"node_connections"`
	OpenRequests         int                    `json:"open"` // downloads
	Counters             map[string]int64       `json:"counts"`
	DedupRecords         int                    `json:"keys_held"`
	DedupRejected        int                    `json:"keys_full"`
	Overload             overload.Report        `json:"storm"`
	NodeViews            []routing.EndpointView `json:"beliefs"`
	Membership           *membership.Report     `json:"peers,omitempty"`  // what it makes of other directors; none where it knows of none
	Relay                *relays.Report         `json:"follow,omitempty"` // who asks the channel for whom
	Gossip               *gossip.Report         `json:"word,omitempty"`   // and how old the newest word of the channel is, here and there
}

const (
	mostCalls = 8 // at a time
	within    = 2 * time.Second
)

// Server answers GET /state.
type Server struct {
	l net.Listener
	s *http.Server
}

// Serve listens at a path; what is there and nobody listens at, a director that was killed has left.
func Serve(path string, report func() Report) (*Server, error) {
	if nc, err := net.DialTimeout("unix", path, within); err == nil {
		nc.Close()
		return nil, fmt.Errorf("%s: another director listens there", path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("%s: something else is there", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return nil, err
	}
	places := make(chan struct{}, mostCalls)
	s := &Server{l: l, s: &http.Server{ReadTimeout: within, WriteTimeout: within, IdleTimeout: within, MaxHeaderBytes: 4 << 10}}
	s.s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if bad := recover(); bad != nil {
				slog.Error(logevent.PanicRecovered, "component", "status", "err", bad, "stack", string(debug.Stack()))
			}
		}()
		if r.Method != http.MethodGet || r.URL.Path != "/state" {
			http.Error(w, "GET /state", http.StatusNotFound)
			return
		}
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
		default:
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(report())
	})
	go s.s.Serve(l)
	return s, nil
}

// Close ends it and takes the socket away.
func (s *Server) Close() {
	if s != nil {
		s.s.Close()
	}
}

// Read asks the director that listens at a path.
func Read(ctx context.Context, path string) (r Report, err error) {
	client := http.Client{Timeout: within, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", path)
		},
	}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://director/state", nil)
	if err != nil {
		return r, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, errors.New(resp.Status)
	}
	return r, json.NewDecoder(io.LimitReader(resp.Body, 4<<20)).Decode(&r)
}
