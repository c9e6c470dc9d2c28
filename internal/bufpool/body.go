package bufpool

// Body holds the bytes of a message's body in buffers of a pool. It has one owner at a time, who alone may call its methods and who
// calls Free once. A nil Body is empty.
type Body struct {
	pool     *Pool
	parts    [][]byte
	inline   [1][]byte // backs parts for the bodies of one buffer, which are the most
	length   int       // in bytes
	expected int       // the bytes that it will hold in all; 0 where not known
}

// NewBody makes an empty body that is expected to hold so many bytes; 0 where that is not known.
func (p *Pool) NewBody(expected int) *Body { return &Body{pool: p, expected: expected} }

// Append copies data to the body's end. It returns false when the pool has no buffer for all of it; the body may then hold a part.
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

// hasSpace reports whether the last buffer can take another byte.
func (b *Body) hasSpace() bool {
	n := len(b.parts)
	return n > 0 && len(b.parts[n-1]) < cap(b.parts[n-1])
}

// grow adds an empty buffer for what is still expected, or a large one where that is less than the bytes at hand. It returns false
// when the pool has none.
func (b *Body) grow(atHand int) bool {
	missing := b.expected - b.length
	if missing < atHand {
		missing = BufferSize
	}
	part := b.pool.getForBody(missing)
	if part == nil {
		return false
	}
	if len(b.parts) == 0 {
		b.parts = b.inline[:0]
	}
	b.parts = append(b.parts, part[:0])
	return true
}

// Len returns how many bytes the body holds.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.length
}

// Parts returns the bytes in order, buffer by buffer. The slices are the body's and valid until Free.
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
