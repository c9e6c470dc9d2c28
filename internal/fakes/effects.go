package fakes

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// maxKeyEvents is the number of recorded events per key.
const maxKeyEvents = 32

// effect records the effects of requests with one idempotency key.
type effect struct {
	first  time.Duration // arrival of the latest attempt that was not a duplicate
	times  int
	events []string // actions of clients and nodes on the key, with times
}

// recordKeyEvent records an event of a key, for the report on keys that took effect twice. The
// caller holds the lock.
func (c *Cluster) recordKeyEvent(key, format string, args ...any) {
	e := c.effects[key]
	if key == "" || len(e.events) >= maxKeyEvents {
		return
	}
	e.events = append(e.events, c.clockTime()+" "+fmt.Sprintf(format, args...))
	c.effects[key] = e
}

// recordClientKeyEvent is recordKeyEvent for clients, which do not hold the lock.
func (c *Cluster) recordClientKeyEvent(key, format string, args ...any) {
	if key == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordKeyEvent(key, format, args...)
}

// RepeatedEffectEvents returns the recorded events of all keys that took effect twice, one line
// each.
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

// recordEffect counts the effect of an attempt that arrived at arrivedAt. An attempt that arrived
// within the dedup window after the last counted one is dropped as a duplicate, no matter when it
// is processed. The caller holds the lock.
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

// EffectCount returns how often the request with a key took effect.
func (c *Cluster) EffectCount(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.effects[key].times
}

// effectStripes is the number of separately locked stripes of instantEffects. They keep lock
// contention out of measurements.
const effectStripes = 64

// instantEffects counts the effects per key at nodes that answer instantly.
type instantEffects struct {
	stripes [effectStripes]struct {
		sync.Mutex
		times map[string]int
	}
}

// add counts an effect. The key must not be empty.
func (e *instantEffects) add(key string) {
	s := &e.stripes[key[len(key)-1]%effectStripes]
	s.Lock()
	defer s.Unlock()
	if s.times == nil {
		s.times = map[string]int{}
	}
	s.times[key]++
}

// RepeatedInstantEffects returns the number of keys that took effect more than once at nodes that
// answer instantly.
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
