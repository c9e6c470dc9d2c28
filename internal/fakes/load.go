package fakes

import "time"

const loadSlots = 30 // slots of the overload window

// loadWindow records the work sent to a node during the overload window and the capacity of the
// node in that time.
type loadWindow struct {
	sent, capacity [loadSlots]float64 // µs of transfers at full rate, by slot
	slot           int64              // latest slot, counted from the start of the cluster
	peak           float64            // highest load, as a multiple of the overload limit
}

// slowStartShare returns the share of its warm capacity that the node has at the given time.
func (n *Node) slowStartShare(at time.Duration) float64 {
	initial, duration := n.cluster.EdgeInitialShare, n.cluster.EdgeSlowStart
	if n.Kind == Parent {
		initial, duration = n.cluster.ParentInitialShare, n.cluster.ParentSlowStart
	}
	if age := at - n.startedAt; n.Kind != Origin && age < duration {
		return initial + (1-initial)*float64(max(0, age))/float64(duration)
	}
	return 1
}

// capacity returns the number of transfers at full rate that the node can run at the given time.
func (n *Node) capacity(at time.Duration) float64 {
	warm := [...]float64{n.cluster.CacheCapacity, n.cluster.ParentCapacity, n.cluster.OriginCapacity}[n.Kind]
	return warm * n.slowStartShare(at) / n.slowdown
}

// recordWork records work sent to the node, in µs of transfers at full rate. It takes a cold node
// down if the work of the overload window exceeds the overload limit. The caller holds the lock.
func (n *Node) recordWork(work float64) {
	now := n.cluster.now()
	window := &n.loadWindow
	slot := n.advanceLoadWindow(now)
	window.sent[slot%loadSlots] += work
	if n.Kind == Origin || n.slowStartShare(now) >= 1 {
		return
	}
	factor := n.cluster.EdgeOverloadFactor
	if n.Kind == Parent {
		factor = n.cluster.ParentOverloadFactor
	}
	sent, capacity := 0.0, 0.0
	for i := range window.sent {
		sent += window.sent[i]
		if window.capacity[i] > 0 {
			capacity += window.capacity[i]
		}
	}
	// While the window is not full yet, the capacity counts as that of a full window.
	capacity = max(capacity, n.capacity(now)*float64(n.cluster.OverloadWindow.Microseconds()))
	load := sent / (factor * capacity)
	window.peak = max(window.peak, load)
	if load > 1 {
		n.overloaded = true
		n.kill()
	}
}

// advanceLoadWindow clears the slots that have passed since the last call, and returns the current
// slot.
func (n *Node) advanceLoadWindow(now time.Duration) int64 {
	window, length := &n.loadWindow, n.cluster.OverloadWindow/loadSlots
	slot := int64(now / length)
	for window.slot < slot {
		window.slot = max(window.slot, slot-loadSlots) + 1
		window.sent[window.slot%loadSlots] = 0
		window.capacity[window.slot%loadSlots] = n.capacity(time.Duration(window.slot)*length) * float64(length.Microseconds())
	}
	return slot
}

// PeakLoad returns the highest load of a cache or parent as a multiple of its overload limit, and
// whether the node failed under overload.
func (n *Node) PeakLoad() (peak float64, overloaded bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.loadWindow.peak, n.overloaded
}

// EdgeWork returns the work that the running caches can do between two times, in µs of transfers at
// full rate.
func (c *Cluster) EdgeWork(from, to time.Duration) (work float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for at := from; at < to; at += SeriesInterval {
		for _, n := range c.Nodes {
			if n.Kind == Edge && n.listener != nil {
				work += n.capacity(at) * float64(SeriesInterval.Microseconds())
			}
		}
	}
	return work
}
