package downstream

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"tallyproxy/internal/logevent"
)

// sweepsPerTimeout is how often sweepLoop runs within the RequestRead timeout.
const sweepsPerTimeout = 8

// Serve accepts connections until the listener is closed, and returns the listener's error, which is net.ErrClosed or wraps it. While
// maxConns connections are held, the next one is accepted and waits unread, and those behind it wait in the system's queue.
func (s *Server) Serve(listener net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.openAccepts.Add(1)
	defer s.openAccepts.Add(-1)
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	go s.sweepLoop(ctx)
	for next := 0; ; next++ {
		netConn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		s.lastAccept.Store(time.Now().UnixNano())
		if err != nil { // the process has no descriptor left, or the client left before it was accepted
			slog.Warn(logevent.AcceptFailed, "err", err)
			s.evictIdle(1)
			time.Sleep(s.timeouts.PollRetry.Duration())
			continue
		}
		s.waitForSlot()
		s.start(newConn(s, s.handlers[next%len(s.handlers)], netConn))
	}
}

// start takes a connection into the table and runs it.
func (s *Server) start(c *Conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	if s.shuttingDown { // it was accepted before the shutdown: requests that lie in its socket are still taken
		c.drainLocked()
	}
	s.mu.Unlock()
	c.handler.ConnOpened(c)
	go c.run()
}

// hashHost returns a hash of a client's address without its port, the same at every director.
func hashHost(address net.Addr) uint64 {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		host = address.String()
	}
	return xxhash.Sum64String(host)
}

// waitForSlot returns once fewer than maxConns connections are held. Meanwhile it evicts idle connections, several at a time, since
// where one slot is wanted more will be.
func (s *Server) waitForSlot() {
	s.awaitingSlot.Store(true)
	defer s.awaitingSlot.Store(false)
	for {
		maxConns := int(s.maxConns.Load())
		if s.ConnCount() < maxConns {
			return
		}
		s.evictIdle(1 + maxConns/evictionFraction)
		select { // an evicted connection holds its descriptor until it has left the table
		case <-s.connEnded:
		case <-time.After(s.timeouts.PollRetry.Duration() / 8):
		}
	}
}

// sweepLoop closes connections that time out, and idle ones beyond maxConns, until the context is done.
func (s *Server) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(s.timeouts.RequestRead.Duration() / sweepsPerTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if excess := s.ConnCount() - int(s.maxConns.Load()); excess > 0 { // the limit was lowered
				s.evictIdle(excess)
			}
			s.closeTimedOut(now)
		}
	}
}

// closeTimedOut drains connections that were idle for DownstreamIdle, and those whose message is not complete after RequestRead.
func (s *Server) closeTimedOut(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		switch {
		case c.phase != phaseActive:
		case !c.messageStart.IsZero() && now.Sub(c.messageStart) > s.timeouts.RequestRead.Duration():
			c.restrictInputLocked(inputDiscarded)
		case c.idleLocked() && now.Sub(c.lastUsed) > s.timeouts.DownstreamIdle.Duration():
			c.drainLocked()
		}
		c.mu.Unlock()
	}
}
