// Package gossip decides which updates of the command channel directors send to each other, and how
// a director handles the updates that it receives, so that directors that cannot reach the channel
// learn of its updates through those that can.
//
// Updates that restrict (a purge, a drain, the removal of a node) are applied when another director
// sends them. Updates that lift a restriction are accepted only from the director's own channel.
// The package does no I/O; its callers pass the current time. docs/dissemination.md explains why an
// update that arrives twice, late, or from a director that is itself behind reverts nothing.
package gossip

import (
	"maps"
	"slices"

	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

// Store holds the updates that one director knows, from its own channel and from other directors.
// It is not safe for concurrent use: the caller must hold a lock during each call. Each table is
// bounded by MaxEntries.
type Store struct {
	settings Settings

	nodes      map[string]listedNode // nodes in the list of this director's channel
	readyNodes int                   // number of them that are ready

	// updates holds all known updates by key, with the time at which the channel published them
	// by this director's clock.
	updates    map[Update]policy.Micros
	addedCount int // number of updates ever added
	// unconfirmed holds the updates that other directors sent and this director's channel has
	// not published yet, with the time at which they were received.
	unconfirmed map[Update]policy.Micros
	// avoided holds the nodes that are draining or removed only according to other directors'
	// updates, with the time at which these were received.
	avoided  map[string]policy.Micros
	received int                     // new updates from other directors
	senders  map[string]senderWindow // by director

	lastPoll   policy.Micros // when the channel was last polled for an unconfirmed update
	answeredAt policy.Micros // start of the latest poll that this director's channel answered

	recent recentPurges // cache of RecentPurges
}

// listedNode is a node in the list of this director's channel, with the time at which the list last
// gave its state.
type listedNode struct {
	NodeState
	listedAt policy.Micros
}

// senderWindow counts the updates that a director has sent since the start of the window.
type senderWindow struct {
	start policy.Micros
	count int
}

// New returns an empty store. A newly started director knows only the state in its files, so the
// store starts with a channel age that Confirms rejects.
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

// RecordNodes records the node states that this director's channel has published. A complete list
// names all nodes. RecordNodes returns the updates to send to other directors.
func (s *Store) RecordNodes(now policy.Micros, nodes []NodeState, complete bool) (updates []Update) {
	if complete {
		nodes = append(nodes, s.missingNodes(nodes)...)
		clear(s.nodes)
	}
	for _, n := range nodes {
		if n.State == policy.Removed {
			delete(s.nodes, n.Node)
		} else if _, listed := s.nodes[n.Node]; listed || len(s.nodes) < s.settings.MaxEntries {
			s.nodes[n.Node] = listedNode{n, now}
		}
		if n.State == policy.Ready {
			s.deleteNodeUpdates(n)
			continue
		}
		u := Update{Node: n.Node, Started: n.Started, Removed: n.State == policy.Removed}
		if s.recordChannelUpdate(now, u) {
			updates = append(updates, u)
		}
	}
	s.readyNodes = 0
	for _, n := range s.nodes {
		s.readyNodes += boolean.Int(n.State == policy.Ready)
	}
	return updates
}

// missingNodes returns the listed nodes that a complete list no longer names, marked as removed, in
// ascending order of id.
func (s *Store) missingNodes(complete []NodeState) (removed []NodeState) {
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

// deleteNodeUpdates drops the updates of a node that is ready again, so that they count as new when
// they arrive again.
func (s *Store) deleteNodeUpdates(n NodeState) {
	for _, removed := range []bool{false, true} {
		key := Update{Node: n.Node, Started: n.Started, Removed: removed}
		delete(s.updates, key)
		delete(s.unconfirmed, key)
	}
}

// RecordPurge records a purge from this director's channel, and reports whether to send it to other
// directors.
func (s *Store) RecordPurge(now policy.Micros, purge Update) bool {
	return s.recordChannelUpdate(now, purge.key())
}

// recordChannelUpdate records an update from this director's channel, and reports whether it is
// new.
func (s *Store) recordChannelUpdate(now policy.Micros, key Update) bool {
	delete(s.unconfirmed, key)
	return s.addUpdate(now, key)
}

// Received handles an update from another director. apply reports whether the update takes effect
// now. forward reports whether the update is new and must be sent on, with its age at that time.
//
// The drain or removal of a node is applied only if the list of this director's channel has the
// node as ready, with the same start, in an entry from before the update. It is applied to at most
// half of the ready nodes, so that a faulty director cannot drain all of them.
func (s *Store) Received(now policy.Micros, from string, u Update) (apply, forward bool) {
	if !u.valid(s.settings) {
		return false, false
	}
	key := u.key()
	if _, known := s.updates[key]; known || !s.allow(now, from) || !s.addUpdate(now-u.Age, key) {
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

// allow counts an update against its sender's limit per window, and reports whether the sender is
// within the limit.
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

// addUpdate stores an update with the time at which the channel published it. It returns false if
// the update is known, or if the table is full of updates that are still relevant. Updates older
// than Retention may be dropped: by then no copy older than a purge is left anywhere, and a node's
// update is no longer in transit.
func (s *Store) addUpdate(publishedAt policy.Micros, key Update) bool {
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
	s.addedCount++
	return true
}
