package maintenance

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tallyproxy/policy"
)

const minute = 60 * policy.Second

// newSite returns a site with one location of equal cache nodes and the given demand, and one hub
// with two parents.
func newSite(cacheNodes int, demand float64) Site {
	s := Site{WarmUp: [3]policy.Micros{10 * policy.Second, 20 * policy.Second, 0}, MaxUnavailable: 0.5, LocalSearchMoves: 200, ExactLimit: 7,
		Demand: []Slot{{0, map[string]float64{"south": demand, "hub": 1}}}}
	for i := range cacheNodes {
		s.Machines = append(s.Machines, Machine{Name: fmt.Sprint("node-", i), Location: "south", Capacity: 8})
	}
	for i := range 2 {
		s.Machines = append(s.Machines, Machine{Name: fmt.Sprint("parent-", i), Kind: Parent, Location: "hub", Capacity: 10})
	}
	return s
}

// jobsFor returns one job of the given duration for each machine.
func jobsFor(duration policy.Micros, machines ...string) (jobs []Job) {
	for _, m := range machines {
		jobs = append(jobs, Job{ID: "work on " + m, Machines: []string{m}, Duration: duration})
	}
	return jobs
}

// TestViolationsOfSharedMachines guards against an undetected overlap of two jobs on a machine that
// is not the first machine of either job.
func TestViolationsOfSharedMachines(t *testing.T) {
	site := newSite(9, 1)
	for _, c := range []struct {
		first, second []string
		want          int
	}{
		{[]string{"node-0", "node-1"}, []string{"node-1", "node-2"}, 1},
		{[]string{"node-0"}, []string{"node-1", "node-0"}, 1},
		{[]string{"node-0", "parent-0"}, []string{"node-1", "parent-0"}, 1},
		{[]string{"node-0", "node-1"}, []string{"node-2", "node-3"}, 0},
	} {
		jobs := []Job{{ID: "a", Machines: c.first, Duration: minute}, {ID: "b", Machines: c.second, Duration: minute}}
		plan := Plan{Placements: []Placement{{Job: "a", End: minute}, {Job: "b", Start: minute / 2, End: 3 * minute / 2}}}
		shared := 0
		for _, violation := range Violations(site, jobs, plan) {
			if strings.Contains(violation, "use the same machine at the same time") {
				shared++
			}
		}
		if shared != c.want {
			t.Errorf("%v and %v: %d violations, want %d", c.first, c.second, shared, c.want)
		}
	}
}

// TestCapacityIsSummedInOrder guards against sums in map order, whose last bits vary: the choice
// between two plans must be the same each time.
func TestCapacityIsSummedInOrder(t *testing.T) {
	site := newSite(1, 1)
	site.Machines[0].Capacity, site.Machines[1].Capacity = 0.1, 0.2
	site.Machines = append(site.Machines, Machine{Name: "node-9", Location: "north", Capacity: 0.3}, Machine{Name: "node-8", Location: "west", Capacity: 1e-17})
	job := Job{ID: "a", Machines: []string{"node-0", "parent-0", "node-9", "node-8"}}
	p := newPlanner(&site)
	first := p.capacityOf(&job)
	for range 200 {
		if got := p.capacityOf(&job); got != first {
			t.Fatalf("%v, then %v", first, got)
		}
	}
}

