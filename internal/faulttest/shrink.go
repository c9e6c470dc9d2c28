package faulttest

import "slices"

// minShrunkMS is the shortest duration of a fault that Shrink halves.
const minShrunkMS = 400

// Shrink makes a schedule that fails shorter while it still does: first without one fault, then with one half as long, again and again.
// It calls fails no more than tries times.
func Shrink(s Schedule, tries int, fails func(Schedule) bool) Schedule {
	smaller := shrinker{schedule: s, tries: tries, fails: fails}
	for progress := true; progress && smaller.tries > 0; {
		dropped := smaller.dropFaults()
		progress = smaller.halveFaults() || dropped
	}
	return smaller.schedule
}

// shrinker is a schedule that fails, and the tries that are left to make it shorter.
type shrinker struct {
	schedule Schedule
	tries    int
	fails    func(Schedule) bool
}

// attempt takes a shorter schedule in place of the present one if it fails too.
func (s *shrinker) attempt(shorter Schedule) bool {
	s.tries--
	if !s.fails(shorter) {
		return false
	}
	s.schedule = shorter
	return true
}

// dropFaults tries to leave out each fault, and says whether one could be.
func (s *shrinker) dropFaults() (progress bool) {
	for i := 0; i < len(s.schedule.Faults) && s.tries > 0; i++ {
		shorter := s.schedule
		shorter.Faults = slices.Delete(slices.Clone(shorter.Faults), i, i+1)
		if s.attempt(shorter) {
			progress = true
			i-- // the next fault has taken its place
		}
	}
	return progress
}

// halveFaults tries to make each fault half as long, and says whether one could be.
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
