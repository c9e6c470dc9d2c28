package overload

import (
	"math"

	"tallyproxy/internal/hash"
)

const minSketchWidth = 64

// sketch counts events per client in a count-min sketch of two rows of saturating counters. It
// never undercounts. Two clients that share their counters in both rows are counted together.
type sketch struct{ rows [2][]uint8 }

func newSketch(width int) *sketch {
	n := max(minSketchWidth, width)
	return &sketch{[2][]uint8{make([]uint8, n), make([]uint8, n)}}
}

// counters returns the client's counter in each row.
func (s *sketch) counters(client uint64) (a, b *uint8) {
	h := hash.Finalize(client + 1)
	n := uint64(len(s.rows[0]))
	return &s.rows[0][uint32(h)%uint32(n)], &s.rows[1][h>>32%n]
}

// add counts an event of the client, up to 255.
func (s *sketch) add(client uint64) {
	a, b := s.counters(client)
	count := min(*a, *b)
	if count == math.MaxUint8 {
		return
	}
	*a, *b = max(*a, count+1), max(*b, count+1)
}

// count returns the number of the client's events, or more.
func (s *sketch) count(client uint64) int {
	a, b := s.counters(client)
	return int(min(*a, *b))
}

// halve halves all counts.
func (s *sketch) halve() {
	for _, row := range s.rows {
		for i := range row {
			row[i] /= 2
		}
	}
}
