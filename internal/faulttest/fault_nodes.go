package faulttest

import (
	"context"
	"time"

	"tallyproxy/internal/fakes"
)

// nodes returns the cache nodes of a fault's Targets.
func (r faultRun) nodes() (nodes []*fakes.Node) {
	for _, i := range r.Targets {
		if n := r.harness.Cluster.Node(cacheNodeName(i)); n != nil {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// faultyNodes has nodes misbehave until its end.
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

// crashedNodes kills nodes, and starts them again, cold, at its end.
type crashedNodes struct {
	faultRun
	announced bool // as up, from its begin on
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

// idleCloseInterval is the time between two looks for idle connections.
const idleCloseInterval = 50 * time.Millisecond

// idleCloses has nodes end idle connections early until its end.
type idleCloses struct{ faultRun }

func (f idleCloses) apply(ctx context.Context) {
	for until := time.Now().Add(f.duration); time.Now().Before(until) && fakes.Sleep(ctx, idleCloseInterval); {
		for _, n := range f.nodes() {
			n.CloseIdle()
		}
	}
}

// crowd has idle clients connect to directors until its end.
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
