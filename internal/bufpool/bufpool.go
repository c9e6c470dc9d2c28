// Package bufpool provides reusable buffers of a few sizes, with a limit on all that are in use, and a
// Body type that stores message bodies in them.
package bufpool

import (
	"sync"
	"sync/atomic"
)

// BufferSize is the size in bytes of the largest buffers. The largest client message fits into one.
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
	mu        sync.Mutex                 // guards the next two fields
	free      [len(sizeClasses)][][]byte // free buffers by size class
	freeUnits int64                      // of all free buffers, in units of unitSize

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

// TryGet returns a buffer of the smallest size that holds the given number of bytes, or of BufferSize
// if none does. It returns nil if the limit is reached.
func (p *Pool) TryGet(bytes int) []byte {
	if p.inUse.Load() >= p.limit.Load() {
		return nil
	}
	return p.take(classFor(bytes))
}

// SizeFor returns the size in bytes of the buffer that TryGet returns.
func (p *Pool) SizeFor(bytes int) int { return sizeClasses[classFor(bytes)] }

// classFor returns the smallest size class that holds the given number of bytes, or the largest one.
func classFor(bytes int) int {
	for class, size := range sizeClasses {
		if bytes <= size {
			return class
		}
	}
	return largestClass
}

// take returns a buffer of a size class, and reuses a free one if there is any.
func (p *Pool) take(class int) []byte {
	p.inUse.Add(int64(sizeClasses[class] / unitSize))
	p.mu.Lock()
	if n := len(p.free[class]); n > 0 {
		buffer := p.removeFreeLocked(class)
		p.mu.Unlock()
		return buffer
	}
	p.dropExcessLocked()
	p.mu.Unlock()
	return make([]byte, sizeClasses[class])
}

// removeFreeLocked removes and returns a free buffer of a size class that has one. The caller holds
// mu.
func (p *Pool) removeFreeLocked(class int) []byte {
	last := len(p.free[class]) - 1
	buffer := p.free[class][last]
	p.free[class][last] = nil
	p.free[class] = p.free[class][:last]
	p.freeUnits -= int64(sizeClasses[class] / unitSize)
	return buffer
}

// dropExcessLocked drops free buffers while they exceed half of the limit, the largest ones first.
// The caller holds mu.
func (p *Pool) dropExcessLocked() {
	for class := largestClass; class >= 0; class-- {
		for len(p.free[class]) > 0 && p.freeUnits > p.limit.Load()/2 {
			p.removeFreeLocked(class)
		}
	}
}

// Put returns a buffer to the pool. The caller must not use it afterwards.
func (p *Pool) Put(buffer []byte) {
	p.inUse.Add(-int64(cap(buffer) / unitSize))
	for class, size := range sizeClasses {
		if cap(buffer) == size {
			p.mu.Lock()
			if len(p.free[class]) < maxFreeBytes/size {
				p.free[class] = append(p.free[class], buffer[:size])
				p.freeUnits += int64(size / unitSize)
				p.dropExcessLocked()
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
