package fakes

import "time"

const loadSlots = 30 // into which the overload window is divided

// loadWindow is the work that was sent to a node in the overload window, against what it could do.
type loadWindow struct {
	sent, capacity [loadSlots]float64 // µs of transfers at full pace, by slot
	slot           int64              // the latest, counted from the cluster's start
	peak           float64            // the most that was sent, over what pushes the node over
}

// slowStartShare is the share of its capacity that the node has at a time.
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

// capacity is how many transfers at full pace the node can do at a time.
func (n *Node) capacity(at time.Duration) float64 {
	warm := [...]float64{n.cluster.CacheCapacity, n.cluster.ParentCapacity, n.cluster.OriginCapacity}[n.Kind]
	return warm * n.slowStartShare(at) / n.slowdown
}

// recordWork counts work that was sent to the node, in µs, and takes the node down where that was too much for too long. The caller holds
// the lock.
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
	capacity = max(capacity, n.capacity(now)*float64(n.cluster.OverloadWindow.Microseconds())) // a window that has only begun
	load := sent / (factor * capacity)
	window.peak = max(window.peak, load)
	if load > 1 {
		n.overloaded = true
		n.kill()
	}
}

// advanceLoadWindow clears the slots since the last work, and returns the present one.
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

// PeakLoad returns the most that a cache or parent was sent, over what pushes it over, and whether it was pushed over.
func (n *Node) PeakLoad() (peak float64, overloaded bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.loadWindow.peak, n.overloaded
}

// EdgeWork returns the work that the caches could have done between two times, in µs of transfers at full pace.
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
