// Package shard holds the state that the shards of one router share: which shard owns the id of an
// open request, which events each shard has acknowledged, and the queues that lead to each shard.
// It does no I/O and uses no clock.
package shard

import "sync"

const stripes = 64

// Owners records which shard owns an open id. An id has at most one owner, even if several shards
// claim it at the same time. Release removes an id, so the table is as large as the number of open
// requests. The methods may be called from any goroutine; each stripe has its own lock.
type Owners struct {
	stripe [stripes]struct {
		sync.Mutex
		owner map[string]int
		_     [40]byte // keeps the stripes on separate cache lines
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

// stripeOf returns the stripe of an id, by the id's FNV-1a hash.
func stripeOf(id string) int {
	const offset, prime = 2166136261, 16777619
	hash := uint32(offset)
	for i := range len(id) {
		hash = (hash ^ uint32(id[i])) * prime
	}
	return int(hash>>16^hash) % stripes
}

// Claim makes a shard the owner of an id. It returns false if the id already has an owner, even if
// that is the same shard.
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

// Release removes an id. It does nothing unless the given shard is the id's owner.
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
