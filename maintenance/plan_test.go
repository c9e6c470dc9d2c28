package maintenance

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	d "tallyproxy/policy"
)

const minute = 60 * d.Second

// depot is a site of one location with so many boxes of one size and a demand, and two parents at a hub.
func depot(boxes int, demand float64) Site {
	s := Site{WarmUp: [3]d.Micros{10 * d.Second, 20 * d.Second, 0}, MaxUnavailable: 0.5, LocalSearchMoves: 200, ExactLimit: 7,
		Demand: []Slot{{0, map[string]float64{"south": demand, "hub": 1}}}}
	for i := range boxes {
		s.Machines = append(s.Machines, Machine{Name: fmt.Sprint("box-", i), Location: "south", Capacity: 8})
	}
	for i := range 2 {
		s.Machines = append(s.Machines, Machine{Name: fmt.Sprint("parent-", i), Kind: Parent, Location: "hub", Capacity: 10})
	}
	return s
}

func jobs(takes d.Micros, machines ...string) (all []Job) {
	for _, m := range machines {
		all = append(all, Job{ID: "work on " + m, Machines: []string{m}, Duration: takes})
	}
	return all
}

func TestPlans(t *testing.T) {
	cases := []struct {
		name string
		site Site
		jobs []Job
		want []string // each place's job, beginning in seconds and reason, shortened
		no   string   // what can't be done says this
	}{
		{"one", depot(5, 20), jobs(minute, "box-1"), []string{"box-1 0 it can begin at once"}, ""},
		{"room for two", depot(5, 20), jobs(minute, "box-1", "box-2"), []string{"box-1 0 it can", "box-2 0 it can"}, ""},
		{"the third waits until a box is back and warm", depot(5, 20), jobs(minute, "box-1", "box-2", "box-3"),
			[]string{"box-1 0 ", "box-2 0 ", "box-3 70 waits for work on box-1 and work on box-2: 3 of 5 boxes in south would be out or warming"}, ""},
		{"the demand leaves room for one", depot(5, 32), jobs(minute, "box-1", "box-2"),
			[]string{"box-1 0 ", "box-2 70 waits for work on box-1: 24 of 40 would be left in south for a demand of 32"}, ""},
		{"one location with two boxes, both asked", depot(2, 8), jobs(minute, "box-0", "box-1"), []string{"box-0 0 ", "box-1 70 waits for work on box-0"}, ""},
		{"a parent waits for the other", depot(2, 1), jobs(minute, "parent-0", "parent-1"), []string{"parent-0 0 ", "parent-1 80 waits for work on parent-0"}, ""},
		{"not before its time", depot(2, 8), []Job{{ID: "a", Machines: []string{"box-0"}, Duration: minute, NotBefore: minute}}, []string{"a 60 not before"}, ""},
		{"too much at any time", depot(3, 23), jobs(minute, "box-0"), nil, "16 of 24 would be left in south for a demand of 23 at the quietest; 7 more room"},
		{"everything at once", depot(3, 1), []Job{{ID: "all", Machines: []string{"box-0", "box-1", "box-2"}, Duration: minute}}, nil,
			"all 3 boxes in south would be out; another one there is needed"},
		{"a name that nobody knows", depot(3, 1), jobs(minute, "nobox"), nil, "there is no nobox"},
		{"no time at all", depot(3, 1), jobs(0, "box-0"), nil, "takes no time"},
		{"at night", func() Site {
			s := depot(3, 20)
			s.Demand = append(s.Demand, Slot{600 * d.Second, map[string]float64{"south": 10, "hub": 1}})
			return s
		}(), jobs(minute, "box-0"), []string{"box-0 600 waits for a quieter time"}, ""},
		{"what is out already is a fact", depot(3, 8), append(jobs(minute, "box-1"), Job{ID: "b", Machines: []string{"box-0"}, Duration: minute, Started: true}),
			[]string{"b 0 it is out already", "box-1 70 waits for b"}, ""},
		{"another has failed unasked", func() Site {
			s := depot(3, 8)
			s.Machines[2].Unavailable = true
			return s
		}(), jobs(minute, "box-0"), nil, "as things are: waits for box-2: 2 of 3 boxes"},
		{"another still warms up", func() Site {
			s := depot(2, 8)
			s.Machines[1].WarmingFor = 5 * d.Second
			return s
		}(), jobs(minute, "box-0"), []string{"box-0 5 waits for box-1"}, ""},
		{"one machine for two", depot(4, 8), []Job{{ID: "a", Machines: []string{"box-0"}, Duration: minute}, {ID: "b", Machines: []string{"box-0"}, Duration: minute}},
			[]string{"a 0 ", "b 70 waits for a: it is the same machine"}, ""},
		{"what is due first goes first", depot(2, 8), []Job{{ID: "a", Machines: []string{"box-0"}, Duration: minute},
			{ID: "b", Machines: []string{"box-1"}, Duration: minute, Deadline: 70 * d.Second}}, []string{"b 0 ", "a 70 "}, ""},
	}
	for _, c := range cases {
		for _, exact := range []int{7, 0} { // both planners
			t.Run(fmt.Sprint(c.name, " ", exact), func(t *testing.T) {
				c.site.ExactLimit = exact
				plan := MakePlan(c.site, c.jobs, 1)
				var got []string
				for _, p := range plan.Placements {
					got = append(got, fmt.Sprintf("%s %d %s", strings.TrimPrefix(p.Job, "work on "), p.Start/d.Second, p.Reason))
				}
				for i := range max(len(got), len(c.want)) {
					if i >= len(got) || i >= len(c.want) || !strings.HasPrefix(got[i], c.want[i]) {
						t.Fatalf("got %q, want %q; never %v", got, c.want, plan.Infeasible)
					}
				}
				why := ""
				for _, w := range plan.Infeasible {
					why += w
				}
				if c.no == "" != (why == "") || !strings.Contains(why, c.no) {
					t.Errorf("never: %q, want %q", why, c.no)
				}
				if broken := Violations(c.site, c.jobs, plan); len(broken) > 0 {
					t.Error(broken)
				}
			})
		}
	}
}

