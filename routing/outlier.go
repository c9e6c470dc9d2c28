package routing

import (
	"slices"

	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

const (
	failureThreshold = 3 // consecutive failures after which an endpoint is ejected
	// repeatedFailureThreshold is the number of consecutive failures after which an endpoint is
	// ejected even if each failure may have another cause.
	repeatedFailureThreshold = failureThreshold * failureThreshold

	minEjectionTime    = policy.Second
	maxEjectionTime    = 10 * policy.Second
	parentEjectionTime = maxEjectionTime // see docs/design.md for the value
)

// eject keeps attempts away from an endpoint for a limited time, which doubles with every ejection
// in a row, and makes it half-open: after that time, it gets one attempt as its probe. The origin
// is never ejected, and an attempt that was sent before the endpoint's last ejection does not
// eject it again.
func (r *Router) eject(now policy.Micros, e *endpoint, a *attempt, minTime policy.Micros) {
	if e == r.origin || e.ejectedUntil > now || a.sentAt < e.ejectedAt {
		return
	}
	e.ejectionTime = min(max(minTime, 2*e.ejectionTime), maxEjectionTime)
	e.ejectedAt, e.ejectedUntil = now, now+e.ejectionTime
	e.halfOpen, e.consecutiveFailures = true, 0
}

// recordFailure counts a failed attempt and returns the number of consecutive failures. A failed
// probe sets that number to repeatedFailureThreshold.
func (e *endpoint) recordFailure(a *attempt) int {
	if e.consecutiveFailures += boolean.Int(a.sentAt >= e.ejectedAt); a.probeTarget == e {
		e.consecutiveFailures = repeatedFailureThreshold
	}
	return e.consecutiveFailures
}

// recordSuccess clears the endpoint's failures. holdsObject is true if the answer shows that the
// endpoint held the requested object.
//
// An endpoint that accepted no connection may have restarted before the endpoint list reports it.
// Unless it holds the object, it is therefore treated as in slow start from now on. This protects
// endpoints that restart in large numbers from overload. If the connections failed for another
// reason, it can do harm until the next hit.
func (e *endpoint) recordSuccess(now policy.Micros, a *attempt, holdsObject bool) {
	if e.connectFailedAt > 0 && holdsObject {
		e.connectFailedAt = 0
	} else if e.connectFailedAt > 0 && a.sentAt >= e.connectFailedAt {
		e.connectFailedAt, e.startedAt = 0, now
	}
	e.recordAnswer(now)
	e.consecutiveFailures, e.halfOpen, e.ejectionTime = 0, false, 0
}

// recordAnswer records that the endpoint answered, with success or with an error, and is therefore
// not unresponsive.
func (e *endpoint) recordAnswer(now policy.Micros) { e.lastAnswerAt, e.unanswered = now, 0 }

// recordSourceFailure counts a fill that a source failed or delayed, and ejects the source after
// failureThreshold such fills in a row.
//
// If answers do not report the cause of a failure, every successful answer through a source clears
// its failures. If, in addition, no other parent is usable, the fault is assumed to be behind the
// parents, and all of them are used again. This protects against dead and slow parents and keeps
// the parents' cached content in use while the origin fails. It can do harm while all parents are
// dead but still listed.
func (r *Router) recordSourceFailure(now policy.Micros, source *endpoint, a *attempt) {
	if source.recordFailure(a) < failureThreshold {
		return
	}
	usable := func(other *endpoint) bool { return other != source && other.ejectedUntil <= now }
	if r.settings.ReportsCacheStatus || slices.ContainsFunc(r.parents.ready, usable) {
		r.eject(now, source, a, parentEjectionTime)
		return
	}
	for _, parent := range r.parents.ready {
		parent.consecutiveFailures, parent.ejectedUntil, parent.halfOpen = 0, 0, false
	}
}

// ProbeDone records the result of a probe that a hint from another director caused. If the
// endpoint is healthy, it may be used again, half-open if it may be full; otherwise it accepted no
// connection. Directors thus share what they find out about endpoints, and a false hint costs only
// one probe.
func (r *Router) ProbeDone(now policy.Micros, id string, healthy, full bool) {
	if e := r.endpoints[id]; e != nil && healthy {
		e.ejectedUntil, e.halfOpen = min(e.ejectedUntil, now), e.halfOpen || full
	} else if e != nil && e.State == policy.Ready {
		e.connectFailedAt, e.halfOpen = now, true
	}
}
