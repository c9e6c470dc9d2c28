package routing

import (
	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// slowStartBudgetShare is the share of an endpoint's slow-start budget that all directors together
// may use.
const slowStartBudgetShare = 0.4

// minColdMissRatio is the lowest miss ratio that is assumed when the capacity of an edge cache is
// derived from the fill link. A cache that has many hits may be limited by something else than the
// link, of which the settings say nothing.
const minColdMissRatio = initialMissRatio

// minFillShare is the lowest share of the attempts through a cold parent that are assumed to reach
// it. It is what three halves of an overload window, which one window may meet, may use of an
// endpoint's budget, so that the parent is not overloaded even if every attempt reaches it.
const minFillShare = 3 * slowStartBudgetShare / 2

// slowStartCounts is what the router counts of an endpoint, for its slow start. Work sent in the
// half window in which a slow start begins counts, because the start may have been noticed late.
type slowStartCounts struct {
	active     bool          // the beginning was reported and the end was not
	halfWindow policy.Micros // number of the current half of the overload window
	halfWork   float64       // work sent in that half
	peakWork   float64       // largest work sent in a half
	sent       int           // attempts sent
	deferred   int           // attempts that the budget did not admit
}

// slowStartShare returns the minimum share of its capacity that an endpoint has at present.
func slowStartShare(now policy.Micros, e *endpoint, s policy.SlowStart) float64 {
	age := now - e.startedAt
	if e.startedAt == 0 || age >= s.Duration {
		return 1
	}
	return s.InitialShare + (1-s.InitialShare)*float64(max(0, age))/float64(s.Duration)
}

// fitsSlowStartBudget reports whether the work fits this director's budget for an endpoint in slow
// start, in the current half of the overload window. No attempt may exceed the budget, not even
// the first, because hundreds of directors may send theirs at the same time. If the budget is less
// than one attempt, a random draw for each half decides which directors send one.
func (r *Router) fitsSlowStartBudget(now policy.Micros, t *tier, e *endpoint, work float64) bool {
	r.updateSlowStart(now, t, e)
	if number := now / halfWindow(t.slowStart); e.slowStart.halfWindow != number {
		r.beginHalfWindow(now, t, e, number)
	}
	draw := hash.Unit(e.hash ^ r.settings.Seed ^ hash.Mix(uint64(e.slowStart.halfWindow)))
	return e.slowStart.halfWork+work <= r.slowStartBudget(now, t, e)+work*draw
}

// countSlowStart counts an attempt that is sent to an endpoint or filled through it.
func (r *Router) countSlowStart(now policy.Micros, e *endpoint, work float64) {
	if e.slowStart.active {
		r.updateSlowStart(now, r.tierOf(e), e)
	}
	e.slowStart.sent++
	e.slowStart.halfWork += work
}

// returnSourceWork takes an attempt that did not reach its source out of the source's budget, in the
// half window in which it was sent.
func (a *attempt) returnSourceWork() {
	if counts := &a.source.slowStart; a.source != a.endpoint && counts.halfWindow == a.sourceHalfWindow {
		counts.halfWork = max(0, counts.halfWork-a.work)
	}
}

// tierOf returns the tier of an endpoint of the zone or of a parent.
func (r *Router) tierOf(e *endpoint) *tier {
	if e.Kind == r.settings.ParentKind {
		return &r.parents
	}
	return &r.edges
}

// deferAttempt counts an attempt that the budget of an endpoint did not admit.
func (r *Router) deferAttempt(now policy.Micros, t *tier, e *endpoint) {
	if e.slowStart.deferred++; e.slowStart.deferred == 1 {
		r.reportSlowStart(now, t, e, SlowStartLimited)
	}
}

// beginHalfWindow starts a new half of the overload window for an endpoint in slow start.
func (r *Router) beginHalfWindow(now policy.Micros, t *tier, e *endpoint, number policy.Micros) {
	if e.slowStart.halfWork > 0 {
		r.reportSlowStart(now, t, e, SlowStartHalfWindow)
	}
	e.slowStart.peakWork = max(e.slowStart.peakWork, e.slowStart.halfWork)
	e.slowStart.halfWindow, e.slowStart.halfWork = number, 0
}

// slowStartBudget returns the work that this director may send to an endpoint in slow start in half
// an overload window, in microseconds of transfer time at the full rate.
func (r *Router) slowStartBudget(now policy.Micros, t *tier, e *endpoint) float64 {
	capacity, quota := r.slowStartCapacity(now, t, e)
	limit := capacity * quota * slowStartShare(now, e, t.slowStart) * t.slowStart.OverloadFactor
	return limit * slowStartBudgetShare * float64(halfWindow(t.slowStart))
}

// halfWindow returns the length of half an overload window.
func halfWindow(s policy.SlowStart) policy.Micros { return max(1, s.OverloadWindow/2) }

// slowStartCapacity returns this director's even share of the capacity of a warm endpoint, in
// concurrent transfers at the full rate, and its quota relative to that share. The capacity is the
// endpoint's share of the fill link, which carries the misses of edge caches and the answers of
// parents. If the capacity of the link is unknown, the endpoint's size is used. What the router
// observes may lower the capacity, but never raise it above what the settings imply.
func (r *Router) slowStartCapacity(now policy.Micros, t *tier, e *endpoint) (capacity, quota float64) {
	capacity, quota = r.linkShare*e.Weight/t.largestWeight, r.quotaShare(now, false)
	switch {
	case r.sizesOnly() && t == &r.parents:
		capacity, quota = e.Weight/float64(max(1, r.settings.TotalDirectors)), r.quotaShare(now, true)
	case r.sizesOnly():
		capacity = e.Weight / float64(max(1, r.settings.ZoneDirectors))
	case t == &r.edges:
		capacity /= max(r.missRatio, minColdMissRatio)
	}
	return capacity, quota
}

// sizesOnly reports whether capacities are known only from the endpoints' sizes because the
// capacity of the fill link is unknown.
func (r *Router) sizesOnly() bool { return r.linkShare == 0 && r.settings.WeightsAreSizes }

// Capacity returns this director's share of the capacity that the zone's ready edge caches have at
// the given time, in concurrent transfers at the full rate. It leaves out caches whose ejection
// ends later.
func (r *Router) Capacity(at policy.Micros) float64 {
	weight := 0.0
	for _, e := range r.edges.ready {
		if e.ejectedUntil <= at {
			weight += slowStartShare(at, e, r.settings.EdgeSlowStart) * e.Weight
		}
	}
	return weight * r.quotaShare(at, false) * r.WarmCapacity() / max(r.edges.totalWeight, minWeight)
}

// WarmCapacity returns this director's even share of the capacity of the zone's ready edge caches
// if all of them are warm. It is the capacity of the fill link divided by the miss ratio or, if
// the capacity of the link is unknown, the sum of the caches' sizes.
func (r *Router) WarmCapacity() float64 {
	if r.sizesOnly() {
		return r.edges.totalWeight / float64(max(1, r.settings.ZoneDirectors))
	}
	return r.linkShare / max(r.missRatio, 1.0/meanSamples)
}
