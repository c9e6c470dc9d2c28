package server

import (
	"context"
	"log/slog"
	"time"

	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
	"tallyproxy/policy"
	"tallyproxy/routing"
)

// observe looks at the nodes and the command channel until ctx ends, and tells other directors what this one has found out.
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

// observeNodes sends hints on nodes whose condition has changed since the last observation, and publishes what the network's
// handlers read. It is called by observe alone.
func (g *gossipDriver) observeNodes() {
	views, now := g.routers.endpointViews()
	lastAnswers, statuses, unhealthy := map[string]policy.Micros{}, map[string]membership.NodeStatus{}, []membership.Hint{}
	for _, view := range views {
		lastAnswers[view.ID] = now - policy.Micros(view.LastAnswer*float64(policy.Second))
		status := nodeStatus(view)
		before, seen := g.nodeStatuses[view.ID]
		if condition, changed := membership.ConditionChange(before, status); seen && changed {
			g.network.Load().BroadcastHint(membership.Hint{Node: view.ID, Condition: condition})
		}
		statuses[view.ID] = status
		if condition, is := membership.UnhealthyCondition(status); is && len(unhealthy) < maxUnhealthyHints {
			unhealthy = append(unhealthy, membership.Hint{Node: view.ID, Condition: condition})
		}
	}
	g.nodeStatuses = statuses
	g.unhealthy.Store(&unhealthy)
	g.lastAnswers.Store(&lastAnswers)
}

// nodeStatus is what matters to other directors of a node.
func nodeStatus(view routing.EndpointView) membership.NodeStatus {
	return membership.NodeStatus{
		Ejected: view.EjectedFor > 0, HalfOpen: view.HalfOpen, SlowStartShare: view.SlowStartShare, Limit: view.Limit,
	}
}

// lastAnswer is when a node last answered, on the policies' clock, as of the last observation: the network, which asks, must not
// wait for a policy.
func (g *gossipDriver) lastAnswer(node string) policy.Micros {
	if answers := g.lastAnswers.Load(); answers != nil {
		return (*answers)[node]
	}
	return 0
}

// enqueueHint has a node probed; the hint is dropped where too many wait.
func (g *gossipDriver) enqueueHint(hint membership.Hint) {
	select {
	case g.hints <- hint:
	default:
	}
}

// probeHinted probes the nodes that others' hints are about until ctx ends.
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

// probe asks the node of a hint whether it is there, and has the policies take what came of it.
func (g *gossipDriver) probe(hint membership.Hint) {
	address := g.routers.first().Address(hint.Node)
	if address == "" {
		return
	}
	reachable := g.nodes.Probe(address) == nil
	restarted, mayBeFull := hint.UnresolvedByProbe()
	slog.Info(logevent.HintProbed, "endpoint", hint.Node, "kind", hint.Condition, "reachable", reachable)
	g.routers.probeDone(hint.Node, reachable && !restarted, reachable && mayBeFull)
}
