package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"tallyproxy/internal/boolean"
	"tallyproxy/maintenance"
	d "tallyproxy/policy"
)

// MaintenancePlan is what `tallybench plan` plays: orders in which machines are taken out for work, as the planner makes them, without processes.
type MaintenancePlan struct {
	Locations      int     `name:"depots" default:"10" help:"Locations."`
	CacheNodes     int     `name:"boxes" default:"170" help:"Caches, over all of them, unequally."`
	Parents        int     `default:"30" help:"Parents, over three hubs."`
	Jobs           int     `default:"60" help:"Machines to be taken out."`
	Demand         float64 `default:"0.5" help:"What is asked for at the busiest time, over what all can do; 0.4 of that at night."`
	Schedules      int     `default:"20" help:"Sites and jobs that are drawn."`
	SmallSchedules int     `name:"small" default:"200" help:"Small ones, of seven jobs, on which the fast planner is set against the exact one."`
	Seed           uint64  `default:"1" help:"Of sites and jobs."`
	JSON           bool    `name:"json" help:"Print one JSON object."`
}

// MaintenancePlanResult is what came of it. Times are means, over the exact or the planned ones.
type MaintenancePlanResult struct {
	Schedules          int     `json:"schedules"`
	Violations         int     `json:"over_planned_out"` // plans that break what they are to keep
	Infeasible         int     `json:"never"`            // jobs that can't be done, with a reason
	LateOverManual     float64 `json:"late_over_hand"`   // jobs done after they were due, over those of one by one by hand
	MakespanOverManual float64 `json:"done_over_hand"`   // until all is done, over one by one by hand in each location
	RandomOverPlan     float64 `json:"random_over_plan"` // until all is done in a random order with the same limits, over the plan
	MaxPlanningMS      float64 `json:"planner_ms"`       // for the largest
	MeanGap            float64 `json:"gap_mean"`         // of small ones: the fast planner's time over the exact one's, less 1
	MaxGap             float64 `json:"gap_most"`
	NoGapShare         float64 `json:"gap_none_share"` // in which there is none
	OrdersTried        int     `json:"orders_looked_at"`
	planned, manual    float64
}

// Broken says what must not be.
func (r MaintenancePlanResult) Broken() string {
	if r.Violations > 0 {
		return fmt.Sprintf("over_planned_out %d", r.Violations)
	}
	return ""
}

// drawSite draws one, and what is asked for.
func (w *MaintenancePlan) drawSite(r *rand.Rand, depots, boxes, parents, jobs int) (maintenance.Site, []maintenance.Job) {
	s := maintenance.Site{WarmUp: [3]d.Micros{10 * d.Second, 20 * d.Second, 0}, MaxUnavailable: 0.34, Reserve: 0.1, LocalSearchMoves: 400, ExactLimit: 7}
	of, names := map[string]float64{}, []string{}
	add := func(kind maintenance.Kind, name, depot string, capacity float64) {
		s.Machines = append(s.Machines, maintenance.Machine{Name: name, Kind: kind, Location: depot, Capacity: capacity})
		of[depot] += capacity
		names = append(names, name)
	}
	for i := range boxes {
		depot := i % depots
		if i >= 2*depots { // two each at the least, the rest unequally
			depot = int(float64(depots) * math.Pow(r.Float64(), 1.5))
		}
		add(maintenance.CacheNode, fmt.Sprint("box-", i), fmt.Sprint("depot-", depot), float64(4+r.IntN(4)))
	}
	for i := range parents {
		add(maintenance.Parent, fmt.Sprint("parent-", i), fmt.Sprint("hub-", i%3), 10)
	}
	for i, part := range []float64{1, 0.4, 1} { // the day's end, the night, the morning
		slot := maintenance.Slot{Start: d.Micros(i) * 3600 * d.Second, Demand: map[string]float64{}}
		for name, all := range of {
			slot.Demand[name] = all * w.Demand * part
		}
		s.Demand = append(s.Demand, slot)
	}
	var all []maintenance.Job
	for i, k := range r.Perm(len(names))[:min(jobs, len(names))] {
		j := maintenance.Job{ID: fmt.Sprint("job-", i), Machines: []string{names[k]}, Duration: d.Micros(300+r.IntN(900)) * d.Second}
		if r.IntN(4) == 0 {
			j.Deadline = j.Duration + d.Micros(r.IntN(7200))*d.Second
		}
		all = append(all, j)
	}
	return s, all
}

