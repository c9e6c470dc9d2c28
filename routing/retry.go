package routing

import (
	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

const (
	maxRetries        = 2   // attempts for a request after the first, beside questions for what caches hold
	overloadErrorRate = 0.1 // share of attempts rejected or late above which there is no further attempt
)

// mayHaveRun reports whether an attempt with this result may have run.
func mayHaveRun(result policy.Result) bool {
	switch result {
	case policy.Rejected, policy.ConnectFailed, policy.NotSent, policy.CacheMiss, policy.Withdrawn:
		return false
	}
	return true
}

// retryAllowedAt reports whether an attempt may be sent to an endpoint after what may have run already: rule 2 of docs/design.md.
func retryAllowedAt(now policy.Micros, request *policy.Request, state *requestState, e *endpoint) bool {
	switch contentType, first := request.Type, state.mayHaveRun; {
	case first == nil || contentType.RetrySafety == policy.Idempotent:
		return true
	case contentType.RetrySafety == policy.NotIdempotent || now >= first.sentAt+contentType.DedupWindow:
		return false
	case contentType.DedupScope == policy.DedupScopeZone:
		return e.Zone == first.endpoint.Zone
	default:
		return contentType.DedupScope == policy.DedupScopeAll || e.Cell == first.endpoint.Cell
	}
}

// retryOrReject decides after an attempt that ended badly: another attempt, unless there were enough, too many attempts of all
// requests are rejected or late, or endpoints agree that they can't use the request.
func (r *Router) retryOrReject(now policy.Micros, request *policy.Request, state *requestState, a *attempt, result policy.Result) policy.Decision {
	overloaded := r.errorRate > overloadErrorRate && !a.cancelled && result != policy.Withdrawn
	unprocessable := len(state.unexplainedErrors) > boolean.Int(!request.ClientSuspect)
	exhausted := state.fullAttempts > maxRetries || len(state.attempts)-state.withdrawn >= r.settings.MaxAttempts
	if exhausted || unprocessable || overloaded {
		decision := r.reject(now, request, state)
		decision.Unprocessable = unprocessable
		return decision
	}
	return r.chooseEndpoint(now, request, state)
}

// reject ends a request: with a rejection where a retry of the client is harmless, else with a failure. The overload controller says when
// the client should retry.
func (r *Router) reject(now policy.Micros, request *policy.Request, state *requestState) policy.Decision {
	retryAfter := r.overload.RetryAfter(now, &state.admission, min(r.settings.MaxRetryAfter, request.Type.LatencyObjective))
	if state.mayHaveRun != nil && !clientMayRetry(request, state.mayHaveRun, now+retryAfter) {
		return policy.Decision{Action: policy.Fail}
	}
	return policy.Decision{Action: policy.Reject, RetryAfter: retryAfter}
}

// clientMayRetry reports whether a client's retry at a time is harmless after an attempt that may have run. The retry may reach any
// endpoint, so a dedup scope smaller than all doesn't protect it; with a key its dedup window must not be over by then.
func clientMayRetry(request *policy.Request, first *attempt, at policy.Micros) bool {
	contentType := request.Type
	switch contentType.RetrySafety {
	case policy.NotIdempotent:
		return false
	case policy.IdempotentWithKey:
		outlivesWindow := request.IdempotencyKey != "" && at >= first.sentAt+contentType.DedupWindow
		return contentType.DedupScope == policy.DedupScopeAll && !outlivesWindow
	}
	return true
}
