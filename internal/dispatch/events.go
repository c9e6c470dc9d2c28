package dispatch

import (
	"maps"
	"slices"

	"tallyproxy/internal/discovery"
	"tallyproxy/internal/upstream"
	"tallyproxy/policy"
)

// endpoint is one process of an endpoint. Each shard has connections of its own to it, within the pool's one limit: shared ones
// would have all shards wait for each other's locks.
type endpoint struct {
	byShard []*upstream.Endpoint
	address string
	started policy.Micros
}

func (r *Router) newEndpoint(node discovery.Endpoint) *endpoint {
	e := &endpoint{make([]*upstream.Endpoint, len(r.shards)), node.Address, node.Started}
	for i := range e.byShard {
		e.byShard[i] = r.pool.NewEndpoint(node.Address)
	}
	return e
}

// is reports whether a list entry is of this process, and not of a later one or another.
func (e *endpoint) is(node discovery.Endpoint) bool {
	return e.address == node.Address && e.started == node.Started
}

func (e *endpoint) closeWhenIdle() {
	for _, u := range e.byShard {
		u.CloseWhenIdle()
	}
}

func (e *endpoint) setDraining(draining bool) {
	for _, u := range e.byShard {
		u.SetDraining(draining)
	}
}

// Epochs returns the number of the last event that came, and that of the last one that all shards have applied.
func (r *Router) Epochs() (latest, applied int64) { return r.epochs.Latest(), r.epochs.Applied() }

// Apply takes events of the command channel. When it returns, the policy heeds them; each shard shows with its next turn that
// nothing decided before is left in its hands.
func (r *Router) Apply(events []discovery.Event) {
	for _, e := range events {
		r.WithPolicy(func() { r.apply(e) })
	}
	r.wake()
}

// apply takes an event, with mu held.
func (r *Router) apply(e discovery.Event) {
	defer r.epochs.Publish()
	switch {
	case e.HasEndpoints:
		r.updateEndpoints(e.Endpoints, e.Snapshot)
	case e.PurgedAt > 0:
		r.purge(e.Object, e.Group, e.PurgedAt)
	}
}

// updateEndpoints takes the endpoint list, whole or the changed entries alone, with mu held.
func (r *Router) updateEndpoints(nodes []discovery.Endpoint, complete bool) {
	rows, named := make([]policy.Endpoint, len(nodes)), map[string]bool{}
	for i, node := range nodes {
		if r.listed[node.ID] = node; node.State == policy.Removed {
			delete(r.listed, node.ID)
		}
		if r.forcedDraining[node.ID] && node.State == policy.Ready {
			node.State = policy.Draining
		}
		rows[i], named[node.ID] = node.Endpoint, true
		r.updateEndpoint(node)
	}
	if complete {
		for id, e := range r.endpoints {
			if !named[id] {
				e.closeWhenIdle()
				delete(r.endpoints, id)
				delete(r.listed, id)
			}
		}
	}
	r.policy.UpdateEndpoints(r.Now(), rows, complete)
}

// updateEndpoint has an endpoint's connections follow its list entry: a process that was replaced or removed gets nothing more.
func (r *Router) updateEndpoint(node discovery.Endpoint) {
	e := r.endpoints[node.ID]
	if e != nil && (node.State == policy.Removed || !e.is(node)) {
		e.closeWhenIdle()
		delete(r.endpoints, node.ID)
		e = nil
	}
	if node.State == policy.Removed {
		return
	}
	if e == nil {
		e = r.newEndpoint(node)
		r.endpoints[node.ID] = e
	}
	e.setDraining(node.State != policy.Ready)
}

// purge has copies older than a time no longer be served, with mu held.
func (r *Router) purge(object string, group int, at policy.Micros) {
	r.purges.Add(1)
	r.policy.Purge(r.Now(), object, group, at)
}

// PurgeOlderThan has no copy older than a time be served; 0 takes that back, and leaves the purges that events brought.
func (r *Router) PurgeOlderThan(at policy.Micros) {
	r.WithPolicy(func() { r.purge("", policy.AllGroups, at) })
	r.wake()
}

// Address returns where an endpoint of the list listens; empty where there is none of that id.
func (r *Router) Address(id string) (address string) {
	r.WithPolicy(func() { address = r.listed[id].Address })
	return address
}

// SetDraining has the endpoints of these ids taken for draining, whatever the list says, and no others. It is applied as an event
// of the list is.
func (r *Router) SetDraining(ids []string) {
	r.WithPolicy(func() {
		before := r.forcedDraining
		r.forcedDraining = map[string]bool{}
		for _, id := range ids {
			r.forcedDraining[id] = true
		}
		e := discovery.Event{HasEndpoints: true}
		for _, id := range slices.Sorted(maps.Keys(r.listed)) {
			if before[id] != r.forcedDraining[id] {
				e.Endpoints = append(e.Endpoints, r.listed[id])
			}
		}
		if len(e.Endpoints) > 0 {
			r.apply(e)
		}
	})
	r.wake()
}

// wake has each shard take a turn, with which it acknowledges what came.
func (r *Router) wake() {
	for _, s := range r.shards {
		s.calls.PutUnbounded(func() {})
	}
}
