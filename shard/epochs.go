package shard

import (
	"slices"
	"sync/atomic"
)

// Epochs numbers the events that all shards must apply, such as endpoint updates and purges. An
// event is published once the policy has processed it. It is applied once every shard has
// acknowledged that it holds no unsent output that was decided before the event: everything that is
// written later was decided with the event. The methods may be called from any goroutine.
type Epochs struct {
	published    atomic.Int64
	acknowledged []acknowledgement // by shard
}

type acknowledgement struct {
	epoch atomic.Int64
	_     [56]byte // pads to a cache line
}

// NewEpochs returns the Epochs of the given number of shards, with no event published.
func NewEpochs(shards int) *Epochs { return &Epochs{acknowledged: make([]acknowledgement, shards)} }

// Publish counts one more event and returns its number; the first is 1.
func (e *Epochs) Publish() int64 { return e.published.Add(1) }

// Latest returns the number of the last published event, or 0 before the first.
func (e *Epochs) Latest() int64 { return e.published.Load() }

// Acknowledge records that a shard holds no output that was decided before an event. The recorded
// number never decreases, and never exceeds that of the last published event.
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
