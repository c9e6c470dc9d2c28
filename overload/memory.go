package overload

import d "tallyproxy/policy"

const ways = 4 // places that share a hash

// place is what one client was told for one download.
type place struct {
	id   uint64
	at   d.Micros
	work float32 // promised for it; 0 where no window was free
}

// places remembers who was told which time, in a fixed number of rows of four. A new one takes the row's free place, else
// that whose time is first over. So it is emptied by time, and by what comes when it is full.
type places struct{ rows [][ways]place }

func newPlaces(most int) *places { return &places{make([][ways]place, max(1, most/ways))} }

func (p *places) row(id uint64) *[ways]place { return &p.rows[id>>8%uint64(len(p.rows))] }

func (p *places) find(id uint64) *place {
	row := p.row(id)
	for i := range row {
		if row[i].id == id {
			return &row[i]
		}
	}
	return nil
}

func (p *places) put(id uint64, of place) {
	row := p.row(id)
	worst := &row[0]
	for i := range row {
		if row[i].id == id {
			worst = &row[i]
			break
		}
		if row[i].at < worst.at {
			worst = &row[i]
		}
	}
	of.id = id
	*worst = of
}

// len counts what has not had its time yet.
func (p *places) len(now d.Micros) (n int) {
	for i := range p.rows {
		for _, e := range p.rows[i] {
			if e.at > now {
				n++
			}
		}
	}
	return n
}

// sketch counts how often clients came early: a count-min sketch of two rows, whose counts are halved now and then. It
// never counts too few; two clients that meet in both rows count together.
type sketch struct{ rows [2][]uint8 }

func newSketch(most int) *sketch {
	n := max(64, most)
	return &sketch{[2][]uint8{make([]uint8, n), make([]uint8, n)}}
}

func (s *sketch) cells(who uint64) (a, b *uint8) {
	h := mix(who + 1)
	n := uint64(len(s.rows[0]))
	return &s.rows[0][uint32(h)%uint32(n)], &s.rows[1][h>>32%n]
}

func (s *sketch) add(who uint64) {
	a, b := s.cells(who)
	least := min(*a, *b)
	if least == 255 {
		return
	}
	*a, *b = max(*a, least+1), max(*b, least+1)
}

func (s *sketch) count(who uint64) int {
	a, b := s.cells(who)
	return int(min(*a, *b))
}

func (s *sketch) fade() {
	for _, row := range s.rows {
		for i := range row {
			row[i] /= 2
		}
	}
}

// majority finds an object that is most of the demand, by the work asked for: Misra and Gries' counters, halved with every
// window.
type majority struct {
	objects [4]uint64
	work    [4]float64
	all     float64
}

func (m *majority) add(object uint64, work float64) {
	m.all += work
	least := 0
	for i := range m.objects {
		if m.objects[i] == object {
			m.work[i] += work
			return
		}
		if m.work[i] < m.work[least] {
			least = i
		}
	}
	if m.work[least] <= 0 {
		m.objects[least], m.work[least] = object, work
		return
	}
	by := min(work, m.work[least])
	for i := range m.work {
		m.work[i] -= by
	}
	if work > by {
		m.objects[least], m.work[least] = object, work-by
	}
}

// share is the part of the demand that the object with the most has, or a little less.
func (m *majority) share() float64 {
	if m.all <= 0 {
		return 0
	}
	return max(m.work[0], m.work[1], m.work[2], m.work[3]) / m.all
}

func (m *majority) fade() {
	for i := range m.work {
		m.work[i] /= 2
	}
	m.all /= 2
}
