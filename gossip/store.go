// Package gossip decides which of the command channel's updates directors tell each other, and what a director makes of those that it
// receives, so that directors which can't reach the channel learn of them through those that can.
//
// Updates that restrict (a purge, a drain, the removal of a node) are applied when another director sends them; what lifts a restriction is
// taken from the own channel alone. The package does no I/O, and each call is given the time. docs/dissemination.md has the argument why an
// update that comes twice, late, or from a director that is itself behind undoes nothing.
package gossip

import (
	"maps"
	"slices"

	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

// Store holds what one director knows of the channel's updates, from its own channel and from others. Calls must not overlap: the caller
// holds a lock over them. Each table is bounded by MaxEntries.
type Store struct {
	settings Settings

	nodes      map[string]listedNode // the own channel's list
	readyNodes int                   // of them

	updates     map[Update]policy.Micros // all that are known, by key: when the channel published them, by this director's clock
	remembered  int                      // updates that were ever added
	unconfirmed map[Update]policy.Micros // those of updates that others sent and the own channel has not published yet: when they were received
	avoided     map[string]policy.Micros // nodes that drain or are removed because of others' updates alone: when that was received
	received    int                      // new updates from others
	senders     map[string]senderWindow  // by director

	lastPoll   policy.Micros // when the own channel was last polled for an unconfirmed update
	answeredAt policy.Micros // when the latest poll began that the own channel answered

	recent recentPurges // cache of RecentPurges
}

// listedNode is a node of the own channel's list, and when the list last gave its state.
type listedNode struct {
	NodeState
	listedAt policy.Micros
}

// senderWindow counts the updates that a director has sent since a time.
type senderWindow struct {
	start policy.Micros
	count int
}

// New makes a store that knows nothing but what files say, which is too old to confirm others' state by.
func New(now policy.Micros, s Settings) *Store {
	return &Store{
		settings:    s,
		nodes:       map[string]listedNode{},
		updates:     map[Update]policy.Micros{},
		unconfirmed: map[Update]policy.Micros{},
		avoided:     map[string]policy.Micros{},
		senders:     map[string]senderWindow{},
		lastPoll:    now - s.MinPollInterval,
		answeredAt:  now - s.Retention/2 - 1,
	}
}

// RecordNodes takes what the own channel says of nodes; a complete list names all there are. It gives the updates to send to others.
func (s *Store) RecordNodes(now policy.Micros, nodes []NodeState, complete bool) (updates []Update) {
	if complete {
		nodes = append(nodes, s.missing(nodes)...)
		clear(s.nodes)
	}
	for _, n := range nodes {
		if n.State == policy.Removed {
			delete(s.nodes, n.Node)
		} else if _, listed := s.nodes[n.Node]; listed || len(s.nodes) < s.settings.MaxEntries {
			s.nodes[n.Node] = listedNode{n, now}
		}
		if n.State == policy.Ready {
			s.forgetNode(n)
			continue
		}
		u := Update{Node: n.Node, Started: n.Started, Removed: n.State == policy.Removed}
		if s.recordOwn(now, u) {
			updates = append(updates, u)
		}
	}
	s.readyNodes = 0
	for _, n := range s.nodes {
		s.readyNodes += boolean.Int(n.State == policy.Ready)
	}
	return updates
}

// missing are the listed nodes that a complete list does not name any more, as removed, by id.
func (s *Store) missing(complete []NodeState) (removed []NodeState) {
	named := map[string]bool{}
	for _, n := range complete {
		named[n.Node] = true
	}
	for _, id := range slices.Sorted(maps.Keys(s.nodes)) {
		if !named[id] {
			removed = append(removed, NodeState{id, s.nodes[id].Started, policy.Removed})
		}
	}
	return removed
}

// forgetNode drops the updates of a node that is ready again: when they come another time, they are new.
func (s *Store) forgetNode(n NodeState) {
	for _, removed := range []bool{false, true} {
		key := Update{Node: n.Node, Started: n.Started, Removed: removed}
		delete(s.updates, key)
		delete(s.unconfirmed, key)
	}
}

// RecordPurge takes a purge from the own channel, and says whether to send it to others.
func (s *Store) RecordPurge(now policy.Micros, purge Update) bool {
	return s.recordOwn(now, purge.key())
}

// recordOwn remembers an update of the own channel; false where it was known.
func (s *Store) recordOwn(now policy.Micros, key Update) bool {
	delete(s.unconfirmed, key)
	return s.remember(now, key)
}

// Received takes an update from another director. apply says that it is in force from now on; forward that it is new, to be sent on with
// the age that it has by then.
//
// The drain or removal of a node is applied only where the own list has the node as ready, of the same start and from before the update,
// and to no more than half of the ready nodes: a faulty director can't drain them all.
func (s *Store) Received(now policy.Micros, from string, u Update) (apply, forward bool) {
	if !u.valid(s.settings) {
		return false, false
	}
	key := u.key()
	if _, known := s.updates[key]; known || !s.allow(now, from) || !s.remember(now-u.Age, key) {
		return false, false
	}
	s.received++
	s.unconfirmed[key] = now
	if u.PurgedAt > 0 {
		return true, true
	}
	n, listed := s.nodes[u.Node]
	if !listed || n.Started != u.Started || n.State != policy.Ready || now-u.Age < n.listedAt {
		return false, true
	}
	if _, already := s.avoided[u.Node]; !already && 2*(len(s.avoided)+1) > s.readyNodes {
		return false, true
	}
	s.avoided[u.Node] = now
	return true, true
}

// allow counts an update against what its sender may send in a window, and says whether it is within that.
func (s *Store) allow(now policy.Micros, from string) bool {
	window, known := s.senders[from]
	if !known && len(s.senders) >= s.settings.MaxEntries {
		maps.DeleteFunc(s.senders, func(_ string, w senderWindow) bool { return now-w.start >= s.settings.MinPollInterval })
		if len(s.senders) >= s.settings.MaxEntries {
			return false
		}
	}
	if !known || now-window.start >= s.settings.MinPollInterval {
		window = senderWindow{start: now}
	}
	window.count++
	s.senders[from] = window
	return window.count <= s.settings.MaxUpdates
}

// remember keeps an update with the time at which the channel published it; false where it was known, or the table is full of updates that still
// matter. After Retention no copy older than a purge is left anywhere, and a node's update is no longer on its way.
func (s *Store) remember(publishedAt policy.Micros, key Update) bool {
	if _, known := s.updates[key]; known {
		return false
	}
	if len(s.updates) >= s.settings.MaxEntries {
		maps.DeleteFunc(s.updates, func(_ Update, at policy.Micros) bool { return publishedAt-at > s.settings.Retention })
		maps.DeleteFunc(s.unconfirmed, func(key Update, _ policy.Micros) bool { _, known := s.updates[key]; return !known })
		if len(s.updates) >= s.settings.MaxEntries {
			return false
		}
	}
	s.updates[key] = publishedAt
	s.remembered++
	return true
}
