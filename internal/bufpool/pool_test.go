package bufpool

import (
	"bytes"
	"testing"
)

func TestBody(t *testing.T) {
	cases := []struct {
		name             string
		piece, pieces    int
		most, fit, parts int
	}{
		{"empty", 0, 1, 2, 1, 0},
		{"one buffer to the brim", BufferSize, 1, 2, 1, 1},
		{"pieces across buffers", 50_000, 3, 3, 3, 3},
		{"no room left", 50_000, 3, 2, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := New(c.most)
			b, fit := p.NewBody(0), 0
			var want []byte
			for i := range c.pieces {
				piece := bytes.Repeat([]byte{byte(i + 1)}, c.piece)
				want = append(want, piece...)
				if b.Append(piece) {
					fit++
				}
			}
			if fit != c.fit || len(b.Parts()) != c.parts {
				t.Errorf("%d pieces fit into %d parts, want %d into %d", fit, len(b.Parts()), c.fit, c.parts)
			}
			if got := bytes.Join(b.Parts(), nil); fit == c.pieces && (!bytes.Equal(got, want) || b.Len() != len(want)) {
				t.Error("the bytes differ")
			}
			buf := p.Get()
			if len(buf) != BufferSize {
				t.Error("a connection got no buffer")
			}
			p.Put(buf)
			b.Free()
			if out, _ := p.InUse(); out != 0 || b.Len() != 0 {
				t.Errorf("%d buffers are still out", out)
			}
		})
	}
	var none *Body
	if none.Free(); none.Len() != 0 || none.Parts() != nil {
		t.Error("no body is an empty one")
	}
}
