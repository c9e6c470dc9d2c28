package server

import (
	"context"
	"log/slog"

	"tallyproxy/gossip"
	"tallyproxy/internal/discovery"
	"tallyproxy/internal/logevent"
	"tallyproxy/policy"
	"tallyproxy/stall"
)

// receivedUpdate is an update of the command channel that another director sent, or a marker for
// the end of a snapshot.
type receivedUpdate struct {
	from string // name of the director
	gossip.Update
	snapshotEnd bool // not an update: all updates of a requested snapshot were queued before it
}

// applyChannelEvents puts events of this director's channel in force before it returns, and sends
// the new ones to the other directors. The channel's client calls it, never concurrently.
func (g *gossipDriver) applyChannelEvents(events []discovery.Event) {
	if g.relay != nil {
		g.relay.applyMu.Lock()
		defer g.relay.applyMu.Unlock()
		events = g.relay.mergeEvents(events)
	}
	g.routers.apply(events)
	slog.Debug(logevent.DiscoveryEvents, "lists", countLists(events), "events", len(events))
	if g.enabled() {
		g.network.Load().BroadcastUpdates(g.recordEvents(events, g.now()))
	}
}

// countLists returns the number of events that carry endpoint lists.
func countLists(events []discovery.Event) (n int) {
	for _, event := range events {
		if event.HasEndpoints {
			n++
		}
	}
	return n
}

// recordEvents records events that the channel delivered at the given time, and returns the updates
// that are new.
func (g *gossipDriver) recordEvents(events []discovery.Event, now policy.Micros) (updates []gossip.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, event := range events {
		if event.HasEndpoints {
			var nodes []gossip.NodeState
			for _, endpoint := range event.Endpoints {
				nodes = append(nodes, gossip.NodeState{Node: endpoint.ID, Started: endpoint.Started, State: endpoint.State})
			}
			updates = append(updates, g.store.RecordNodes(now, nodes, event.Snapshot)...)
			continue
		}
		purge := gossip.Update{Object: event.Object, Group: event.Group, PurgedAt: event.PurgedAt}
		if event.PurgedAt > 0 && g.store.RecordPurge(now, purge) {
			updates = append(updates, purge)
		}
	}
	return updates
}

// enqueue queues an update for receiveUpdates. It returns false if the queue is full.
func (g *gossipDriver) enqueue(update receivedUpdate) bool {
	select {
	case g.pending <- update:
		return true
	default:
		return false
	}
}

// receiveUpdates applies the updates of other directors until ctx ends, and forwards the new ones.
// Updates that are queued together are forwarded together.
func (g *gossipDriver) receiveUpdates(ctx context.Context) {
	var forward []gossip.Update
	for {
		if len(g.pending) == 0 || len(forward) == maxPendingUpdates {
			g.network.Load().BroadcastUpdates(forward)
			forward = nil
		}
		select {
		case <-ctx.Done():
			return
		case received := <-g.pending:
			if received.snapshotEnd {
				g.snapshotApplied()
			} else if g.applyUpdate(received) {
				forward = append(forward, received.Update)
			}
		}
	}
}

// applyUpdate applies an update from another director if the store accepts it, and reports whether
// to forward it.
func (g *gossipDriver) applyUpdate(received receivedUpdate) (forward bool) {
	g.mu.Lock()
	apply, forward := g.store.Received(g.now(), received.from, received.Update)
	g.mu.Unlock()
	if !apply {
		return forward
	}
	if received.PurgedAt > 0 {
		g.routers.apply([]discovery.Event{{Object: received.Object, Group: received.Group, PurgedAt: received.PurgedAt}})
	} else {
		g.refreshAvoided()
	}
	slog.Info(logevent.GossipReceived, "from", received.from, "endpoint", received.Node, "object", received.Object, "group", received.Group,
		"age", received.Age.Duration())
	return forward
}

// pollSucceeded records that this director's channel has answered a poll that began at the given
// time, and that the answer is in force.
func (g *gossipDriver) pollSucceeded(began policy.Micros) {
	if g.enabled() {
		g.relay.pollSucceeded(began)
		g.channelAnswered(began)
		g.setUnconfirmed(false)
	}
}

// channelAnswered records that everything the channel had published at the given time is known and
// in force.
func (g *gossipDriver) channelAnswered(at policy.Micros) {
	g.mu.Lock()
	changed := g.store.ChannelAnswered(at)
	g.mu.Unlock()
	if changed {
		g.refreshAvoided()
	}
}

// suspicionResolved handles the end of the suspect state. If it ended by its timeout, neither the
// channel nor another director has confirmed this director's state. The state then stays
// unconfirmed until the channel has answered or another director has confirmed it.
func (g *gossipDriver) suspicionResolved(resolution stall.Resolution) {
	if g.enabled() && resolution == stall.ByTimeout {
		g.setUnconfirmed(true)
	}
}

// setUnconfirmed marks this director's state as unconfirmed or confirmed. While it is unconfirmed,
// no copy is served that is older than the beginning of that time, and each node counts as cold
// until its answers show that it holds the requested objects. This makes a purge or a restart of a
// node that this director has missed harmless.
func (g *gossipDriver) setUnconfirmed(unconfirmed bool) {
	if g.unconfirmed.Swap(unconfirmed) == unconfirmed {
		return
	}
	slog.Info(logevent.ViewUnconfirmed, "active", unconfirmed)
	if unconfirmed {
		g.routers.distrustCopies()
	} else {
		g.routers.trustCopies()
	}
}
