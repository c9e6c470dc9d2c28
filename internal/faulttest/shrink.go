package faulttest

import "slices"

// minShrunkMS is the shortest duration of a fault, in ms, that Shrink still halves.
const minShrunkMS = 400

// Shrink returns a shorter schedule that still fails. It repeatedly tries to remove single faults
// and to halve their durations. It calls fails at most tries times.
func Shrink(s Schedule, tries int, fails func(Schedule) bool) Schedule {
	smaller := shrinker{schedule: s, tries: tries, fails: fails}
	for progress := true; progress && smaller.tries > 0; {
		dropped := smaller.dropFaults()
		progress = smaller.halveFaults() || dropped
	}
	return smaller.schedule
}

// shrinker holds a failing schedule and the number of remaining attempts to shorten it.
type shrinker struct {
	schedule Schedule
	tries    int
	fails    func(Schedule) bool
}

// attempt replaces the present schedule by a shorter one if the shorter one fails too.
func (s *shrinker) attempt(shorter Schedule) bool {
	s.tries--
	if !s.fails(shorter) {
		return false
	}
	s.schedule = shorter
	return true
}

// dropFaults tries to remove each fault and reports whether it removed any.
func (s *shrinker) dropFaults() (progress bool) {
	for i := 0; i < len(s.schedule.Faults) && s.tries > 0; i++ {
		shorter := s.schedule
		shorter.Faults = slices.Delete(slices.Clone(shorter.Faults), i, i+1)
		if s.attempt(shorter) {
			progress = true
			i-- // the next fault now has this index
		}
	}
	return progress
}

// halveFaults tries to halve the duration of each fault and reports whether it halved any.
func (s *shrinker) halveFaults() (progress bool) {
	for i := 0; i < len(s.schedule.Faults) && s.tries > 0; i++ {
		if s.schedule.Faults[i].ForMS < minShrunkMS {
			continue
		}
		shorter := s.schedule
		shorter.Faults = slices.Clone(shorter.Faults)
		shorter.Faults[i].ForMS /= 2
		progress = s.attempt(shorter) || progress
	}
	return progress
}
