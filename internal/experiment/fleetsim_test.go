package experiment

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// Every schedule of faults ends, whole or untouched.
func TestFleetSimEnds(t *testing.T) {
	rough := FleetSim{Schedules: 150, Loss: 0.2, Twice: 0.1, Deaths: 0.2, ToolDies: 0.3, Cuts: 1, Only: -1}
	usual := FleetSim{Schedules: 150, Loss: 0.05, Twice: 0.05, Deaths: 0.02, ToolDies: 0.3, Cuts: 0.1, Only: -1}
	cases := []struct {
		name  string
		s     FleetSim
		sizes []int
		limit int
		seed  uint64
	}{
		{"a schedule that once never ended", usual, []int{20}, 0, 4711},
		{"rough", rough, []int{1, 2, 3, 4, 20}, 0, 1},
		{"rough, in waves", rough, []int{2, 3, 4, 20}, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.s.Instances, c.s.Limit, c.s.Seed = c.sizes, c.limit, c.seed
			runs, err := c.s.Play()
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range runs {
				if r.Unended+r.Neither > 0 || r.Changed == 0 || r.Untouched == 0 {
					t.Errorf("%d instances: %d unended, %d neither, %d changed, %d untouched: %v", r.Instances, r.Unended, r.Neither, r.Changed,
						r.Untouched, r.Stuck)
				}
			}
			again, _ := c.s.Play()
			if !reflect.DeepEqual(runs, again) {
				t.Errorf("the same seed gave %+v and %+v", runs, again)
			}
		})
	}
}

// What does not end within its events is told with its seed, its number and who waits, and is no hang.
func TestFleetSimWatchdog(t *testing.T) {
	s := FleetSim{Instances: []int{5}, Schedules: 3, Seed: 7, Steps: 40, Only: -1}
	runs, err := s.Play()
	if err != nil {
		t.Fatal(err)
	}
	r := runs[0]
	if r.Unended != 3 || len(r.Stuck) != 3 || r.Events > 40 {
		t.Fatalf("%+v", r)
	}
	for i, why := range r.Stuck {
		if want := fmt.Sprintf("--instances 5 --seed 7 --only %d: ", i); !strings.HasPrefix(why, want) || !strings.Contains(why, "tool putting in force c1") {
			t.Errorf("%q", why)
		}
	}
}
