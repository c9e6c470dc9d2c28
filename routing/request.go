package routing

import (
	"slices"

	"tallyproxy/dedup"
	"tallyproxy/internal/boolean"
	"tallyproxy/internal/hash"
	"tallyproxy/overload"
	"tallyproxy/policy"
)

// requestState is the router's state of a request, kept in Request.PolicyState.
type requestState struct {
	objectHash uint64 // hash of object and part
	attempts   []*attempt
	// mayHaveRun is the first attempt that may have run, including attempts of the client's
	// earlier tries; nil if there is none.
	mayHaveRun *attempt
	// unexplainedErrors are the attempts that ended with an error without a reported cause and
	// have not yet been counted as failures of their endpoints.
	unexplainedErrors []*attempt
	checkedAt         policy.Micros // when the last attempt was sent or last checked
	fullAttempts      int           // attempts not restricted to what caches hold
	withdrawn         int           // attempts with policy.Withdrawn as their result
	edgesQueried      int           // edge caches that were asked and lack the object
	fillStage         fillStage
	admission         overload.Admission
}

// attempt is one attempt of a request.
type attempt struct {
	endpoint     *endpoint // where it is sent
	source       *endpoint // where a miss is filled from; equal to endpoint for no fill
	sentAt       policy.Micros
	objective    policy.Micros // latency objective
	transferTime float64       // at the full rate, in microseconds
	work         float64       // counted in the slow-start budgets of endpoint and source
	// sourceHalfWindow is the half of the source's overload window in which work was counted.
	sourceHalfWindow policy.Micros
	lightlyLoaded    bool // the endpoint was below half of its concurrency limit
	cacheOnly        bool // asks only for what the endpoint holds
	sourceCacheOnly  bool // may be filled only from what the source holds
	countedAsFill    bool // counted by the fill limiter
	mayReachOrigin   bool // counted by the origin limiter
	direct           bool // sent directly to a parent
	countedLate      bool // already counted as a late fill
	// excused is set if the attempt does not count against the endpoint: the source failed, the
	// endpoint has answered other attempts since, the connection to the endpoint was lost for the
	// first time, or the attempt was withdrawn.
	excused     bool
	done        bool // its end was reported
	cancelled   bool
	probeTarget *endpoint // half-open endpoint that this attempt probes; nil if there is none
}

// newRequestState returns the state of a new request and adds the request to the running means.
// Each part of an object is cached and filled separately and therefore has its own hash.
func (r *Router) newRequestState(request *policy.Request) *requestState {
	state := &requestState{objectHash: hash.Mix(hash.String(request.Object) + uint64(request.Part))}
	r.averageCost.add(r.cost(request))
	if r.knowsSize(request) {
		r.transferTimes[request.Type].add(r.transferTime(request))
	}
	state.admission = overload.Admission{
		ClientHash: request.ClientHash, ObjectHash: state.objectHash, Work: r.transferTime(request),
		RelativeCost: 1 / r.limitShare(request), IsRetry: request.IsRetry,
	}
	return state
}

// dedupKey returns the key by which the request is recognized if it comes again, and for how long that
// matters; the key is empty if it may run again. A request that is not idempotent carries no key, but
// keeps its ID.
func dedupKey(request *policy.Request) (key string, window policy.Micros) {
	if request.Type.RetrySafety == policy.NotIdempotent {
		return request.ID, request.Type.Timeout
	}
	return request.IdempotencyKey, request.Type.DedupWindow
}

// attemptFromRecord returns the past attempt that a dedup record describes.
func attemptFromRecord(record *dedup.Record) *attempt {
	e := &endpoint{Endpoint: policy.Endpoint{Zone: record.Zone, Cell: record.Cell}}
	return &attempt{endpoint: e, sentAt: record.FirstAttemptAt, done: true}
}

// lastAttempt returns the attempt that was sent last, or nil if none was sent.
func (s *requestState) lastAttempt() *attempt {
	if len(s.attempts) == 0 {
		return nil
	}
	return s.attempts[len(s.attempts)-1]
}

// tried reports whether an attempt at the endpoint failed by the endpoint's own fault or is still
// in flight.
func (s *requestState) tried(e *endpoint) bool {
	return slices.ContainsFunc(s.attempts, func(a *attempt) bool {
		return a.endpoint == e && !a.cacheOnly && !a.sourceCacheOnly && !a.excused
	})
}

// wasQueried reports whether the endpoint was asked for what it holds.
func (s *requestState) wasQueried(e *endpoint) bool {
	return slices.ContainsFunc(s.attempts, func(a *attempt) bool { return a.endpoint == e && a.cacheOnly })
}

// wasSource reports whether a fill of an earlier attempt went through the endpoint.
func (s *requestState) wasSource(e *endpoint) bool {
	return slices.ContainsFunc(s.attempts, func(a *attempt) bool { return a.source == e && !a.sourceCacheOnly })
}

// withdraw removes an attempt that was never written from the request's counts, as if it had not
// been decided.
func (s *requestState) withdraw(a *attempt) {
	a.excused = true
	s.fullAttempts -= boolean.Int(!a.cacheOnly && !a.sourceCacheOnly)
	s.withdrawn++
}
