package routing

import (
	"maps"
	"slices"

	"tallyproxy/policy"
)

// EndpointView is the router's view of one endpoint, for operators. The state socket encodes it as
// JSON with the names in the tags, which other versions of the tools read.
type EndpointView struct {
	ID             string  `json:"id"`      // ID in the endpoint list
	Kind           string  `json:"kind"`    // "edge", "parent", "origin"; "other" in other zones
	State          string  `json:"state"`   // "ready" or "draining"
	SlowStartShare float64 `json:"warm"`    // minimum share of its capacity that is available
	InFlight       int     `json:"out"`     // attempts in flight
	Limit          float64 `json:"limit"`   // concurrency limit of an edge cache of the zone
	EjectedFor     float64 `json:"skipped"` // seconds until its ejection ends
	HalfOpen       bool    `json:"trial"`   // limited to one attempt at a time, the probe
	LastAnswer     float64 `json:"heard"`   // seconds since its last answer
}

// stateNames holds the names of endpoint states in EndpointView.State.
var stateNames = [...]string{policy.Ready: "ready", policy.Draining: "draining", policy.Removed: "gone"}

// Endpoints describes all endpoints of the list, in the order of their IDs.
func (r *Router) Endpoints(now policy.Micros) (views []EndpointView) {
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		views = append(views, r.view(now, r.endpoints[id]))
	}
	return views
}

// view describes one endpoint.
func (r *Router) view(now policy.Micros, e *endpoint) EndpointView {
	v := EndpointView{
		ID: e.ID, Kind: "other", State: stateNames[e.State], SlowStartShare: 1, InFlight: e.concurrency.inFlight, HalfOpen: e.halfOpen,
		EjectedFor: max(0, float64(e.ejectedUntil-now)/float64(policy.Second)),
		LastAnswer: float64(now-e.lastAnswerAt) / float64(policy.Second),
	}
	switch {
	case e.Kind == r.settings.OriginKind:
		v.Kind = "origin"
	case e.Kind == r.settings.ParentKind:
		v.Kind, v.SlowStartShare = "parent", slowStartShare(now, e, r.settings.ParentSlowStart)
	case e.Zone == r.settings.Zone:
		v.Kind, v.SlowStartShare, v.Limit = "edge", slowStartShare(now, e, r.settings.EdgeSlowStart), e.concurrency.limit
	}
	return v
}

// DedupCounts returns the number of dedup records and the number of requests rejected so far
// because the table was full.
func (r *Router) DedupCounts() (records, rejected int) { return r.dedup.Counts() }
