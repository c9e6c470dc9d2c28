package overload

import (
	"math/rand/v2"
	"testing"
)

func TestHeavyHitterShare(t *testing.T) {
	cases := []struct {
		name        string
		share       float64 // of one object
		least, most float64
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
					h.fade()
				}
			}
			if got := h.share(); got < c.least || got > c.most {
				t.Errorf("share %.2f, want %.2f to %.2f", got, c.least, c.most)
			}
		})
	}
}
