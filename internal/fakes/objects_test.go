package fakes

import (
	"math/rand/v2"
	"testing"
)

// TestZipf guards against objects that are drawn with a wrong popularity.
func TestZipf(t *testing.T) {
	r, z := rand.New(rand.NewPCG(1, 1)), NewZipf(100, 1)
	draws := make([]int, 100)
	for range 50_000 {
		draws[z.Draw(r)]++
	}
	if ratio := float64(draws[0]) / float64(draws[9]); ratio < 8 || ratio > 12 {
		t.Errorf("the first is drawn %.1f times as often as the tenth", ratio)
	}
}
