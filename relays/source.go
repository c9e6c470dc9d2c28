package relays

import "tallyproxy/policy"

const (
	maxMissed      = 2  // queries without an answer, in a row, after which a source is skipped
	skipIntervals  = 16 // query intervals for which a source is skipped
	listsPerSource = 4  // latest lists that are remembered of each source
)

// source is another director as a source of the channel's state. All times are on the own clock.
type source struct {
	outstanding policy.Micros // when the query that waits for an answer was sent; 0 for none
	ownDelay    policy.Micros // how long this director itself has been late since then
	queriedAt   policy.Micros // when it was last queried
	missed      int           // queries without an answer, in a row
	skipUntil   policy.Micros // it is not queried before this time
	currentAt   policy.Micros // the latest time at which what it told is known to have been the channel's state; 0 for none
	answeredAt  policy.Micros // when it last answered; 0 for never
	lists       []knownList   // the latest last, listsPerSource at most
}

// knownList is a list that was the channel's at a time.
type knownList struct {
	sum string
	at  policy.Micros
}

// newer orders lists by time, and those of one time by sum, so that the choice does not depend on the order of a map.
func (l knownList) newer(than knownList) bool {
	return l.at > than.at || l.at == than.at && l.sum < than.sum
}

// stale reports whether what the source told is not the channel's state of late.
func (s *source) stale(now, staleAfter policy.Micros) bool {
	return s.currentAt == 0 || now-s.currentAt > staleAfter
}

// expire counts a query that was not answered within the interval. After maxMissed of them what the source told is forgotten, and it
// is skipped for a while.
func (s *source) expire(now, interval, skip policy.Micros) {
	if s.outstanding <= 0 || now-s.outstanding-s.ownDelay < interval {
		return
	}
	s.outstanding = 0
	s.missed++
	if s.missed >= maxMissed {
		s.missed, s.skipUntil, s.currentAt, s.lists = 0, now+skip, 0, nil
	}
}

// answered records that the outstanding query was answered.
func (s *source) answered(now policy.Micros) {
	s.outstanding, s.missed, s.skipUntil, s.answeredAt = 0, 0, 0, now
}

// addList records that the source's list was the channel's at a time.
func (s *source) addList(sum string, at policy.Micros) {
	s.currentAt = max(s.currentAt, at)
	if last := len(s.lists) - 1; last >= 0 && s.lists[last].sum == sum {
		s.lists[last].at = max(s.lists[last].at, at)
		return
	}
	s.lists = append(s.lists, knownList{sum, at})
	if len(s.lists) > listsPerSource {
		s.lists = s.lists[1:]
	}
}

// agreement returns the newest list that both sources have told, where it is newer than the given one; else the given one. A list is
// agreed on up to the earlier of the two times.
func (s *source) agreement(other *source, newest knownList) knownList {
	for _, mine := range s.lists {
		for _, theirs := range other.lists {
			both := knownList{mine.sum, min(mine.at, theirs.at)}
			if mine.sum == theirs.sum && both.newer(newest) {
				newest = both
			}
		}
	}
	return newest
}