// draw makes a site and what is asked for.
func draw(t *rapid.T, machines, most int) (Site, []Job) {
	s := Site{WarmUp: [3]d.Micros{10 * d.Second, 20 * d.Second, 0}, MaxUnavailable: 0.5, LocalSearchMoves: 60, ExactLimit: 6, Reserve: 0.1}
	of := map[string]float64{}
	for i := range rapid.IntRange(2, machines).Draw(t, "machines") {
		m := Machine{Name: fmt.Sprint("m", i), Kind: Kind(rapid.IntRange(0, 1).Draw(t, "kind")), Capacity: float64(rapid.IntRange(4, 9).Draw(t, "capacity"))}
		m.Location = fmt.Sprint(m.Kind, rapid.IntRange(0, 1).Draw(t, "depot"))
		s.Machines = append(s.Machines, m)
		of[m.Location] += m.Capacity
	}
	for i, part := range []float64{0.5, 0.2, 0.6} {
		slot := Slot{d.Micros(i) * 200 * d.Second, map[string]float64{}}
		for name, all := range of {
			slot.Demand[name] = all * part
		}
		s.Demand = append(s.Demand, slot)
	}
	var all []Job
	for i := range rapid.IntRange(1, most).Draw(t, "jobs") {
		j := Job{ID: fmt.Sprint("j", i), Duration: d.Micros(rapid.IntRange(10, 90).Draw(t, "takes")) * d.Second}
		j.Machines = []string{s.Machines[rapid.IntRange(0, len(s.Machines)-1).Draw(t, "which")].Name}
		if rapid.IntRange(0, 3).Draw(t, "due") == 0 {
			j.Deadline = d.Micros(rapid.IntRange(60, 300).Draw(t, "by")) * d.Second
		}
		all = append(all, j)
	}
	return s, all
}

// Whatever is asked for: the plan keeps what it is to keep, looked at by another piece of code; every job has a place or a reason; the
// same gives the same; and the exact one is never worse than the fast one.
func TestPlansHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, all := draw(t, 9, 5)
		exact := MakePlan(s, all, 3)
		s.ExactLimit = 0
		fast := MakePlan(s, all, 3)
		for _, plan := range []Plan{exact, fast} {
			if broken := Violations(s, all, plan); len(broken) > 0 {
				t.Fatal(broken)
			}
			if len(plan.Placements)+len(plan.Infeasible) != len(all) {
				t.Fatalf("%d places, %d never, of %d", len(plan.Placements), len(plan.Infeasible), len(all))
			}
			for _, p := range plan.Placements {
				if p.Reason == "" {
					t.Fatalf("%+v has no reason", p)
				}
			}
		}
		if len(exact.Infeasible) == len(fast.Infeasible) && (exact.Tardiness > fast.Tardiness || exact.Tardiness == fast.Tardiness && exact.Makespan > fast.Makespan) {
			t.Fatalf("exact: done %d, late %d; fast: %d, %d", exact.Makespan, exact.Tardiness, fast.Makespan, fast.Tardiness)
		}
		if again := MakePlan(s, all, 3); !reflect.DeepEqual(again, fast) {
			t.Fatal("the same gives another plan")
		}
	})
}
