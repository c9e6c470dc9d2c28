package downstream

import (
	"cmp"
	"slices"
	"time"
)

// evictionFraction determines how many connections waitForSlot evicts at a time: one in
// evictionFraction of maxConns, plus one.
const evictionFraction = 32

// evictionRank orders idle connections for eviction. The lowest rank is evicted first.
type evictionRank int

const (
	rankNoMessage  evictionRank = iota // no complete message was received
	rankRetryLater                     // the client was told to retry after a delay
	rankIdle
)

// evictionCandidate is a connection that may be evicted.
type evictionCandidate struct {
	conn     *Conn
	rank     evictionRank
	lastUsed time.Time
}

// compareCandidates orders candidates by rank, then by the time of their last use.
func compareCandidates(a, b evictionCandidate) int {
	return cmp.Or(int(a.rank-b.rank), a.lastUsed.Compare(b.lastUsed))
}

// evictIdle starts the eviction of up to limit connections without pending requests and returns how
// many it marked for eviction. Connections used within PollRetry are kept, since a request may be
// in transit; those whose client was told to retry later are kept only for MaxDecisionAge.
// Connections that are already closed or being evicted count towards the limit.
func (s *Server) evictIdle(limit int) (evicted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var candidates []evictionCandidate // the best candidates so far, in order; at most limit
	for c := range s.conns {
		c.mu.Lock()
		leaving := c.phase == phaseClosed || c.evicting
		candidate, ok := c.evictionCandidateLocked(now)
		c.mu.Unlock()
		if leaving {
			limit--
		}
		if !ok {
			continue
		}
		at, _ := slices.BinarySearchFunc(candidates, candidate, compareCandidates)
		candidates = slices.Insert(candidates, at, candidate)
		candidates = candidates[:min(len(candidates), max(0, limit))]
	}
	for _, candidate := range candidates[:min(len(candidates), max(0, limit))] {
		if candidate.conn.evict() {
			evicted++
		}
	}
	return evicted
}

// evictionCandidateLocked returns the connection as an eviction candidate and whether it may be
// evicted now. The caller holds c.mu.
func (c *Conn) evictionCandidateLocked(now time.Time) (evictionCandidate, bool) {
	timeouts := &c.server.timeouts
	candidate := evictionCandidate{c, rankIdle, c.lastUsed}
	switch {
	case !c.messageReceived:
		candidate.rank = rankNoMessage
	case c.retryNotBefore.After(now.Add(timeouts.PollRetry.Duration() / 2)):
		candidate.rank = rankRetryLater
	}
	if !c.idleLocked() || c.phase == phaseClosed || c.evicting {
		return candidate, false
	}
	if c.lastUsed.Before(now.Add(-timeouts.PollRetry.Duration())) {
		return candidate, true
	}
	// The client must have received the rejection by now. A reset of the connection before that
	// could discard it.
	received := c.lastUsed.Before(now.Add(-timeouts.MaxDecisionAge.Duration()))
	return candidate, candidate.rank == rankRetryLater && received
}

// evict asks the reader to close the connection, unless a request has arrived meanwhile or the
// connection is closed, and reports whether it did so. Only the reader knows whether a request has
// been read from the socket but is not yet registered as pending.
func (c *Conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idleLocked() || c.phase == phaseClosed {
		return false
	}
	c.evicting = true
	c.wakeReader()
	return true
}

// tryEvictLocked closes a connection marked for eviction if it is still idle and its socket holds
// no unread input, and reports whether it did so. The caller is the reader and holds c.mu.
func (c *Conn) tryEvictLocked() bool {
	if !c.evicting {
		return false
	}
	c.evicting = false
	if !c.idleLocked() || c.phase < phaseHalfClosed && !c.closeWriteIfEmpty() {
		return false
	}
	c.closeLocked(closeEvicted)
	return true
}
