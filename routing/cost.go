package routing

import (
	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

const (
	meanMemory        = 100  // observations over which running means and shares look back, about
	minPriorityWeight = 1e-9 // of a content type without a weight, which would divide by zero
)

// runningMean is a mean that begins with the first value and then follows the last meanMemory, about.
type runningMean struct{ value, count float64 }

// add takes a value into the mean.
func (m *runningMean) add(value float64) {
	m.count = min(m.count+1, meanMemory)
	m.value += (value - m.value) / m.count
}

// observeShare moves a running share of events towards 1 or 0.
func observeShare(share *float64, event bool) {
	*share += (float64(boolean.Int(event)) - *share) / meanMemory
}

// knowsSize reports whether the request's sending time follows from its size.
func (r *Router) knowsSize(request *policy.Request) bool {
	return request.SizeKB > 0 && r.settings.TransferKBPerSecond > 0
}

// sendingTime is the request's sending time at full pace, in microseconds; where its size is not known, the mean of its content type.
func (r *Router) sendingTime(request *policy.Request) float64 {
	if r.knowsSize(request) {
		return request.SizeKB / r.settings.TransferKBPerSecond * float64(policy.Second)
	}
	return r.sendingTimes[request.Type].value
}

// latencyObjective is the time within which an answer has its full priority weight.
func (r *Router) latencyObjective(request *policy.Request) policy.Micros {
	contentType := request.Type
	return min(contentType.LatencyObjective+policy.Micros(contentType.TransferFactor*r.sendingTime(request)), max(contentType.Timeout, 1))
}

// cost is the request's sending time for a unit of its priority weight.
func (r *Router) cost(request *policy.Request) float64 {
	return max(1, r.sendingTime(request)) / max(request.Type.PriorityWeight, minPriorityWeight)
}

// limitShare is the share of the fill limiter that a request may use: all of it, or the less the more it costs compared with the average
// request. Of an edge cache's concurrency limit it may use the mean of this share and 1. That protects many short requests from a few
// long ones and acts only where limits are reached. It can harm a content type whose requests are all long.
func (r *Router) limitShare(request *policy.Request) float64 {
	return min(1, r.averageCost.value/r.cost(request))
}
