// Package shard holds what the shards of one director must agree on: who owns an open id, how far each has come in the
// events, and the queues between them. It does no I/O and knows no clock.
package shard

import "sync"

const stripes = 64

// Owners says which shard owns an open id: one at most, however many ask at once. Emptied as downloads end.
type Owners struct {
	stripe [stripes]struct {
		sync.Mutex
		owner map[string]int
		_     [40]byte // stripes on lines of their own
	}
}

// NewOwners makes an empty table.
func NewOwners() *Owners {
	t := &Owners{}
	for i := range t.stripe {
		t.stripe[i].owner = map[string]int{}
	}
	return t
}

func stripeOf(id string) int {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return int(h>>16^h) % stripes
}

// Claim gives an id to a shard; false where one has it, also the same.
func (t *Owners) Claim(id string, shard int) bool {
	s := &t.stripe[stripeOf(id)]
	s.Lock()
	defer s.Unlock()
	if _, held := s.owner[id]; held {
		return false
	}
	s.owner[id] = shard
	return true
}

// Release gives an id free; only its owner can.
func (t *Owners) Release(id string, shard int) {
	s := &t.stripe[stripeOf(id)]
	s.Lock()
	defer s.Unlock()
	if owner, held := s.owner[id]; held && owner == shard {
		delete(s.owner, id)
	}
}

// Len is how many ids are open.
func (t *Owners) Len() (n int) {
	for i := range t.stripe {
		s := &t.stripe[i]
		s.Lock()
		n += len(s.owner)
		s.Unlock()
	}
	return n
}
