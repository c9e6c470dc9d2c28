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

// routerGroup is the routers of a director: one with a policy for all shards, or, as an experiment, one for each shard, whose
// policies count as many more directors as there are shards. It does not change once it is made, and is safe for concurrent use.
type routerGroup struct {
	routers  []*dispatch.Router
	policies []*routing.Router    // of the router of the same index; to be used within its WithPolicy
	handlers []downstream.Handler // all shards, over which clients are spread
}

// newRouterGroup makes the routers for a number of shards; divided gives each shard a router of its own.
func newRouterGroup(settings policy.Settings, options routing.Options, timeouts policy.Timeouts, nodes *upstream.Pool,
	shards int, divided bool) *routerGroup {
	shardsPerRouter := shards
	if divided {
		settings.ZoneDirectors, shardsPerRouter = max(1, settings.ZoneDirectors)*shards, 1
	}
	group := &routerGroup{}
	for made := 0; made < shards; made += shardsPerRouter {
		routingPolicy := routing.New(settings, options)
		router := dispatch.New(routingPolicy, timeouts, nodes, shardsPerRouter)
		group.policies, group.routers = append(group.policies, routingPolicy), append(group.routers, router)
		for _, shard := range router.Shards() {
			group.handlers = append(group.handlers, shard)
		}
	}
	return group
}

// first is the router whose clock and endpoint list stand for all.
func (g *routerGroup) first() *dispatch.Router { return g.routers[0] }

// now is the time on the policies' clock.
func (g *routerGroup) now() policy.Micros { return g.first().Now() }

// setStallMonitor has all shards wait while what is known is not to be trusted. It must be called before run.
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

// apply has events of the command channel in force when it returns.
func (g *routerGroup) apply(events []discovery.Event) {
	for _, router := range g.routers {
		router.Apply(events)
	}
}

// withPolicies calls for each router in turn, while no shard asks its policy.
func (g *routerGroup) withPolicies(call func(router *dispatch.Router, routingPolicy *routing.Router)) {
	for i, router := range g.routers {
		router.WithPolicy(func() { call(router, g.policies[i]) })
	}
}

// setOptions changes the operator's settings of all policies.
func (g *routerGroup) setOptions(options routing.Options) {
	g.withPolicies(func(_ *dispatch.Router, routingPolicy *routing.Router) { routingPolicy.SetOptions(options) })
}

// setDraining has these nodes, and no others, taken for draining whatever the list says.
func (g *routerGroup) setDraining(nodes []string) {
	for _, router := range g.routers {
		router.SetDraining(nodes)
	}
}

// probeDone has all policies take what a probe of a node gave; see routing.Router.ProbeDone.
func (g *routerGroup) probeDone(node string, reachable, mayBeFull bool) {
	g.withPolicies(func(router *dispatch.Router, routingPolicy *routing.Router) {
		routingPolicy.ProbeDone(router.Now(), node, reachable, mayBeFull)
	})
}

// probeDoneAsync is probeDone for callers that must not wait for a policy.
func (g *routerGroup) probeDoneAsync(node string, reachable, mayBeFull bool) {
	for i, router := range g.routers {
		go router.WithPolicy(func() { g.policies[i].ProbeDone(router.Now(), node, reachable, mayBeFull) })
	}
}

// endpointViews is what the first policy knows of its nodes, and when.
func (g *routerGroup) endpointViews() (views []routing.EndpointView, now policy.Micros) {
	g.first().WithPolicy(func() {
		now = g.first().Now()
		views = g.policies[0].Endpoints(now)
	})
	return views, now
}

// distrustCopies has no node trusted until it has shown that it is there, and no copy served that is older than now.
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

// trustCopies has copies served again that distrustCopies has excluded.
func (g *routerGroup) trustCopies() {
	for _, router := range g.routers {
		router.PurgeOlderThan(0)
	}
}

// openRequests is how many requests have no final answer yet.
func (g *routerGroup) openRequests() (open int) {
	for _, router := range g.routers {
		open += router.OpenRequests()
	}
	return open
}

// drainBy has open requests, and those that still come, end by a time.
func (g *routerGroup) drainBy(deadline time.Time) {
	for _, router := range g.routers {
		router.DrainBy(deadline)
	}
}

// stop ends the routers; what waits for a shard is dropped.
func (g *routerGroup) stop() {
	for _, router := range g.routers {
		router.Stop()
	}
}
