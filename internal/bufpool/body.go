package bufpool

// Body holds the bytes of a message body in buffers from a pool. It has one owner at a time. Only
// the owner may call its methods, and it must call Free once. A nil Body is empty.
type Body struct {
	pool     *Pool
	parts    [][]byte
	inline   [1][]byte // backing array of parts for bodies in one buffer, the most common case
	length   int       // in bytes
	expected int       // expected total length in bytes; 0 if not known
}

// NewBody returns an empty body. The argument is the number of bytes that it is expected to hold,
// or 0 if that is not known.
func (p *Pool) NewBody(expected int) *Body { return &Body{pool: p, expected: expected} }

// Append copies data to the end of the body. It returns false if the pool has no buffer for all of
// it; the body may then hold part of the data.
func (b *Body) Append(data []byte) bool {
	for len(data) > 0 {
		if !b.hasSpace() && !b.grow(len(data)) {
			return false
		}
		last := len(b.parts) - 1
		part := b.parts[last]
		copied := copy(part[len(part):cap(part)], data)
		b.parts[last] = part[:len(part)+copied]
		b.length += copied
		data = data[copied:]
	}
	return true
}

// hasSpace reports whether the last buffer has room for another byte.
func (b *Body) hasSpace() bool {
	n := len(b.parts)
	return n > 0 && len(b.parts[n-1]) < cap(b.parts[n-1])
}

// grow adds an empty buffer: one that holds all bytes still expected, or one of BufferSize if fewer
// than pendingBytes are expected. It returns false if the pool has no buffer.
func (b *Body) grow(pendingBytes int) bool {
	needed := b.expected - b.length
	if needed < pendingBytes {
		needed = BufferSize
	}
	part := b.pool.TryGet(needed)
	if part == nil {
		return false
	}
	if len(b.parts) == 0 {
		b.parts = b.inline[:0]
	}
	b.parts = append(b.parts, part[:0])
	return true
}

// Len returns the number of bytes in the body.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.length
}

// Parts returns the bytes in order, one slice per buffer. The slices belong to the body and are
// valid until Free.
func (b *Body) Parts() [][]byte {
	if b == nil {
		return nil
	}
	return b.parts
}

// Free returns the buffers to the pool and leaves the body empty.
func (b *Body) Free() {
	if b == nil {
		return
	}
	for _, part := range b.parts {
		b.pool.Put(part)
	}
	b.parts, b.inline[0], b.length = nil, nil, 0
}
