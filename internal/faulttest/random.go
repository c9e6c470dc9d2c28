package faulttest

import (
	"math/rand/v2"
	"slices"
)

// minDrawnMS is the shortest duration of a random fault, in ms.
const minDrawnMS = 200

// RandomSchedule draws a schedule from a seed and a number. It has one to four faults within
// lengthMS milliseconds, all of kinds that the processes themselves can't prevent. The same
// arguments give the same schedule in every version.
func RandomSchedule(seed uint64, number, directors, lengthMS int) Schedule {
	d := drawer{rand: rand.New(rand.NewPCG(seed, uint64(number))), directors: directors, lengthMS: lengthMS}
	s := Schedule{Seed: seed, Number: number, Directors: directors, LengthMS: lengthMS}
	for range 1 + d.rand.IntN(4) {
		s.Faults = append(s.Faults, d.drawFault())
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return a.AtMS - b.AtMS })
	return s
}

// drawer draws random faults. The order of its draws determines all schedules of a seed.
type drawer struct {
	rand                *rand.Rand
	directors, lengthMS int
}

// drawDirectors draws between one and most directors, but never all.
func (d drawer) drawDirectors(maxCount int) []int {
	all := d.rand.Perm(d.directors)
	return slices.Sorted(slices.Values(all[:1+d.rand.IntN(max(1, min(maxCount, d.directors-1)))]))
}

// drawGroups divides all directors into two or three groups.
func (d drawer) drawGroups() [][]int {
	groups := make([][]int, 2+d.rand.IntN(2))
	for i, director := range d.rand.Perm(d.directors) {
		groups[i%len(groups)] = append(groups[i%len(groups)], director)
	}
	return groups
}

// drawFault draws one fault. It draws start, duration and targets for every kind, even if the kind
// replaces them by others.
func (d drawer) drawFault() Fault {
	at := d.rand.IntN(max(1, d.lengthMS/2))
	f := Fault{AtMS: at, ForMS: minDrawnMS + d.rand.IntN(max(1, d.lengthMS-at-minDrawnMS)), Targets: d.drawDirectors(d.directors / 2)}
	switch d.rand.IntN(9) {
	case 0, 1:
		f.Kind, f.Peers, f.Both = CutLinks, d.drawDirectors(d.directors-1), d.rand.IntN(2) == 0
	case 2:
		f.Kind, f.Targets, f.Groups = Partition, nil, d.drawGroups()
	case 3:
		f.Kind, f.Targets, f.Rate = LossyLinks, nil, 0.01+0.1*d.rand.Float64()
	case 4:
		f.Kind, f.Targets = Kill, d.drawDirectors(d.directors*7/10)
	case 5:
		f.Kind = Pause
	case 6:
		f.Kind, f.ForMS = Restart, 0
	case 7:
		f.Kind, f.Targets = ColdCaches, []int{0, 1, 2}
	case 8:
		f.Kind, f.Peers = FlappingLinks, d.drawDirectors(d.directors-1)
	}
	return f
}
