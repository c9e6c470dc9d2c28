package shard

import (
	"slices"
	"sync/atomic"
)

// Epochs numbers the events that all shards must heed, such as endpoint updates and purges. An event is published once the policy
// has taken it. It is applied once each shard has acknowledged that nothing decided before it is still unsent in its hands:
// whatever is written later was decided with the event. Its methods may be called from any goroutine.
type Epochs struct {
	published    atomic.Int64
	acknowledged []acknowledgement // by shard
}

type acknowledgement struct {
	epoch atomic.Int64
	_     [56]byte // each on a cache line of its own
}

// NewEpochs returns the epochs of a number of shards, with no event published.
func NewEpochs(shards int) *Epochs { return &Epochs{acknowledged: make([]acknowledgement, shards)} }

// Publish counts one more event and returns its number; the first is 1.
func (e *Epochs) Publish() int64 { return e.published.Add(1) }

// Latest returns the number of the last published event, 0 before the first.
func (e *Epochs) Latest() int64 { return e.published.Load() }

// Acknowledge records that a shard holds nothing that was decided before an event. The record never goes back, nor beyond what
// has been published.
func (e *Epochs) Acknowledge(shard int, event int64) {
	epoch := &e.acknowledged[shard].epoch
	event = min(event, e.published.Load())
	for old := epoch.Load(); event > old && !epoch.CompareAndSwap(old, event); old = epoch.Load() {
	}
}

// Applied returns the number of the last event that every shard has acknowledged.
func (e *Epochs) Applied() int64 {
	least := e.published.Load()
	for i := range e.acknowledged {
		least = min(least, e.acknowledged[i].epoch.Load())
	}
	return least
}

// Behind returns the shards that have not acknowledged an event.
func (e *Epochs) Behind(event int64) (shards []int) {
	for i := range e.acknowledged {
		if e.acknowledged[i].epoch.Load() < event {
			shards = append(shards, i)
		}
	}
	return slices.Clip(shards)
}
