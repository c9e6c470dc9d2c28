package fakes

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// maxKeyEvents is how many events of a key are kept.
const maxKeyEvents = 32

// effect is what requests with one key have done.
type effect struct {
	first  time.Duration // when the attempt arrived that last did it anew
	times  int
	events []string // what clients and nodes did with the key, with times
}

// recordKeyEvent keeps what was done with a key, to be told where it has its effect twice. The caller holds the lock.
func (c *Cluster) recordKeyEvent(key, format string, args ...any) {
	e := c.effects[key]
	if key == "" || len(e.events) >= maxKeyEvents {
		return
	}
	e.events = append(e.events, c.clockTime()+" "+fmt.Sprintf(format, args...))
	c.effects[key] = e
}

// noteKey is recordKeyEvent for clients, which do not hold the lock.
func (c *Cluster) noteKey(key, format string, args ...any) {
	if key == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordKeyEvent(key, format, args...)
}

// RepeatedEffectEvents returns what was done with the keys that had their effect twice, a line each.
func (c *Cluster) RepeatedEffectEvents() (events []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(c.effects)) {
		if e := c.effects[key]; e.times > 1 {
			events = append(append(events, "key "+key), e.events...)
		}
	}
	return events
}

// recordEffect counts the effect of an attempt that arrived at a time. One that arrived within the window after the first is dropped as
// a repeat, whenever its turn comes. The caller holds the lock.
func (c *Cluster) recordEffect(key string, t *ContentType, arrivedAt time.Duration) {
	if key == "" {
		return
	}
	c.recordKeyEvent(key, "effect at the origin")
	e := c.effects[key]
	if e.times == 0 || arrivedAt > e.first+t.DedupWindow {
		e.times++
		e.first = arrivedAt
	}
	c.effects[key] = e
}

// EffectCount returns how often a key had its effect.
func (c *Cluster) EffectCount(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.effects[key].times
}

// effectStripes divide the locks of instantEffects, so that they stay out of the way of measurements.
const effectStripes = 64

// instantEffects counts effects of keys at nodes that answer at once.
type instantEffects struct {
	stripes [effectStripes]struct {
		sync.Mutex
		times map[string]int
	}
}

// add counts an effect. The key is not empty.
func (e *instantEffects) add(key string) {
	s := &e.stripes[key[len(key)-1]%effectStripes]
	s.Lock()
	defer s.Unlock()
	if s.times == nil {
		s.times = map[string]int{}
	}
	s.times[key]++
}

// RepeatedInstantEffects returns how many keys had their effect more than once at nodes that answer at once.
func (c *Cluster) RepeatedInstantEffects() (n int) {
	for i := range c.instantEffects.stripes {
		n += c.instantEffects.repeatedIn(i)
	}
	return n
}

func (e *instantEffects) repeatedIn(stripe int) (n int) {
	s := &e.stripes[stripe]
	s.Lock()
	defer s.Unlock()
	for _, times := range s.times {
		if times > 1 {
			n++
		}
	}
	return n
}
