package routing

import (
	"math"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// defaultCacheRank is the rank at which caches keep copies: the middle one.
const defaultCacheRank = 2

// placement is one choice of an endpoint and a source for a request. It exists only during one
// call of chooseEndpoint.
type placement struct {
	router     *Router
	now        policy.Micros
	request    *policy.Request
	state      *requestState
	attempt    *attempt
	work       float64 // work of the attempt for slow start, in microseconds of transfer time
	limitShare float64 // share of the limits that the request may use
	// originUnitHash is the object's hash as a number from 0 to 1, scaled up for costly requests.
	// The origin limiter uses it.
	originUnitHash float64
}

// chooseEndpoint chooses the endpoint and the source of an attempt, and decides to send the
// attempt, to queue the request or to end it.
func (r *Router) chooseEndpoint(now policy.Micros, request *policy.Request, state *requestState) policy.Decision {
	if request.Deadline <= now {
		return r.reject(now, request, state, policy.ReasonDeadline)
	}
	if key, _ := dedupKey(request); !r.dedup.CanRecord(now, key, request.ClientConn) {
		return r.reject(now, request, state, policy.ReasonDedupFull)
	}
	p := r.newPlacement(now, request, state)
	p.chooseEdge()
	p.admitFill()
	a := p.attempt
	if a.endpoint == nil {
		return r.queueOrReject(&p)
	}
	if a.endpoint.halfOpen && !a.countedAsFill && !a.direct && !request.Type.Uncacheable {
		a.cacheOnly = true // the fastest way to find out whether the endpoint has recovered
	}
	decision := p.decision()
	if !p.chooseSource(&decision) {
		return r.queueOrReject(&p)
	}
	decision.NotAfter = p.budgetedUntil(decision.NotAfter)
	p.send()
	decision.Endpoint, decision.Source = &a.endpoint.Endpoint, &a.source.Endpoint
	return decision
}

// newPlacement returns a placement without an endpoint. While the limit of the origin limiter is
// below 1, only a share of the objects may be filled from the origin, and a smaller share of the
// costly ones.
func (r *Router) newPlacement(now policy.Micros, request *policy.Request, state *requestState) placement {
	share := r.limitShare(request)
	return placement{
		router: r, now: now, request: request, state: state,
		attempt:        &attempt{sentAt: now, objective: r.latencyObjective(request), transferTime: r.transferTime(request)},
		work:           r.slowStartWork(request.Type),
		limitShare:     share,
		originUnitHash: hash.Unit(state.objectHash) / (share * share * share),
	}
}

// allowed reports whether an attempt of the request may be sent to the endpoint, regardless of
// limits.
func (p *placement) allowed(e *endpoint) bool {
	return !p.state.tried(e) && retryAllowedAt(p.now, p.request, p.state, e)
}

// hasCapacity reports whether an edge cache is allowed and its concurrency limit has room.
func (p *placement) hasCapacity(e *endpoint) bool {
	return e.concurrency.Allow((1+p.limitShare)/2, hash.Unit(pairHash(p.state.objectHash, e))) && p.allowed(e)
}

// hasCapacityUnqueried reports whether an edge cache has capacity and has not yet been asked for
// what it holds.
func (p *placement) hasCapacityUnqueried(e *endpoint) bool {
	return p.hasCapacity(e) && !p.state.wasQueried(e)
}

// pickEdge returns the edge cache that ranks first for the object among those that allowed
// accepts, or nil.
func (p *placement) pickEdge(allowed func(*endpoint) bool) *endpoint {
	return p.router.pick(p.now, &p.router.edges, p.state.objectHash, p.work, allowed)
}

// chooseEdge chooses the edge cache with capacity that ranks first. While fills are congested,
// edge caches that have not yet been asked come before others. If no edge cache may take the
// request, even without regard to capacity, the request may be sent to a parent.
func (p *placement) chooseEdge() {
	r, a, state := p.router, p.attempt, p.state
	if state.edgesQueried > 0 && state.fillStage == queryEdgeCache {
		if a.endpoint = p.pickEdge(p.hasCapacityUnqueried); a.endpoint == nil {
			state.fillStage++
		}
	}
	if a.endpoint == nil {
		a.endpoint = p.pickEdge(p.hasCapacity)
	}
	if a.endpoint == nil && r.settings.AllowDirect && p.pickEdge(p.allowed) == nil {
		a.endpoint = r.pick(p.now, &r.parents, state.objectHash, p.work, p.allowed)
		a.direct = a.endpoint != nil
	}
}

// decision returns the decision to send the attempt, without its endpoint and source.
func (p *placement) decision() policy.Decision {
	request, contentType := p.request, p.request.Type
	decision := policy.Decision{
		Action: policy.Send, CacheRank: defaultCacheRank, MaxAge: p.router.maxAge(p.now, request),
		Coalesce: p.router.settings.CoalesceFills, OnlyIfCached: p.attempt.sourceCacheOnly, Revalidate: contentType.TTL > 0,
		Timeout: request.Deadline - p.now, NotAfter: request.Deadline,
	}
	if first := p.state.mayHaveRun; first != nil && contentType.RetrySafety == policy.IdempotentWithKey {
		// Endpoints may forget the key before the attempt is written.
		decision.NotAfter = min(decision.NotAfter, first.sentAt+contentType.DedupWindow)
	}
	return decision
}

// chooseSource chooses where a miss is filled from and adapts the decision accordingly. It returns
// false if the origin limiter has no room.
func (p *placement) chooseSource(decision *policy.Decision) bool {
	r, a := p.router, p.attempt
	switch {
	case p.request.Type.Uncacheable:
		a.source = r.origin
		decision.CacheRank, decision.Coalesce, decision.Revalidate, decision.MaxAge = 0, false, false, 0
	case a.direct:
		a.source = r.origin
	case !a.cacheOnly:
		if !p.chooseParent(decision) {
			return false
		}
	}
	if a.source == nil {
		a.source = a.endpoint
	}
	return true
}

// chooseParent chooses the parent through which a miss is filled or, if no parent is left, the
// origin. It returns false if the origin limiter does not admit the object.
func (p *placement) chooseParent(decision *policy.Decision) bool {
	r, a, state := p.router, p.attempt, p.state
	if !a.countedAsFill && slowStartShare(p.now, a.endpoint, r.settings.EdgeSlowStart) >= 1 {
		p.work *= max(r.missRatio, minFillShare) // a hit does not reach the parent
	}
	a.source = r.pick(p.now, &r.parents, state.objectHash, p.work, func(e *endpoint) bool { return !state.wasSource(e) })
	if a.source != nil {
		return true
	}
	if a.sourceCacheOnly {
		a.sourceCacheOnly, a.mayReachOrigin, state.fillStage = false, true, fillFromOrigin
		if !r.originLimiter.Allow(math.Inf(1), p.originUnitHash) {
			return false
		}
	}
	a.source, decision.OnlyIfCached = r.origin, false
	return true
}

// budgetedUntil returns the time before which the attempt must be written: the given time, or the
// end of the half window after which a budget in which the attempt counts is used again. Attempts
// that wait for a connection would otherwise reach the endpoint together with those of later halves.
func (p *placement) budgetedUntil(notAfter policy.Micros) policy.Micros {
	for _, e := range []*endpoint{p.attempt.endpoint, p.attempt.source} {
		if t := p.router.tierOf(e); slowStartShare(p.now, e, t.slowStart) < 1 {
			notAfter = min(notAfter, p.now+halfWindow(t.slowStart))
		}
	}
	return notAfter
}

// send records that the attempt is sent.
func (p *placement) send() {
	r, a, state := p.router, p.attempt, p.state
	for _, e := range []*endpoint{a.endpoint, a.source} {
		if e.halfOpen && !e.probing && a.probeTarget == nil {
			e.probing, a.probeTarget = true, e
		}
		r.countSlowStart(p.now, e, p.work)
	}
	a.work, a.sourceHalfWindow = p.work, a.source.slowStart.halfWindow
	r.fillLimiter.inFlight += boolean.Int(a.countedAsFill)
	r.originLimiter.inFlight += boolean.Int(a.mayReachOrigin)
	state.fullAttempts += boolean.Int(!a.cacheOnly && !a.sourceCacheOnly)
	a.lightlyLoaded = float64(a.endpoint.concurrency.inFlight) < a.endpoint.concurrency.limit/2
	a.endpoint.concurrency.inFlight++
	state.attempts, state.checkedAt = append(state.attempts, a), p.now
	key, window := dedupKey(p.request)
	r.dedup.RecordAttempt(p.now, key, window, a.endpoint.Zone, a.endpoint.Cell, p.request.ClientConn)
}
