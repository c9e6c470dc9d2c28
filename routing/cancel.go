package routing

import "tallyproxy/policy"

// checksPerObjective is the number of checks of an unanswered attempt within its latency
// objective.
const checksPerObjective = 2

// nextCheck returns when the attempt, which is in flight, is due for its next check.
func (s *requestState) nextCheck(a *attempt) policy.Micros {
	return s.checkedAt + a.objective/checksPerObjective
}

// checkAttempt checks an attempt in flight. If its endpoint has answered no attempt since this one
// was sent, the endpoint may be unresponsive. If the endpoint has answered but nothing has come
// through the attempt's source, the source may be unresponsive. Once failureThreshold checks have
// found the same endpoint or source unresponsive, it is ejected and the attempt is cancelled, so
// that the request goes to another endpoint. A source is suspected only if answers report how
// fills went, because only few of this director's fills go through one source, and a slow source
// is not necessarily unresponsive.
//
// This protects against machines that disappear without a connection reset and against machines
// that hang. It can do harm if an endpoint has few answers and all of them take long.
func (r *Router) checkAttempt(now policy.Micros, state *requestState, a *attempt) policy.Decision {
	if a.cancelled || now < state.nextCheck(a) {
		return policy.Decision{}
	}
	state.checkedAt = now
	suspect := a.endpoint
	if a.excused = a.endpoint.lastAnswerAt >= a.sentAt; a.excused {
		suspect = a.source
		r.observeLateFill(now, a)
	}
	answered := suspect.lastAnswerAt >= a.sentAt
	if answered || suspect == r.origin || suspect != a.endpoint && !r.settings.ReportsCacheStatus {
		return policy.Decision{}
	}
	if suspect.unanswered++; suspect.unanswered < failureThreshold {
		return policy.Decision{}
	}
	r.eject(now, suspect, a, minEjectionTime)
	a.cancelled = true
	return policy.Decision{Action: policy.CancelAttempt, Attempt: len(state.attempts) - 1}
}

// observeLateFill counts an attempt that has exceeded its latency objective as a late fill without
// waiting for its end. Its endpoint answers other attempts, so this attempt must be waiting for a
// fill after a cache miss.
func (r *Router) observeLateFill(now policy.Micros, a *attempt) {
	if !a.countedLate && !a.cacheOnly && now >= a.sentAt+a.objective {
		a.countedLate = true
		r.observeFill(now, a, lateFillRatio, a.mayReachOrigin)
	}
}
