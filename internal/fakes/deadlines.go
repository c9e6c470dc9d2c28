package fakes

import (
	"fmt"
	"strconv"
	"time"
)

const (
	// deadlineSlack is how much longer than its client still waits an attempt may be told to take,
	// by the operators' terms.
	deadlineSlack = 150 * time.Millisecond
	// maxDeadlines limits the remembered requests, and the remembered attempts. Further ones are not
	// judged.
	maxDeadlines = 100_000
)

// attemptDeadline is the time until which a node was told to work on an attempt.
type attemptDeadline struct {
	id    string // of the request
	node  string
	until time.Duration // since the start of the cluster
}

// recordClientDeadline records how long the client of a request waits, since the start of the
// cluster. Of a request that is sent several times, the latest time counts.
func (c *Cluster) recordClientDeadline(id string, deadline time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.clientDeadlines[id]; ok || len(c.clientDeadlines) < maxDeadlines {
		c.clientDeadlines[id] = max(known, deadline)
	}
}

// recordAttemptDeadline records how long a node was told to work on an attempt. The caller holds the
// lock.
func (c *Cluster) recordAttemptDeadline(r *request) {
	patience, err := strconv.Atoi(r.fields["patience"])
	if err != nil || len(c.attemptDeadlines) >= maxDeadlines {
		return
	}
	until := r.arrivedAt + time.Duration(patience)*time.Millisecond
	c.attemptDeadlines = append(c.attemptDeadlines, attemptDeadline{r.id, r.node.Name, until})
}

// exceededDeadlines returns the attempts that were told more time than their clients had left and
// the slack. Only requests of clients that record their deadlines are judged. The caller holds the
// lock.
func (c *Cluster) exceededDeadlines() (exceeded []attemptDeadline) {
	for _, a := range c.attemptDeadlines {
		if deadline, ok := c.clientDeadlines[a.id]; ok && a.until > deadline+deadlineSlack {
			exceeded = append(exceeded, a)
		}
	}
	return exceeded
}

// ExceededDeadlineEvents returns one line for each attempt counted in Violations.ExceededDeadlines,
// at most maxLateEvents lines.
func (c *Cluster) ExceededDeadlineEvents() (events []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.exceededDeadlines() {
		if len(events) == maxLateEvents {
			break
		}
		events = append(events, fmt.Sprintf("attempt %s at %s was told to take until %v after the time its client waits", a.id, a.node, a.until-c.clientDeadlines[a.id]))
	}
	return events
}
