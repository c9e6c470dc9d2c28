package faulttest

import (
	"strconv"
	"time"

	"tallyproxy/internal/logevent"
)

// quotaTolerance is what rounding may add to a sum of quotas.
const quotaTolerance = 1e-6

// unboundedQuota is how long a quota holds whose line has no end of its validity.
const unboundedQuota = 24 * time.Hour

// QuotaSums returns how the quotas of a scope ("zone" or "fleet") summed up over so many directors, in multiples of the whole: the most
// at any instant, and at how many instants they were above the limit. A director that is there holds the fixed quota, 1, and a higher
// one for as long as its log line says; one that is paused may hold what it held.
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

// directorQuota is what a director may use.
type directorQuota struct {
	running bool
	quota   float64   // over the fixed one
	until   time.Time // when a quota above 1 ends
}

// quotaSums are the quotas of one scope, by director, as they stand after the entries so far.
type quotaSums struct {
	directors  int
	scope      string
	byDirector map[int]*directorQuota
}

// apply takes an entry; false for one that is not about quotas.
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

// at returns the sum of all quotas at a time, over that of as many fixed ones as there are directors.
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
