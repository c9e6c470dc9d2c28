package overload

const heavyHitterCounters = 4

// heavyHitter finds an object that causes most of the demand, by the work requested for it. It
// keeps the counters of the Misra-Gries algorithm and halves them with every window.
type heavyHitter struct {
	objects [heavyHitterCounters]uint64 // hashes
	work    [heavyHitterCounters]float64
	total   float64
}

// add counts work requested for an object.
func (h *heavyHitter) add(object uint64, work float64) {
	h.total += work
	smallest := 0
	for i := range h.objects {
		if h.objects[i] == object {
			h.work[i] += work
			return
		}
		if h.work[i] < h.work[smallest] {
			smallest = i
		}
	}
	if h.work[smallest] <= 0 {
		h.objects[smallest], h.work[smallest] = object, work
		return
	}
	decrement := min(work, h.work[smallest])
	for i := range h.work {
		h.work[i] -= decrement
	}
	if work > decrement {
		h.objects[smallest], h.work[smallest] = object, work-decrement
	}
}

// share returns the heaviest object's share of all work, or slightly less.
func (h *heavyHitter) share() float64 {
	if h.total <= 0 {
		return 0
	}
	return max(h.work[0], h.work[1], h.work[2], h.work[3]) / h.total
}

// halve halves all counts.
func (h *heavyHitter) halve() {
	for i := range h.work {
		h.work[i] /= 2
	}
	h.total /= 2
}
