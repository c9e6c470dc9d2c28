// Package pool lends buffers of one size, up to a number that memory allows, and keeps bodies in them.
package pool

import "sync"

// Size of every buffer. A client's largest message fits into one.
const Size = 64 << 10

const kept = 64 // free buffers kept for the next use

// Pool lends buffers. It is safe for concurrent use.
type Pool struct {
	mu        sync.Mutex
	free      [][]byte
	out, most int
}

// New makes a pool that lends buffers for bodies while fewer than most are out.
func New(most int) *Pool { return &Pool{most: most} }

// Limit sets how many buffers may be out when one is lent for a body.
func (p *Pool) Limit(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
}

// Get lends a buffer to a connection to read into. It never fails: connections are limited elsewhere.
func (p *Pool) Get() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lend()
}

// room lends a buffer for a body; nil when as many are out as may be.
func (p *Pool) room() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.out >= p.most {
		return nil
	}
	return p.lend()
}

func (p *Pool) lend() []byte {
	p.out++
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		return b
	}
	return make([]byte, Size)
}

// Put takes a buffer back.
func (p *Pool) Put(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out--
	if len(p.free) < kept {
		p.free = append(p.free, b[:Size])
	}
}

// Out says how many buffers are out and how many may be.
func (p *Pool) Out() (out, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out, p.most
}

// Body is a run of bytes in lent buffers. It has one owner at a time, who calls Free once. A nil Body is empty.
type Body struct {
	pool  *Pool
	parts [][]byte
	len   int
}

// Body starts an empty one.
func (p *Pool) Body() *Body { return &Body{pool: p} }

// Write adds bytes; false when no buffer could be had.
func (b *Body) Write(data []byte) bool {
	for len(data) > 0 {
		n := len(b.parts)
		if n == 0 || len(b.parts[n-1]) == Size {
			part := b.pool.room()
			if part == nil {
				return false
			}
			b.parts, n = append(b.parts, part[:0]), n+1
		}
		part := b.parts[n-1]
		took := copy(part[len(part):Size], data)
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

// Parts are its bytes, in order; the slice is the caller's.
func (b *Body) Parts() [][]byte {
	if b == nil {
		return nil
	}
	return append([][]byte(nil), b.parts...)
}

// Free gives the buffers back.
func (b *Body) Free() {
	if b == nil {
		return
	}
	for _, part := range b.parts {
		b.pool.Put(part)
	}
	b.parts, b.len = nil, 0
}
