package downstream

import (
	"log/slog"
	"net"
	"time"

	"tallyproxy/internal/logevent"
	"tallyproxy/internal/socket"
)

// connPhase is the progress of a connection towards its end. It never decreases.
type connPhase int

const (
	phaseActive     connPhase = iota
	phaseDraining             // to be half-closed once nothing is pending or queued
	phaseHalfClosed           // the sending side is closed; waiting for the client to close
	phaseClosed
)

// inputMode determines which messages of a client are still processed. It only becomes stricter.
// All input is read in any mode, so that the client's disconnect is detected.
type inputMode int

const (
	inputAll       inputMode = iota
	inputCancels             // requests are ignored
	inputDiscarded           // all input is ignored, because message boundaries are unknown
)

// Shutdown closes the listeners, drains all connections, and returns once they have ended, or after
// WriteFlush at the latest. A connection that was accepted and waits for a slot is served first.
func (s *Server) Shutdown() {
	s.mu.Lock()
	s.shuttingDown = true
	for _, listener := range s.listeners {
		_ = listener.Close() // an error means that it is already closed
	}
	for c := range s.conns {
		c.mu.Lock()
		c.drainLocked()
		c.mu.Unlock()
	}
	s.mu.Unlock()
	deadline := time.Now().Add(s.timeouts.WriteFlush.Duration())
	for s.ConnCount() > 0 || s.openAccepts.Load() > 0 {
		if time.Now().After(deadline) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// drainLocked makes the connection end once nothing is pending or queued. New requests are accepted
// for the Connect timeout and rejected after that, until the connection is half-closed. The caller
// holds c.mu.
func (c *Conn) drainLocked() {
	if c.phase == phaseActive {
		c.phase, c.closeDeadline = phaseDraining, time.Now().Add(c.server.timeouts.Connect.Duration())
	}
	c.wakeWriter()
}

// restrictInputLocked drains the connection and from now on processes no more input than mode
// allows. The caller holds c.mu.
func (c *Conn) restrictInputLocked(mode inputMode) {
	c.input = max(c.input, mode)
	c.drainLocked()
}

// tryHalfCloseLocked closes the sending side of a draining connection if nothing is pending or
// queued and the socket holds no input that would still be processed. Input in the socket was sent
// before the half-close, so it is read and answered first, after the drain deadline with a
// rejection. If input keeps arriving after the drain deadline, for at least PollRetry and
// maxPendingRequests checks, the connection is half-closed regardless. After the half-close the
// client sees the end of the stream and closes its own side. The caller is the reader and holds
// c.mu.
func (c *Conn) tryHalfCloseLocked(now time.Time) {
	if c.phase == phaseActive || !c.idleLocked() {
		return
	}
	timeouts := &c.server.timeouts
	lateInputExceeded := c.lateInputChecks >= maxPendingRequests && now.Sub(c.lateInputSince) >= timeouts.PollRetry.Duration()
	if c.input != inputAll || lateInputExceeded {
		if tcp, ok := c.netConn.(*net.TCPConn); ok {
			// an error means that the client has reset the connection, which the reader detects
			_ = tcp.CloseWrite()
		}
	} else if !c.closeWriteIfEmpty() {
		c.countLateInput(now)
		return
	}
	c.phase, c.closeDeadline = phaseHalfClosed, now.Add(timeouts.WriteFlush.Duration())
	c.setReadDeadline(now.Add(timeouts.Connect.Duration()))
	c.wakeWriter()
}

// countLateInput counts a check that found input after the drain deadline. The caller holds c.mu.
func (c *Conn) countLateInput(now time.Time) {
	if !now.After(c.closeDeadline) {
		return
	}
	if c.lateInputChecks == 0 {
		c.lateInputSince = now
	}
	c.lateInputChecks++
}

// reportedGapFraction determines which gaps between the input check and the half-close are logged:
// those longer than one part in reportedGapFraction of MaxDecisionAge.
const reportedGapFraction = 64

// closeWriteIfEmpty closes the sending side of the connection, unless its socket holds unread
// input, and reports whether it did so. It logs a long gap between the check and the close, which
// occurs if the process is descheduled: input that arrives in the gap is lost.
func (c *Conn) closeWriteIfEmpty() bool {
	closed, checkedAt, gap := socket.CloseWriteIfEmpty(c.netConn)
	if closed && gap > c.server.timeouts.MaxDecisionAge.Duration()/reportedGapFraction {
		slog.Warn(logevent.HalfCloseDelayed, "client", c.netConn.RemoteAddr(), "looked_at", checkedAt.UTC().Format(time.RFC3339Nano), "gap", gap)
	}
	return closed
}

// Close closes the connection immediately. Queued responses are lost.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(closeEnded)
}

// closeReason says why a client's connection was closed, for the log.
type closeReason string

const (
	closeEnded       closeReason = "ended" // by the client, a time-out, a drain or a panic
	closeEvicted     closeReason = "evicted"
	closeWriteFailed closeReason = "write_failed"
)

// closeLocked is like Close for a caller that holds c.mu.
func (c *Conn) closeLocked(reason closeReason) {
	if c.phase == phaseClosed {
		return
	}
	logevent.Detail(logevent.DownstreamClosed, func() []any {
		return []any{"client", c.netConn.RemoteAddr(), "reason", reason, "phase", int(c.phase), "pending", len(c.pending), "unwritten", len(c.queue)}
	})
	c.phase = phaseClosed
	for _, queued := range c.queue {
		queued.body.Free()
	}
	c.queue, c.queuedBytes, c.queuedResponses, c.pending = nil, 0, 0, map[uint64]bool{}
	c.writerProgress.Signal()
	_ = c.netConn.Close() // unsent data is discarded
	c.wakeWriter()
}
