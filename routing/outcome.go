package routing

import (
	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

// observeOutcome updates the state of an attempt's endpoint and source with the attempt's outcome.
//
// If answers normally report causes, an error without a reported cause counts as a failure of its
// endpoint only once another endpoint succeeds with the same request. If two endpoints return such
// errors, they are taken to agree that the request is at fault. This protects endpoints from
// clients whose requests no endpoint can process. It can do harm if two endpoints fail where a
// third would succeed.
func (r *Router) observeOutcome(now policy.Micros, request *policy.Request, state *requestState, a *attempt, outcome policy.Outcome) {
	r.release(now, a)
	late := outcome.Result == policy.Succeeded && now-a.sentAt > a.objective
	observeShare(&r.errorRate, outcome.Result == policy.Rejected || outcome.Result == policy.TimedOut || late)
	if outcome.Result == policy.Failed && outcome.CacheStatus == policy.Unknown && r.settings.ReportsCacheStatus {
		state.unexplainedErrors = append(state.unexplainedErrors, a)
		a.endpoint.recordAnswer(now)
		return
	}
	if outcome.Result == policy.Succeeded || outcome.Result == policy.CacheMiss {
		r.recordUnexplainedErrors(now, state)
	}
	switch outcome.Result {
	case policy.ResourceExhausted:
		a.endpoint.recordAnswer(now)
	case policy.Succeeded:
		r.observeSuccess(now, request, a, outcome.CacheStatus)
	case policy.CacheMiss:
		a.endpoint.recordSuccess(now, a, false)
	case policy.ConnectFailed, policy.ConnectionLost:
		r.observeConnectionFailure(now, state, a, outcome.Result)
	case policy.Rejected, policy.Failed, policy.TimedOut:
		r.observeFailure(now, a, outcome)
	}
}

// release returns what the attempt used of the limits, and ends a congestion of which there have
// been no signs for congestionTimeout.
func (r *Router) release(now policy.Micros, a *attempt) {
	a.endpoint.concurrency.inFlight--
	r.fillLimiter.inFlight -= boolean.Int(a.countedAsFill)
	r.originLimiter.inFlight -= boolean.Int(a.mayReachOrigin)
	if r.congested() && r.congestedAt+congestionTimeout < now {
		r.congestedAt = 0
	}
	if a.probeTarget != nil {
		a.probeTarget.probing = false
	}
}

// recordUnexplainedErrors counts the request's errors without a reported cause as failures of
// their endpoints, after another endpoint has succeeded with the request.
func (r *Router) recordUnexplainedErrors(now policy.Micros, state *requestState) {
	for _, a := range state.unexplainedErrors {
		if a.endpoint.recordFailure(a) >= failureThreshold {
			r.eject(now, a.endpoint, a, minEjectionTime)
		}
	}
	state.unexplainedErrors = nil
}

// observeSuccess records an answer with the requested content. If answers report nothing about the
// copy, the miss ratio is not updated, and an attempt that may have been a fill counts as a fill
// and as a success of its source.
func (r *Router) observeSuccess(now policy.Micros, request *policy.Request, a *attempt, status policy.CacheStatus) {
	a.endpoint.recordSuccess(now, a, status == policy.Hit || status == policy.Stale)
	ratio := float64(now-a.sentAt) / float64(a.objective)
	if status != policy.Unknown {
		observeShare(&r.missRatio, status > policy.Hit && status != policy.Stale)
	}
	if status == policy.Hit && request.Type.TTL == 0 { // otherwise the copy may have been refreshed
		a.returnSourceWork()
	}
	// No fill delayed the answer. Uncacheable content is never a hit.
	withoutFill := status == policy.Hit || request.Type.Uncacheable
	switch {
	case request.SizeKB != 0:
	case !withoutFill:
		r.fillTimes[request.Type].add(float64(now - a.sentAt))
	case a.lightlyLoaded:
		r.transferTimes[request.Type].add(float64(now - a.sentAt))
	}
	switch status {
	case policy.Hit, policy.Unknown:
		a.endpoint.concurrency.Observe(ratio, slowHitRatio, concurrencyDecrease, concurrencyIncrease)
		if status == policy.Unknown && a.source != a.endpoint {
			r.observeCompletedFill(now, a, ratio, false, a.mayReachOrigin)
		}
	case policy.Filled, policy.FilledByOrigin:
		r.observeCompletedFill(now, a, ratio, true, a.mayReachOrigin || status == policy.FilledByOrigin)
	}
}

// observeCompletedFill records a fill that succeeded, unless it was already counted as a late
// fill.
func (r *Router) observeCompletedFill(now policy.Micros, a *attempt, ratio float64, sourceHolds, reachedOrigin bool) {
	a.source.recordSuccess(now, a, sourceHolds)
	if !a.countedLate {
		r.observeFill(now, a, ratio, reachedOrigin)
	}
}

// observeConnectionFailure records an attempt whose connection could not be established or was
// lost. A loss is at first attributed to the connection: all attempts on it together count as one
// failure of the endpoint, and each of their requests may be sent to the endpoint once more.
func (r *Router) observeConnectionFailure(now policy.Micros, state *requestState, a *attempt, result policy.Result) {
	e := a.endpoint
	if result == policy.ConnectFailed && e.State == policy.Ready {
		e.connectFailedAt, e.halfOpen = now, true
	}
	failures := e.recordFailure(a)
	if failures >= failureThreshold && result == policy.ConnectFailed || failures >= repeatedFailureThreshold {
		r.eject(now, e, a, minEjectionTime)
	} else if result == policy.ConnectionLost {
		a.excused = a == state.attempts[0] || state.attempts[len(state.attempts)-2].endpoint != e
		e.ejectedAt = now
	}
}

// observeFailure records an attempt that was rejected, failed or timed out. If the answer reports
// a fault of the source, the failure does not count against the endpoint.
func (r *Router) observeFailure(now policy.Micros, a *attempt, outcome policy.Outcome) {
	e, status := a.endpoint, outcome.CacheStatus
	viaSource := a.source != e
	if viaSource && status != policy.CacheFull && !a.countedLate {
		r.observeFill(now, a, lateFillRatio, a.mayReachOrigin)
	}
	if outcome.Result != policy.TimedOut {
		e.recordAnswer(now)
	}
	if status >= policy.SourceRejected && status != policy.CacheFull {
		a.excused = true
		if status == policy.SourceRejected || status == policy.SourceUnavailable {
			r.recordSourceFailure(now, a.source, a)
		}
		return
	}
	failures := e.recordFailure(a)
	if failures >= failureThreshold && outcome.Result != policy.Rejected || failures >= repeatedFailureThreshold {
		r.eject(now, e, a, minEjectionTime)
	}
	if viaSource && !r.settings.ReportsCacheStatus {
		r.recordSourceFailure(now, a.source, a)
	}
}
