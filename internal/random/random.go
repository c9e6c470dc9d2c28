// Package random holds the random number generator of the decision modules. It is small, seeded,
// and gives the same numbers on every machine, so that equal events lead to equal decisions. It is
// not suitable for secrets, and a generator is not safe for concurrent use.
package random

import (
	"math"

	"tallyproxy/internal/hash"
)

// multiplier is the multiplier of a multiply-with-carry generator with 32-bit words.
const multiplier = 4294957665

// Generator is a multiply-with-carry generator.
type Generator struct{ word, carry uint32 }

// New returns a generator whose state is the seed itself. If the upper half of the seed is even,
// it is made odd, because the generator would never leave a state of zero.
func New(seed uint64) Generator {
	return Generator{word: uint32(seed), carry: uint32(seed>>32) | 1}
}

// NewMixed returns a generator whose state is a hash of the seed. It suits seeds that differ in
// few bits.
func NewMixed(seed uint64) Generator {
	seed = hash.Mix(seed)
	return Generator{word: uint32(seed), carry: uint32(seed>>32)%(multiplier-1) + 1}
}

// Uint32 returns a random 32-bit number.
func (g *Generator) Uint32() uint32 {
	t := multiplier*uint64(g.word) + uint64(g.carry)
	g.word, g.carry = uint32(t), uint32(t>>32)
	return g.word
}

// Float64 returns a random number in [0, 1).
func (g *Generator) Float64() float64 {
	return float64(g.Uint32()) / (math.MaxUint32 + 1)
}

// Below returns a random number in [0, n). n should be positive; if it is 0, Below returns 0 and
// still advances the generator.
func (g *Generator) Below(n uint64) uint64 {
	return n * uint64(g.Uint32()) >> 32
}
