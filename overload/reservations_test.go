package overload

import (
	"testing"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// BenchmarkReservationTable compares the table of reservations with a plain map that is swept, both for 4096 clients in 100,000.
func BenchmarkReservationTable(b *testing.B) {
	ids := make([]uint64, 100_000)
	for i := range ids {
		ids[i] = hash.Finalize(uint64(i) + 1)
	}
	b.Run("places", func(b *testing.B) {
		b.ReportAllocs()
		p := newReservationTable(4096)
		for n := range b.N {
			id := ids[n*7919%len(ids)]
			if p.find(id) == nil {
				p.put(id, reservation{at: policy.Micros(n), work: 1})
			}
		}
	})
	b.Run("map", func(b *testing.B) {
		b.ReportAllocs()
		p := map[uint64]reservation{}
		for n := range b.N {
			id := ids[n*7919%len(ids)]
			if _, ok := p[id]; !ok {
				p[id] = reservation{at: policy.Micros(n), work: 1}
				if len(p) > 4096 {
					for id, e := range p {
						if e.at < policy.Micros(n-2048) {
							delete(p, id)
						}
					}
				}
			}
		}
	})
}
