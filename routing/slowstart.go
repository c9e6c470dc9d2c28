package routing

import (
	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// slowStartBudgetShare is the share of a slow-starting endpoint's budget that the directors together use.
const slowStartBudgetShare = 0.4

// slowStartShare is the share of its capacity that an endpoint can do at the least.
func slowStartShare(now policy.Micros, e *endpoint, s policy.SlowStart) float64 {
	age := now - e.startedAt
	if e.startedAt == 0 || age >= s.Duration {
		return 1
	}
	return s.InitialShare + (1-s.InitialShare)*float64(max(0, age))/float64(s.Duration)
}

// fitsSlowStartBudget reports whether work can be sent to an endpoint in slow start within this director's budget for the current half of
// the overload window. No attempt goes beyond the budget, not even the first: hundreds of directors may send theirs at once. Where the
// budget is less than one attempt, chance decides which director sends one, drawn anew for each half.
func (r *Router) fitsSlowStartBudget(now policy.Micros, t *tier, e *endpoint, work float64) bool {
	capacity, quota := r.slowStartCapacity(now, t, e)
	half := max(1, t.slowStart.OverloadWindow/2)
	if number := now / half; e.window != number {
		e.window, e.windowWork = number, 0
	}
	budget := capacity * quota * slowStartShare(now, e, t.slowStart) * t.slowStart.OverloadFactor * slowStartBudgetShare * float64(half)
	return e.windowWork+work <= budget+work*hash.Unit(e.hash^r.settings.Seed^hash.Mix(uint64(e.window)))
}

// slowStartCapacity is this director's even share of the capacity of a warm endpoint, in transfers at full pace, and its quota over
// that share. The capacity is the endpoint's share of the fill link, which carries what edge caches miss or what parents answer; where
// the link is not known, it is the endpoint's size.
func (r *Router) slowStartCapacity(now policy.Micros, t *tier, e *endpoint) (capacity, quota float64) {
	capacity, quota = r.linkShare*e.Weight/t.totalWeight, r.quotaShare(now, false)
	switch {
	case r.sizesOnly() && t == &r.parents:
		capacity, quota = e.Weight/float64(max(1, r.settings.TotalDirectors)), r.quotaShare(now, true)
	case r.sizesOnly():
		capacity = e.Weight / float64(max(1, r.settings.ZoneDirectors))
	case t == &r.edges:
		capacity /= r.missRatio
	}
	return capacity, quota
}

// sizesOnly reports whether capacities are known by the endpoints' sizes alone, since the capacity of the fill link is not.
func (r *Router) sizesOnly() bool { return r.linkShare == 0 && r.settings.WeightsAreSizes }

// Capacity is this director's share of what the zone's ready edge caches can do at a time, in transfers at full pace.
func (r *Router) Capacity(at policy.Micros) float64 {
	weight := 0.0
	for _, e := range r.edges.ready {
		if e.ejectedUntil <= at {
			weight += slowStartShare(at, e, r.settings.EdgeSlowStart) * e.Weight
		}
	}
	return weight * r.quotaShare(at, false) * r.WarmCapacity() / max(r.edges.totalWeight, minWeight)
}

// WarmCapacity is this director's even share of what they can do when all are warm: what the fill link carries, over the miss ratio;
// where the link is not known, their sizes.
func (r *Router) WarmCapacity() float64 {
	if r.sizesOnly() {
		return r.edges.totalWeight / float64(max(1, r.settings.ZoneDirectors))
	}
	return r.linkShare / max(r.missRatio, 1.0/meanMemory)
}
