package routing

import (
	"slices"

	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

const (
	failureThreshold         = 3                                   // consecutive failures that eject an endpoint
	repeatedFailureThreshold = failureThreshold * failureThreshold // consecutive failures that may have another reason, and eject it too

	minEjectionTime    = policy.Second
	maxEjectionTime    = 10 * policy.Second
	parentEjectionTime = maxEjectionTime // docs/design.md has the figure
)

// eject keeps attempts from an endpoint for a while, twice as long as the last time, and makes it half-open: then it gets one attempt as
// its probe. Neither the origin is ejected, nor an endpoint for an attempt that was sent before its last ejection.
func (r *Router) eject(now policy.Micros, e *endpoint, a *attempt, least policy.Micros) {
	if e == r.origin || e.ejectedUntil > now || a.sentAt < e.ejectedAt {
		return
	}
	e.ejectionTime = min(max(least, 2*e.ejectionTime), maxEjectionTime)
	e.ejectedAt, e.ejectedUntil = now, now+e.ejectionTime
	e.halfOpen, e.consecutiveFailures = true, 0
}

// recordFailure counts an attempt that failed and returns the consecutive failures. A failed probe counts as enough of them.
func (e *endpoint) recordFailure(a *attempt) int {
	if e.consecutiveFailures += boolean.Int(a.sentAt >= e.ejectedAt); a.probed == e {
		e.consecutiveFailures = repeatedFailureThreshold
	}
	return e.consecutiveFailures
}

// recordSuccess clears an endpoint of what was held against it. holdsObject is true where the answer shows that it held what it was asked
// for.
//
// An endpoint that took no connection may have started anew before the endpoint list says so: unless it holds the object, it is in slow
// start from now on. That protects endpoints that restart in numbers from overload. It can harm, until the next hit, where connections
// fail for another reason.
func (e *endpoint) recordSuccess(now policy.Micros, a *attempt, holdsObject bool) {
	if e.connectFailedAt > 0 && holdsObject {
		e.connectFailedAt = 0
	} else if e.connectFailedAt > 0 && a.sentAt >= e.connectFailedAt {
		e.connectFailedAt, e.startedAt = 0, now
	}
	e.recordAnswer(now)
	e.consecutiveFailures, e.halfOpen, e.ejectionTime = 0, false, 0
}

// recordAnswer notes that the endpoint answered, well or not: it is not silent.
func (e *endpoint) recordAnswer(now policy.Micros) { e.lastAnswerAt, e.unanswered = now, 0 }

// recordSourceFailure counts a fill that a source failed or was slow with, and ejects the source after some in a row.
//
// Where answers don't report whose fault it was, every answer through a source clears it, and when no other parent could be used instead
// the fault lies behind the parents: all of them are used again. That protects against dead and slow parents, and against giving up what
// parents hold while the origin fails. It can harm while all parents are dead but still listed.
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

// ProbeDone takes the result of a probe that another director's hint caused: the endpoint did not take a connection, or it may be tried;
// one that may be full is tried half-open. So a director need not find out alone what others know; a false hint costs one probe.
func (r *Router) ProbeDone(now policy.Micros, id string, healthy, full bool) {
	if e := r.endpoints[id]; e != nil && healthy {
		e.ejectedUntil, e.halfOpen = min(e.ejectedUntil, now), e.halfOpen || full
	} else if e != nil && e.State == policy.Ready {
		e.connectFailedAt, e.halfOpen = now, true
	}
}
