package fakes

import (
	"fmt"
	"time"
)

const (
	// abandonedLimit is how long after a client abandoned a request an attempt may still arrive:
	// 0.1 s plus the slack that the protocol allows.
	abandonedLimit = 150 * time.Millisecond
	maxAbandoned   = 10_000 // remembered requests; all are forgotten when the limit is reached
	maxLateEvents  = 32     // recorded lines
)

// recordAbandoned records that a client cancelled a request or closed its connection while the
// request was open.
func (c *Cluster) recordAbandoned(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.abandonedAt) >= maxAbandoned {
		clear(c.abandonedAt)
	}
	c.abandonedAt[id] = c.now()
}

// checkAbandoned counts an attempt that arrived more than abandonedLimit after its client abandoned
// the request. The caller holds the lock.
func (c *Cluster) checkAbandoned(r *request) {
	at, abandoned := c.abandonedAt[r.id]
	if !abandoned || r.arrivedAt <= at+abandonedLimit {
		return
	}
	c.violations.SentAfterLeave++
	if len(c.lateEvents) < maxLateEvents {
		c.lateEvents = append(c.lateEvents, fmt.Sprintf("%s attempt %s (%s) at %s by %v arrived %v after its client left and was handled %v after",
			c.clockTime(), r.id, r.fields["sort"], r.node.Name, r.connection.conn.RemoteAddr(), r.arrivedAt-at, c.now()-at))
	}
}

// SentAfterLeaveEvents returns one line for each attempt counted in Violations.SentAfterLeave, at
// most maxLateEvents lines.
func (c *Cluster) SentAfterLeaveEvents() (events []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(events, c.lateEvents...)
}
