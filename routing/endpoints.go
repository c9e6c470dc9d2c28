package routing

import (
	"maps"
	"slices"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

const minWeight = 1e-3 // of an endpoint whose size is 0, which would divide by zero

// endpoint is an entry of the endpoint list with what the router has learned of it. An endpoint that starts anew is a new one: attempts in
// flight keep the old one.
type endpoint struct {
	policy.Endpoint
	hash      uint64        // of the ID
	startedAt policy.Micros // as far as known; 0 for long ago

	// Outlier detection.
	connectFailedAt     policy.Micros // when it last took no connection; 0 once the reason is known
	consecutiveFailures int
	ejectedAt           policy.Micros // when it was last ejected, or lost a connection: results of attempts sent before are not counted
	ejectedUntil        policy.Micros // it gets no attempts before this time
	ejectionTime        policy.Micros // length of the last ejection
	halfOpen            bool          // back from an ejection: it gets one attempt at a time until one succeeds
	probing             bool          // that attempt is in flight
	lastAnswerAt        policy.Micros
	unanswered          int // checks since then that found an attempt unanswered

	concurrency concurrencyLimit // for attempts at it
	fillLatency float64          // running mean of the time that fills through it take, over their latency objective

	// Slow start.
	windowWork float64       // work sent in the current half of the overload window
	window     policy.Micros // number of that half
}

// tier is the ready endpoints of one kind.
type tier struct {
	ready       []*endpoint // in the order of their IDs
	slowStart   policy.SlowStart
	totalWeight float64 // of the ready endpoints
}

// UpdateEndpoints takes the endpoint list: all of it, or the changed entries alone.
func (r *Router) UpdateEndpoints(now policy.Micros, rows []policy.Endpoint, complete bool) {
	known := r.endpoints
	if complete {
		r.endpoints = make(map[string]*endpoint, len(rows))
	}
	for _, row := range rows {
		if row.State == policy.Removed {
			delete(r.endpoints, row.ID)
			continue
		}
		e := known[row.ID]
		if e == nil || e.Started != row.Started {
			e = r.newEndpoint(now, row)
		}
		e.Endpoint, r.endpoints[row.ID] = row, e
		if e.Weight = max(e.Weight, minWeight); !r.settings.WeightsAreSizes {
			e.Weight = 1
		}
	}
	r.rebuildTiers()
}

// newEndpoint makes an endpoint of which nothing is known but its row.
func (r *Router) newEndpoint(now policy.Micros, row policy.Endpoint) *endpoint {
	e := &endpoint{hash: hash.String(row.ID), startedAt: row.Started, lastAnswerAt: now}
	e.concurrency.limit = max(2, initialConcurrency/float64(max(1, r.settings.ZoneDirectors)))
	return e
}

// rebuildTiers sorts the ready endpoints into edges, parents and the origin, in the order of their IDs.
func (r *Router) rebuildTiers() {
	r.edges.ready, r.parents.ready, r.origin = nil, nil, nil
	r.edges.totalWeight, r.parents.totalWeight = 0, 0
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		switch e := r.endpoints[id]; {
		case e.State != policy.Ready:
		case e.Kind == r.settings.OriginKind:
			r.origin = e
		case e.Kind == r.settings.ParentKind:
			r.parents.add(e)
		case e.Zone == r.settings.Zone:
			r.edges.add(e)
		}
	}
}

func (t *tier) add(e *endpoint) {
	t.ready, t.totalWeight = append(t.ready, e), t.totalWeight+e.Weight
}
