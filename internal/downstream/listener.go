package downstream

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"tallyproxy/internal/logevent"
)

// sweepsPerTimeout is the number of times that sweepLoop runs within the RequestRead timeout.
const sweepsPerTimeout = 8

// Serve accepts connections until the listener is closed and returns the listener's error, which is
// net.ErrClosed or wraps it. While maxConns connections are open, the next one is accepted but not
// read until a slot is free, and later ones wait in the kernel's accept queue.
func (s *Server) Serve(listener net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.openAccepts.Add(1)
	defer s.openAccepts.Add(-1)
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	go s.sweepLoop(ctx)
	failures := 0 // of Accept in a row
	for next := 0; ; next++ {
		netConn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		s.lastAccept.Store(time.Since(s.startedAt).Nanoseconds())
		if err != nil {
			failures++
			s.handleAcceptError(err, failures)
			continue
		}
		failures = 0
		s.waitForSlot()
		s.start(newConn(s, s.handlers[next%len(s.handlers)], netConn))
	}
}

// maxConnectionErrors is the number of connection errors in a row after which they count as lasting.
const maxConnectionErrors = 16

// handleAcceptError waits until it makes sense to accept again after the given number of failures in
// a row. If file descriptors or memory have run out, it evicts an idle connection.
func (s *Server) handleAcceptError(err error, failures int) {
	lasting := failures > maxConnectionErrors
	if isConnectionError(err) && !lasting {
		return
	}
	slog.Warn(logevent.AcceptFailed, "err", err)
	if !isConnectionError(err) {
		s.evictIdle(1)
	}
	time.Sleep(s.timeouts.PollRetry.Duration())
}

// connectionErrors are errors that accept returns for the connection that it would have returned:
// the client has left, or the network between has failed.
var connectionErrors = []error{
	syscall.ECONNABORTED, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ETIMEDOUT, syscall.ECONNRESET, syscall.EPERM, syscall.EINTR,
}

// isConnectionError reports whether an error of Accept concerns a single connection. The next one
// can be accepted at once, and no other client has to make room for it.
func isConnectionError(err error) bool {
	return slices.ContainsFunc(connectionErrors, func(target error) bool { return errors.Is(err, target) })
}

// start adds a connection to the table and runs it.
func (s *Server) start(c *Conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	// it was accepted before the shutdown, so requests already in its socket are served
	if s.shuttingDown {
		c.drainLocked()
	}
	s.mu.Unlock()
	c.handler.ConnOpened(c)
	go c.run()
}

// hashHost returns a hash of a client's address without its port. All directors compute the same
// hash.
func hashHost(address net.Addr) uint64 {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		host = address.String()
	}
	return xxhash.Sum64String(host)
}

// waitForSlot returns once fewer than maxConns connections are open. Until then it evicts idle
// connections, several at a time, because a server that needs one slot is likely to need more.
func (s *Server) waitForSlot() {
	s.awaitingSlot.Store(true)
	defer s.awaitingSlot.Store(false)
	for {
		maxConns := int(s.maxConns.Load())
		if s.ConnCount() < maxConns {
			return
		}
		s.evictIdle(1 + maxConns/evictionFraction)
		select { // an evicted connection holds its descriptor until it is removed from the table
		case <-s.connEnded:
		case <-time.After(s.timeouts.PollRetry.Duration() / 8):
		}
	}
}

// sweepLoop closes connections that have timed out and idle connections in excess of maxConns until
// the context is done.
func (s *Server) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(s.timeouts.RequestRead.Duration() / sweepsPerTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			// the limit was lowered
			if excess := s.ConnCount() - int(s.maxConns.Load()); excess > 0 {
				s.evictIdle(excess)
			}
			s.closeTimedOut(now)
		}
	}
}

// closeTimedOut drains connections that have been idle for DownstreamIdle and those whose message
// is still incomplete after RequestRead. Input that has arrived by then is still processed, because
// the reader may not have had the time to.
func (s *Server) closeTimedOut(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		incomplete := !c.messageStart.IsZero() && now.Sub(c.messageStart) > s.timeouts.RequestRead.Duration()
		idle := c.idleLocked() && now.Sub(c.lastUsed) > s.timeouts.DownstreamIdle.Duration()
		if c.phase == phaseActive && (incomplete || idle) {
			c.drainLocked()
		}
		c.mu.Unlock()
	}
}
