package faulttest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"tallyproxy/internal/fakes"
)

// cacheNodeName returns the name of an edge cache in the fake cluster, numbered from 0.
func cacheNodeName(number int) string { return fmt.Sprint("box-", number) }

// purgedGroups is the number of groups to purge: every second one of the 256 groups of the fakes.
const purgedGroups = 128

// zoneLoss kills the directors and caches of zones. At its end it starts them again, with cold
// caches.
type zoneLoss struct {
	faultRun // Targets are the zones' directors
	zones    []int
}

func newZoneLoss(r faultRun) fault {
	f := zoneLoss{r, r.Targets}
	f.Targets = nil
	for i, p := range r.processes {
		if slices.Contains(f.zones, r.harness.Cluster.ZoneOf(p.Name)) {
			f.Targets = append(f.Targets, i)
		}
	}
	return f
}

// caches returns the edge caches of the zones.
func (f zoneLoss) caches() (nodes []*fakes.Node) {
	for _, n := range f.harness.Cluster.Nodes {
		if n.Kind == fakes.Edge && slices.Contains(f.zones, f.harness.Cluster.ZoneOf(n.Name)) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (f zoneLoss) apply(context.Context) {
	for _, n := range f.caches() {
		n.Kill()
	}
	f.forTargets(f.harness.kill)
}

func (f zoneLoss) undo(ctx context.Context) {
	for _, n := range f.caches() {
		f.harness.recordError("restart of "+n.Name, n.Restart())
	}
	f.restartTargets(ctx)
}

// coldCaches restarts caches, which lose their copies.
type coldCaches struct{ faultRun }

func (f coldCaches) apply(context.Context) {
	for _, n := range f.nodes() {
		n.Kill()
		f.harness.recordError("restart of "+n.Name, n.Restart())
	}
}

// replaceCaches replaces half of the caches, one after another. An old cache is removed only after
// its replacement has been added.
type replaceCaches struct{ faultRun }

func (f replaceCaches) apply(ctx context.Context) {
	half := f.harness.spec.CacheNodes / 2
	for i := range half {
		f.replace(i)
		fakes.Sleep(ctx, f.duration/time.Duration(2*half))
	}
	fakes.Sleep(ctx, f.duration/2+100*time.Millisecond)
}

// replace adds a new cache, drains an old one, and removes the old one after half of the fault's
// duration.
func (f replaceCaches) replace(number int) {
	old := f.harness.Cluster.Node(cacheNodeName(number))
	_, err := f.harness.Cluster.AddNode(fakes.Edge, fmt.Sprint("new-", number), true)
	f.harness.recordError("replacement of "+old.Name, err)
	old.Announce("draining")
	time.AfterFunc(f.duration/2, func() {
		old.Announce("removed")
		old.Kill()
	})
}

// purgeGroups purges half of the groups.
type purgeGroups struct{ faultRun }

func (f purgeGroups) apply(context.Context) {
	for i := range purgedGroups {
		f.harness.Cluster.Purge("", 2*i)
	}
}

// drainCache announces the first cache as draining, and as up at its end.
type drainCache struct{ node *fakes.Node }

func newDrainCache(r faultRun) fault { return drainCache{r.harness.Cluster.Node(cacheNodeName(0))} }

func (f drainCache) apply(context.Context) { f.node.Announce("draining") }
func (f drainCache) undo(context.Context)  { f.node.Announce("up") }
