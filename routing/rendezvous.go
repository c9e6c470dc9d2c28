package routing

import (
	"math"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// pick returns the ready endpoint of a tier that ranks first for an object, or nil. The rank is
// the rendezvous hash of object and endpoint, weighted by the endpoint's size if sizes are known,
// so that each endpoint is home to a proportional share of the objects. pick skips endpoints that
// allowed rejects, ejected endpoints, and half-open endpoints while their probe is in flight. It
// also skips endpoints in slow start if the object is not yet in their share or the work exceeds
// their budget. The next endpoint in rank order then takes the object.
//
// An endpoint in slow start takes the share of its objects that it has capacity for. The share is
// selected by a hash that is the same at all directors, so the directors agree on it without
// exchanging messages. This protects a cold endpoint from overload and spreads the misses of an
// empty cache. It can do harm if one object makes up most of an endpoint's load.
//
// allowed must have no side effects because it is not called for every endpoint.
func (r *Router) pick(now policy.Micros, t *tier, objectHash uint64, work float64, allowed func(*endpoint) bool) *endpoint {
	var best *endpoint
	bestRank := math.Inf(1)
	for _, e := range t.ready {
		pair := pairHash(objectHash, e)
		rank := rendezvousRank(pair, e.Weight)
		if rank > bestRank || !allowed(e) || e.ejectedUntil > now || e.halfOpen && e.probing {
			continue
		}
		if share := slowStartShare(now, e, t.slowStart); share < 1 {
			if hash.Unit(pair) > share {
				continue
			}
			if !r.fitsSlowStartBudget(now, t, e, work) {
				r.deferAttempt(now, t, e)
				continue
			}
		}
		best, bestRank = e, rank
	}
	return best
}

// pairHash returns the hash of an object and an endpoint. It is the same at all directors.
func pairHash(objectHash uint64, e *endpoint) uint64 { return hash.Mix(objectHash ^ e.hash) }

// rendezvousRank returns -ln(h)/weight, where h is the hash of object and endpoint as a number in
// (0, 1]. The lowest rank wins. Among endpoints of equal weight, this is the endpoint with the
// highest hash.
func rendezvousRank(pair uint64, weight float64) float64 {
	return -math.Log(float64(pair>>11+1)/(1<<53)) / weight
}
