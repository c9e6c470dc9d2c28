package overload

import "tallyproxy/policy"

const reservationWays = 4 // entries of a row of the table

// reservation is the time that one client was given for one object.
type reservation struct {
	id   uint64 // 0 for a free entry
	at   policy.Micros
	work float32 // work reserved for it, in microseconds of sending time; 0 where no window had room
}

// reservationTable remembers reservations in a fixed number of rows of four. A new one takes the row's free entry, else the entry whose
// time is over first, so old entries leave by time or by what comes when their row is full.
type reservationTable struct {
	rows [][reservationWays]reservation
}

func newReservationTable(capacity int) *reservationTable {
	return &reservationTable{make([][reservationWays]reservation, max(1, capacity/reservationWays))}
}

func (t *reservationTable) row(id uint64) *[reservationWays]reservation {
	return &t.rows[id>>8%uint64(len(t.rows))]
}

// find returns the entry of an id, or nil. The entry is valid until the next put.
func (t *reservationTable) find(id uint64) *reservation {
	row := t.row(id)
	for i := range row {
		if row[i].id == id {
			return &row[i]
		}
	}
	return nil
}

// put stores a reservation under an id, in place of an earlier one of the same id.
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

// countAfter is the number of reservations for times after now.
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
