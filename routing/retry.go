package routing

import (
	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

const (
	// maxRetries is the maximum number of attempts for a request after the first, not counting
	// queries for what caches hold.
	maxRetries = 2
	// overloadErrorRate is the share of rejected or late attempts above which requests are not
	// retried.
	overloadErrorRate = 0.1
)

// mayHaveRun reports whether the request may have run in an attempt with this result.
func mayHaveRun(result policy.Result) bool {
	switch result {
	case policy.Rejected, policy.ConnectFailed, policy.NotSent, policy.CacheMiss, policy.Withdrawn:
		return false
	}
	return true
}

// retryAllowedAt reports whether an attempt may be sent to an endpoint, given the earlier attempt
// that may have run: rule 2 of docs/design.md.
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

// retryOrReject decides what follows an attempt that failed. It makes another attempt unless the
// request has had enough attempts, too many attempts of all requests are rejected or late, or
// endpoints agree that they cannot process the request. The rate of rejected and late attempts
// does not prevent an attempt that replaces a cancelled or withdrawn one.
func (r *Router) retryOrReject(now policy.Micros, request *policy.Request, state *requestState, a *attempt, result policy.Result) policy.Decision {
	overloaded := r.errorRate > overloadErrorRate && !a.cancelled && result != policy.Withdrawn
	unprocessable := len(state.unexplainedErrors) > boolean.Int(!request.ClientSuspect)
	exhausted := state.fullAttempts > maxRetries || len(state.attempts)-state.withdrawn >= r.settings.MaxAttempts
	switch {
	case result == policy.ResourceExhausted: // another answer would find no memory either
		return r.reject(now, request, state, policy.ReasonNoMemory)
	case unprocessable:
		decision := r.reject(now, request, state, policy.ReasonUnprocessable)
		decision.Unprocessable = true
		return decision
	case exhausted:
		return r.reject(now, request, state, policy.ReasonExhausted)
	case overloaded:
		return r.reject(now, request, state, policy.ReasonErrorRate)
	}
	return r.chooseEndpoint(now, request, state)
}

// reject ends a request with a rejection if the client can safely retry, and with a failure
// otherwise. The overload controller determines when the client should retry.
func (r *Router) reject(now policy.Micros, request *policy.Request, state *requestState, reason policy.Reason) policy.Decision {
	retryAfter := r.overload.RetryAfter(now, &state.admission, min(r.settings.MaxRetryAfter, request.Type.LatencyObjective))
	if state.mayHaveRun != nil && !clientMayRetry(request, state.mayHaveRun, now+retryAfter) {
		return policy.Decision{Action: policy.Fail, Reason: reason}
	}
	return policy.Decision{Action: policy.Reject, RetryAfter: retryAfter, Reason: reason}
}

// clientMayRetry reports whether a client's retry at the given time is safe after an attempt that
// may have run. The retry may reach any endpoint, so only the dedup scope of all endpoints
// protects it. A request with a key is protected only until its dedup window ends.
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
