// Package shard holds what the shards of one router must agree on: which of them owns an open request's id, how far each has come
// in the stream of events, and the queues that lead to each. It does no I/O and knows no clock.
package shard

import "sync"

const stripes = 64

// Owners records which shard owns an open id: at most one, however many claim it at once. An id leaves by Release, so the table
// is as large as the number of open requests. Its methods may be called from any goroutine; a lock for each stripe guards it.
type Owners struct {
	stripe [stripes]struct {
		sync.Mutex
		owner map[string]int
		_     [40]byte // each stripe on cache lines of its own
	}
}

// NewOwners returns an empty table.
func NewOwners() *Owners {
	o := &Owners{}
	for i := range o.stripe {
		o.stripe[i].owner = map[string]int{}
	}
	return o
}

// stripeOf spreads the ids by their FNV-1a hash.
func stripeOf(id string) int {
	const offset, prime = 2166136261, 16777619
	hash := uint32(offset)
	for i := range len(id) {
		hash = (hash ^ uint32(id[i])) * prime
	}
	return int(hash>>16^hash) % stripes
}

// Claim makes a shard the owner of an id. It returns false where the id has an owner already, also where that is the same shard.
func (o *Owners) Claim(id string, shard int) bool {
	s := &o.stripe[stripeOf(id)]
	s.Lock()
	defer s.Unlock()
	if _, owned := s.owner[id]; owned {
		return false
	}
	s.owner[id] = shard
	return true
}

// Release frees an id. It does nothing unless the shard is the id's owner.
func (o *Owners) Release(id string, shard int) {
	s := &o.stripe[stripeOf(id)]
	s.Lock()
	defer s.Unlock()
	if owner, owned := s.owner[id]; owned && owner == shard {
		delete(s.owner, id)
	}
}

// Len returns the number of open ids.
func (o *Owners) Len() (n int) {
	for i := range o.stripe {
		s := &o.stripe[i]
		s.Lock()
		n += len(s.owner)
		s.Unlock()
	}
	return n
}
