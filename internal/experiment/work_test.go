package experiment

import "testing"

// Plans of two hundred machines keep what they are to keep, and are done in half the time of one by one by hand.
func TestWork(t *testing.T) {
	w := Work{Depots: 10, Boxes: 170, Parents: 30, Jobs: 60, Demand: 0.5, Schedules: 2, Small: 20, Seed: 1}
	r, err := w.Play()
	if err != nil || r.Over > 0 || r.Done > 0.5 || r.Random < 1 || r.Gap > 0.02 {
		t.Errorf("%+v, %v", r, err)
	}
	if _, err := (&Work{Depots: 3, Boxes: 5, Parents: 6, Jobs: 1, Schedules: 1}).Play(); err == nil {
		t.Error("locations with one box were taken")
	}
}
