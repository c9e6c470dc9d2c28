package routing

import (
	"math"
	"slices"

	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

const (
	// congestionThreshold is the mean fill time, as a share of the latency objective, above which
	// fills are congested.
	congestionThreshold = 0.7
	// congestionTimeout is the time without further signs of congestion after which it is over.
	congestionTimeout = 10 * policy.Second
	lateFillRatio     = 2   // ratio to its latency objective recorded for a late or failed fill
	originDecrease    = 0.5 // share by which a late fill reduces the limit of the origin
	// minFillLatencySamples is the minimum number of fills that the mean of all fills covers,
	// however many directors there are.
	minFillLatencySamples = 4
	// A parent is slow if its mean fill time exceeds slowParentRatio times the latency objective
	// and fasterParentFactor times another parent's mean.
	slowParentRatio      = 0.9
	fasterParentFactor   = 2
	parentLatencySamples = 16 // approximate number of fills that a parent's mean covers
	maxEdgesQueried      = 2  // edge caches that are asked for what they hold before a fill
)

// fillStage is how far a request may go for an object while fills are congested.
type fillStage int

const (
	queryEdgeCache      fillStage = iota // ask an edge cache for what it holds
	fillFromParentCache                  // fill from what a parent holds
	fillFromOrigin                       // fill through a parent from the origin
)

// initFillLimits sets the limits for fills from the settings: this director's share of the fill
// link, with a margin for random variation. If answers do not report the cause of a failed fill,
// the limits are also reduced for other reasons, such as rejections by a dead parent. In that case
// successful fills raise the limits by twice as much.
func (r *Router) initFillLimits() {
	r.fillLatencySamples = max(minFillLatencySamples, initialConcurrency/float64(max(1, r.settings.ZoneDirectors)))
	r.fillLimiter.limit = max(1, r.linkShare+2*math.Sqrt(r.linkShare))
	r.originLimiter.limit = max(1, r.linkShare)
	r.originLimiter.floor = math.Floor(r.linkShare / 4)
	if r.fillIncrease = concurrencyIncrease; !r.settings.ReportsCacheStatus {
		r.fillIncrease *= 2
	}
}

// congested reports whether fills are congested. While they are, edge caches are first asked for
// what they hold, and misses must pass the fill limiter.
func (r *Router) congested() bool { return r.congestedAt > 0 }

// admitFill applies the limits for fills to an attempt whose endpoint has been chosen. While fills
// are congested, the attempt either asks only for what caches hold or is counted as a fill; if the
// limits have no room, its endpoint is reset to nil. Attempts sent directly to a parent are always
// counted as fills because they use the same link.
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
	full := !r.fillLimiter.Allow(p.limitShare, 0) || state.fillStage == fillFromOrigin && !r.originLimiter.Allow(1, p.originUnitHash)
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

// advanceAfterMiss moves a request to its next fill stage after a cache lacked the object. While
// fills are congested, a second edge cache is asked first: the object may have been stored there
// while its home was full, slow or unavailable.
func (s *requestState) advanceAfterMiss(a *attempt, congested bool) {
	s.edgesQueried += boolean.Int(a.cacheOnly)
	if !a.cacheOnly || s.edgesQueried >= maxEdgesQueried || !congested || s.fillStage != queryEdgeCache {
		s.fillStage++
	}
}

// observeFill records a fill that took ratio times its latency objective in the mean of all fills,
// the limits for fills, and the mean of the fill's source. Fills become congested when the mean of
// all fills exceeds congestionThreshold.
//
// The limits protect a zone's link and the origin from fills that all end late, are abandoned and
// must be repeated, regardless of why they are slow. They can do harm if a few fills are slow for
// a long time, because misses then wait unnecessarily.
func (r *Router) observeFill(now policy.Micros, a *attempt, ratio float64, reachedOrigin bool) {
	if r.fillLatency += (ratio - r.fillLatency) / r.fillLatencySamples; r.fillLatency > congestionThreshold {
		r.congestedAt = now
	}
	if reachedOrigin {
		r.originLimiter.Observe(ratio, 1, originDecrease, r.fillIncrease)
	}
	late := !reachedOrigin && now > a.sentAt+a.objective
	if a.countedAsFill && (ratio <= 1 || late) { // a rejection gives no information about the link
		r.fillLimiter.Observe(ratio, 1, concurrencyDecrease, r.fillIncrease)
	}
	r.observeSource(now, a, ratio)
}

// observeSource records a fill in the mean of its source. A parent is ejected if its fills are
// slow and much slower than another parent's. docs/design.md specifies that a source is ejected if
// answers report it as slow; this implementation decides by the measured time of fills through the
// source.
func (r *Router) observeSource(now policy.Micros, a *attempt, ratio float64) {
	source := a.source
	source.fillLatency += (ratio - source.fillLatency) / parentLatencySamples
	faster := func(e *endpoint) bool {
		return e.fillLatency < source.fillLatency/fasterParentFactor && e.ejectedUntil <= now && !e.halfOpen
	}
	if source.fillLatency > slowParentRatio && slices.ContainsFunc(r.parents.ready, faster) {
		r.eject(now, source, a, parentEjectionTime)
		source.fillLatency = slowParentRatio / 2
	}
}
