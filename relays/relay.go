// Package relays decides which of the directors that know each other poll the command channel, and what the others make of what they
// are told in its place.
//
// A few directors of each zone, its delegates, poll the channel; they are chosen by hash from those that are there. The others query
// two sources among them, and put an endpoint list in force only where both tell the same one. docs/relays.md argues why a message
// that comes twice, late, or from a source that is itself out of date undoes nothing.
//
// The package does no I/O; its callers pass the clock. All times are microseconds of the director's own monotonic clock.
package relays

import (
	"cmp"
	"maps"
	"slices"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// deputyFactor times as many directors as there are delegates, those first in the order, poll the channel when they are queried.
const deputyFactor = 2

// Relay is the state of one director. It is not safe for concurrent use.
type Relay struct {
	settings Settings
	started  policy.Micros

	members    []string // as SetMembers was given them
	order      []string // the zone's directors, this one among them, in the order in which they become delegates
	position   int      // of this director in the order
	candidates []string // sources that this director would query, the preferred ones first

	sources     map[string]*source // that were queried, by name; no more than the members
	lastTick    policy.Micros      // 0 before the first
	lastQueried policy.Micros      // when another director last queried this one
	silentSince policy.Micros      // since when no source has answered
	staleSince  policy.Micros      // since when no source that is not stale has answered
	lastPoll    policy.Micros      // when the channel last answered this director itself
	inForce     knownList          // the list in force here; the sum is empty where there is none
}

// New returns the state of a director that knows of no other yet.
func New(now policy.Micros, settings Settings) *Relay {
	return &Relay{
		settings:    settings,
		started:     now,
		order:       []string{settings.Name},
		sources:     map[string]*source{},
		lastQueried: now - settings.DemandWindow,
		silentSince: now,
		staleSince:  now,
		lastPoll:    now - 2*settings.StaleAfter,
	}
}

// SetMembers sets which other directors of the zone are there. It keeps the slice.
func (r *Relay) SetMembers(names []string) {
	if slices.Equal(names, r.members) {
		return
	}
	r.members = names
	order := append([]string{r.settings.Name}, names...)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(hash.Seeded(0, a), hash.Seeded(0, b)), cmp.Compare(a, b))
	})
	r.order = slices.Compact(order)
	r.position = slices.Index(r.order, r.settings.Name)
	r.candidates = r.chooseCandidates()
	maps.DeleteFunc(r.sources, func(name string, _ *source) bool { return !slices.Contains(r.order, name) })
}

// chooseCandidates returns the directors that may be queried: the delegates, which each director prefers in an order of its own, then
// those that stand in for them.
func (r *Relay) chooseCandidates() []string {
	first := r.order[:min(len(r.order), deputyFactor*r.settings.Delegates+1)]
	candidates := slices.DeleteFunc(slices.Clone(first), func(name string) bool { return name == r.settings.Name })
	delegates := candidates[:min(len(candidates), r.settings.Delegates)]
	seed := hash.Seeded(0, r.settings.Name)
	slices.SortFunc(delegates, func(a, b string) int { return cmp.Compare(hash.Seeded(seed, a), hash.Seeded(seed, b)) })
	return candidates
}

// isDelegate reports whether this director polls the channel by its position.
func (r *Relay) isDelegate() bool {
	return r.settings.Delegates == 0 || r.position < r.settings.Delegates
}

// ShouldPoll reports whether this director polls the channel itself now: it is a delegate, another has queried it of late, no source
// answers, or all sources are stale and it is this director's turn.
func (r *Relay) ShouldPoll(now policy.Micros) bool {
	if r.settings.Delegates == 0 {
		return true
	}
	if len(r.order) == 1 && now-r.started < r.settings.StartupWait {
		return false // it looks for others first
	}
	if r.isDelegate() || now-r.lastQueried < r.settings.DemandWindow {
		return true
	}
	checked := now // a director that is late itself has not taken its sources' answers up to now
	if r.lastTick > 0 {
		checked = min(now, r.lastTick+r.settings.QueryInterval/2)
	}
	silentSince := max(r.silentSince, r.started+r.settings.StartupWait)
	return checked-silentSince >= r.queryInterval() || r.isTurn(checked)
}

// isTurn reports whether it is this director's turn to poll while all its sources are stale. As many take turns at a time as there are
// delegates, in the order of the directors; one that the channel has answered goes on.
func (r *Relay) isTurn(now policy.Micros) bool {
	staleFor := now - r.staleSince - r.settings.StaleAfter
	if staleFor < 0 {
		return false
	}
	if now-r.lastPoll < r.settings.StaleAfter {
		return true
	}
	turns := policy.Micros((len(r.order) + r.settings.Delegates - 1) / r.settings.Delegates)
	turn := staleFor / r.settings.StaleAfter % turns
	return turn == policy.Micros(r.position/r.settings.Delegates)-1
}

// queryInterval is the time between two queries to one source: longer where many directors query the same.
func (r *Relay) queryInterval() policy.Micros {
	return r.settings.QueryInterval * policy.Micros(max(1, len(r.order)/r.settings.DirectorsPerInterval))
}

// PollSucceeded records the sum of the list that the channel itself has told, in a poll that began at a time. Changes are always put
// in force; an unchanged list only where the poll began after the time until which the list in force is known to hold.
func (r *Relay) PollSucceeded(now policy.Micros, sum string, began policy.Micros, changed bool) {
	r.lastPoll = now
	if changed || began >= r.inForce.at {
		r.inForce = knownList{sum, began}
	}
}

// InForce returns the sum of the list in force, and until when it is known to have been the channel's.
func (r *Relay) InForce() (until policy.Micros, sum string) { return r.inForce.at, r.inForce.sum }
