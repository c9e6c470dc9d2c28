package server

import (
	"log/slog"

	"tallyproxy/internal/gossipnet"
	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
	"tallyproxy/policy"
)

// maxUnhealthyHints limits the hints about unhealthy nodes in a snapshot, both when one is sent and
// when one is received.
const maxUnhealthyHints = 64

// snapshot returns the state to send to a director that has just started, and reports whether the
// state is recent enough for that director to rely on.
func (g *gossipDriver) snapshot() (snapshot gossipnet.Snapshot, confirmed bool) {
	if unhealthy := g.unhealthy.Load(); unhealthy != nil {
		snapshot.UnhealthyNodes = *unhealthy
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	snapshot.ChannelAge, snapshot.Updates = g.store.ChannelAge(g.now()), g.store.Snapshot(g.now())
	return snapshot, g.store.Confirms(snapshot.ChannelAge)
}

// needsSnapshot reports whether this director should ask others for a snapshot that confirms its
// state. After a stall no snapshot can, because it may have waited in a socket buffer during the
// stall.
func (g *gossipDriver) needsSnapshot() bool {
	return g.monitor.Stalls() == 0 && (g.monitor.Suspect() || g.unconfirmed.Load())
}

// snapshotReply applies a snapshot that was requested at requestedAt, on the policies' clock, and
// reports whether it confirms this director's state. The confirmation takes effect after the whole
// snapshot is applied.
func (g *gossipDriver) snapshotReply(from string, requestedAt policy.Micros, snapshot gossipnet.Snapshot) bool {
	elapsed := g.routers.now() - requestedAt
	g.mu.Lock()
	confirmed := g.store.ConfirmsReply(elapsed, snapshot.ChannelAge)
	g.mu.Unlock()
	return confirmed && g.applySnapshot(from, snapshot) && g.enqueue(receivedUpdate{from: from, snapshotEnd: true})
}

// applySnapshot queues the updates of a snapshot. They only restrict what this director does, so
// they apply whether or not the snapshot confirms its state. applySnapshot returns false if the
// queue had no room for all of them.
func (g *gossipDriver) applySnapshot(from string, snapshot gossipnet.Snapshot) (complete bool) {
	complete = true
	for _, update := range snapshot.Updates {
		complete = g.enqueue(receivedUpdate{from: from, Update: update}) && complete
	}
	if g.monitor.Suspect() { // the director has just started
		g.warmStart(from, snapshot.UnhealthyNodes)
	}
	return complete
}

// snapshotApplied records that a confirming snapshot has been applied. After a stall it does
// nothing, because the snapshot may have waited in a socket buffer during the stall.
func (g *gossipDriver) snapshotApplied() {
	if g.monitor.Stalls() == 0 {
		g.monitor.Confirmed(g.monitor.Now())
		g.setUnconfirmed(false)
	}
}

// warmStart adopts, at the start, the nodes that another director has found unhealthy. Such a node
// is tried with one attempt at a time, and counts as cold until its answers show that it holds the
// requested objects. The first successful attempt ends this.
func (g *gossipDriver) warmStart(from string, unhealthy []membership.Hint) {
	for _, hint := range unhealthy[:min(len(unhealthy), maxUnhealthyHints)] {
		_, mayBeFull := hint.UnresolvedByProbe()
		// The caller is the network, which must not wait.
		g.routers.probeDoneAsync(hint.Node, mayBeFull, mayBeFull)
	}
	if len(unhealthy) > 0 {
		slog.Info(logevent.WarmStart, "from", from, "endpoints", len(unhealthy))
	}
}
