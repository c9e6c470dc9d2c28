package backoff

import (
	"cmp"

	"tallyproxy/policy"
)

// Intervals holds the bounds of a Poller's pauses and long polls. DeriveIntervals computes them.
type Intervals struct {
	LongPoll      policy.Micros // longest time that the service may hold a poll without changes
	InitialSpread policy.Micros // the first poll begins within this time of the start
	ChangeSpread  policy.Micros // the poll after one that brought changes begins within this time
	MaxPause      policy.Micros // longest pause after an error
	FirstErrorMax policy.Micros // longest pause after the first of consecutive errors
	MinRetry      policy.Micros // shortest pause after the second and further consecutive errors
}

// DeriveIntervals computes the intervals from the platform's settings and the director's timeouts.
//
// A purge or a drain must take effect within its propagation time after the service reported it.
// The pause after changes is therefore at most two thirds of the shorter of the two propagation
// times, and the first poll begins within nine tenths of it. Changes that the service reported
// during an outage count as reported up to a third of PurgeRetention later (2 s of 6 s), so no
// pause after an error is longer than that.
func DeriveIntervals(settings policy.Settings, timeouts policy.Timeouts) Intervals {
	propagation := cmp.Or(settings.PurgePropagation, settings.ConnectTimeout)
	if settings.DrainPropagation > 0 {
		propagation = min(propagation, settings.DrainPropagation)
	}
	maxPause := cmp.Or(settings.PurgeRetention/3, 8*timeouts.PollRetry)
	return Intervals{
		LongPoll:      timeouts.LongPoll,
		InitialSpread: 9 * propagation / 10,
		ChangeSpread:  2 * propagation / 3,
		MaxPause:      maxPause,
		FirstErrorMax: 3 * maxPause / 4,
		MinRetry:      maxPause / 5,
	}
}

// ForDelegates returns the intervals of a fleet in which a few directors, the delegates, poll for
// all. Delegates use shorter long polls, because the age of their reports shows the other directors
// that the delegates work. They poll sooner after changes, because the other directors wait for the
// changes.
func (i Intervals) ForDelegates() Intervals {
	i.LongPoll /= 4
	i.ChangeSpread /= 8
	return i
}
