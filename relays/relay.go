// Package relays decides which of the directors that know each other poll the command channel, and
// how the others use the responses of those that poll.
//
// A few directors of each zone, its delegates, poll the channel. They are chosen by hash from the
// present directors. The other directors query two of them as sources, and put an endpoint list in
// force only if both sources report the same one. docs/relays.md explains why a message that
// arrives twice, late, or from a source that is itself out of date reverts nothing.
//
// The package does no I/O; its callers pass the current time. All times are in microseconds of the
// director's own monotonic clock.
package relays

import (
	"cmp"
	"maps"
	"slices"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// standbyFactor times the number of delegates is the number of directors, from the head of the
// order, that poll the channel when they are queried.
const standbyFactor = 2

// Relay is the state of one director. It is not safe for concurrent use.
type Relay struct {
	settings Settings
	started  policy.Micros

	members    []string // as passed to SetMembers
	order      []string // this zone's directors, including this one, in order of delegation
	position   int      // of this director in the order
	candidates []string // sources that may be queried, in order of preference

	sources     map[string]*source // queried sources by name; no more than the members
	lastTick    policy.Micros      // 0 before the first call of Tick
	lastQueried policy.Micros      // when another director last queried this one
	silentSince policy.Micros      // start of the time without a response from any source
	staleSince  policy.Micros      // start of the time without a response from a current source
	lastPoll    policy.Micros      // when the channel last answered this director itself
	inForce     knownList          // the list in force here; its sum is empty if there is none
}

// New returns the state of a director that does not know any others yet.
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

// SetMembers sets the other directors of the zone that are present. It keeps a reference to the
// slice.
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

// chooseCandidates returns the directors that may be queried: first the delegates, in an order that
// differs between directors, then the standby directors.
func (r *Relay) chooseCandidates() []string {
	first := r.order[:min(len(r.order), standbyFactor*r.settings.Delegates+1)]
	candidates := slices.DeleteFunc(slices.Clone(first), func(name string) bool { return name == r.settings.Name })
	delegates := candidates[:min(len(candidates), r.settings.Delegates)]
	seed := hash.Seeded(0, r.settings.Name)
	slices.SortFunc(delegates, func(a, b string) int { return cmp.Compare(hash.Seeded(seed, a), hash.Seeded(seed, b)) })
	return candidates
}

// isDelegate reports whether this director polls the channel because of its position in the order,
// or because all directors do.
func (r *Relay) isDelegate() bool {
	return r.settings.Delegates == 0 || r.position < r.settings.Delegates
}

// ShouldPoll reports whether this director itself polls the channel now: it is a delegate, another
// director has queried it recently, no source responds, or all sources are stale and it is this
// director's turn.
func (r *Relay) ShouldPoll(now policy.Micros) bool {
	if r.settings.Delegates == 0 {
		return true
	}
	if len(r.order) == 1 && now-r.started < r.settings.StartupWait {
		return false // wait for other directors to appear
	}
	if r.isDelegate() || now-r.lastQueried < r.settings.DemandWindow {
		return true
	}
	// A director that is itself delayed has not handled its sources' responses up to now.
	checkedAt := now
	if r.lastTick > 0 {
		checkedAt = min(now, r.lastTick+r.settings.QueryInterval/2)
	}
	silentSince := max(r.silentSince, r.started+r.settings.StartupWait)
	return checkedAt-silentSince >= r.queryInterval() || r.isPollingTurn(checkedAt)
}

// isPollingTurn reports whether it is this director's turn to poll while all its sources are stale.
// As many directors as there are delegates take a turn at a time, in the order of the directors. A
// director whose poll the channel has answered continues to poll.
func (r *Relay) isPollingTurn(now policy.Micros) bool {
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

// queryInterval returns the time between two queries to one source. It is longer in a large zone,
// where many directors query the same sources.
func (r *Relay) queryInterval() policy.Micros {
	return r.settings.QueryInterval * policy.Micros(max(1, len(r.order)/r.settings.DirectorsPerInterval))
}

// PollSucceeded records the sum of the list that the channel itself returned in a poll that started
// at startedAt. A changed list is always put in force. An unchanged list is put in force only if
// the poll did not start before the time until which the list in force is known to match the
// channel's.
func (r *Relay) PollSucceeded(now policy.Micros, sum string, startedAt policy.Micros, changed bool) {
	r.lastPoll = now
	if changed || startedAt >= r.inForce.at {
		r.inForce = knownList{sum, startedAt}
	}
}

// InForce returns the sum of the list in force, and the time until which that list is known to have
// matched the channel's.
func (r *Relay) InForce() (until policy.Micros, sum string) { return r.inForce.at, r.inForce.sum }
