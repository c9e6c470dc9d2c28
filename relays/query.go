package relays

import "tallyproxy/policy"

// sourceCount is the number of responding sources with current state that a director queries.
const sourceCount = 2

// Tick returns the directors to send a Query to now. The queries' SentAt must be now.
//
// Tick must be called at intervals of half of QueryInterval. If a call is late, this director
// itself was delayed, and responses may be waiting unread, so the delay is not counted against any
// source. Otherwise all directors of a fleet that briefly had no CPU time would poll the channel at
// once.
func (r *Relay) Tick(now policy.Micros) (query []string) {
	r.excludeOwnDelay(now)
	if r.isDelegate() {
		r.silentSince, r.staleSince = now, now
		return nil
	}
	needed := sourceCount
	for _, name := range r.candidates {
		if needed <= 0 {
			break
		}
		s := r.source(name, now)
		s.expireQuery(now, r.queryInterval(), skipIntervals*r.settings.QueryInterval)
		if now < s.skipUntil {
			continue
		}
		if r.checkSource(s, now) {
			needed--
		}
		if r.startQuery(s, now) {
			query = append(query, name)
		}
	}
	return query
}

// excludeOwnDelay shifts the times by which sources are judged by the delay of this call of Tick.
func (r *Relay) excludeOwnDelay(now policy.Micros) {
	gap, first := now-r.lastTick, r.lastTick == 0
	r.lastTick = now
	if first || gap <= r.settings.QueryInterval {
		return
	}
	delay := gap - r.settings.QueryInterval/2
	r.silentSince, r.staleSince = min(now, r.silentSince+delay), min(now, r.staleSince+delay)
	for _, s := range r.sources {
		s.ownDelay += delay
	}
}

// source returns the state of a source. A new source may be queried immediately.
func (r *Relay) source(name string, now policy.Micros) *source {
	s := r.sources[name]
	if s == nil {
		s = &source{queriedAt: now - r.queryInterval()}
		r.sources[name] = s
	}
	return s
}

// checkSource reports whether a source responds and is not stale, as far as known, and updates
// silentSince and staleSince. A source that fails the check is still queried, but further sources
// are queried as well.
func (r *Relay) checkSource(s *source, now policy.Micros) bool {
	if s.missed > 0 {
		return false
	}
	if s.answeredAt == 0 {
		return true
	}
	r.silentSince = now
	if s.stale(now, r.settings.StaleAfter) {
		return false
	}
	r.staleSince = now
	return true
}

// startQuery reports whether a query to a source is due and, if so, records it as sent.
func (r *Relay) startQuery(s *source, now policy.Micros) bool {
	if s.outstanding != 0 || now-s.queriedAt < r.queryInterval() {
		return false
	}
	s.outstanding, s.queriedAt, s.ownDelay = now, now, 0
	return true
}

// HandleQuery returns the response to another director's query. If this director is among the first
// standbyFactor times Delegates in the order, the query makes it poll the channel for DemandWindow.
func (r *Relay) HandleQuery(now policy.Micros, query Query) Response {
	if r.position < standbyFactor*r.settings.Delegates {
		r.lastQueried = now
	}
	if r.inForce.sum == "" {
		return Response{SentAt: query.SentAt, Age: -1}
	}
	return Response{query.SentAt, max(0, now-r.inForce.at), r.inForce.sum}
}

// HandleResponse handles a source's response. It returns the sum of a list on which two sources
// agree and that is newer than the list in force here, or "" if there is none. The caller must
// request that list from this source and pass it to AcceptList.
func (r *Relay) HandleResponse(now policy.Micros, from string, response Response) (wantList string) {
	s := r.sources[from]
	if s == nil || s.outstanding == 0 || response.SentAt != s.outstanding || response.SentAt > now || response.Age < -1 {
		// The response is late or unsolicited: its age may refer to another time.
		return ""
	}
	s.recordResponse(now)
	if response.Age < 0 || response.ListSum == "" {
		return ""
	}
	// The source responded after the query was sent, so its list was last known to match the
	// channel's at this time or later.
	s.addList(response.ListSum, response.SentAt-response.Age)
	agreed := r.newestAgreedList()
	if agreed.at <= r.inForce.at {
		return ""
	}
	if agreed.sum == r.inForce.sum {
		r.inForce.at = agreed.at
		return ""
	}
	return agreed.sum
}

// AcceptList puts a list that HandleResponse requested in force if two sources still agree on it
// and it can be used, and reports whether it did. The list is known to have matched the channel's
// until the returned time.
func (r *Relay) AcceptList(endpoints []Endpoint) (until policy.Micros, ok bool) {
	agreed := r.newestAgreedList()
	if agreed.sum == "" || agreed.at <= r.inForce.at || agreed.sum != Sum(endpoints) || !r.settings.valid(endpoints) {
		return 0, false
	}
	r.inForce = agreed
	return agreed.at, true
}

// newestAgreedList returns the newest list on which two sources agree.
func (r *Relay) newestAgreedList() (newest knownList) {
	for _, first := range r.sources {
		for _, other := range r.sources {
			if first != other {
				newest = first.newestCommonList(other, newest)
			}
		}
	}
	return newest
}
