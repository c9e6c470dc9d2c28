package downstream

import (
	"log/slog"
	"net"
	"time"

	"tallyproxy/internal/logevent"
	"tallyproxy/internal/socket"
)

// connPhase is how far the end of a connection has come. It never goes back.
type connPhase int

const (
	phaseActive     connPhase = iota
	phaseDraining             // to be half-closed once nothing is pending or queued
	phaseHalfClosed           // the sending side is closed, and the client's end of the connection is waited for
	phaseClosed
)

// inputMode is which messages of a client are still acted on. It only becomes stricter. Whatever comes is read, so that it is seen
// when the client leaves.
type inputMode int

const (
	inputAll       inputMode = iota
	inputCancels             // requests are ignored
	inputDiscarded           // all is ignored: where messages begin is not known
)

// Shutdown closes the listeners, drains all connections, and returns once they have ended, at the latest after WriteFlush. A
// connection that was accepted and waits for a slot is served first.
func (s *Server) Shutdown() {
	s.mu.Lock()
	s.shuttingDown = true
	for _, listener := range s.listeners {
		_ = listener.Close() // fails only where it is closed already
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

// drainLocked has the connection end once nothing is pending or queued. New requests are taken for the Connect timeout and rejected from
// then on, until it is half-closed. The caller holds c.mu.
func (c *Conn) drainLocked() {
	if c.phase == phaseActive {
		c.phase, c.closeDeadline = phaseDraining, time.Now().Add(c.server.timeouts.Connect.Duration())
	}
	c.wakeWriter()
}

// restrictInputLocked drains the connection and from now on acts on no more input than the mode allows. The caller holds c.mu.
func (c *Conn) restrictInputLocked(mode inputMode) {
	c.input = max(c.input, mode)
	c.drainLocked()
}

// tryHalfCloseLocked closes the sending side of a draining connection that has nothing more to do: nothing is pending or queued, and no
// input that is still acted on lies in the socket. What lies there came before the end, so that it is read and answered, after the drain
// deadline with a rejection. A client that then leaves no moment without input, for PollRetry and as many looks as it may have requests
// pending, is no longer waited for. After the half-close the client learns that nothing more comes, and closes its own side. The caller
// is the reader, and holds c.mu.
func (c *Conn) tryHalfCloseLocked(now time.Time) {
	if c.phase == phaseActive || !c.idleLocked() {
		return
	}
	timeouts := &c.server.timeouts
	restless := c.restlessLooks >= maxPendingRequests && now.Sub(c.restlessSince) >= timeouts.PollRetry.Duration()
	if c.input != inputAll || restless {
		if tcp, ok := c.netConn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite() // fails only where the client has reset the connection, which the reader sees
		}
	} else if !c.closeWriteIfEmpty() {
		c.noteRestless(now)
		return
	}
	c.phase, c.closeDeadline = phaseHalfClosed, now.Add(timeouts.WriteFlush.Duration())
	c.setReadDeadline(now.Add(timeouts.Connect.Duration()))
	c.wakeWriter()
}

// noteRestless counts a look that found input after the deadline of the drain. The caller holds c.mu.
func (c *Conn) noteRestless(now time.Time) {
	if !now.After(c.closeDeadline) {
		return
	}
	if c.restlessLooks == 0 {
		c.restlessSince = now
	}
	c.restlessLooks++
}

// reportedGapFraction is the part of MaxDecisionAge, one in so many, from which on a gap between look and half-close is logged.
const reportedGapFraction = 64

// closeWriteIfEmpty closes the sending side of the connection, unless input lies in its socket, and reports whether it did. It logs
// where the system took the processor away between the look and the close: what came meanwhile is lost.
func (c *Conn) closeWriteIfEmpty() bool {
	closed, lookedAt, gap := socket.CloseWriteIfEmpty(c.netConn)
	if closed && gap > c.server.timeouts.MaxDecisionAge.Duration()/reportedGapFraction {
		slog.Warn(logevent.HalfCloseDelayed, "client", c.netConn.RemoteAddr(), "looked_at", lookedAt.UTC().Format(time.RFC3339Nano), "gap", gap)
	}
	return closed
}

// Close ends the connection at once. Responses that are queued are lost.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// closeLocked is Close for a caller that holds c.mu.
func (c *Conn) closeLocked() {
	if c.phase == phaseClosed {
		return
	}
	c.phase = phaseClosed
	for _, queued := range c.queue {
		queued.body.Free()
	}
	c.queue, c.queuedBytes, c.pending = nil, 0, map[uint64]bool{}
	_ = c.netConn.Close() // whatever was to be sent is given up
	c.wakeWriter()
}
