// Package discovery polls the command channel of the platform. The channel carries numbered events
// that change the endpoint list or purge cached objects.
package discovery

import (
	"context"
	"sync"

	"tallyproxy/internal/config"
	"tallyproxy/stall"
)

// StallMonitor is notified of polls and reports whether the process may have been paused, so that
// the director must poll immediately. See stall.Detector. Run calls the methods from its own
// goroutine.
type StallMonitor interface {
	// Now reads the clocks whose readings are passed to the other methods.
	Now() stall.Reading
	// Polled is called when a poll starts, and periodically while other directors poll for this
	// one.
	Polled(now stall.Reading)
	// PollDone is called when a poll has succeeded, or has failed without being canceled, after its
	// events were applied.
	PollDone(began, now stall.Reading, ok bool)
	// Suspect reports whether the director's state may be out of date.
	Suspect() bool
}

// noStallMonitor is the default StallMonitor. It never reports that the state is suspect.
type noStallMonitor struct{}

func (noStallMonitor) Now() stall.Reading                  { return stall.Reading{} }
func (noStallMonitor) Polled(stall.Reading)                {}
func (noStallMonitor) PollDone(_, _ stall.Reading, _ bool) {}
func (noStallMonitor) Suspect() bool                       { return false }

// Client polls the command channel and keeps its position in it. Setters whose comments say so must
// be called before Run. The other methods may be called from any goroutine, except Decode and
// DecodeKnown, which must not run concurrently with each other or with Run.
type Client struct {
	site         config.Site
	cursor       int64 // last event applied; only Run uses it once it has started
	stallMonitor StallMonitor
	seed         uint64
	shouldPoll   func() bool   // whether to poll now; nil to poll always
	wake         chan struct{} // has a buffer of one; makes Run call shouldPoll again

	mu         sync.Mutex
	failing    bool // the last poll failed
	refreshing bool // the next poll asks for an immediate answer
	address    string
	cancelPoll context.CancelFunc // cancels the current poll and the pause after it
}

// New returns a Client positioned at the beginning of the channel.
func New(site config.Site) *Client {
	return &Client{
		site:         site,
		stallMonitor: noStallMonitor{},
		wake:         make(chan struct{}, 1),
		cancelPoll:   func() {},
	}
}

// SetStallMonitor sets the monitor that is notified of polls. It must be called before Run.
func (c *Client) SetStallMonitor(monitor StallMonitor) { c.stallMonitor = monitor }

// SetSeed sets the seed for the random pauses between polls. Each director of a fleet must have a
// different seed. SetSeed must be called before Run.
func (c *Client) SetSeed(seed uint64) { c.seed = seed }

// SetShouldPoll makes the client poll only while shouldPoll returns true, for a director that
// normally relies on polls by other directors. Run calls shouldPoll from its goroutine before each
// poll. SetShouldPoll must be called before Run.
func (c *Client) SetShouldPoll(shouldPoll func() bool) { c.shouldPoll = shouldPoll }

// Wake makes Run check immediately whether this director should poll.
func (c *Client) Wake() {
	select {
	case c.wake <- struct{}{}:
	default: // a signal is already pending
	}
}

// PollNow cancels the current poll, whose answer may be out of date, and starts the next one
// immediately.
func (c *Client) PollNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelPoll()
	c.Wake()
}

// Refresh cancels the current poll and starts one that the channel answers immediately, because
// other directors have received later events.
func (c *Client) Refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshing = true
	c.cancelPoll()
	c.Wake()
}

// Failing reports whether the last poll failed.
func (c *Client) Failing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failing
}

// SetAddress sets the host and port of the channel. If they change, the current poll is canceled;
// the position in the channel is kept.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address != address {
		c.address = address
		c.cancelPoll()
	}
}

// beginPoll registers the cancel function of the poll that starts. It returns the address to poll
// and whether to ask for an immediate answer.
func (c *Client) beginPoll(cancel context.CancelFunc) (address string, refresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelPoll = cancel
	address, refresh = c.address, c.refreshing
	c.refreshing = false
	return address, refresh
}

// setFailing records whether the last poll failed.
func (c *Client) setFailing(failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = failing
}
