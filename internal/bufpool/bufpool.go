// Package bufpool provides reusable buffers of a few sizes, with a limit on those for message
// bodies, and a Body type that stores message bodies in them.
package bufpool

import (
	"sync"
	"sync/atomic"
)

// BufferSize is the size in bytes of the largest buffers and of those that Get returns. The largest
// client message fits into one.
const BufferSize = 64 << 10

const (
	// size of the smallest buffer in bytes, and the unit in which buffers in use are counted
	unitSize     = 4 << 10
	maxFreeBytes = 4 << 20 // bytes of free buffers kept per size class

	unitsPerBuffer = BufferSize / unitSize
)

// sizeClasses are the buffer sizes in bytes, in ascending order. Most bodies are small, and a large
// buffer for each of them would be mostly empty.
var sizeClasses = [...]int{unitSize, 16 << 10, BufferSize}

const largestClass = len(sizeClasses) - 1

// Pool provides buffers for reuse. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	free [len(sizeClasses)][][]byte // free buffers by size class; guarded by mu

	inUse, limit atomic.Int64 // in units of unitSize
}

// New returns a pool that provides buffers for bodies as long as all buffers in use together have
// fewer bytes than limit buffers of BufferSize.
func New(limit int) *Pool {
	p := &Pool{}
	p.SetLimit(limit)
	return p
}

// SetLimit changes the limit, in buffers of BufferSize. Buffers that are in use beyond the new
// limit stay in use.
func (p *Pool) SetLimit(limit int) { p.limit.Store(int64(limit) * unitsPerBuffer) }

// Get returns a buffer of BufferSize for a connection to read into. It never fails, since the
// number of connections is limited elsewhere, but the buffer counts as in use.
func (p *Pool) Get() []byte { return p.take(largestClass) }

// getForBody returns a buffer for a body that needs the given number of bytes, of the smallest size
// that holds them or else of the largest size. It returns nil if the limit is reached.
func (p *Pool) getForBody(needed int) []byte {
	if p.inUse.Load() >= p.limit.Load() {
		return nil
	}
	for class, size := range sizeClasses {
		if needed <= size {
			return p.take(class)
		}
	}
	return p.take(largestClass)
}

// take returns a buffer of a size class, and reuses a free one if there is any.
func (p *Pool) take(class int) []byte {
	p.inUse.Add(int64(sizeClasses[class] / unitSize))
	p.mu.Lock()
	if n := len(p.free[class]); n > 0 {
		buffer := p.free[class][n-1]
		p.free[class] = p.free[class][:n-1]
		p.mu.Unlock()
		return buffer
	}
	p.mu.Unlock()
	return make([]byte, sizeClasses[class])
}

// Put returns a buffer to the pool. The caller must not use it afterwards.
func (p *Pool) Put(buffer []byte) {
	p.inUse.Add(-int64(cap(buffer) / unitSize))
	for class, size := range sizeClasses {
		if cap(buffer) == size {
			p.mu.Lock()
			if len(p.free[class]) < maxFreeBytes/size {
				p.free[class] = append(p.free[class], buffer[:size])
			}
			p.mu.Unlock()
			return
		}
	}
}

// InUse returns the amount of buffers in use, rounded up, and the limit, both in buffers of
// BufferSize.
func (p *Pool) InUse() (inUse, limit int) {
	return int(p.inUse.Load()+unitsPerBuffer-1) / unitsPerBuffer, int(p.limit.Load()) / unitsPerBuffer
}
