// Package backoff decides when a director polls a service that hundreds of other directors also
// poll. Polls are spread randomly over the fleet from the first one on, after changes as well as
// after errors, so that a service that is short of capacity is not overloaded by its own clients.
// The package does no I/O and reads no clock. Its random numbers follow from the instance's seed.
// docs/start.md derives how long a director may go without the service's changes in each case.
package backoff

import (
	"tallyproxy/internal/hash"
	"tallyproxy/internal/random"
	"tallyproxy/policy"
)

// PollResult is the outcome of a poll.
type PollResult int

// The results of a poll. Changed, Unchanged and Canceled are not errors.
const (
	Changed       PollResult = iota // the answer contained events
	Unchanged                       // the long poll ended without events
	ConnectFailed                   // no connection, or it closed before an answer began
	Truncated                       // the answer ended early
	TimedOut                        // no complete answer arrived in time
	Unavailable                     // the service answered that it is overloaded
	Malformed                       // the answer could not be parsed
	Canceled                        // by the caller: address changed, or fresh data needed at once
)

// pollResultNames holds the names that appear in log lines.
var pollResultNames = [...]string{
	"changed", "unchanged", "connect_failed", "truncated", "timed_out", "unavailable", "malformed", "canceled",
}

// String returns the result's name in log lines.
func (r PollResult) String() string { return pollResultNames[r] }

// warmUpDraws is the number of random numbers that a new Poller discards, so that seeds that differ
// in few bits give different sequences.
const warmUpDraws = 8

// Poller computes the pauses between the polls of one director. It is not safe for concurrent use:
// it belongs to the goroutine that polls.
type Poller struct {
	intervals Intervals
	random    random.Generator
	errors    int // consecutive errors
}

// New returns a Poller that has not polled yet. The seed must differ between the instances of a
// fleet; see Seed.
func New(intervals Intervals, seed uint64) *Poller {
	p := &Poller{intervals: intervals, random: random.New(seed)}
	for range warmUpDraws {
		p.random.Uint32()
	}
	return p
}

// First returns the pause before the first poll, and how long the service may hold that poll open.
func (p *Poller) First() (pause, longPoll policy.Micros) {
	return p.randomBelow(p.intervals.InitialSpread), p.intervals.LongPoll
}

// Next returns the pause after a poll with the given result, and how long the service may hold the
// next poll open. overrun is by how much the poll exceeded the long poll time that it requested.
// retryAfter is the delay that the service advised, or 0 if it advised none.
func (p *Poller) Next(result PollResult, overrun, retryAfter policy.Micros) (pause, longPoll policy.Micros) {
	switch result {
	case Changed:
		p.errors = 0
		pause = p.randomBelow(p.intervals.ChangeSpread)
		half := p.intervals.LongPoll / 2
		return pause, half + p.randomBelow(half)
	case Unchanged:
		p.errors = 0
		return 0, p.intervals.LongPoll
	case Canceled:
		return 0, p.intervals.LongPoll
	}
	p.errors++
	return p.errorPause(result, overrun, retryAfter), p.intervals.LongPoll
}

// errorPause draws the pause after an error. The overrun shortens the longest pause, because the
// age of changes that the service reported while the poll hung counts from the end of the long
// poll.
func (p *Poller) errorPause(result PollResult, overrun, retryAfter policy.Micros) policy.Micros {
	longest := max(p.intervals.MinRetry, p.intervals.MaxPause-max(0, overrun))
	low, high := min(p.intervals.MinRetry, longest/2), longest
	firstError := p.errors == 1
	if firstError {
		low, high = 0, min(longest, p.intervals.FirstErrorMax)
	}
	switch {
	case result == Truncated && firstError: // the service had changes to report
		high /= 2
	case result == Unavailable && retryAfter >= longest: // advice exceeds the longest pause
		low, high = longest/2, longest
	case result == Unavailable && retryAfter > 0:
		low, high = min(retryAfter, longest/2), min(longest, 2*retryAfter)
	}
	return low + p.randomBelow(high-low)
}

// randomBelow draws a duration from 0 (inclusive) to longest (exclusive).
func (p *Poller) randomBelow(longest policy.Micros) policy.Micros {
	if longest <= 0 {
		return 0
	}
	return policy.Micros(p.random.Below(uint64(longest)))
}

// Seed returns the seed of an instance, from the platform's seed, which all directors of a fleet
// may share, and the instance's name.
func Seed(platformSeed uint64, name string) uint64 { return hash.Seeded(platformSeed, name) }
