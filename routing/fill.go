package routing

import (
	"math"
	"slices"

	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

const (
	congestionThreshold  = 0.7                // fills that take more of their latency objective on average are congested
	congestionTimeout    = 10 * policy.Second // after which congestion without a sign of it is over
	lateFillRatio        = 2                  // what a late or failed fill counts for, in latency objectives
	originDecrease       = 0.5                // share of the origin's limit that a late fill takes off
	minFillLatencyMemory = 4                  // fills over which the mean of all fills looks back at the least, however many directors there are
	slowParentRatio      = 0.9                // a parent is slow where its fills take more of their latency objective on average,
	fasterParentFactor   = 2                  // and more than this multiple of another parent's
	parentLatencyMemory  = 16                 // fills over which a parent's mean looks back, about
	maxEdgesQueried      = 2                  // edge caches that are asked for what they hold before a fill
)

// fillStage is how far a request may go for an object while fills are congested.
type fillStage int

const (
	queryEdgeCache      fillStage = iota // ask an edge cache for what it holds
	fillFromParentCache                  // fill from what a parent holds
	fillFromOrigin                       // fill through a parent from the origin
)

// initFillLimits sets the limits for fills from the settings: this director's share of the fill link, with a margin for chance. Where
// answers don't report the cause of a failed fill, the limits are cut for other reasons too, such as a dead parent's rejections, and so
// gain twice as much by fills that go well.
func (r *Router) initFillLimits() {
	r.fillLatencyMemory = max(minFillLatencyMemory, initialConcurrency/float64(max(1, r.settings.ZoneDirectors)))
	r.fillLimiter.limit = max(1, r.linkShare+2*math.Sqrt(r.linkShare))
	r.originLimiter.limit = max(1, r.linkShare)
	r.originLimiter.floor = math.Floor(r.linkShare / 4)
	if r.fillIncrease = concurrencyIncrease; !r.settings.ReportsCacheStatus {
		r.fillIncrease *= 2
	}
}

// congested reports whether fills are congested: then edge caches are asked first for what they hold, and misses pass the fill limiter.
func (r *Router) congested() bool { return r.congestedAt > 0 }

// admitFill applies the limits for fills to an attempt whose endpoint is chosen. While fills are congested the attempt asks for what
// caches hold, or is counted as a fill; where the limits have no room it loses its endpoint. Attempts that go straight to a parent are
// always counted as fills, since they use the same link.
func (p *placement) admitFill() {
	r, a, state := p.router, p.attempt, p.state
	if a.endpoint == nil || !a.direct && (!r.congested() || p.request.Type.Uncacheable) {
		return
	}
	if a.direct {
		state.fillStage = fillFromOrigin
	} else if slowStartShare(p.now, a.endpoint, r.settings.EdgeSlowStart) < 1 {
		state.fillStage = max(state.fillStage, fillFromParentCache)
	}
	full := !r.fillLimiter.Allow(p.limitShare, 0) || state.fillStage == fillFromOrigin && !r.originLimiter.Allow(1, p.originObject)
	if full && state.fillStage != queryEdgeCache && r.congested() {
		r.congestedAt = p.now
	}
	switch {
	case state.fillStage == queryEdgeCache:
		a.cacheOnly = true
	case full:
		a.endpoint = nil
	default:
		a.countedAsFill = true
		a.sourceCacheOnly = state.fillStage == fillFromParentCache
		a.mayReachOrigin = state.fillStage == fillFromOrigin
	}
}

// advanceAfterMiss moves a request to its next fill stage after a cache lacked the object. While fills are congested a second edge cache
// is asked first: the object may be there since its home was full, slow or away.
func (s *requestState) advanceAfterMiss(a *attempt, congested bool) {
	s.edgesQueried += boolean.Int(a.cacheOnly)
	if !a.cacheOnly || s.edgesQueried >= maxEdgesQueried || !congested || s.fillStage != queryEdgeCache {
		s.fillStage++
	}
}

// observeFill takes a fill that took a ratio of its latency objective into the mean of all fills, the limits for fills, and the mean of
// its source. Once the mean of all fills exceeds the threshold they are congested.
//
// The limits protect a zone's link and the origin from fills that all end late, are dropped and must be made again, whatever made them
// slow. They can harm where a few fills are slow for long: then misses wait that need not.
func (r *Router) observeFill(now policy.Micros, a *attempt, ratio float64, reachedOrigin bool) {
	if r.fillLatency += (ratio - r.fillLatency) / r.fillLatencyMemory; r.fillLatency > congestionThreshold {
		r.congestedAt = now
	}
	if reachedOrigin {
		r.originLimiter.Observe(ratio, 1, originDecrease, r.fillIncrease)
	}
	late := !reachedOrigin && now > a.sentAt+a.objective
	if a.countedAsFill && (ratio <= 1 || late) { // a rejection says nothing about the link
		r.fillLimiter.Observe(ratio, 1, concurrencyDecrease, r.fillIncrease)
	}
	r.observeSource(now, a, ratio)
}

// observeSource takes a fill into its source's mean. A parent whose fills are late, and much slower than another parent's, is ejected.
// docs/design.md ejects a source that answers call slow; here the time that fills through it take decides.
func (r *Router) observeSource(now policy.Micros, a *attempt, ratio float64) {
	source := a.source
	source.fillLatency += (ratio - source.fillLatency) / parentLatencyMemory
	faster := func(e *endpoint) bool {
		return e.fillLatency < source.fillLatency/fasterParentFactor && e.ejectedUntil <= now && !e.halfOpen
	}
	if source.fillLatency > slowParentRatio && slices.ContainsFunc(r.parents.ready, faster) {
		r.eject(now, source, a, parentEjectionTime)
		source.fillLatency = slowParentRatio / 2
	}
}
