package fakes

import (
	"sync"
	"time"
)

// effect is what requests with one key have done.
type effect struct {
	first time.Duration // when it was last done anew
	times int
}

// recordEffect counts an effect; a repeat within the window is dropped. The caller holds the lock.
func (c *Cluster) recordEffect(key string, t *ContentType) {
	if key == "" {
		return
	}
	e, now := c.effects[key], c.now()
	if e.times == 0 || now > e.first+t.DedupWindow {
		e.times++
		e.first = now
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
