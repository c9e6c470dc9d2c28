// Package hash holds the hash functions that decide placement and seeds. They are the same in every process and on every machine, and
// their values are part of what directors agree on without a message: a change of one moves objects to other caches.
package hash

const (
	fnvOffset    = 14695981039346656037 // FNV-1a, 64 bits
	fnvPrime     = 1099511628211
	splitMixStep = 0x9e3779b97f4a7c15 // the increment of splitmix64's state
)

// String is FNV-1a of the text, finished with Mix so that texts which differ in one byte differ in all bits.
func String(text string) uint64 {
	return Mix(fnv1a(fnvOffset, text))
}

// Seeded is FNV-1a of the text, begun from the seed and finished with Finalize. Instances of one fleet draw seeds of their own with it,
// from the platform's seed, which all may share, and their name.
func Seeded(seed uint64, text string) uint64 {
	return Finalize(fnv1a(fnvOffset^seed, text))
}

// Mix is one step of splitmix64: the increment, then Finalize. It maps 0 to a number that looks random.
func Mix(x uint64) uint64 {
	return Finalize(x + splitMixStep)
}

// Finalize is the finisher of splitmix64, a bijection that maps 0 to 0.
func Finalize(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Unit maps a hash to a number from 0 to 1, 1 excluded.
func Unit(x uint64) float64 {
	return float64(Mix(x)>>11) / (1 << 53)
}

func fnv1a(state uint64, text string) uint64 {
	for i := range len(text) {
		state = (state ^ uint64(text[i])) * fnvPrime
	}
	return state
}
