package routing

import (
	"slices"

	"tallyproxy/dedup"
	"tallyproxy/internal/boolean"
	"tallyproxy/internal/hash"
	"tallyproxy/overload"
	"tallyproxy/policy"
)

// requestState is what the router keeps of a request, in Request.PolicyState.
type requestState struct {
	objectHash        uint64 // of object and part
	attempts          []*attempt
	mayHaveRun        *attempt      // the first attempt that may have run, also of the client's earlier tries; nil for none
	unexplainedErrors []*attempt    // attempts that ended with an error that names no cause, not yet held against an endpoint
	checkedAt         policy.Micros // when the last attempt was checked, or sent
	fullAttempts      int           // attempts that asked for more than what caches hold
	withdrawn         int           // attempts that were never written since an event overtook their decision
	edgesQueried      int           // edge caches that were asked for what they hold and lack the object
	fillStage         fillStage
	admission         overload.Admission
}

// attempt is one attempt of a request.
type attempt struct {
	endpoint        *endpoint // where it was sent
	source          *endpoint // where a miss is filled from; endpoint itself for no fill
	sentAt          policy.Micros
	objective       policy.Micros // latency objective
	sendingTime     float64       // at full pace, in microseconds
	lightlyLoaded   bool          // the endpoint was far from its concurrency limit
	cacheOnly       bool          // asks only for what the endpoint holds
	sourceCacheOnly bool          // may be filled only from what the source holds
	countedAsFill   bool          // counted by the fill limiter
	mayReachOrigin  bool          // counted by the origin limiter too
	direct          bool          // to a parent, past the edge caches
	countedLate     bool          // already observed as a late fill
	excused         bool          // not held against the endpoint: its source failed, or the connection was lost once
	done            bool          // its end was reported
	cancelled       bool
	probed          *endpoint // the half-open endpoint for which it is the probe; nil for none
}

// newRequestState makes the state of a new request and takes the request into the running means. Each part of an object is cached and
// filled on its own, so each has a hash of its own.
func (r *Router) newRequestState(request *policy.Request) *requestState {
	state := &requestState{objectHash: hash.Mix(hash.String(request.Object) + uint64(request.Part))}
	r.averageCost.add(r.cost(request))
	if r.knowsSize(request) {
		r.sendingTimes[request.Type].add(r.sendingTime(request))
	}
	state.admission = overload.Admission{
		ClientHash: request.ClientHash, ObjectHash: state.objectHash, Work: r.sendingTime(request),
		RelativeCost: 1 / r.limitShare(request), IsRetry: request.IsRetry,
	}
	return state
}

// attemptOf is a past attempt as a dedup record describes it.
func attemptOf(record *dedup.Record) *attempt {
	at := &endpoint{Endpoint: policy.Endpoint{Zone: record.Zone, Cell: record.Cell}}
	return &attempt{endpoint: at, sentAt: record.FirstAttemptAt, done: true}
}

// lastAttempt is the attempt that was sent last; nil before the first.
func (s *requestState) lastAttempt() *attempt {
	if len(s.attempts) == 0 {
		return nil
	}
	return s.attempts[len(s.attempts)-1]
}

// tried reports whether an attempt at the endpoint ended badly by the endpoint's own fault, or is still out.
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

// withdraw takes an attempt back that was never written, as if it had not been decided.
func (s *requestState) withdraw(a *attempt) {
	a.excused = true
	s.fullAttempts -= boolean.Int(!a.cacheOnly && !a.sourceCacheOnly)
	s.withdrawn++
}
