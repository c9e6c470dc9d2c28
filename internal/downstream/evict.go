package downstream

import (
	"cmp"
	"slices"
	"time"
)

// evictionFraction is the part of maxConns, one in so many, that waitForSlot evicts at a time.
const evictionFraction = 32

// evictionRank orders idle connections for eviction: the lower, the sooner.
type evictionRank int

const (
	rankNoMessage  evictionRank = iota // no complete message came on it
	rankRetryLater                     // its client was told to retry after some time
	rankIdle
)

// evictionCandidate is a connection that may be evicted.
type evictionCandidate struct {
	conn     *Conn
	rank     evictionRank
	lastUsed time.Time
}

// compareCandidates orders candidates by rank, then by how long they are idle.
func compareCandidates(a, b evictionCandidate) int {
	return cmp.Or(int(a.rank-b.rank), a.lastUsed.Compare(b.lastUsed))
}

// evictIdle ends up to limit connections that have no pending request, and returns how many. Those that were used within PollRetry
// are spared, since a request may be on its way; so are, within MaxDecisionAge, those whose client was told to retry later.
// Connections that are about to leave the table already count towards the limit.
func (s *Server) evictIdle(limit int) (evicted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var candidates []evictionCandidate // the best so far, in order, at most limit
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

// evictionCandidateLocked returns the connection as a candidate, and whether it may be evicted now. The caller holds c.mu.
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
	// By now its client has received the rejection, which a reset of the connection would have taken away.
	received := c.lastUsed.Before(now.Add(-timeouts.MaxDecisionAge.Duration()))
	return candidate, candidate.rank == rankRetryLater && received
}

// evict has the reader close the connection, unless a request came meanwhile, and reports whether it may. The reader alone knows that no
// request lies between the socket and the pending ones.
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

// tryEvictLocked closes a connection that is to be evicted, if it is still idle and no input lies in the socket, and reports whether it
// did. The caller is the reader, and holds c.mu.
func (c *Conn) tryEvictLocked() bool {
	if !c.evicting {
		return false
	}
	c.evicting = false
	if !c.idleLocked() || c.phase < phaseHalfClosed && !c.closeWriteIfEmpty() {
		return false
	}
	c.closeLocked()
	return true
}
