package fakes

import (
	"math/rand/v2"
	"testing"
)

func TestZipf(t *testing.T) {
	r, z := rand.New(rand.NewPCG(1, 1)), NewZipf(100, 1)
	seen := make([]int, 100)
	for range 50_000 {
		seen[z.Draw(r)]++
	}
	if ratio := float64(seen[0]) / float64(seen[9]); ratio < 8 || ratio > 12 {
		t.Errorf("the first is drawn %.1f times as often as the tenth", ratio)
	}
}
