// Package bufpool lends buffers of a few sizes, within a limit for the bodies of messages, and keeps such bodies in them.
package bufpool

import (
	"sync"
	"sync/atomic"
)

// BufferSize is the size in bytes of the largest buffers, and of those that Get lends. A client's largest message fits into one.
const BufferSize = 64 << 10

const (
	unitSize     = 4 << 10 // the smallest buffer in bytes; the buffers in use are counted in units of it
	maxFreeBytes = 4 << 20 // the bytes of free buffers that are kept of each size

	unitsPerBuffer = BufferSize / unitSize
)

// sizeClasses are the sizes in bytes that are lent, in rising order. Most bodies are small: a large buffer for each of them would
// stay mostly empty.
var sizeClasses = [...]int{unitSize, 16 << 10, BufferSize}

const largestClass = len(sizeClasses) - 1

// Pool lends buffers. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	free [len(sizeClasses)][][]byte // the buffers to lend again, by size class; guarded by mu

	inUse, limit atomic.Int64 // in units of unitSize
}

// New makes a pool that lends buffers for bodies while those in use hold fewer bytes than limit buffers of BufferSize.
func New(limit int) *Pool {
	p := &Pool{}
	p.SetLimit(limit)
	return p
}

// SetLimit changes the limit, in buffers of BufferSize. Buffers that are in use above it stay so.
func (p *Pool) SetLimit(limit int) { p.limit.Store(int64(limit) * unitsPerBuffer) }

// Get lends a buffer of BufferSize to a connection to read into. It never fails, since connections are limited elsewhere, but the
// buffer counts as in use.
func (p *Pool) Get() []byte { return p.take(largestClass) }

// getForBody lends a buffer for a body that lacks so many bytes, of the smallest size that holds them or else the largest. It returns
// nil at the limit.
func (p *Pool) getForBody(missing int) []byte {
	if p.inUse.Load() >= p.limit.Load() {
		return nil
	}
	for class, size := range sizeClasses {
		if missing <= size {
			return p.take(class)
		}
	}
	return p.take(largestClass)
}

// take lends a buffer of a size class, a free one where there is any.
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

// Put takes back a buffer that the pool lent. The caller must not use it afterwards.
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

// InUse returns how much is lent, rounded up, and the limit, both in buffers of BufferSize.
func (p *Pool) InUse() (inUse, limit int) {
	return int(p.inUse.Load()+unitsPerBuffer-1) / unitsPerBuffer, int(p.limit.Load()) / unitsPerBuffer
}
