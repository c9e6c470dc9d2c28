package faulttest

import (
	"strconv"
	"time"

	"tallyproxy/internal/logevent"
)

// quotaTolerance is the rounding error allowed in a sum of quotas.
const quotaTolerance = 1e-6

// unboundedQuota is how long a quota holds if its log line gives no end of validity.
const unboundedQuota = 24 * time.Hour

// QuotaSums sums up the quotas of a scope ("zone" or "fleet") over the given number of directors,
// as a multiple of the sum of their fixed quotas. It returns the peak of the sum, and the number of
// entries about quotas after which the sum was above the limit. A running director holds the fixed
// quota, 1, or a higher quota for as long as its log line says. A paused director may still hold
// the quota that it had.
func QuotaSums(entries []Entry, directors int, scope string, limit float64) (peak float64, over int) {
	sums := quotaSums{directors: directors, scope: scope, byDirector: map[int]*directorQuota{}}
	for _, e := range entries {
		if !sums.apply(e) {
			continue
		}
		sum := sums.at(e.At)
		peak = max(peak, sum)
		if sum > limit+quotaTolerance {
			over++
		}
	}
	return peak, over
}

// directorQuota is the quota that a director may use.
type directorQuota struct {
	running bool
	quota   float64   // as a multiple of the fixed quota
	until   time.Time // end of validity of a quota above 1
}

// quotaSums tracks the quotas of one scope, by director, while a history is read.
type quotaSums struct {
	directors  int
	scope      string
	byDirector map[int]*directorQuota
}

// apply updates the quotas with an entry. It returns false if the entry does not concern quotas.
func (s *quotaSums) apply(e Entry) bool {
	current := s.byDirector[e.Director]
	if current == nil {
		current = &directorQuota{quota: 1}
		s.byDirector[e.Director] = current
	}
	switch {
	case e.Event == logevent.Started:
		*current = directorQuota{running: true, quota: 1}
	case e.Event == logevent.Stopped, e.isAction(actionKill):
		current.running = false
	case e.Event == logevent.Quota:
		current.quota, _ = strconv.ParseFloat(e.Attributes[s.scope], 64)
		left, err := time.ParseDuration(e.Attributes[s.scope+"_for"])
		if err != nil || left < 0 {
			left = unboundedQuota
		}
		current.until = e.At.Add(left)
	default:
		return false
	}
	return true
}

// at returns the sum of all quotas at a time, as a multiple of the sum of the fixed quotas of all
// directors.
func (s *quotaSums) at(now time.Time) (sum float64) {
	for _, current := range s.byDirector {
		switch {
		case !current.running:
		case current.quota > 1 && now.After(current.until):
			sum++
		default:
			sum += current.quota
		}
	}
	return sum / float64(s.directors)
}
