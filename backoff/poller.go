// Package backoff decides when a director polls a service that hundreds of other directors poll too. Polls are spread over the
// fleet by chance from the first one on, after changes as well as after errors, so that a service that is short of capacity is
// not overloaded by its own clients. The package does no I/O and reads no clock; its random numbers follow from the instance's
// seed. docs/start.md derives how long a director may go without the service's changes in each case.
package backoff

import (
	"tallyproxy/internal/hash"
	"tallyproxy/internal/random"
	"tallyproxy/policy"
)

// PollResult says how a poll ended.
type PollResult int

// The results of a poll. The first two and Canceled are no errors.
const (
	Changed       PollResult = iota // the answer held events
	Unchanged                       // the long poll ended without events
	ConnectFailed                   // no connection came up, or it closed before an answer began
	Truncated                       // the answer broke off
	TimedOut                        // no whole answer came in time
	Unavailable                     // the service answered that it is overloaded
	Malformed                       // the answer can't be read
	Canceled                        // the caller gave the poll up: the address changed, or fresh data is wanted at once
)

// pollResultNames are values of log lines.
var pollResultNames = [...]string{
	"changed", "unchanged", "connect_failed", "truncated", "timed_out", "unavailable", "malformed", "canceled",
}

// String returns the result's name in log lines.
func (r PollResult) String() string { return pollResultNames[r] }

// warmUpDraws is how many random numbers a new Poller discards, so that seeds which differ in few bits give different sequences.
const warmUpDraws = 8

// Poller computes the pauses between the polls of one director. It is not safe for concurrent use: it belongs to the goroutine
// that polls.
type Poller struct {
	intervals Intervals
	random    random.Generator
	errors    int // in a row
}

// New returns a Poller that has not polled yet. The seed must differ between the instances of a fleet; see Seed.
func New(intervals Intervals, seed uint64) *Poller {
	p := &Poller{intervals: intervals, random: random.New(seed)}
	for range warmUpDraws {
		p.random.Uint32()
	}
	return p
}

// First returns the pause before the first poll, and the longest that the service may hold that poll open.
func (p *Poller) First() (pause, longPoll policy.Micros) {
	return p.upTo(p.intervals.InitialSpread), p.intervals.LongPoll
}

// Next returns the pause after a poll that ended with the result, and the longest that the service may hold the next poll open.
// Overrun is how long the poll went on beyond the long poll that it asked for; RetryAfter is the service's own advice when to
// return, 0 where it gave none.
func (p *Poller) Next(result PollResult, overrun, retryAfter policy.Micros) (pause, longPoll policy.Micros) {
	switch result {
	case Changed:
		p.errors = 0
		pause = p.upTo(p.intervals.ChangeSpread)
		half := p.intervals.LongPoll / 2
		return pause, half + p.upTo(half)
	case Unchanged:
		p.errors = 0
		return 0, p.intervals.LongPoll
	case Canceled:
		return 0, p.intervals.LongPoll
	}
	p.errors++
	return p.errorPause(result, overrun, retryAfter), p.intervals.LongPoll
}

// errorPause draws the pause after an error. The upper bound is shorter by the overrun, since what the service reported while the
// poll hung counts from the end of the long poll.
func (p *Poller) errorPause(result PollResult, overrun, retryAfter policy.Micros) policy.Micros {
	longest := max(p.intervals.MinRetry, p.intervals.MaxPause-max(0, overrun))
	low, high := min(p.intervals.MinRetry, longest/2), longest
	firstError := p.errors == 1
	if firstError {
		low, high = 0, min(longest, p.intervals.FirstErrorMax)
	}
	switch {
	case result == Truncated && firstError: // there were changes to report
		high /= 2
	case result == Unavailable && retryAfter >= longest: // longer than allowed: as late as it may be
		low, high = longest/2, longest
	case result == Unavailable && retryAfter > 0:
		low, high = min(retryAfter, longest/2), min(longest, 2*retryAfter)
	}
	return low + p.upTo(high-low)
}

// upTo draws a duration from 0 to the longest, which is excluded.
func (p *Poller) upTo(longest policy.Micros) policy.Micros {
	if longest <= 0 {
		return 0
	}
	return policy.Micros(p.random.Below(uint64(longest)))
}

// Seed returns an instance's own seed, from the platform's seed, which all directors of a fleet may share, and the instance's name.
func Seed(platformSeed uint64, name string) uint64 { return hash.Seeded(platformSeed, name) }
