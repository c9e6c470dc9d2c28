package bufpool

import "testing"

// TestFreeBuffersAreBounded guards against free buffers that together hold more memory than the
// limit leaves, and against a limit that TryGet passes.
func TestFreeBuffersAreBounded(t *testing.T) {
	const limit = 8
	pool := New(limit)
	for _, size := range sizeClasses {
		var taken [][]byte
		for buffer := pool.TryGet(size); buffer != nil; buffer = pool.TryGet(size) {
			if len(buffer) != size {
				t.Fatalf("got %d bytes, want %d", len(buffer), size)
			}
			taken = append(taken, buffer)
		}
		if inUse, _ := pool.InUse(); inUse != limit {
			t.Errorf("buffers of %d bytes: %d are in use, want %d", size, inUse, limit)
		}
		for _, buffer := range taken {
			pool.Put(buffer)
		}
		if free := pool.freeUnits / unitsPerBuffer; free > limit/2 || free <= 0 {
			t.Errorf("buffers of %d bytes: %d are free, want %d at most", size, free, limit/2)
		}
	}
}
