package routing

import (
	"slices"

	"tallyproxy/policy"
)

const (
	// queuedWorkRatio is the maximum share of its remaining time that a queued request may need
	// for its transfer.
	queuedWorkRatio = 0.3
	// queueRechecksPerObjective is the number of checks of a queued request within its latency
	// objective.
	queueRechecksPerObjective = 20
)

// queueOrReject queues a request for which there was no room, provided that it can still be
// answered in time, and rejects it otherwise. It also rejects a request if there are ready edge
// caches but none is allowed to take it. Retries are queued only if they arrive at the time of
// their reserved slot.
func (r *Router) queueOrReject(p *placement) policy.Decision {
	request, now := p.request, p.now
	hasCandidate := len(r.edges.ready) == 0 || slices.ContainsFunc(r.edges.ready, p.allowed)
	late := now-request.ArrivedAt+policy.Micros(p.attempt.transferTime/queuedWorkRatio) >= p.attempt.objective ||
		now+queueRecheckInterval(request) >= request.Deadline
	if hasCandidate && (!request.IsRetry || p.state.admission.OnTime()) && !late {
		return policy.Decision{Action: policy.Queue}
	}
	if !hasCandidate {
		return r.reject(now, request, p.state, policy.ReasonNoEndpoint)
	}
	return r.reject(now, request, p.state, policy.ReasonNoCapacity)
}

// queueRecheckInterval returns the time between two checks of a queued request.
func queueRecheckInterval(request *policy.Request) policy.Micros {
	return request.Type.LatencyObjective / queueRechecksPerObjective
}
