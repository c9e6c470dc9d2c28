package routing

import (
	"math"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// pick returns the ready endpoint of a tier that ranks first for an object, or nil. The rank is the rendezvous hash of object and
// endpoint, weighted by the endpoint's size where sizes are known, so that each is home to its share of the objects. It passes over, for
// the next in that order: endpoints that allowed refuses; ejected ones; half-open ones while their probe is in flight; and endpoints in
// slow start, for objects that are not yet their own and for work beyond their budget.
//
// An endpoint in slow start takes the share of its objects that it can do, chosen by a hash that all directors share, so they agree
// without a message. That protects a cold endpoint from overload and spreads the misses of an empty cache. It can harm where one object
// is most of an endpoint's load.
//
// allowed must have no side effects: it is not called for every endpoint.
func (r *Router) pick(now policy.Micros, t *tier, objectHash uint64, work float64, allowed func(*endpoint) bool) *endpoint {
	var best *endpoint
	bestRank := math.Inf(1)
	for _, e := range t.ready {
		pair := pairHash(objectHash, e)
		rank := rendezvousRank(pair, e.Weight)
		if rank > bestRank || !allowed(e) || e.ejectedUntil > now || e.halfOpen && e.probing {
			continue
		}
		if share := slowStartShare(now, e, t.slowStart); share < 1 && (hash.Unit(pair) > share || !r.fitsSlowStartBudget(now, t, e, work)) {
			continue
		}
		best, bestRank = e, rank
	}
	return best
}

// pairHash is the hash of an object and an endpoint. All directors agree on it.
func pairHash(objectHash uint64, e *endpoint) uint64 { return hash.Mix(objectHash ^ e.hash) }

// rendezvousRank is -ln(h)/weight, for the hash of object and endpoint as a number h in (0, 1]; the lowest rank wins. Among endpoints of
// the same weight that is the highest hash.
func rendezvousRank(pair uint64, weight float64) float64 {
	return -math.Log(float64(pair>>11+1)/(1<<53)) / weight
}
