package relays

import "tallyproxy/policy"

// sourceCount is how many sources that answer and are not stale a director queries.
const sourceCount = 2

// Tick returns the directors to send a Query to now. Its SentAt must be now.
//
// Tick is to be called every half of QueryInterval. Where a call comes late, this director itself was late and what it was sent may
// lie unread: that time counts against no source. Otherwise a fleet that had no processor for a moment would poll the channel all at
// once.
func (r *Relay) Tick(now policy.Micros) (query []string) {
	r.forgiveOwnDelay(now)
	if r.isDelegate() {
		r.silentSince, r.staleSince = now, now
		return nil
	}
	wanted := sourceCount
	for _, name := range r.candidates {
		if wanted <= 0 {
			break
		}
		s := r.source(name, now)
		s.expire(now, r.queryInterval(), skipIntervals*r.settings.QueryInterval)
		if now < s.skipUntil {
			continue
		}
		if r.suffices(s, now) {
			wanted--
		}
		if r.querySource(s, now) {
			query = append(query, name)
		}
	}
	return query
}

// forgiveOwnDelay moves the times that are held against sources by as much as this call of Tick is late.
func (r *Relay) forgiveOwnDelay(now policy.Micros) {
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

// source returns the state of a source; one that is new may be queried at once.
func (r *Relay) source(name string, now policy.Micros) *source {
	s := r.sources[name]
	if s == nil {
		s = &source{queriedAt: now - r.queryInterval()}
		r.sources[name] = s
	}
	return s
}

// suffices reports whether a source answers and is not stale as far as is known, and notes it. Where it does not, it is queried all
// the same, but further sources are too.
func (r *Relay) suffices(s *source, now policy.Micros) bool {
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

// querySource reports whether a source is due to be queried, and notes that it is.
func (r *Relay) querySource(s *source, now policy.Micros) bool {
	if s.outstanding != 0 || now-s.queriedAt < r.queryInterval() {
		return false
	}
	s.outstanding, s.queriedAt, s.ownDelay = now, now, 0
	return true
}

// HandleQuery returns the answer to another director's query. Being queried makes this one poll for DemandWindow, where it is among
// the first that stand in for the delegates.
func (r *Relay) HandleQuery(now policy.Micros, query Query) Response {
	if r.position < deputyFactor*r.settings.Delegates {
		r.lastQueried = now
	}
	if r.inForce.sum == "" {
		return Response{SentAt: query.SentAt, Age: -1}
	}
	return Response{query.SentAt, max(0, now-r.inForce.at), r.inForce.sum}
}

// HandleResponse takes a source's answer. It returns the sum of a list that two sources have told and that is newer than the one in
// force here, or "": that list is to be requested from this source, and its answer passed to AcceptList.
func (r *Relay) HandleResponse(now policy.Micros, from string, response Response) (wantList string) {
	s := r.sources[from]
	if s == nil || s.outstanding == 0 || response.SentAt != s.outstanding || response.SentAt > now || response.Age < -1 {
		return "" // late or never asked for: its age may count from another moment
	}
	s.answered(now)
	if response.Age < 0 || response.ListSum == "" {
		return ""
	}
	// The source answered after the query was sent, so its poll began no earlier than this.
	s.addList(response.ListSum, response.SentAt-response.Age)
	agreed := r.agreed()
	if agreed.at <= r.inForce.at {
		return ""
	}
	if agreed.sum == r.inForce.sum {
		r.inForce.at = agreed.at
		return ""
	}
	return agreed.sum
}

// AcceptList takes a list that HandleResponse wanted, and reports whether it is still what two sources have told and can be used. From
// then on it is in force, and is known to have been the channel's until the time returned.
func (r *Relay) AcceptList(endpoints []Endpoint) (until policy.Micros, ok bool) {
	agreed := r.agreed()
	if agreed.sum == "" || agreed.at <= r.inForce.at || agreed.sum != Sum(endpoints) || !r.settings.valid(endpoints) {
		return 0, false
	}
	r.inForce = agreed
	return agreed.at, true
}

// agreed returns the newest list that two sources have told.
func (r *Relay) agreed() (newest knownList) {
	for _, one := range r.sources {
		for _, other := range r.sources {
			if one != other {
				newest = one.agreement(other, newest)
			}
		}
	}
	return newest
}
