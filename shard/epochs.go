package shard

import (
	"slices"
	"sync/atomic"
)

// Epochs counts the events that all shards must heed. An event is told once the module has taken it; it is in force once each
// shard has shown that nothing decided before it is still unsent in its hands. What is written later than that was decided
// with it.
type Epochs struct {
	told  atomic.Int64
	taken []slot
}

type slot struct {
	epoch atomic.Int64
	_     [56]byte // on a line of its own
}

// NewEpochs makes one for so many shards, with no event told.
func NewEpochs(shards int) *Epochs { return &Epochs{taken: make([]slot, shards)} }

// Publish counts one more event and gives its number.
func (e *Epochs) Publish() int64 { return e.told.Add(1) }

// Latest is the number of the last event that was told.
func (e *Epochs) Latest() int64 { return e.told.Load() }

// Acknowledge shows that a shard has nothing in hand that was decided before an event. It never goes back, nor past what was told.
func (e *Epochs) Acknowledge(shard int, event int64) {
	s := &e.taken[shard].epoch
	event = min(event, e.told.Load())
	for old := s.Load(); event > old && !s.CompareAndSwap(old, event); old = s.Load() {
	}
}

// Applied is the number of the last event that every shard has taken.
func (e *Epochs) Applied() int64 {
	least := e.told.Load()
	for i := range e.taken {
		least = min(least, e.taken[i].epoch.Load())
	}
	return least
}

// Behind are the shards that have not taken an event.
func (e *Epochs) Behind(event int64) (shards []int) {
	for i := range e.taken {
		if e.taken[i].epoch.Load() < event {
			shards = append(shards, i)
		}
	}
	return slices.Clip(shards)
}
