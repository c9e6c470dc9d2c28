// Package discovery polls the platform's command channel: numbered events that change the endpoint list or purge cached objects.
package discovery

import (
	"context"
	"sync"

	"tallyproxy/internal/config"
	"tallyproxy/stall"
)

// StallMonitor is told of the polls, and says whether the director has stood still so that a poll is needed at once. See
// stall.Detector. Run calls it from its own goroutine.
type StallMonitor interface {
	// Now reads the clocks on which polls are reported.
	Now() stall.Reading
	// Polled is called when a poll begins, and now and then while others poll for this director.
	Polled(now stall.Reading)
	// PollDone is called when a poll has ended by itself, once what it brought has been applied.
	PollDone(began, now stall.Reading, ok bool)
	// Suspect reports whether what this director knows may be out of date.
	Suspect() bool
}

// noStallMonitor stands where none was set: nothing is ever suspect.
type noStallMonitor struct{}

func (noStallMonitor) Now() stall.Reading                  { return stall.Reading{} }
func (noStallMonitor) Polled(stall.Reading)                {}
func (noStallMonitor) PollDone(_, _ stall.Reading, _ bool) {}
func (noStallMonitor) Suspect() bool                       { return false }

// Client polls the command channel and keeps its position in it. The setters that say so are for the time before Run; the other
// methods may be called from any goroutine, except Decode and DecodeKnown, which must not overlap with each other or Run.
type Client struct {
	site         config.Site
	cursor       int64 // of the last event applied; belongs to Run once it runs
	stallMonitor StallMonitor
	seed         uint64
	shouldPoll   func() bool   // whether to poll now; nil where this director always polls for itself
	wake         chan struct{} // a buffered signal to ask shouldPoll again

	mu         sync.Mutex
	failing    bool // the last poll failed
	refreshing bool // the next poll is to be answered at once
	address    string
	cancelPoll context.CancelFunc // cancels the poll under way and the pause after it
}

// New returns a Client that stands at the channel's beginning.
func New(site config.Site) *Client {
	return &Client{
		site:         site,
		stallMonitor: noStallMonitor{},
		wake:         make(chan struct{}, 1),
		cancelPoll:   func() {},
	}
}

// SetStallMonitor sets who is told of the polls; before Run.
func (c *Client) SetStallMonitor(monitor StallMonitor) { c.stallMonitor = monitor }

// SetSeed sets the seed of the pauses between polls, which must differ between the directors of a fleet; before Run.
func (c *Client) SetSeed(seed uint64) { c.seed = seed }

// SetShouldPoll makes the client poll only while the function returns true, because other directors poll for this one; before Run.
// The function is called from Run's goroutine before each poll.
func (c *Client) SetShouldPoll(shouldPoll func() bool) { c.shouldPoll = shouldPoll }

// Wake makes Run ask at once whether this director should poll.
func (c *Client) Wake() {
	select {
	case c.wake <- struct{}{}:
	default: // a signal waits already
	}
}

// PollNow cancels the poll under way, because its answer may be out of date, and begins the next one at once.
func (c *Client) PollNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelPoll()
	c.Wake()
}

// Refresh cancels the poll under way and begins one that the channel answers at once, because other directors know more.
func (c *Client) Refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshing = true
	c.cancelPoll()
	c.Wake()
}

// Failing reports whether the channel did not answer the last poll.
func (c *Client) Failing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failing
}

// SetAddress sets the channel's address, host and port. A change cancels the poll under way; the position in the channel stays.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address != address {
		c.address = address
		c.cancelPoll()
	}
}

// beginPoll records how the poll that begins is canceled, and returns its address and whether it is to be answered at once.
func (c *Client) beginPoll(cancel context.CancelFunc) (address string, refresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelPoll = cancel
	address, refresh = c.address, c.refreshing
	c.refreshing = false
	return address, refresh
}

func (c *Client) setFailing(failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = failing
}
