package experiment

import "testing"

// TestMaintenancePlan checks that plans for two hundred machines violate no constraint and take at
// most half the time of sequential work by hand.
func TestMaintenancePlan(t *testing.T) {
	plan := MaintenancePlan{Locations: 10, CacheNodes: 170, Parents: 30, Jobs: 60, Demand: 0.5, Schedules: 2, SmallSchedules: 20, Seed: 1}
	r, err := plan.Execute()
	if err != nil || r.Violations > 0 || r.MakespanOverManual > 0.5 || r.RandomOverPlan < 1 || r.MeanGap > 0.02 {
		t.Errorf("%+v, %v", r, err)
	}
	if _, err := (&MaintenancePlan{Locations: 3, CacheNodes: 5, Parents: 6, Jobs: 1, Schedules: 1}).Execute(); err == nil {
		t.Error("locations with one cache node were accepted")
	}
}
