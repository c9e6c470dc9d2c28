package routing

import (
	"maps"
	"slices"

	"tallyproxy/policy"
)

// EndpointView is what the module believes of one node, for those who look after the director.
type EndpointView struct {
	ID             string  `json:"id"`
	Kind           string  `json:"kind"` // "edge", "parent" or "origin"; "other" for caches of other locations
	State          string  `json:"state"`
	SlowStartShare float64 `json:"warm"`    // part of its capacity, at the least
	InFlight       int     `json:"out"`     // pulls out at it
	Limit          float64 `json:"limit"`   // pulls that may be, at an edge
	EjectedFor     float64 `json:"skipped"` // seconds for which it is not used yet
	HalfOpen       bool    `json:"trial"`   // back from that, and asked one question at a time
	LastAnswer     float64 `json:"heard"`   // seconds since it last answered
}

// Endpoints tells of all nodes of the list, by id.
func (l *Router) Endpoints(now policy.Micros) (views []EndpointView) {
	states := [...]string{"ready", "draining", "gone"}
	for _, id := range slices.Sorted(maps.Keys(l.endpoints)) {
		n := l.endpoints[id]
		v := EndpointView{ID: id, Kind: "other", State: states[n.State], SlowStartShare: 1, InFlight: n.concurrency.inFlight, HalfOpen: n.halfOpen}
		switch {
		case n.Kind == l.settings.OriginKind:
			v.Kind = "origin"
		case n.Kind == l.settings.ParentKind:
			v.Kind, v.SlowStartShare = "parent", slowStartShare(now, n, l.settings.ParentSlowStart)
		case n.Zone == l.settings.Zone:
			v.Kind, v.SlowStartShare, v.Limit = "edge", slowStartShare(now, n, l.settings.EdgeSlowStart), n.concurrency.limit
		}
		v.LastAnswer = float64(now-n.lastAnswerAt) / float64(policy.Second)
		v.EjectedFor = max(0, float64(n.ejectedUntil-now)/float64(policy.Second))
		views = append(views, v)
	}
	return views
}

// DedupCounts is how many marks of deduped downloads are held, and how many downloads found no room so far.
func (l *Router) DedupCounts() (held, full int) { return l.dedup.Counts() }
