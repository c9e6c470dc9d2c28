package routing

import (
	"maps"
	"slices"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// minWeight replaces an endpoint size of 0, which would cause a division by zero.
const minWeight = 1e-3

// endpoint is an entry of the endpoint list together with what the router has observed of it. When
// an endpoint restarts, a new value replaces the old one, which attempts in flight keep using.
type endpoint struct {
	policy.Endpoint
	hash      uint64        // hash of the ID
	startedAt policy.Micros // latest known start; 0 if long ago

	// Outlier detection.
	connectFailedAt     policy.Micros // last failed connect; 0 if none, or once its cause is known
	consecutiveFailures int
	// ejectedAt is when the endpoint was last ejected or lost a connection. Results of attempts
	// sent before this time are not counted.
	ejectedAt    policy.Micros
	ejectedUntil policy.Micros // no attempts are sent to the endpoint before this time
	ejectionTime policy.Micros // length of the last ejection
	// halfOpen limits the endpoint to one attempt at a time, its probe, until one succeeds. It is
	// set when the endpoint is ejected or may be unusable.
	halfOpen     bool
	probing      bool // the probe is in flight
	lastAnswerAt policy.Micros
	unanswered   int // checks since lastAnswerAt that found an attempt unanswered

	concurrency concurrencyLimit // limit of attempts at this endpoint
	fillLatency float64          // running mean of fill time through it, over the latency objective

	slowStart slowStartCounts
}

// tier holds the ready endpoints of one kind.
type tier struct {
	ready       []*endpoint // in the order of their IDs
	slowStart   policy.SlowStart
	totalWeight float64 // of the ready endpoints
	// largestWeight is the highest totalWeight so far. An endpoint's capacity does not grow when
	// others leave the tier, so its share of the capacity of all is derived from this value.
	largestWeight float64
}

// UpdateEndpoints applies an endpoint list: a complete one, or only the changed entries.
func (r *Router) UpdateEndpoints(now policy.Micros, entries []policy.Endpoint, complete bool) {
	known := r.endpoints
	if complete {
		r.endpoints = make(map[string]*endpoint, len(entries))
	}
	for _, entry := range entries {
		e := known[entry.ID]
		if e != nil && (e.Started != entry.Started || entry.State == policy.Removed) {
			r.endSlowStart(now, e)
			e = nil
		}
		if entry.State == policy.Removed {
			delete(r.endpoints, entry.ID)
			continue
		}
		if e == nil {
			e = r.newEndpoint(now, entry)
		}
		e.Endpoint, r.endpoints[entry.ID] = entry, e
		if e.Weight = max(e.Weight, minWeight); !r.settings.WeightsAreSizes {
			e.Weight = 1
		}
	}
	if complete {
		r.endDroppedSlowStarts(now, known)
	}
	r.rebuildTiers()
	r.reportSlowStarts(now)
}

// endDroppedSlowStarts reports the end of the slow starts of known endpoints that a complete list has
// dropped.
func (r *Router) endDroppedSlowStarts(now policy.Micros, known map[string]*endpoint) {
	for _, id := range slices.Sorted(maps.Keys(known)) {
		if r.endpoints[id] == nil {
			r.endSlowStart(now, known[id])
		}
	}
}

// newEndpoint returns an endpoint for a list entry, without any observations.
func (r *Router) newEndpoint(now policy.Micros, entry policy.Endpoint) *endpoint {
	e := &endpoint{hash: hash.String(entry.ID), startedAt: entry.Started, lastAnswerAt: now}
	e.concurrency.limit = max(2, initialConcurrency/float64(max(1, r.settings.ZoneDirectors)))
	return e
}

// rebuildTiers sorts the ready endpoints into edges, parents and the origin, in the order of their
// IDs.
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
	for _, t := range []*tier{&r.edges, &r.parents} {
		t.largestWeight = max(t.largestWeight, t.totalWeight)
	}
}

// add adds a ready endpoint to the tier.
func (t *tier) add(e *endpoint) {
	t.ready, t.totalWeight = append(t.ready, e), t.totalWeight+e.Weight
}
