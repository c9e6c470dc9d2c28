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

// receivedUpdate is an update of the command channel that another director sent, or the end of a snapshot.
type receivedUpdate struct {
	from string // name of the director
	gossip.Update
	snapshotEnd bool // no update: all those of a snapshot that this director asked for came before
}

// applyChannelEvents has events of the own channel in force when it returns, and tells others what is new. It is called by the
// channel's client, once at a time.
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

// countLists is how many of some events are of the list of nodes.
func countLists(events []discovery.Event) (n int) {
	for _, event := range events {
		if event.HasEndpoints {
			n++
		}
	}
	return n
}

// recordEvents records what the channel told at a time, and gives the updates that are new.
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

// enqueue has an update applied by receiveUpdates; false where there is no room.
func (g *gossipDriver) enqueue(update receivedUpdate) bool {
	select {
	case g.pending <- update:
		return true
	default:
		return false
	}
}

// receiveUpdates applies what others tell of the command channel until ctx ends, and forwards what is new to them. Updates that come
// together go on together.
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

// applyUpdate applies what another director told, where it binds, and says whether others are to be told.
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

// pollSucceeded records that the own channel has answered a poll that began at a time, and that what it told is in force.
func (g *gossipDriver) pollSucceeded(began policy.Micros) {
	if g.enabled() {
		g.relay.pollSucceeded(began)
		g.channelAnswered(began)
		g.setUnconfirmed(false)
	}
}

// channelAnswered records that all that the channel had told at a time is known and in force.
func (g *gossipDriver) channelAnswered(at policy.Micros) {
	g.mu.Lock()
	changed := g.store.ChannelAnswered(at)
	g.mu.Unlock()
	if changed {
		g.refreshAvoided()
	}
}

// suspicionResolved takes how a suspect state ended. Where it ended by its timeout, since nobody has told what is in force, that
// stays unconfirmed until the channel has answered or another director has told.
func (g *gossipDriver) suspicionResolved(how stall.Resolution) {
	if g.enabled() && how == stall.ByTimeout {
		g.setUnconfirmed(true)
	}
}

// setUnconfirmed has what is known bind with care, or as usual again. While it is unconfirmed, no copy is served that is older than
// its beginning, and a node counts as cold until it shows that it holds what it is asked for: a purge or a restart that was told
// while this director was not there does no harm.
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
