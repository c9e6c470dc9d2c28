package routing

import (
	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

// learn takes the end of an attempt into what is known of its endpoint and its source.
//
// An error that names no cause is held against its endpoint only once another endpoint does what was asked; two endpoints that err are
// taken to agree. That protects endpoints from clients that ask for what none can use. It can harm where two endpoints err on what a
// third would do.
func (r *Router) learn(now policy.Micros, request *policy.Request, state *requestState, a *attempt, outcome policy.Outcome) {
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
	case policy.Succeeded:
		r.learnSuccess(now, request, a, outcome.CacheStatus)
	case policy.CacheMiss:
		a.endpoint.recordSuccess(now, a, false)
	case policy.ConnectFailed, policy.ConnectionLost:
		r.learnConnectionFailure(now, state, a, outcome.Result)
	case policy.Rejected, policy.Failed, policy.TimedOut:
		r.learnFailure(now, a, outcome)
	}
}

// release gives back what the attempt took of the limits, and ends a congestion that shows no more signs.
func (r *Router) release(now policy.Micros, a *attempt) {
	a.endpoint.concurrency.inFlight--
	r.fillLimiter.inFlight -= boolean.Int(a.countedAsFill)
	r.originLimiter.inFlight -= boolean.Int(a.mayReachOrigin)
	if r.congested() && r.congestedAt+congestionTimeout < now {
		r.congestedAt = 0
	}
	if a.probed != nil {
		a.probed.probing = false
	}
}

// recordUnexplainedErrors holds the request's unexplained errors against their endpoints, since another endpoint did what was asked.
func (r *Router) recordUnexplainedErrors(now policy.Micros, state *requestState) {
	for _, a := range state.unexplainedErrors {
		if a.endpoint.recordFailure(a) >= failureThreshold {
			r.eject(now, a.endpoint, a, minEjectionTime)
		}
	}
	state.unexplainedErrors = nil
}

// learnSuccess takes an answer with what was asked for. Where answers report nothing of the copy, the miss ratio stays as it is, and an
// attempt that may have been a fill clears its source and counts as a fill.
func (r *Router) learnSuccess(now policy.Micros, request *policy.Request, a *attempt, status policy.CacheStatus) {
	a.endpoint.recordSuccess(now, a, status == policy.Hit || status == policy.Stale)
	ratio := float64(now-a.sentAt) / float64(a.objective)
	if status != policy.Unknown {
		observeShare(&r.missRatio, status > policy.Hit && status != policy.Stale)
	}
	plain := status == policy.Hit || request.Type.Uncacheable // no fill delayed it; what can't be cached is never a hit
	if request.SizeKB == 0 && a.lightlyLoaded && plain {
		r.sendingTimes[request.Type].add(float64(now - a.sentAt))
	}
	switch status {
	case policy.Hit, policy.Unknown:
		a.endpoint.concurrency.Observe(ratio, slowHitRatio, concurrencyDecrease, concurrencyIncrease)
		if status == policy.Unknown && a.source != a.endpoint {
			r.learnFill(now, a, ratio, false, a.mayReachOrigin)
		}
	case policy.Filled, policy.FilledByOrigin:
		r.learnFill(now, a, ratio, true, a.mayReachOrigin || status == policy.FilledByOrigin)
	}
}

// learnFill takes a fill that succeeded, unless it was counted as a late one already.
func (r *Router) learnFill(now policy.Micros, a *attempt, ratio float64, sourceHolds, reachedOrigin bool) {
	a.source.recordSuccess(now, a, sourceHolds)
	if !a.countedLate {
		r.observeFill(now, a, ratio, reachedOrigin)
	}
}

// learnConnectionFailure takes an attempt whose connection did not come up or was lost. A connection that is lost is held against the
// connection first: what it carried counts as one failure of the endpoint, and each request may go there once more.
func (r *Router) learnConnectionFailure(now policy.Micros, state *requestState, a *attempt, result policy.Result) {
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

// learnFailure takes an attempt that was rejected, failed or timed out. Where the answer blames the source, the endpoint is excused.
func (r *Router) learnFailure(now policy.Micros, a *attempt, outcome policy.Outcome) {
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
