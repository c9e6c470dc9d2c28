// Package hash holds the hash functions that determine object placement and random seeds. They
// give the same results in every process and on every machine. Directors rely on equal values to
// agree on placement without exchanging messages, so changing a function moves objects to other
// caches.
package hash

const (
	fnvOffset    = 14695981039346656037 // offset basis of 64-bit FNV-1a
	fnvPrime     = 1099511628211        // prime of 64-bit FNV-1a
	splitMixStep = 0x9e3779b97f4a7c15   // increment of the splitmix64 state
)

// String returns the FNV-1a hash of the text, finished with Mix so that texts that differ in one
// byte have unrelated hashes.
func String(text string) uint64 {
	return Mix(fnv1a(fnvOffset, text))
}

// Seeded returns the FNV-1a hash of the text, started from the seed and finished with Finalize.
// The instances of a fleet derive their own seeds with it from the platform's seed, which they may
// all share, and from their names.
func Seeded(seed uint64, text string) uint64 {
	return Finalize(fnv1a(fnvOffset^seed, text))
}

// Mix performs one step of splitmix64: it adds the increment and applies Finalize. Unlike
// Finalize, it maps 0 to a number that looks random.
func Mix(x uint64) uint64 {
	return Finalize(x + splitMixStep)
}

// Finalize is the finalizer of splitmix64, a bijection that maps 0 to 0.
func Finalize(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Unit maps a hash to a number in [0, 1).
func Unit(x uint64) float64 {
	return float64(Mix(x)>>11) / (1 << 53)
}

// fnv1a continues a 64-bit FNV-1a hash from the given state over the bytes of the text.
func fnv1a(state uint64, text string) uint64 {
	for i := range len(text) {
		state = (state ^ uint64(text[i])) * fnvPrime
	}
	return state
}
