package experiment

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// TestRolloutEnds checks that under every schedule of faults a change ends with all directors
// changed or none, and that the same seed gives the same result.
func TestRolloutEnds(t *testing.T) {
	rough := Rollout{Schedules: 150, LossRate: 0.2, DuplicateRate: 0.1, AgentCrashRate: 0.2, ToolCrashRate: 0.3, PartitionRate: 1, OnlySchedule: -1}
	usual := Rollout{Schedules: 150, LossRate: 0.05, DuplicateRate: 0.05, AgentCrashRate: 0.02, ToolCrashRate: 0.3, PartitionRate: 0.1, OnlySchedule: -1}
	cases := []struct {
		name  string
		s     Rollout
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
			c.s.Instances, c.s.WaveSize, c.s.Seed = c.sizes, c.limit, c.seed
			runs, err := c.s.Execute()
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range runs {
				if r.Unfinished+r.Inconsistent > 0 || r.Changed == 0 || r.Untouched == 0 {
					t.Errorf("%d instances: %d unfinished, %d inconsistent, %d changed, %d untouched: %v", r.Instances, r.Unfinished, r.Inconsistent, r.Changed,
						r.Untouched, r.Problems)
				}
			}
			repeated, _ := c.s.Execute()
			if !reflect.DeepEqual(runs, repeated) {
				t.Errorf("the same seed gave %+v and %+v", runs, repeated)
			}
		})
	}
}

// TestRolloutEventLimit checks that a schedule that does not end within its events is reported with
// its seed, its number and what each party waits for.
func TestRolloutEventLimit(t *testing.T) {
	s := Rollout{Instances: []int{5}, Schedules: 3, Seed: 7, MaxEvents: 40, OnlySchedule: -1}
	runs, err := s.Execute()
	if err != nil {
		t.Fatal(err)
	}
	r := runs[0]
	if r.Unfinished != 3 || len(r.Problems) != 3 || r.MaxEvents > 40 {
		t.Fatalf("%+v", r)
	}
	for i, why := range r.Problems {
		if want := fmt.Sprintf("--instances 5 --seed 7 --only %d: ", i); !strings.HasPrefix(why, want) || !strings.Contains(why, "tool putting in force c1") {
			t.Errorf("%q", why)
		}
	}
}
