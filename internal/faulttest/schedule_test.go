package faulttest

import (
	"slices"
	"testing"
)

// TestSchedules guards against random schedules that differ for the same seed and number, invalid
// schedules that are accepted, and failing schedules that are not shrunk.
func TestSchedules(t *testing.T) {
	if a, b := RandomSchedule(3, 5, 9, 8000), RandomSchedule(3, 5, 9, 8000); a.String() != b.String() || a.String() == RandomSchedule(3, 6, 9, 8000).String() {
		t.Errorf("the same number gives\n%v\n%v\nor the next number gives no other schedule", a, b)
	}
	for i := range 300 {
		if s := RandomSchedule(1, i, 2+i%9, 3000); s.Validate() != nil {
			t.Errorf("%v: %v", s, s.Validate())
		}
	}
	for _, invalid := range []Schedule{
		{Directors: 0, LengthMS: 1}, {Directors: 2, LengthMS: 10, Faults: []Fault{{Kind: "x"}}},
		{Directors: 2, LengthMS: 10, Faults: []Fault{{Kind: Kill, AtMS: 11}}}, {Directors: 2, LengthMS: 10, Faults: []Fault{{Kind: Kill, Targets: []int{2}}}},
	} {
		if invalid.Validate() == nil {
			t.Errorf("Validate accepted %v", invalid)
		}
	}
	s := Schedule{Directors: 5, LengthMS: 9000}
	for i := range 8 {
		s.Faults = append(s.Faults, Fault{Kind: []Kind{Kill, Pause, CutLinks, ColdCaches}[i%4], AtMS: i * 100, ForMS: 3000})
	}
	fails := func(s Schedule) bool { // fails with a cut and a pause of at least a second
		return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == CutLinks }) &&
			slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == Pause && f.ForMS >= 1000 })
	}
	if shrunk := Shrink(s, 100, fails); len(shrunk.Faults) != 2 || !fails(shrunk) || shrunk.Faults[0].ForMS+shrunk.Faults[1].ForMS > 2000 {
		t.Errorf("shrunk schedule: %v", shrunk)
	}
}
