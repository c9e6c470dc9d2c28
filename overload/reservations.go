package overload

import "tallyproxy/policy"

const reservationWays = 4 // entries per row of the table

// reservation is the time that a client was given to retry a request for an object.
type reservation struct {
	id   uint64 // 0 marks a free entry
	at   policy.Micros
	work float32 // reserved work in microseconds of transfer time; 0 if no window had room
}

// reservationTable stores reservations in a fixed number of rows of four entries. A new reservation
// takes a free entry of its row, or else replaces the entry with the earliest time. Expired entries
// are therefore replaced first, and a full row drops its earliest reservation.
type reservationTable struct {
	rows [][reservationWays]reservation
}

func newReservationTable(capacity int) *reservationTable {
	return &reservationTable{make([][reservationWays]reservation, max(1, capacity/reservationWays))}
}

func (t *reservationTable) row(id uint64) *[reservationWays]reservation {
	return &t.rows[id>>8%uint64(len(t.rows))]
}

// find returns the entry with an id, or nil. The entry is valid until the next put.
func (t *reservationTable) find(id uint64) *reservation {
	row := t.row(id)
	for i := range row {
		if row[i].id == id {
			return &row[i]
		}
	}
	return nil
}

// put stores a reservation under an id and replaces an earlier one with the same id.
func (t *reservationTable) put(id uint64, r reservation) {
	row := t.row(id)
	entry := &row[0]
	for i := range row {
		if row[i].id == id {
			entry = &row[i]
			break
		}
		if row[i].at < entry.at {
			entry = &row[i]
		}
	}
	r.id = id
	*entry = r
}

// countAfter returns the number of reservations for times after now.
func (t *reservationTable) countAfter(now policy.Micros) (count int) {
	for i := range t.rows {
		for _, r := range t.rows[i] {
			if r.at > now {
				count++
			}
		}
	}
	return count
}
