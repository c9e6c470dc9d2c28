package overload

import (
	"testing"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// BenchmarkReservationTable compares the reservation table with a plain map that is swept. Both
// hold 4096 of 100,000 clients.
func BenchmarkReservationTable(b *testing.B) {
	ids := make([]uint64, 100_000)
	for i := range ids {
		ids[i] = hash.Finalize(uint64(i) + 1)
	}
	b.Run("places", func(b *testing.B) {
		b.ReportAllocs()
		reservations := newReservationTable(4096)
		for n := range b.N {
			id := ids[n*7919%len(ids)]
			if reservations.find(id) == nil {
				reservations.put(id, reservation{at: policy.Micros(n), work: 1})
			}
		}
	})
	b.Run("map", func(b *testing.B) {
		b.ReportAllocs()
		reservations := map[uint64]reservation{}
		for n := range b.N {
			id := ids[n*7919%len(ids)]
			if _, ok := reservations[id]; !ok {
				reservations[id] = reservation{at: policy.Micros(n), work: 1}
				if len(reservations) > 4096 {
					for id, e := range reservations {
						if e.at < policy.Micros(n-2048) {
							delete(reservations, id)
						}
					}
				}
			}
		}
	})
}
