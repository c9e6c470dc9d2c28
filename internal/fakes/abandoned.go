package fakes

import "time"

const (
	// abandonedLimit is how long after its client has left an attempt may still begin: 0.1 s, and the protocol's slack.
	abandonedLimit = 150 * time.Millisecond
	maxAbandoned   = 10_000 // requests that are remembered; all are forgotten beyond
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

// checkAbandoned counts an attempt of a request that its client gave up longer ago than abandonedLimit. The caller holds the lock.
func (c *Cluster) checkAbandoned(id string) {
	if at, abandoned := c.abandonedAt[id]; abandoned && c.now() > at+abandonedLimit {
		c.violations.SentAfterLeave++
	}
}
