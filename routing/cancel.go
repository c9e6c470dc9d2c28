package routing

import "tallyproxy/policy"

// checksPerObjective is how often within its latency objective an unanswered attempt is checked.
const checksPerObjective = 2

// nextCheck is when the request's attempt in flight is due for its next check.
func (s *requestState) nextCheck(a *attempt) policy.Micros {
	return s.checkedAt + a.objective/checksPerObjective
}

// checkAttempt looks at an attempt in flight. Where its endpoint has answered no attempt since this one was sent, the endpoint may be
// silent; where it has, but nothing came through the attempt's source, the source may be. Once several checks found that, the endpoint is
// ejected and the attempt cancelled, so that the request goes elsewhere. A source is suspected only where answers report how fills went,
// since few fills from here go through one source, and slow is not silent.
//
// That protects against machines that vanish without a connection reset, and against any that hang. It can harm where all of an
// endpoint's few answers take long.
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

// observeLateFill counts an attempt that is past its objective as a late fill, without waiting for its end: its endpoint answers others,
// so it is a miss.
func (r *Router) observeLateFill(now policy.Micros, a *attempt) {
	if !a.countedLate && !a.cacheOnly && now >= a.sentAt+a.objective {
		a.countedLate = true
		r.observeFill(now, a, lateFillRatio, a.mayReachOrigin)
	}
}
