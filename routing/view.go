package routing

import (
	"maps"
	"slices"

	d "tallyproxy/policy"
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
func (l *Router) Endpoints(now d.Micros) (views []EndpointView) {
	states := [...]string{"ready", "draining", "gone"}
	for _, id := range slices.Sorted(maps.Keys(l.nodes)) {
		n := l.nodes[id]
		v := EndpointView{ID: id, Kind: "other", State: states[n.State], SlowStartShare: 1, InFlight: n.limit.out, HalfOpen: n.trial}
		switch {
		case n.Kind == l.s.OriginKind:
			v.Kind = "origin"
		case n.Kind == l.s.ParentKind:
			v.Kind, v.SlowStartShare = "parent", warmth(now, n, l.s.ParentSlowStart)
		case n.Zone == l.s.Zone:
			v.Kind, v.SlowStartShare, v.Limit = "edge", warmth(now, n, l.s.EdgeSlowStart), n.limit.most
		}
		v.LastAnswer = float64(now-n.heard) / float64(d.Second)
		v.EjectedFor = max(0, float64(n.skipUntil-now)/float64(d.Second))
		views = append(views, v)
	}
	return views
}

// DedupCounts is how many marks of deduped downloads are held, and how many downloads found no room so far.
func (l *Router) DedupCounts() (held, full int) { return l.keys.Counts() }
