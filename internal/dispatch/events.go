package dispatch

import (
	"maps"
	"slices"

	"tallyproxy/internal/discovery"
	"tallyproxy/internal/upstream"
	"tallyproxy/policy"
	"tallyproxy/wallclock"
)

// endpoint is one process of an endpoint. Each shard has its own connections to it, within the
// common limit of the pool: with shared connections, all shards would wait for each other's locks.
type endpoint struct {
	byShard []*upstream.Endpoint
	address string
	started policy.Micros
}

// endpointStart is the start of an endpoint, on the list's wall clock and on the policy's clock.
type endpointStart struct{ listed, local policy.Micros }

// reading returns the clocks at the arrival of an event.
func (r *Router) reading(e discovery.Event) wallclock.Reading {
	return wallclock.Reading{Now: r.Now(), Wall: policy.Micros(r.wallClock().UnixMicro()), AnnouncedWithin: e.AnnouncedWithin}
}

// localStart returns when a listed endpoint started, on the policy's clock; 0 if long ago. The same
// start has the same time in every list. The caller holds mu.
func (r *Router) localStart(node discovery.Endpoint, reading wallclock.Reading) policy.Micros {
	if node.Started == 0 {
		delete(r.starts, node.ID)
		return 0
	}
	start, known := r.starts[node.ID]
	if !known || start.listed != node.Started {
		start = endpointStart{listed: node.Started, local: reading.Local(node.Started)}
		r.starts[node.ID] = start
	}
	return start.local
}

// forget drops what is kept of an endpoint that the list no longer names. The caller holds mu.
func (r *Router) forget(id string) {
	delete(r.endpoints, id)
	delete(r.listed, id)
	delete(r.starts, id)
}

func (r *Router) newEndpoint(node discovery.Endpoint) *endpoint {
	e := &endpoint{make([]*upstream.Endpoint, len(r.shards)), node.Address, node.Started}
	for i := range e.byShard {
		e.byShard[i] = r.pool.NewEndpoint(node.Address)
	}
	return e
}

// isSameProcess reports whether a list entry describes this process, rather than a later one or
// another.
func (e *endpoint) isSameProcess(node discovery.Endpoint) bool {
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

// Epochs returns the number of the latest event received and that of the latest event that all
// shards have applied.
func (r *Router) Epochs() (latest, applied int64) { return r.epochs.Latest(), r.epochs.Applied() }

// Apply processes events of the command channel. When it returns, the policy takes them into
// account. Each shard acknowledges them after its next iteration, when it has carried out all
// decisions made before.
func (r *Router) Apply(events []discovery.Event) {
	for _, e := range events {
		r.WithPolicy(func() { r.apply(e) })
	}
	r.wakeShards()
}

// apply processes an event. The caller holds mu.
func (r *Router) apply(e discovery.Event) {
	defer r.epochs.Publish()
	switch {
	case e.HasEndpoints:
		r.updateEndpoints(e.Endpoints, e.Snapshot, r.reading(e))
	case e.PurgedAt > 0:
		r.purge(e.Object, e.Group, r.reading(e).Local(e.PurgedAt))
	}
}

// updateEndpoints applies an endpoint list, or only its changed entries if complete is false. The
// caller holds mu.
func (r *Router) updateEndpoints(nodes []discovery.Endpoint, complete bool, reading wallclock.Reading) {
	nodes = r.withDisplaced(nodes, complete)
	updated, present := make([]policy.Endpoint, len(nodes)), map[string]bool{}
	for i, node := range nodes {
		if r.listed[node.ID] = node; node.State == policy.Removed {
			delete(r.listed, node.ID)
		}
		if r.forcedDraining[node.ID] && node.State == policy.Ready {
			node.State = policy.Draining
		}
		updated[i], present[node.ID] = node.Endpoint, true
		updated[i].Started = r.localStart(node, reading)
		r.updateEndpoint(node)
	}
	if complete {
		for id, e := range r.endpoints {
			if !present[id] {
				e.closeWhenIdle()
				r.forget(id)
			}
		}
	}
	r.policy.UpdateEndpoints(r.Now(), updated, complete)
}

// withDisplaced returns list entries in which every endpoint whose address a later process of another
// name has taken is removed: requests for it would reach that process. Of two entries of a complete
// list, the process that started later has the address; of changes, it is the changed entry. The
// caller holds mu.
func (r *Router) withDisplaced(nodes []discovery.Endpoint, complete bool) []discovery.Endpoint {
	nodes = slices.Clone(nodes)
	present, holders := map[string]bool{}, map[string]int{} // by ID; index in nodes by address
	for i := range nodes {
		node := &nodes[i]
		present[node.ID] = true
		if node.State == policy.Removed {
			continue
		}
		other, taken := holders[node.Address]
		if taken && nodes[other].ID != node.ID && nodes[other].Started != node.Started {
			if nodes[other].Started > node.Started {
				node.State = policy.Removed
				continue
			}
			nodes[other].State = policy.Removed
		}
		holders[node.Address] = i
	}
	if complete {
		return nodes
	}
	for _, id := range slices.Sorted(maps.Keys(r.listed)) {
		node := r.listed[id]
		if _, taken := holders[node.Address]; taken && !present[id] {
			node.State = policy.Removed
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// updateEndpoint updates an endpoint's connections according to its list entry. A process that was
// replaced or removed gets no further requests.
func (r *Router) updateEndpoint(node discovery.Endpoint) {
	e := r.endpoints[node.ID]
	if e != nil && (node.State == policy.Removed || !e.isSameProcess(node)) {
		e.closeWhenIdle()
		delete(r.endpoints, node.ID)
		e = nil
	}
	if node.State == policy.Removed {
		r.forget(node.ID)
		return
	}
	if e == nil {
		e = r.newEndpoint(node)
		r.endpoints[node.ID] = e
	}
	e.setDraining(node.State != policy.Ready)
}

// purge stops copies older than at from being served. The caller holds mu.
func (r *Router) purge(object string, group int, at policy.Micros) {
	r.purges.Add(1)
	r.policy.Purge(r.Now(), object, group, at)
}

// PurgeOlderThan stops all copies older than at from being served. A value of 0 revokes this, but
// not the purges from events.
func (r *Router) PurgeOlderThan(at policy.Micros) {
	r.WithPolicy(func() { r.purge("", policy.AllGroups, at) })
	r.wakeShards()
}

// Address returns the address of the listed endpoint with the given ID, or an empty string if there
// is none.
func (r *Router) Address(id string) (address string) {
	r.WithPolicy(func() { address = r.listed[id].Address })
	return address
}

// SetDraining makes the endpoints with the given IDs, and no others, be treated as draining
// regardless of the list. The change is applied like a list event.
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
	r.wakeShards()
}

// wakeShards makes each shard run an iteration, in which it acknowledges the latest event.
func (r *Router) wakeShards() {
	for _, s := range r.shards {
		s.calls.PutUnbounded(func() {})
	}
}
