package fakes

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
)

// objectGroups is the number of purge groups. The ID of an object determines its group.
const objectGroups = 256

// Object is an object that clients request.
type Object struct {
	Type  *ContentType // one of the content types of the cluster
	ID    string       // 16 hexadecimal digits
	Group int          // purge group
}

// Object returns object n of a content type.
func (c *Cluster) Object(t *ContentType, n int) Object {
	number := fnv1a(t.Name, n)
	return Object{t, fmt.Sprintf("%016x", number), groupOf(number)}
}

func groupOf(number uint64) int { return int(number % objectGroups) }

// fnv1a returns the FNV-1a hash of the parts as formatted by fmt.Fprint.
func fnv1a(parts ...any) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, parts...) // writing to a hash never fails
	return h.Sum64()
}

// transferMicros returns the transfer time of an object at full rate, in µs. It is derived from the
// ID of the object, so it is the same at every node.
func (c *Cluster) transferMicros(t *ContentType, object string) float64 {
	r := rand.New(rand.NewPCG(fnv1a(object), 7))
	return float64(t.MeanTransfer.Microseconds()) * math.Exp(t.Sigma*r.NormFloat64()-t.Sigma*t.Sigma/2)
}

// DrawObject draws a content type by request share, and then an object of that type by popularity.
func (c *Cluster) DrawObject(r *rand.Rand, z *Zipf) Object {
	t, at := &c.ContentTypes[0], r.Float64()
	for i := range c.ContentTypes {
		if t = &c.ContentTypes[i]; at < t.RequestShare {
			break
		}
		at -= t.RequestShare
	}
	return c.Object(t, z.Draw(r))
}

// Zipf draws numbers from 0 by Zipf's law. Unlike the generator of the standard library, it also
// supports exponents of 1 and less.
type Zipf struct{ sums []float64 }

// NewZipf returns a generator for the numbers from 0 to n-1.
func NewZipf(n int, exponent float64) *Zipf {
	z := &Zipf{make([]float64, n)}
	sum := 0.0
	for i := range z.sums {
		sum += math.Pow(float64(i+1), -exponent)
		z.sums[i] = sum
	}
	return z
}

// Draw returns the next number.
func (z *Zipf) Draw(r *rand.Rand) int {
	at, _ := slices.BinarySearch(z.sums, r.Float64()*z.sums[len(z.sums)-1])
	return min(at, len(z.sums)-1)
}
