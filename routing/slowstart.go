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
