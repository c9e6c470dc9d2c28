package backoff

import (
	"cmp"

	"tallyproxy/policy"
)

// Intervals bound a Poller's pauses and long polls; DeriveIntervals fills them.
type Intervals struct {
	LongPoll      policy.Micros // longest that the service may hold a poll open while it has no changes
	InitialSpread policy.Micros // the first poll begins within this time of the start
	ChangeSpread  policy.Micros // the poll after one that brought changes begins within this time
	MaxPause      policy.Micros // longest pause after an error
	FirstErrorMax policy.Micros // longest pause after the first error in a row
	MinRetry      policy.Micros // shortest pause after the second and further errors in a row
}

// DeriveIntervals derives the intervals from the platform's settings and the director's timeouts.
//
// A purge or a drain must be obeyed within its propagation time after the service reported it. The pause after changes is
// therefore at most two thirds of the shorter of the two times, and the first poll begins within nine tenths of it. After an
// outage, what the service reported meanwhile counts as reported up to a third of PurgeRetention later (2 s of 6 s), so no pause
// after an error is longer than that.
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

// ForDelegates returns the intervals of a fleet in which a few directors poll for all. Their long polls are shorter, because the
// age of what they report shows the others that they work, and they poll sooner after changes, because the others wait for them.
func (i Intervals) ForDelegates() Intervals {
	i.LongPoll /= 4
	i.ChangeSpread /= 8
	return i
}
