package fakes

import (
	"strings"
	"time"
)

// cachedCopy is a copy of one part of an object that a node holds.
type cachedCopy struct {
	key  string    // object and part
	born time.Time // when the origin issued it
}

// fillCallback is called at the end of a fill with the time at which the origin issued the copy,
// zero if the fill failed, and a note for the answer.
type fillCallback func(born time.Time, note string)

// pendingFill is a fill in progress.
type pendingFill struct {
	waiters []fillCallback // callbacks of requests that joined the fill
}

// connectTimeout is how long a node waits for a source that does not answer.
const connectTimeout = 300 * time.Millisecond

// fill fetches a copy from a source over the zone's link. It calls done at the end of the fill,
// with the lock held. The caller holds the lock.
func (n *Node) fill(source *Node, key string, work float64, onlyIfCached bool, isFresh func(time.Time) bool, done fillCallback) {
	c := n.cluster
	if source.listener == nil || source.fault == FaultNoAnswer {
		time.AfterFunc(connectTimeout, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			done(time.Time{}, noteCutOff)
		})
		return
	}
	source.recordWork(work / c.FillSpeedup)
	if source.listener == nil { // recordWork took the source down for overload
		done(time.Time{}, noteCutOff)
		return
	}
	// Two parts: the transfer at the source and the transfer on the link.
	born, note, partsLeft := source.lookup(key), noteFilled, 2
	partDone := func() {
		if partsLeft--; partsLeft == 0 {
			done(born, note)
		}
	}
	switch {
	case source.Kind == Origin:
		born, note = time.Now(), noteOrigin
	case !isFresh(born):
		if onlyIfCached {
			done(time.Time{}, noteMissing)
			return
		}
		partsLeft++
		note = noteOrigin
		source.fillFromOrigin(key, work, func(at time.Time) {
			born = at
			partDone()
		})
	}
	source.transfers.add(work, partDone)
	c.links[c.ZoneOf(n.Name)].add(work, partDone)
}

// fillFromOrigin makes a parent fetch its copy from the origin. It calls done, with the lock held,
// with the time at which the origin issued the copy.
func (n *Node) fillFromOrigin(key string, work float64, done func(born time.Time)) {
	c := n.cluster
	time.AfterFunc(c.OriginLatency, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.origin().recordWork(work / c.FillSpeedup)
		c.origin().transfers.add(work, func() {
			born := time.Now()
			n.store(key, born)
			done(born)
		})
	})
}

// lookup returns when the origin issued the copy that the node holds, or the zero time if it holds
// none. It drops a copy that was purged.
func (n *Node) lookup(key string) time.Time {
	e := n.copies[key]
	if e == nil || n.Kind == Origin {
		return time.Time{}
	}
	object, _, _ := strings.Cut(key, "/")
	if born := e.Value.(*cachedCopy).born; n.cluster.mayHoldCopy(object, born) {
		n.copyOrder.MoveToFront(e)
		return born
	}
	n.copyOrder.Remove(e)
	delete(n.copies, key)
	return time.Time{}
}

// store keeps a copy, and evicts the least recently used copy if there are more than CacheEntries.
// The caller holds the lock.
func (n *Node) store(key string, born time.Time) {
	if e := n.copies[key]; e != nil {
		e.Value.(*cachedCopy).born = born
		n.copyOrder.MoveToFront(e)
		return
	}
	n.copies[key] = n.copyOrder.PushFront(&cachedCopy{key, born})
	if n.copyOrder.Len() > n.cluster.CacheEntries {
		last := n.copyOrder.Back()
		delete(n.copies, last.Value.(*cachedCopy).key)
		n.copyOrder.Remove(last)
	}
}

// Prefill stores current copies of the objects at a node, as if they had been requested earlier.
func (n *Node) Prefill(objects ...Object) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for _, o := range objects {
		n.store(o.ID+"/0", time.Now())
	}
}

// popularObjects is the number of the most popular objects per content type that PrefillCaches
// stores in every cache.
const popularObjects = 64

// PrefillCaches fills the caches and parents with the copies that they would hold after a long
// period of normal traffic.
func (c *Cluster) PrefillCaches() {
	for i, n := range c.Nodes {
		if n.Kind == Origin {
			continue
		}
		for t := range c.ContentTypes {
			for o := range c.Objects / 2 {
				if n.Kind == Parent || (o+i)%2 == 0 || o < popularObjects {
					n.Prefill(c.Object(&c.ContentTypes[t], o))
				}
			}
		}
	}
}
