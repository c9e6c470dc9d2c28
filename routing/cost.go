package routing

import (
	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

const (
	// meanSamples is the approximate number of observations that running means and shares cover.
	meanSamples = 100
	// assumedSamples is the number of observations that the assumed transfer time of a content type
	// counts for in slowStartWork.
	assumedSamples = 2
	// minPriorityWeight replaces a priority weight of 0, which would cause a division by zero.
	minPriorityWeight = 1e-9
)

// runningMean is a mean that starts with the first value and then covers about the last
// meanSamples values.
type runningMean struct{ value, count float64 }

// add adds a value to the mean.
func (m *runningMean) add(value float64) {
	m.count = min(m.count+1, meanSamples)
	m.value += (value - m.value) / m.count
}

// observeShare moves a running share of events towards 1 if the event occurred and towards 0 if
// not.
func observeShare(share *float64, event bool) {
	*share += (float64(boolean.Int(event)) - *share) / meanSamples
}

// knowsSize reports whether the request's transfer time can be calculated from its size.
func (r *Router) knowsSize(request *policy.Request) bool {
	return request.SizeKB > 0 && r.settings.TransferKBPerSecond > 0
}

// transferTime returns the request's transfer time at the full rate, in microseconds. If the size
// is unknown, it returns the mean of the content type.
func (r *Router) transferTime(request *policy.Request) float64 {
	if r.knowsSize(request) {
		return request.SizeKB / r.settings.TransferKBPerSecond * float64(policy.Second)
	}
	return r.transferTimes[request.Type].value
}

// slowStartWork returns the work, in microseconds, that an attempt of a content type counts for in
// the budget of an endpoint in slow start: the type's mean transfer time. As long as few were
// observed, this tends to the mean time of fills, which is no shorter, and if there were few of those
// as well, to the latency objective. A mean that is too low lets too many attempts through, in every
// director at once.
func (r *Router) slowStartWork(contentType *policy.ContentType) float64 {
	assumed := r.fillTimes[contentType].cautious(float64(contentType.LatencyObjective))
	return r.transferTimes[contentType].cautious(assumed)
}

// cautious returns the mean if some values of the assumed size, or of the mean if that is larger,
// are added to those observed.
func (m *runningMean) cautious(assumed float64) float64 {
	return (m.value*m.count + max(assumed, m.value)*assumedSamples) / (m.count + assumedSamples)
}

// latencyObjective returns the time within which an answer has its full priority weight.
func (r *Router) latencyObjective(request *policy.Request) policy.Micros {
	contentType := request.Type
	return min(contentType.LatencyObjective+policy.Micros(contentType.TransferFactor*r.transferTime(request)), max(contentType.Timeout, 1))
}

// cost returns the request's transfer time per unit of its priority weight.
func (r *Router) cost(request *policy.Request) float64 {
	return max(1, r.transferTime(request)) / max(request.Type.PriorityWeight, minPriorityWeight)
}

// limitShare returns the share of the fill limiter that a request may use: all of it for a request
// of average cost or less, and a share inversely proportional to its cost above that. Of an edge
// cache's concurrency limit, the request may use the mean of this share and 1. This protects many
// short requests from a few long ones and has an effect only while limits are reached. It can harm
// a content type whose requests are all long.
func (r *Router) limitShare(request *policy.Request) float64 {
	return min(1, r.averageCost.value/r.cost(request))
}
