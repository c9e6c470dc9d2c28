package server

import (
	"context"
	"log/slog"
	"time"

	"tallyproxy/internal/logevent"
	"tallyproxy/internal/upstream"
	"tallyproxy/membership"
	"tallyproxy/policy"
	"tallyproxy/routing"
)

// observe examines the nodes and the command channel periodically until ctx ends, and sends its
// findings to the other directors.
func (g *gossipDriver) observe(ctx context.Context) {
	ticker := time.NewTicker(g.observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.checkChannel()
			g.observeNodes()
		}
	}
}

// observeNodes sends hints about nodes whose condition has changed since the last observation, and
// publishes the data that the network's handlers read. Only observe calls it.
func (g *gossipDriver) observeNodes() {
	views, now := g.routers.endpointViews()
	lastAnswers, statuses, unhealthy := map[string]policy.Micros{}, map[string]membership.NodeStatus{}, []membership.Hint{}
	for _, view := range views {
		lastAnswers[view.ID] = now - policy.Micros(view.LastAnswer*float64(policy.Second))
		status := nodeStatus(view)
		previous, seen := g.nodeStatuses[view.ID]
		if condition, changed := membership.ConditionChange(previous, status); seen && changed {
			g.network.Load().BroadcastHint(membership.Hint{Node: view.ID, Condition: condition})
		}
		statuses[view.ID] = status
		if condition, isUnhealthy := membership.UnhealthyCondition(status); isUnhealthy && len(unhealthy) < maxUnhealthyHints {
			unhealthy = append(unhealthy, membership.Hint{Node: view.ID, Condition: condition})
		}
	}
	g.nodeStatuses = statuses
	g.unhealthy.Store(&unhealthy)
	g.lastAnswers.Store(&lastAnswers)
}

// nodeStatus returns the part of a node's routing state that is relevant to other directors.
func nodeStatus(view routing.EndpointView) membership.NodeStatus {
	return membership.NodeStatus{
		Ejected: view.EjectedFor > 0, HalfOpen: view.HalfOpen, SlowStartShare: view.SlowStartShare, Limit: view.Limit,
	}
}

// lastAnswer returns the time of a node's last answer, on the policies' clock, as of the last
// observation. It reads a published copy because the network, which calls it, must not wait for a
// policy.
func (g *gossipDriver) lastAnswer(node string) policy.Micros {
	if answers := g.lastAnswers.Load(); answers != nil {
		return (*answers)[node]
	}
	return 0
}

// enqueueHint queues a hint so that its node is probed. The hint is dropped if the queue is full.
func (g *gossipDriver) enqueueHint(hint membership.Hint) {
	select {
	case g.hints <- hint:
	default:
	}
}

// probeHinted probes the nodes of queued hints until ctx ends.
func (g *gossipDriver) probeHinted(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case hint := <-g.hints:
			g.probe(hint)
		}
	}
}

// probe checks whether the node of a hint is reachable and passes the result to the policies.
func (g *gossipDriver) probe(hint membership.Hint) {
	address := g.routers.first().Address(hint.Node)
	if address == "" {
		return
	}
	err := g.nodes.Probe(address)
	if upstream.IsLocal(err) { // it says nothing about the node
		return
	}
	reachable := err == nil
	restarted, mayBeFull := hint.UnresolvedByProbe()
	slog.Info(logevent.HintProbed, "endpoint", hint.Node, "kind", hint.Condition, "reachable", reachable)
	g.routers.probeDone(hint.Node, reachable && !restarted, reachable && mayBeFull)
}
