package fakes

import (
	"fmt"
	"time"
)

const (
	// abandonedLimit is how long after its client has left an attempt may still begin: 0.1 s, and the protocol's slack.
	abandonedLimit = 150 * time.Millisecond
	maxAbandoned   = 10_000 // requests that are remembered; all are forgotten beyond
	maxLateEvents  = 32     // attempts of them that are told
)

// recordAbandoned notes that a client has given up a request, by cancelling it or by closing its connection.
func (c *Cluster) recordAbandoned(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.abandonedAt) >= maxAbandoned {
		clear(c.abandonedAt)
	}
	c.abandonedAt[id] = c.now()
}

// checkAbandoned counts an attempt of a request that came later than abandonedLimit after its client gave it up. The caller holds the
// lock.
func (c *Cluster) checkAbandoned(r *request) {
	at, abandoned := c.abandonedAt[r.id]
	if !abandoned || r.arrivedAt <= at+abandonedLimit {
		return
	}
	c.violations.SentAfterLeave++
	if len(c.lateEvents) < maxLateEvents {
		c.lateEvents = append(c.lateEvents, fmt.Sprintf("%s attempt %s (%s) at %s by %v arrived %v after its client had left, was handled %v after",
			c.clockTime(), r.id, r.fields["sort"], r.node.Name, r.connection.conn.RemoteAddr(), r.arrivedAt-at, c.now()-at))
	}
}

// SentAfterLeaveEvents tells of the attempts that Violations.SentAfterLeave counts, a line each.
func (c *Cluster) SentAfterLeaveEvents() (events []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(events, c.lateEvents...)
}
