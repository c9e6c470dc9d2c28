package overload

import (
	"math/rand/v2"
	"testing"
)

// TestHeavyHitterShare guards against a wrong estimate of the heaviest object's share.
func TestHeavyHitterShare(t *testing.T) {
	cases := []struct {
		name      string
		share     float64 // of the heaviest object
		low, high float64
	}{{"none", 0, 0, 0.2}, {"a third", 0.33, 0, 0.4}, {"half", 0.5, 0.35, 0.55}, {"nearly all", 0.95, 0.9, 1}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var h heavyHitter
			r := rand.New(rand.NewPCG(3, 4))
			for i := range 5000 {
				object := uint64(1000 + i)
				if r.Float64() < c.share {
					object = 7
				}
				h.add(object, 1)
				if i%500 == 499 {
					h.halve()
				}
			}
			if got := h.share(); got < c.low || got > c.high {
				t.Errorf("share %.2f, want %.2f to %.2f", got, c.low, c.high)
			}
		})
	}
}
