package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"tallyproxy/internal/boolean"
	"tallyproxy/maintenance"
	"tallyproxy/policy"
)

// MaintenancePlan is the experiment `tallybench plan`. It measures the maintenance schedules that
// package maintenance plans for the machines of random sites.
type MaintenancePlan struct {
	Locations      int     `name:"depots" default:"10" help:"Number of locations."`
	CacheNodes     int     `name:"boxes" default:"170" help:"Number of cache nodes, distributed unequally over the locations."`
	Parents        int     `default:"30" help:"Number of parents, distributed over three hubs."`
	Jobs           int     `default:"60" help:"Number of machines to take out of service."`
	Demand         float64 `default:"0.5" help:"Demand at the busiest time, relative to the capacity of all machines; at night it is 0.4 of that."`
	Schedules      int     `default:"20" help:"Number of random sites with jobs."`
	SmallSchedules int     `name:"small" default:"200" help:"Number of small sites with seven jobs, on which the fast planner is compared with the exact one."`
	Seed           uint64  `default:"1" help:"Seed of sites and jobs."`
	JSON           bool    `name:"json" help:"Print one JSON object."`
}

const (
	hubs                   = 3
	smallCacheNodes        = 5 // cache nodes of a small site
	smallParents           = 6
	smallJobs              = 7
	localSearchMoves       = 400
	exactLimit             = 7 // largest number of jobs for the exact planner
	slotDuration           = 3600 * policy.Second
	manualPause            = 60 * policy.Second // between two jobs of a location when done by hand
	nightDemand            = 0.4                // share of the demand at the busiest time
	maintenanceStream      = 41                 // stream of the random generator
	maxUnavailable         = 0.34
	reservedCapacity       = 0.1
	parentCapacity         = 10.0
	minimumNodesOfLocation = 2
)

// MaintenancePlanResult is the result over all sites.
type MaintenancePlanResult struct {
	// Large sites that were planned.
	Schedules int `json:"schedules"`
	// Plans that violate a constraint.
	Violations int `json:"over_planned_out"`
	// Jobs that can't be scheduled; the plan has a reason for each.
	Infeasible int `json:"never"`
	// Number of late jobs, relative to sequential work by hand.
	LateOverManual float64 `json:"late_over_hand"`
	// Makespan, relative to sequential work by hand.
	MakespanOverManual float64 `json:"done_over_hand"`
	// Makespan of a random order, relative to the plan.
	RandomOverPlan float64 `json:"random_over_plan"`
	// Wall-clock time of the slowest plan.
	MaxPlanningMS float64 `json:"planner_ms"`
	// Mean cost of the fast plan relative to the exact one, minus 1, on small sites.
	MeanGap float64 `json:"gap_mean"`
	// Largest cost of the fast plan relative to the exact one, minus 1, on small sites.
	MaxGap float64 `json:"gap_most"`
	// Share of small sites on which both plans are equal.
	NoGapShare float64 `json:"gap_none_share"`
	// Orders that the exact planner tried.
	OrdersTried int `json:"orders_looked_at"`

	planned, manual float64 // sums of makespans, in µs
}

// Broken returns the name and count of the rule that was broken, or an empty string.
func (r MaintenancePlanResult) Broken() string {
	if r.Violations > 0 {
		return fmt.Sprintf("over_planned_out %d", r.Violations)
	}
	return ""
}

// siteSize is the size of a random site.
type siteSize struct{ locations, cacheNodes, parents, jobs int }

// drawSite draws a random site, its demand over three hours, and its jobs.
func (m *MaintenancePlan) drawSite(random *rand.Rand, size siteSize) (maintenance.Site, []maintenance.Job) {
	site := maintenance.Site{
		WarmUp: [3]policy.Micros{10 * policy.Second, 20 * policy.Second, 0}, MaxUnavailable: maxUnavailable, Reserve: reservedCapacity,
		LocalSearchMoves: localSearchMoves, ExactLimit: exactLimit,
	}
	for i := range size.cacheNodes {
		location := i % size.locations
		if i >= minimumNodesOfLocation*size.locations { // distributes the remaining nodes unequally
			location = int(float64(size.locations) * math.Pow(random.Float64(), 1.5))
		}
		site.Machines = append(site.Machines, maintenance.Machine{Name: fmt.Sprint("box-", i), Kind: maintenance.CacheNode,
			Location: fmt.Sprint("depot-", location), Capacity: float64(4 + random.IntN(4))})
	}
	for i := range size.parents {
		site.Machines = append(site.Machines, maintenance.Machine{Name: fmt.Sprint("parent-", i), Kind: maintenance.Parent,
			Location: fmt.Sprint("hub-", i%hubs), Capacity: parentCapacity})
	}
	site.Demand = m.demand(site.Machines)
	return site, drawJobs(random, site.Machines, size.jobs)
}

// demand returns the demand in three slots: end of the day, night and morning.
func (m *MaintenancePlan) demand(machines []maintenance.Machine) (slots []maintenance.Slot) {
	capacity := map[string]float64{} // by location
	for _, machine := range machines {
		capacity[machine.Location] += machine.Capacity
	}
	for i, share := range []float64{1, nightDemand, 1} {
		slot := maintenance.Slot{Start: policy.Micros(i) * slotDuration, Demand: map[string]float64{}}
		for location, total := range capacity {
			slot.Demand[location] = total * m.Demand * share
		}
		slots = append(slots, slot)
	}
	return slots
}