// planByHand is one by one by hand: in each location one after another, with a fixed wait in between, whatever is asked for.
func planByHand(s maintenance.Site, jobs []maintenance.Job) (done d.Micros, late int) {
	const wait = 60 * d.Second
	at, depots := map[string]d.Micros{}, map[string]string{}
	for _, m := range s.Machines {
		depots[m.Name] = m.Location
	}
	for _, j := range jobs {
		depot := depots[j.Machines[0]]
		end := at[depot] + j.Duration
		at[depot], done, late = end+wait, max(done, end), late+boolean.Int(j.Deadline > 0 && end > j.Deadline)
	}
	return done, late
}

// Execute plays it.
func (w *MaintenancePlan) Execute() (out MaintenancePlanResult, err error) {
	if w.Locations < 1 || w.CacheNodes < 2*w.Locations || w.Parents < 6 || w.Jobs < 1 || w.Schedules < 1 || w.Demand < 0 || w.Demand > 1 {
		return out, fmt.Errorf("two boxes to a location, two parents to each of three hubs, a job, a schedule and a demand from 0 to 1 at the least")
	}
	r := rand.New(rand.NewPCG(w.Seed, 41))
	late, lateHand, random := 0, 0, 0.0
	for range w.Schedules {
		s, jobs := w.drawSite(r, w.Locations, w.CacheNodes, w.Parents, w.Jobs)
		begun := time.Now()
		plan := maintenance.MakePlan(s, jobs, w.Seed)
		out.MaxPlanningMS = max(out.MaxPlanningMS, float64(time.Since(begun).Microseconds())/1000)
		out.Schedules++
		out.Infeasible += len(plan.Infeasible)
		out.Violations += boolean.Int(len(maintenance.Violations(s, jobs, plan)) > 0)
		for _, p := range plan.Placements {
			late += boolean.Int(p.Tardiness > 0)
		}
		byHand, lates := planByHand(s, jobs)
		lateHand += lates
		out.planned, out.manual = out.planned+float64(plan.Makespan), out.manual+float64(byHand)
		one := s
		one.LocalSearchMoves = 0 // the order in which they were asked for, which is a random one
		shuffled := make([]maintenance.Job, len(jobs))
		for i, j := range jobs {
			j.Deadline, j.NotBefore = 0, 0
			shuffled[i] = j
		}
		random += float64(maintenance.PlanInOrder(one, shuffled).Makespan)
	}
	out.MakespanOverManual, out.RandomOverPlan = ratio(out.planned, out.manual), ratio(random, out.planned)
	out.LateOverManual = ratio(float64(late), max(1, float64(lateHand)))
	same := 0
	for range w.SmallSchedules {
		s, jobs := w.drawSite(r, 1, 5, 6, 7)
		exact := maintenance.MakePlan(s, jobs, w.Seed)
		out.OrdersTried += exact.OrdersTried
		s.ExactLimit = 0
		fast := maintenance.MakePlan(s, jobs, w.Seed)
		out.Violations += boolean.Int(len(maintenance.Violations(s, jobs, exact))+len(maintenance.Violations(s, jobs, fast)) > 0)
		gap := 0.0
		if exact.Makespan > 0 {
			gap = float64(fast.Makespan+fast.Tardiness)/float64(exact.Makespan+exact.Tardiness) - 1
		}
		out.MeanGap, out.MaxGap = out.MeanGap+gap/float64(w.SmallSchedules), max(out.MaxGap, ratio(gap, 1))
		same += boolean.Int(fast.Makespan == exact.Makespan && fast.Tardiness == exact.Tardiness)
	}
	out.MeanGap, out.NoGapShare = ratio(out.MeanGap, 1), ratio(float64(same), float64(w.SmallSchedules))
	return out, nil
}

// Table is the result for people.
func (r MaintenancePlanResult) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d schedules: all done in %.2f of the time of one by one by hand, %.2f of its lates; a random order takes %.2f times the plan's\n",
		r.Schedules, r.MakespanOverManual, r.LateOverManual, r.RandomOverPlan)
	fmt.Fprintf(&b, "%d jobs can't be done, %d plans break what they are to keep, the slowest plan took %.0f ms\n", r.Infeasible, r.Violations, r.MaxPlanningMS)
	fmt.Fprintf(&b, "small ones: the fast planner is %.4f slower than the exact one on average, %.4f at the most, no slower in %.2f of them\n", r.MeanGap,
		r.MaxGap, r.NoGapShare)
	return b.String()
}
