package maintenance

import (
	"fmt"
	"slices"

	"tallyproxy/policy"
)

// checkTolerance is by how much a group's capacity may be below its demand, to allow for rounding,
// before that counts as a violation. It is wider than the planner's tolerance.
const checkTolerance = 1e-6

// Violations returns where a plan breaks its constraints. It checks every group at every time at
// which an outage or a slot of the demand starts, and shares no check with the planner. It does not
// check the capacity of a group that had already lost machines before the plan.
func Violations(site Site, jobs []Job, plan Plan) (violations []string) {
	p := newPlanner(&site)
	for i := range jobs {
		p.jobs[jobs[i].ID] = &jobs[i]
	}
	planned := p.initial()
	hasStarted := map[int]bool{} // groups with a job that started before the plan
	for _, placement := range plan.Placements {
		j := p.jobs[placement.Job]
		for i, o := range p.jobOutages(j) {
			planned[i] = append(planned[i], p.withTimes(o, p.groups[i], placement.Start, placement.End))
			hasStarted[i] = hasStarted[i] || j.Started
		}
		if !j.Started && placement.Start < j.NotBefore {
			violations = append(violations, fmt.Sprintf("%s starts %v before its earliest start", j.ID, j.NotBefore-placement.Start))
		}
	}
	for i, g := range p.groups {
		violations = append(violations, p.sharedMachines(i, planned[i])...)
		if hasStarted[i] || len(g.warming) > 0 || g.lostCount > 0 {
			continue // capacity was already lost before the plan
		}
		violations = append(violations, p.shortages(g, planned[i])...)
	}
	return violations
}

// sharedMachines returns the pairs of jobs that have a machine of a group out at the same time.
func (p *planner) sharedMachines(group int, planned []outage) (violations []string) {
	for k, o := range planned {
		for _, other := range planned[:k] {
			x, y := p.jobs[o.job], p.jobs[other.job]
			if x == nil || y == nil {
				continue
			}
			shared := slices.ContainsFunc(x.Machines, func(name string) bool {
				return p.groupOf[name] == group && slices.Contains(y.Machines, name)
			})
			if shared && o.start < other.returns && other.start < o.returns {
				violations = append(violations, fmt.Sprintf("%s and %s use the same machine at the same time", o.job, other.job))
			}
		}
	}
	return violations
}

// shortages returns the times at which a group has too many machines out of service, or too little
// capacity for its demand.
func (p *planner) shortages(g *group, planned []outage) (violations []string) {
	var times []policy.Micros
	for _, o := range planned {
		times = append(times, o.start)
	}
	for _, at := range append(times, p.demandChanges...) {
		lost, count, maxCount := 0.0, 0, p.maxUnavailable(g)
		for _, o := range planned {
			if o.start <= at && at < o.end {
				lost, count, maxCount = lost+o.capacity, count+o.count, max(maxCount, o.count)
			}
		}
		if lost == 0 {
			continue // no planned outage at this time
		}
		if remaining := p.available(g.capacity - lost); count > maxCount || remaining < p.demand(g, at, at+1)-checkTolerance {
			violations = append(violations, fmt.Sprintf("at %d: %d of %d machines out of service in %s, capacity %.3g for a demand of %.3g",
				at, count, g.size, g.location, remaining, p.demand(g, at, at+1)))
		}
	}
	return violations
}
