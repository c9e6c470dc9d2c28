package routing

import (
	"maps"
	"slices"

	d "tallyproxy/policy"
)

// View is what the module believes of one node, for those who look after the director.
type View struct {
	ID      string  `json:"id"`
	Kind    string  `json:"kind"` // "edge", "parent" or "origin"; "other" for caches of other locations
	State   string  `json:"state"`
	Warm    float64 `json:"warm"`    // part of its capacity, at the least
	Out     int     `json:"out"`     // pulls out at it
	Limit   float64 `json:"limit"`   // pulls that may be, at an edge
	Skipped float64 `json:"skipped"` // seconds for which it is not used yet
	Trial   bool    `json:"trial"`   // back from that, and asked one question at a time
	Heard   float64 `json:"heard"`   // seconds since it last answered
}

// Nodes tells of all nodes of the list, by id.
func (l *Logic) Nodes(now d.Micros) (views []View) {
	states := [...]string{"ready", "draining", "gone"}
	for _, id := range slices.Sorted(maps.Keys(l.nodes)) {
		n := l.nodes[id]
		v := View{ID: id, Kind: "other", State: states[n.State], Warm: 1, Out: n.limit.out, Trial: n.trial}
		switch {
		case n.Kind == l.s.OriginKind:
			v.Kind = "origin"
		case n.Kind == l.s.ParentKind:
			v.Kind, v.Warm = "parent", warmth(now, n, l.s.Parent)
		case n.Zone == l.s.Zone:
			v.Kind, v.Warm, v.Limit = "edge", warmth(now, n, l.s.Edge), n.limit.most
		}
		v.Heard = float64(now-n.heard) / float64(d.Second)
		v.Skipped = max(0, float64(n.skipUntil-now)/float64(d.Second))
		views = append(views, v)
	}
	return views
}

// Keys is how many marks of deduped downloads are held, and how many downloads found no room so far.
func (l *Logic) Keys() (held, full int) { return l.keys.Len() }
