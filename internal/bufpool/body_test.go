package bufpool

import (
	"bytes"
	"testing"
)

// TestBody guards against bodies whose bytes differ from those appended, against exceeding the
// pool's limit, and against buffers that stay in use after Free.
func TestBody(t *testing.T) {
	cases := []struct {
		name                 string
		pieceSize, pieces    int
		limit, fitted, parts int
	}{
		{"empty", 0, 1, 2, 1, 0},
		{"one full buffer", BufferSize, 1, 2, 1, 1},
		{"pieces across buffers", 50_000, 3, 3, 3, 3},
		{"limit reached", 50_000, 3, 2, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool := New(c.limit)
			body, fitted := pool.NewBody(0), 0
			var want []byte
			for i := range c.pieces {
				piece := bytes.Repeat([]byte{byte(i + 1)}, c.pieceSize)
				want = append(want, piece...)
				if body.Append(piece) {
					fitted++
				}
			}
			if fitted != c.fitted || len(body.Parts()) != c.parts {
				t.Errorf("%d pieces fit into %d parts, want %d into %d", fitted, len(body.Parts()), c.fitted, c.parts)
			}
			if got := bytes.Join(body.Parts(), nil); fitted == c.pieces && (!bytes.Equal(got, want) || body.Len() != len(want)) {
				t.Error("the bytes differ")
			}
			buffer := pool.TryGet(BufferSize)
			if full := c.parts >= c.limit; (buffer == nil) != full || !full && len(buffer) != BufferSize {
				t.Errorf("TryGet returned %d bytes", len(buffer))
			}
			if buffer != nil {
				pool.Put(buffer)
			}
			body.Free()
			if inUse, _ := pool.InUse(); inUse != 0 || body.Len() != 0 {
				t.Errorf("%d buffers are still in use", inUse)
			}
		})
	}
	var none *Body
	if none.Free(); none.Len() != 0 || none.Parts() != nil {
		t.Error("a nil body is not empty")
	}
}