// TestPlans guards against wrong placements and reasons on small sites, with the exact and the
// heuristic planner.
func TestPlans(t *testing.T) {
	cases := []struct {
		name       string
		site       Site
		jobs       []Job
		want       []string // per placement: job, start in seconds and beginning of its reason
		infeasible string   // part of the reason of a job that cannot be placed
	}{
		{"one", newSite(5, 20), jobsFor(minute, "node-1"), []string{"node-1 0 can start immediately"}, ""},
		{"room for two", newSite(5, 20), jobsFor(minute, "node-1", "node-2"), []string{"node-1 0 can start", "node-2 0 can start"}, ""},
		{"the third waits until a node is back and warm", newSite(5, 20), jobsFor(minute, "node-1", "node-2", "node-3"),
			[]string{"node-1 0 ", "node-2 0 ", "node-3 70 waits for work on node-1 and work on node-2: 3 of 5 cache nodes in south would be out of service or warming up"}, ""},
		{"the demand leaves room for one", newSite(5, 32), jobsFor(minute, "node-1", "node-2"),
			[]string{"node-1 0 ", "node-2 70 waits for work on node-1: 24 of 40 capacity would remain in south for a demand of 32"}, ""},
		{"one location with two nodes, both asked for", newSite(2, 8), jobsFor(minute, "node-0", "node-1"), []string{"node-0 0 ", "node-1 70 waits for work on node-0"}, ""},
		{"a parent waits for the other", newSite(2, 1), jobsFor(minute, "parent-0", "parent-1"), []string{"parent-0 0 ", "parent-1 80 waits for work on parent-0"}, ""},
		{"not before its time", newSite(2, 8), []Job{{ID: "a", Machines: []string{"node-0"}, Duration: minute, NotBefore: minute}}, []string{"a 60 not before"}, ""},
		{"too much at any time", newSite(3, 23), jobsFor(minute, "node-0"), nil, "16 of 24 capacity would remain in south for the lowest demand of 23; 7 more capacity"},
		{"all machines of a group", newSite(3, 1), []Job{{ID: "all", Machines: []string{"node-0", "node-1", "node-2"}, Duration: minute}}, nil,
			"all 3 cache nodes in south would be out of service; at least one more is needed there"},
		{"unknown machine", newSite(3, 1), jobsFor(minute, "nonode"), nil, "unknown machine: nonode"},
		{"no duration", newSite(3, 1), jobsFor(0, "node-0"), nil, "has no duration"},
		{"waits for lower demand", func() Site {
			s := newSite(3, 20)
			s.Demand = append(s.Demand, Slot{600 * policy.Second, map[string]float64{"south": 10, "hub": 1}})
			return s
		}(), jobsFor(minute, "node-0"), []string{"node-0 600 waits for lower demand"}, ""},
		{"a started job keeps its time", newSite(3, 8), append(jobsFor(minute, "node-1"), Job{ID: "b", Machines: []string{"node-0"}, Duration: minute, Started: true}),
			[]string{"b 0 already out of service", "node-1 70 waits for b"}, ""},
		{"another machine is unavailable", func() Site {
			s := newSite(3, 8)
			s.Machines[2].Unavailable = true
			return s
		}(), jobsFor(minute, "node-0"), nil, "with the current outages: waits for node-2: 2 of 3 cache nodes"},
		{"another still warms up", func() Site {
			s := newSite(2, 8)
			s.Machines[1].WarmingFor = 5 * policy.Second
			return s
		}(), jobsFor(minute, "node-0"), []string{"node-0 5 waits for node-1"}, ""},
		{"one machine for two", newSite(4, 8), []Job{{ID: "a", Machines: []string{"node-0"}, Duration: minute}, {ID: "b", Machines: []string{"node-0"}, Duration: minute}},
			[]string{"a 0 ", "b 70 waits for a: uses the same machine"}, ""},
		{"earliest deadline first", newSite(2, 8), []Job{{ID: "a", Machines: []string{"node-0"}, Duration: minute},
			{ID: "b", Machines: []string{"node-1"}, Duration: minute, Deadline: 70 * policy.Second}}, []string{"b 0 ", "a 70 "}, ""},
	}
	for _, c := range cases {
		for _, exactLimit := range []int{7, 0} { // exact and heuristic planner
			t.Run(fmt.Sprint(c.name, " ", exactLimit), func(t *testing.T) {
				c.site.ExactLimit = exactLimit
				plan := MakePlan(c.site, c.jobs, 1)
				var got []string
				for _, p := range plan.Placements {
					got = append(got, fmt.Sprintf("%s %d %s", strings.TrimPrefix(p.Job, "work on "), p.Start/policy.Second, p.Reason))
				}
				for i := range max(len(got), len(c.want)) {
					if i >= len(got) || i >= len(c.want) || !strings.HasPrefix(got[i], c.want[i]) {
						t.Fatalf("got %q, want %q; infeasible %v", got, c.want, plan.Infeasible)
					}
				}
				reasons := ""
				for _, reason := range plan.Infeasible {
					reasons += reason
				}
				if c.infeasible == "" != (reasons == "") || !strings.Contains(reasons, c.infeasible) {
					t.Errorf("infeasible: %q, want %q", reasons, c.infeasible)
				}
				if violations := Violations(c.site, c.jobs, plan); len(violations) > 0 {
					t.Error(violations)
				}
			})
		}
	}
}

