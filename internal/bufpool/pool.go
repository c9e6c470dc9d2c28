// Package pool lends buffers of a few sizes, up to what memory allows, and keeps bodies in them.
package bufpool

import (
	"sync"
	"sync/atomic"
)

// BufferSize of the largest buffers, and of those that connections read into. A client's largest message fits into one.
const BufferSize = 64 << 10

const (
	unitSize     = 4 << 10 // the smallest buffer; what is out is counted in these
	maxFreeBytes = 4 << 20 // bytes of free buffers of a size that are kept for the next use
)

// sizeClasses that are lent: most bodies are small, and a large buffer for each would be mostly empty.
var sizeClasses = [...]int{unitSize, 16 << 10, BufferSize}

// Pool lends buffers. It is safe for concurrent use.
type Pool struct {
	mu           sync.Mutex
	free         [len(sizeClasses)][][]byte
	inUse, limit atomic.Int64 // in units
}

// New makes a pool that lends buffers for bodies while fewer than so many of Size, or as much in smaller ones, are out.
func New(most int) *Pool {
	p := &Pool{}
	p.SetLimit(most)
	return p
}

// SetLimit sets how many buffers of Size may be out when one is lent for a body.
func (p *Pool) SetLimit(most int) { p.limit.Store(int64(most) * (BufferSize / unitSize)) }

// Get lends a buffer of Size to a connection to read into. It never fails: connections are limited elsewhere.
func (p *Pool) Get() []byte { return p.take(len(sizeClasses) - 1) }

// getForBody lends a buffer for a body that has so many bytes yet to come; nil when as much is out as may be.
func (p *Pool) getForBody(bytes int) []byte {
	if p.inUse.Load() >= p.limit.Load() {
		return nil
	}
	for class, size := range sizeClasses {
		if bytes <= size {
			return p.take(class)
		}
	}
	return p.take(len(sizeClasses) - 1)
}

func (p *Pool) take(class int) []byte {
	p.inUse.Add(int64(sizeClasses[class] / unitSize))
	p.mu.Lock()
	if n := len(p.free[class]); n > 0 {
		b := p.free[class][n-1]
		p.free[class] = p.free[class][:n-1]
		p.mu.Unlock()
		return b
	}
	p.mu.Unlock()
	return make([]byte, sizeClasses[class])
}

// Put takes a buffer back.
func (p *Pool) Put(b []byte) {
	p.inUse.Add(-int64(cap(b) / unitSize))
	for class, size := range sizeClasses {
		if cap(b) == size {
			p.mu.Lock()
			if len(p.free[class]) < maxFreeBytes/size {
				p.free[class] = append(p.free[class], b[:size])
			}
			p.mu.Unlock()
			return
		}
	}
}

// InUse says how many buffers of Size are out, or as much in smaller ones, and how many may be.
func (p *Pool) InUse() (out, most int) {
	return int(p.inUse.Load()+BufferSize/unitSize-1) / (BufferSize / unitSize), int(p.limit.Load()) / (BufferSize / unitSize)
}

// Body is a run of bytes in lent buffers. It has one owner at a time, who calls Free once. A nil Body is empty.
type Body struct {
	pool     *Pool
	parts    [][]byte
	inline   [1][]byte // of the parts, mostly all
	len      int
	expected int // bytes in all, where told
}

// NewBody starts an empty one that is expected to hold so many bytes; with 0 that is not known.
func (p *Pool) NewBody(expect int) *Body { return &Body{pool: p, expected: expect} }

// Append adds bytes; false when no buffer could be had.
func (b *Body) Append(data []byte) bool {
	for len(data) > 0 {
		n := len(b.parts)
		if n == 0 || len(b.parts[n-1]) == cap(b.parts[n-1]) {
			left := b.expected - b.len
			if left < len(data) {
				left = BufferSize
			}
			part := b.pool.getForBody(left)
			if part == nil {
				return false
			}
			if n == 0 {
				b.parts = b.inline[:0]
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
	b.parts, b.inline[0], b.len = nil, nil, 0
}
