package relays

import "tallyproxy/policy"

const (
	maxMissed      = 2  // consecutive unanswered queries after which a source is skipped
	skipIntervals  = 16 // query intervals for which a source is skipped
	listsPerSource = 4  // latest lists that are kept per source
)

// source tracks another director that this one queries for the channel's state. All times are by
// this director's clock.
type source struct {
	outstanding policy.Micros // when the unanswered query was sent; 0 if there is none
	ownDelay    policy.Micros // delay of this director itself since that time
	queriedAt   policy.Micros // when the source was last queried
	missed      int           // consecutive unanswered queries
	skipUntil   policy.Micros // the source is not queried before this time
	currentAt   policy.Micros // latest time at which its list matched the channel's; 0 if none
	answeredAt  policy.Micros // when the source last responded; 0 if never
	lists       []knownList   // in order of arrival, listsPerSource at most
}

// knownList is the sum of a list, and a time at which the list matched the channel's.
type knownList struct {
	sum string
	at  policy.Micros
}

// newer reports whether l is newer than other. Lists of the same time are ordered by sum, so that
// the choice does not depend on the order of a map.
func (l knownList) newer(other knownList) bool {
	return l.at > other.at || l.at == other.at && l.sum < other.sum
}

// stale reports whether the source's state of the channel is older than staleAfter, or unknown.
func (s *source) stale(now, staleAfter policy.Micros) bool {
	return s.currentAt == 0 || now-s.currentAt > staleAfter
}

// expireQuery counts a query that was not answered within the interval. After maxMissed such
// queries in a row, the state that the source reported is dropped, and the source is skipped for a
// while.
func (s *source) expireQuery(now, interval, skip policy.Micros) {
	if s.outstanding <= 0 || now-s.outstanding-s.ownDelay < interval {
		return
	}
	s.outstanding = 0
	s.missed++
	if s.missed >= maxMissed {
		s.missed, s.skipUntil, s.currentAt, s.lists = 0, now+skip, 0, nil
	}
}

// recordResponse records that the outstanding query was answered.
func (s *source) recordResponse(now policy.Micros) {
	s.outstanding, s.missed, s.skipUntil, s.answeredAt = 0, 0, 0, now
}

// addList records that the list reported by the source matched the channel's at a time.
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

// newestCommonList returns the newest list that both sources have reported if it is newer than the
// given list; otherwise it returns the given list. The sources agree on a list up to the earlier of
// their two times.
func (s *source) newestCommonList(other *source, newest knownList) knownList {
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
