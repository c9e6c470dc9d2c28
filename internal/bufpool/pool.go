// Package pool lends buffers of a few sizes, up to what memory allows, and keeps bodies in them.
package bufpool

import (
	"sync"
	"sync/atomic"
)

// Size of the largest buffers, and of those that connections read into. A client's largest message fits into one.
const Size = 64 << 10

const (
	unit = 4 << 10 // the smallest buffer; what is out is counted in these
	kept = 4 << 20 // bytes of free buffers of a size that are kept for the next use
)

// sizes that are lent: most bodies are small, and a large buffer for each would be mostly empty.
var sizes = [...]int{unit, 16 << 10, Size}

// Pool lends buffers. It is safe for concurrent use.
type Pool struct {
	mu        sync.Mutex
	free      [len(sizes)][][]byte
	out, most atomic.Int64 // in units
}

// New makes a pool that lends buffers for bodies while fewer than so many of Size, or as much in smaller ones, are out.
func New(most int) *Pool {
	p := &Pool{}
	p.Limit(most)
	return p
}

// Limit sets how many buffers of Size may be out when one is lent for a body.
func (p *Pool) Limit(most int) { p.most.Store(int64(most) * (Size / unit)) }

// Get lends a buffer of Size to a connection to read into. It never fails: connections are limited elsewhere.
func (p *Pool) Get() []byte { return p.lend(len(sizes) - 1) }

// room lends a buffer for a body that has so many bytes yet to come; nil when as much is out as may be.
func (p *Pool) room(bytes int) []byte {
	if p.out.Load() >= p.most.Load() {
		return nil
	}
	for class, size := range sizes {
		if bytes <= size {
			return p.lend(class)
		}
	}
	return p.lend(len(sizes) - 1)
}

func (p *Pool) lend(class int) []byte {
	p.out.Add(int64(sizes[class] / unit))
	p.mu.Lock()
	if n := len(p.free[class]); n > 0 {
		b := p.free[class][n-1]
		p.free[class] = p.free[class][:n-1]
		p.mu.Unlock()
		return b
	}
	p.mu.Unlock()
	return make([]byte, sizes[class])
}

// Put takes a buffer back.
func (p *Pool) Put(b []byte) {
	p.out.Add(-int64(cap(b) / unit))
	for class, size := range sizes {
		if cap(b) == size {
			p.mu.Lock()
			if len(p.free[class]) < kept/size {
				p.free[class] = append(p.free[class], b[:size])
			}
			p.mu.Unlock()
			return
		}
	}
}

// Out says how many buffers of Size are out, or as much in smaller ones, and how many may be.
func (p *Pool) Out() (out, most int) {
	return int(p.out.Load()+Size/unit-1) / (Size / unit), int(p.most.Load()) / (Size / unit)
}

// Body is a run of bytes in lent buffers. It has one owner at a time, who calls Free once. A nil Body is empty.
type Body struct {
	pool   *Pool
	parts  [][]byte
	first  [1][]byte // of the parts, mostly all
	len    int
	expect int // bytes in all, where told
}

// Body starts an empty one that is expected to hold so many bytes; with 0 that is not known.
func (p *Pool) Body(expect int) *Body { return &Body{pool: p, expect: expect} }

// Write adds bytes; false when no buffer could be had.
func (b *Body) Write(data []byte) bool {
	for len(data) > 0 {
		n := len(b.parts)
		if n == 0 || len(b.parts[n-1]) == cap(b.parts[n-1]) {
			left := b.expect - b.len
			if left < len(data) {
				left = Size
			}
			part := b.pool.room(left)
			if part == nil {
				return false
			}
			if n == 0 {
				b.parts = b.first[:0]
			}
			b.parts, n = append(b.parts, part[:0]), n+1
		}
		part := b.parts[n-1]
		took := copy(part[len(part):cap(part)], data)
		b.parts[n-1], data = part[:len(part)+took], data[took:]
		b.len += took
	}
	return true
}

// Len is how many bytes it holds.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.len
}

// Parts are its bytes, in order; the slice is the body's.
func (b *Body) Parts() [][]byte {
	if b == nil {
		return nil
	}
	return b.parts
}

// Free gives the buffers back.
func (b *Body) Free() {
	if b == nil {
		return
	}
	for _, part := range b.parts {
		b.pool.Put(part)
	}
	b.parts, b.first[0], b.len = nil, nil, 0
}