// drawSite draws a random site and its jobs.
func drawSite(t *rapid.T, maxMachines, maxJobs int) (Site, []Job) {
	s := Site{WarmUp: [3]policy.Micros{10 * policy.Second, 20 * policy.Second, 0}, MaxUnavailable: 0.5, LocalSearchMoves: 60, ExactLimit: 6, Reserve: 0.1}
	capacity := map[string]float64{}
	for i := range rapid.IntRange(2, maxMachines).Draw(t, "machines") {
		m := Machine{Name: fmt.Sprint("m", i), Kind: Kind(rapid.IntRange(0, 1).Draw(t, "kind")), Capacity: float64(rapid.IntRange(4, 9).Draw(t, "capacity"))}
		m.Location = fmt.Sprint(m.Kind, rapid.IntRange(0, 1).Draw(t, "location"))
		s.Machines = append(s.Machines, m)
		capacity[m.Location] += m.Capacity
	}
	for i, share := range []float64{0.5, 0.2, 0.6} {
		slot := Slot{policy.Micros(i) * 200 * policy.Second, map[string]float64{}}
		for location, total := range capacity {
			slot.Demand[location] = total * share
		}
		s.Demand = append(s.Demand, slot)
	}
	var jobs []Job
	for i := range rapid.IntRange(1, maxJobs).Draw(t, "jobs") {
		j := Job{ID: fmt.Sprint("j", i), Duration: policy.Micros(rapid.IntRange(10, 90).Draw(t, "duration")) * policy.Second}
		j.Machines = []string{s.Machines[rapid.IntRange(0, len(s.Machines)-1).Draw(t, "machine")].Name}
		if rapid.IntRange(0, 3).Draw(t, "has deadline") == 0 {
			j.Deadline = policy.Micros(rapid.IntRange(60, 300).Draw(t, "deadline")) * policy.Second
		}
		jobs = append(jobs, j)
	}
	return s, jobs
}

// TestPlanProperties guards against plans with violations, jobs without a placement or a reason,
// different plans for equal arguments, and an exact plan that is worse than the heuristic one.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, jobs := drawSite(t, 9, 5)
		exact := MakePlan(s, jobs, 3)
		s.ExactLimit = 0
		heuristic := MakePlan(s, jobs, 3)
		for _, plan := range []Plan{exact, heuristic} {
			if violations := Violations(s, jobs, plan); len(violations) > 0 {
				t.Fatal(violations)
			}
			if len(plan.Placements)+len(plan.Infeasible) != len(jobs) {
				t.Fatalf("%d placements and %d infeasible of %d jobs", len(plan.Placements), len(plan.Infeasible), len(jobs))
			}
			for _, p := range plan.Placements {
				if p.Reason == "" {
					t.Fatalf("%+v has no reason", p)
				}
			}
		}
		worse := exact.Tardiness > heuristic.Tardiness || exact.Tardiness == heuristic.Tardiness && exact.Makespan > heuristic.Makespan
		if len(exact.Infeasible) == len(heuristic.Infeasible) && worse {
			t.Fatalf("exact: makespan %d, tardiness %d; heuristic: %d, %d", exact.Makespan, exact.Tardiness, heuristic.Makespan, heuristic.Tardiness)
		}
		if second := MakePlan(s, jobs, 3); !reflect.DeepEqual(second, heuristic) {
			t.Fatal("equal arguments gave different plans")
		}
	})
}
