package server

import (
	"time"

	"tallyproxy/internal/discovery"
	"tallyproxy/internal/dispatch"
	"tallyproxy/internal/downstream"
	"tallyproxy/internal/upstream"
	"tallyproxy/policy"
	"tallyproxy/routing"
)

// routerGroup holds the routers of a director: one router with one policy for all shards or, as an
// experiment, one router for each shard. In the experiment each shard counts as a director, so the
// number of directors is multiplied by the number of shards. The group does not change after it is
// created and is safe for concurrent use.
type routerGroup struct {
	routers []*dispatch.Router
	// policies[i] is the policy of routers[i] and is used only within that router's WithPolicy.
	policies []*routing.Router
	handlers []downstream.Handler // all shards; clients are spread over them
}

// newRouterGroup creates the routers for the given number of shards. If divided is true, each shard
// gets its own router.
func newRouterGroup(settings policy.Settings, options routing.Options, timeouts policy.Timeouts, nodes *upstream.Pool,
	shards int, divided bool) *routerGroup {
	shardsPerRouter := shards
	if divided {
		settings.ZoneDirectors, shardsPerRouter = max(1, settings.ZoneDirectors)*shards, 1
	}
	group := &routerGroup{}
	for shard := 0; shard < shards; shard += shardsPerRouter {
		routingPolicy := routing.New(settings, options)
		router := dispatch.New(routingPolicy, timeouts, nodes, shardsPerRouter)
		group.policies, group.routers = append(group.policies, routingPolicy), append(group.routers, router)
		for _, shard := range router.Shards() {
			group.handlers = append(group.handlers, shard)
		}
	}
	return group
}

// first returns the router whose clock and endpoint list represent all routers.
func (g *routerGroup) first() *dispatch.Router { return g.routers[0] }

// now returns the time on the policies' clock.
func (g *routerGroup) now() policy.Micros { return g.first().Now() }

// setStallMonitor makes all shards wait while the monitor does not trust the director's state. It
// must be called before run.
func (g *routerGroup) setStallMonitor(monitor dispatch.StallMonitor) {
	for _, router := range g.routers {
		router.SetStallMonitor(monitor)
	}
}

// run starts the routers.
func (g *routerGroup) run() {
	for _, router := range g.routers {
		go router.Run()
	}
}

// apply puts events of the command channel in force before it returns.
func (g *routerGroup) apply(events []discovery.Event) {
	for _, router := range g.routers {
		router.Apply(events)
	}
}

// withPolicies runs call for each router in turn, while no shard uses the router's policy.
func (g *routerGroup) withPolicies(call func(router *dispatch.Router, routingPolicy *routing.Router)) {
	for i, router := range g.routers {
		router.WithPolicy(func() { call(router, g.policies[i]) })
	}
}

// setOptions replaces the operator's settings of all policies.
func (g *routerGroup) setOptions(options routing.Options) {
	g.withPolicies(func(_ *dispatch.Router, routingPolicy *routing.Router) { routingPolicy.SetOptions(options) })
}

// setDraining makes the routers treat exactly these nodes as draining, regardless of their state in
// the endpoint list.
func (g *routerGroup) setDraining(nodes []string) {
	for _, router := range g.routers {
		router.SetDraining(nodes)
	}
}

// probeDone passes the result of a node's probe to all policies; see routing.Router.ProbeDone.
func (g *routerGroup) probeDone(node string, reachable, mayBeFull bool) {
	g.withPolicies(func(router *dispatch.Router, routingPolicy *routing.Router) {
		routingPolicy.ProbeDone(router.Now(), node, reachable, mayBeFull)
	})
}

// probeDoneAsync is like probeDone, for callers that must not wait for a policy.
func (g *routerGroup) probeDoneAsync(node string, reachable, mayBeFull bool) {
	for i, router := range g.routers {
		go router.WithPolicy(func() { g.policies[i].ProbeDone(router.Now(), node, reachable, mayBeFull) })
	}
}

// endpointViews returns the first policy's view of its endpoints and the time of the view.
func (g *routerGroup) endpointViews() (views []routing.EndpointView, now policy.Micros) {
	g.first().WithPolicy(func() {
		now = g.first().Now()
		views = g.policies[0].Endpoints(now)
	})
	return views, now
}

// distrustCopies marks all nodes as unhealthy until they have answered, and excludes all copies
// that are older than now.
func (g *routerGroup) distrustCopies() {
	for i, router := range g.routers {
		now := router.Now()
		router.WithPolicy(func() {
			for _, endpoint := range g.policies[i].Endpoints(now) {
				g.policies[i].ProbeDone(now, endpoint.ID, false, false)
			}
		})
		router.PurgeOlderThan(now)
	}
}

// trustCopies allows the copies again that distrustCopies excluded.
func (g *routerGroup) trustCopies() {
	for _, router := range g.routers {
		router.PurgeOlderThan(0)
	}
}

// openRequests returns the number of requests without a final answer.
func (g *routerGroup) openRequests() (open int) {
	for _, router := range g.routers {
		open += router.OpenRequests()
	}
	return open
}

// drainBy makes open and later requests end by the deadline.
func (g *routerGroup) drainBy(deadline time.Time) {
	for _, router := range g.routers {
		router.DrainBy(deadline)
	}
}

// stop ends the routers. Events that are queued for a shard are dropped.
func (g *routerGroup) stop() {
	for _, router := range g.routers {
		router.Stop()
	}
}
