package routing

import (
	"slices"

	"tallyproxy/policy"
)

const (
	queuedWorkRatio   = 0.3 // a queued request must not need more than this share of the time that it has left
	pollsPerObjective = 20  // how often within its latency objective a queued request is looked at
)

// queueOrReject queues a request that found no room, as long as it can still be answered in time. Retries are not queued, unless they
// come at the time of their reserved slot.
func (r *Router) queueOrReject(p *placement) policy.Decision {
	request, now := p.request, p.now
	hopeful := len(r.edges.ready) == 0 || slices.ContainsFunc(r.edges.ready, p.allowed)
	late := now-request.ArrivedAt+policy.Micros(p.attempt.sendingTime/queuedWorkRatio) >= p.attempt.objective ||
		now+pollInterval(request) >= request.Deadline
	if hopeful && (!request.IsRetry || p.state.admission.OnTime()) && !late {
		return policy.Decision{Action: policy.Queue}
	}
	return r.reject(now, request, p.state)
}

// pollInterval is how long a queued request waits before it is looked at again.
func pollInterval(request *policy.Request) policy.Micros {
	return request.Type.LatencyObjective / pollsPerObjective
}
