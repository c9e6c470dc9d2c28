// Package random holds the random generator of the decision modules: small, seeded, and the same on every machine, so that equal events
// give equal decisions. It is not for secrets, and a generator is not safe for concurrent use.
package random

import (
	"math"

	"tallyproxy/internal/hash"
)

const multiplier = 4294957665 // of a multiply-with-carry generator with 32-bit words

// Generator is a multiply-with-carry generator.
type Generator struct{ word, carry uint32 }

// New starts a generator whose state is the seed itself; an even upper half is made odd, since a state of zero would stay.
func New(seed uint64) Generator {
	return Generator{word: uint32(seed), carry: uint32(seed>>32) | 1}
}

// NewMixed starts a generator from a seed that is mixed first, for seeds that differ in few bits.
func NewMixed(seed uint64) Generator {
	seed = hash.Mix(seed)
	return Generator{word: uint32(seed), carry: uint32(seed>>32)%(multiplier-1) + 1}
}

// Uint32 draws a number of 32 bits.
func (g *Generator) Uint32() uint32 {
	t := multiplier*uint64(g.word) + uint64(g.carry)
	g.word, g.carry = uint32(t), uint32(t>>32)
	return g.word
}

// Float64 draws a number from 0 to 1, 1 excluded.
func (g *Generator) Float64() float64 {
	return float64(g.Uint32()) / (math.MaxUint32 + 1)
}

// Below draws a number from 0 to n, n excluded. It has to be positive; at 0 the draw is made and gives 0.
func (g *Generator) Below(n uint64) uint64 {
	return n * uint64(g.Uint32()) >> 32
}
