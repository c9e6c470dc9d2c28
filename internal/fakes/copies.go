package fakes

import (
	"strings"
	"time"
)

// cachedCopy is a copy of an object's part that a node holds.
type cachedCopy struct {
	key  string    // object and part
	born time.Time // when the origin gave it out
}

// fillDone takes the end of a fill: when the copy was given out by the origin, zero where the fill failed, and a note.
type fillDone func(born time.Time, note string)

// pendingFill is a fill that is under way.
type pendingFill struct {
	waiters []fillDone // of requests that have joined it
}

// connectTimeout is after how long a node gives up a source that does not answer.
const connectTimeout = 300 * time.Millisecond

// fill fetches a copy from a source, over the zone's link, and calls done at its end, under the lock. The caller holds the lock.
func (n *Node) fill(source *Node, key string, work float64, onlyIfCached bool, isFresh func(time.Time) bool, done fillDone) {
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
	if source.listener == nil { // that was too much for it
		done(time.Time{}, noteCutOff)
		return
	}
	born, note, partsLeft := source.lookup(key), noteFilled, 2 // the source's transfer and the link's
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

// fillFromOrigin has a parent fetch its own copy, and calls done under the lock with the time at which the origin gave it out.
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

// lookup returns when the copy that is held was given out by the origin; zero for none.
func (n *Node) lookup(key string) time.Time {
	e := n.copies[key]
	if e == nil || n.Kind == Origin {
		return time.Time{}
	}
	object, _, _ := strings.Cut(key, "/")
	if born := e.Value.(*cachedCopy).born; n.cluster.mayKeep(object, born) {
		n.copyOrder.MoveToFront(e)
		return born
	}
	n.copyOrder.Remove(e)
	delete(n.copies, key)
	return time.Time{}
}

// store keeps a copy, and drops the one that was least recently used where there are too many. The caller holds the lock.
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

// Prefill gives a node copies of objects, as if they had been requested long ago.
func (n *Node) Prefill(objects ...Object) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for _, o := range objects {
		n.store(o.ID+"/0", time.Now())
	}
}

// popularObjects are held by every cache after a calm day.
const popularObjects = 64

// PrefillCaches gives the caches and parents what they would hold after a long calm day.
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
