package server

import (
	"log/slog"

	"tallyproxy/internal/gossipnet"
	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
	"tallyproxy/policy"
)

// maxUnhealthyHints is how many hints on unhealthy nodes a snapshot has, and how many of one are heeded.
const maxUnhealthyHints = 64

// snapshot is what a director that has just come should know, and whether it can go by that.
func (g *gossipDriver) snapshot() (snapshot gossipnet.Snapshot, confirmed bool) {
	if unhealthy := g.unhealthy.Load(); unhealthy != nil {
		snapshot.UnhealthyNodes = *unhealthy
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	snapshot.ChannelAge, snapshot.Updates = g.store.ChannelAge(g.now()), g.store.Snapshot(g.now())
	return snapshot, g.store.Confirms(snapshot.ChannelAge)
}

// needsSnapshot says whether others should be asked for a snapshot that confirms what is in force. After a stall none could: it may
// have lain in a socket meanwhile.
func (g *gossipDriver) needsSnapshot() bool {
	return g.monitor.Stalls() == 0 && (g.monitor.Suspect() || g.unconfirmed.Load())
}

// snapshotReply takes a snapshot that was asked for at a time of the policies' clock, and says whether it confirms what is in force.
// The confirmation takes effect once all of the snapshot is applied.
func (g *gossipDriver) snapshotReply(from string, requestedAt policy.Micros, snapshot gossipnet.Snapshot) bool {
	took := g.routers.now() - requestedAt
	g.mu.Lock()
	confirmed := g.store.ConfirmsReply(took, snapshot.ChannelAge)
	g.mu.Unlock()
	return confirmed && g.applySnapshot(from, snapshot) && g.enqueue(receivedUpdate{from: from, snapshotEnd: true})
}

// applySnapshot has what restricts in a snapshot applied, whether it confirms anything or not; false where there was no room for all
// of it.
func (g *gossipDriver) applySnapshot(from string, snapshot gossipnet.Snapshot) (complete bool) {
	complete = true
	for _, update := range snapshot.Updates {
		complete = g.enqueue(receivedUpdate{from: from, Update: update}) && complete
	}
	if g.monitor.Suspect() { // it has just started
		g.warmStart(from, snapshot.UnhealthyNodes)
	}
	return complete
}

// snapshotApplied records that a snapshot which confirms what is in force has been applied. After a stall that is nothing: it may
// have lain in a socket meanwhile.
func (g *gossipDriver) snapshotApplied() {
	if g.monitor.Stalls() == 0 {
		g.monitor.Confirmed(g.monitor.Now())
		g.setUnconfirmed(false)
	}
}

// warmStart takes the nodes that another director has found unhealthy, at a start: such a node is tried with one attempt at a time,
// and counts as cold until it shows that it holds what it is asked for. The first attempt that succeeds ends that.
func (g *gossipDriver) warmStart(from string, unhealthy []membership.Hint) {
	for _, hint := range unhealthy[:min(len(unhealthy), maxUnhealthyHints)] {
		_, mayBeFull := hint.UnresolvedByProbe()
		g.routers.probeDoneAsync(hint.Node, mayBeFull, mayBeFull) // the network, which calls this, must not wait
	}
	if len(unhealthy) > 0 {
		slog.Info(logevent.WarmStart, "from", from, "endpoints", len(unhealthy))
	}
}