// drawJobs draws jobs for one machine each. A quarter of them has a deadline.
func drawJobs(random *rand.Rand, machines []maintenance.Machine, count int) (jobs []maintenance.Job) {
	for i, k := range random.Perm(len(machines))[:min(count, len(machines))] {
		duration := policy.Micros(300+random.IntN(900)) * policy.Second
		job := maintenance.Job{ID: fmt.Sprint("job-", i), Machines: []string{machines[k].Name}, Duration: duration}
		if random.IntN(4) == 0 {
			job.Deadline = job.Duration + policy.Micros(random.IntN(7200))*policy.Second
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// planByHand schedules the jobs of each location one after another, with a fixed pause between them
// and regardless of the demand. It returns the makespan and the number of late jobs.
func planByHand(site maintenance.Site, jobs []maintenance.Job) (makespan policy.Micros, late int) {
	nextStart := map[string]policy.Micros{} // by location: earliest start of its next job
	locations := map[string]string{}
	for _, machine := range site.Machines {
		locations[machine.Name] = machine.Location
	}
	for _, job := range jobs {
		location := locations[job.Machines[0]]
		end := nextStart[location] + job.Duration
		nextStart[location] = end + manualPause
		makespan = max(makespan, end)
		late += boolean.Int(job.Deadline > 0 && end > job.Deadline)
	}
	return makespan, late
}

// Execute runs the experiment.
func (m *MaintenancePlan) Execute() (result MaintenancePlanResult, err error) {
	if m.Locations < 1 || m.CacheNodes < minimumNodesOfLocation*m.Locations || m.Parents < 2*hubs || m.Jobs < 1 || m.Schedules < 1 ||
		m.Demand < 0 || m.Demand > 1 {
		return result, fmt.Errorf("need at least two cache nodes per location, two parents for each of three hubs, one job and one schedule, and a demand from 0 to 1")
	}
	random := rand.New(rand.NewPCG(m.Seed, maintenanceStream))
	m.compareWithManual(random, &result)
	m.compareWithExact(random, &result)
	return result, nil
}

// compareWithManual plans large sites and compares the plans with sequential work by hand and with
// a random order.
func (m *MaintenancePlan) compareWithManual(random *rand.Rand, result *MaintenancePlanResult) {
	late, lateByHand, randomOrder := 0, 0, 0.0
	for range m.Schedules {
		site, jobs := m.drawSite(random, siteSize{m.Locations, m.CacheNodes, m.Parents, m.Jobs})
		startedAt := time.Now()
		plan := maintenance.MakePlan(site, jobs, m.Seed)
		result.MaxPlanningMS = max(result.MaxPlanningMS, float64(time.Since(startedAt).Microseconds())/1000)
		result.Schedules++
		result.Infeasible += len(plan.Infeasible)
		result.Violations += boolean.Int(len(maintenance.Violations(site, jobs, plan)) > 0)
		for _, placement := range plan.Placements {
			late += boolean.Int(placement.Tardiness > 0)
		}
		makespan, lateJobs := planByHand(site, jobs)
		lateByHand += lateJobs
		result.planned += float64(plan.Makespan)
		result.manual += float64(makespan)
		randomOrder += float64(randomOrderMakespan(site, jobs))
	}
	result.MakespanOverManual = ratio(result.planned, result.manual)
	result.RandomOverPlan = ratio(randomOrder, result.planned)
	result.LateOverManual = ratio(float64(late), max(1, float64(lateByHand)))
}

// randomOrderMakespan returns the makespan if the jobs are scheduled in the random order in which
// they were drawn, without deadlines.
func randomOrderMakespan(site maintenance.Site, jobs []maintenance.Job) policy.Micros {
	site.LocalSearchMoves = 0
	withoutDeadlines := make([]maintenance.Job, len(jobs))
	for i, job := range jobs {
		job.Deadline, job.NotBefore = 0, 0
		withoutDeadlines[i] = job
	}
	return maintenance.PlanInOrder(site, withoutDeadlines).Makespan
}

// compareWithExact plans small sites with the exact planner and with the fast one.
func (m *MaintenancePlan) compareWithExact(random *rand.Rand, result *MaintenancePlanResult) {
	equal := 0
	for range m.SmallSchedules {
		site, jobs := m.drawSite(random, siteSize{1, smallCacheNodes, smallParents, smallJobs})
		exact := maintenance.MakePlan(site, jobs, m.Seed)
		result.OrdersTried += exact.OrdersTried
		site.ExactLimit = 0
		fast := maintenance.MakePlan(site, jobs, m.Seed)
		broken := len(maintenance.Violations(site, jobs, exact)) + len(maintenance.Violations(site, jobs, fast))
		result.Violations += boolean.Int(broken > 0)
		gap := 0.0
		if exact.Makespan > 0 {
			gap = float64(fast.Makespan+fast.Tardiness)/float64(exact.Makespan+exact.Tardiness) - 1
		}
		result.MeanGap += gap / float64(m.SmallSchedules)
		result.MaxGap = max(result.MaxGap, ratio(gap, 1))
		equal += boolean.Int(fast.Makespan == exact.Makespan && fast.Tardiness == exact.Tardiness)
	}
	result.MeanGap = ratio(result.MeanGap, 1)
	result.NoGapShare = ratio(float64(equal), float64(m.SmallSchedules))
}

// Table formats the result as text.
func (r MaintenancePlanResult) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d schedules: makespan %.2f and late jobs %.2f, relative to sequential work by hand; a random order takes "+
		"%.2f times the plan's time\n", r.Schedules, r.MakespanOverManual, r.LateOverManual, r.RandomOverPlan)
	fmt.Fprintf(&b, "%d jobs can't be scheduled, %d plans violate a constraint, the slowest plan took %.0f ms\n", r.Infeasible, r.Violations, r.MaxPlanningMS)
	fmt.Fprintf(&b, "small sites: plans of the fast planner are longer than the exact ones by %.4f on average, %.4f at most; equal on %.2f of the sites\n", r.MeanGap,
		r.MaxGap, r.NoGapShare)
	return b.String()
}
