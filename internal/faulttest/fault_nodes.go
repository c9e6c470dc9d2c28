package faulttest

import (
	"context"
	"time"

	"tallyproxy/internal/fakes"
)

// nodes returns the cache nodes that Targets selects.
func (r faultRun) nodes() (nodes []*fakes.Node) {
	for _, i := range r.Targets {
		if n := r.harness.Cluster.Node(cacheNodeName(i)); n != nil {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// faultyNodes makes nodes misbehave until the fault ends.
type faultyNodes struct {
	faultRun
	fault fakes.Fault
}

func (f faultyNodes) apply(context.Context) { f.set(f.fault) }
func (f faultyNodes) undo(context.Context)  { f.set(fakes.FaultNone) }

func (f faultyNodes) set(fault fakes.Fault) {
	for _, n := range f.nodes() {
		n.SetFault(fault, 1)
	}
}

// crashedNodes kills nodes. At its end it starts them again, with cold caches.
type crashedNodes struct {
	faultRun
	announced bool // announce the killed nodes as up
}

func (f crashedNodes) apply(context.Context) {
	for _, n := range f.nodes() {
		n.Kill()
		if f.announced {
			n.Announce("up")
		}
	}
}

func (f crashedNodes) undo(context.Context) {
	for _, n := range f.nodes() {
		f.harness.recordError("restart of "+n.Name, n.Restart())
	}
}

// idleCloseInterval is the time between two rounds of closing idle connections.
const idleCloseInterval = 50 * time.Millisecond

// idleCloses makes nodes close idle connections early until the fault ends.
type idleCloses struct{ faultRun }

func (f idleCloses) apply(ctx context.Context) {
	for until := time.Now().Add(f.duration); time.Now().Before(until) && fakes.Sleep(ctx, idleCloseInterval); {
		for _, n := range f.nodes() {
			n.CloseIdle()
		}
	}
}

// idleClients connects idle clients to directors until the fault ends.
type idleClients struct{ faultRun }

func (f idleClients) apply(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.duration)
	defer cancel()
	var clients []*fakes.Client
	for _, i := range f.Targets {
		f.processes[i].SetCrowded(true)
		defer f.processes[i].SetCrowded(false)
		for range int(f.Rate) {
			clients = append(clients, &fakes.Client{
				Cluster: f.harness.Cluster, Targets: []*fakes.Target{&f.processes[i].Target}, Rand: newStream(f.rand),
			})
		}
	}
	f.harness.runIdleClients(ctx, clients)
}
