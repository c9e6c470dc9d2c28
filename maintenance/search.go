package maintenance

import (
	"cmp"
	"math"
	"slices"

	"tallyproxy/internal/random"
	"tallyproxy/policy"
)

// MakePlan places a site's jobs. Up to the site's ExactLimit of jobs it searches all orders. Beyond
// that it tries the orders by deadline, by duration and by the capacity that a job takes, and then
// random moves of one job from the best order so far, drawn from the seed. Equal arguments give
// equal plans.
func MakePlan(site Site, jobs []Job, seed uint64) (plan Plan) {
	p := newPlanner(&site)
	plan.Infeasible = map[string]string{}
	s := search{planner: p, base: p.initial(), best: score{tardiness: math.MaxInt64}}
	var open []*Job
	for i := range jobs {
		j := &jobs[i]
		p.jobs[j.ID] = j
		switch reason := p.infeasible(j); {
		case reason != "":
			plan.Infeasible[j.ID] = reason
		case j.Started:
			s.started = append(s.started, j)
		default:
			open = append(open, j)
		}
	}
	s.scheduleStarted()
	if plan.Optimal = len(open) <= site.ExactLimit; plan.Optimal {
		s.exhaustive(s.base, s.startedPlacements, open, score{})
	} else {
		s.heuristic(open, seed)
	}
	if s.bestPlacements == nil && len(open)+len(s.startedPlacements) > 0 {
		s.bestPlacements = s.scheduleFeasible(open, plan.Infeasible)
	}
	plan.OrdersTried = s.ordersTried
	plan.setPlacements(s.bestPlacements)
	return plan
}

// PlanInOrder places the jobs in the given order, each at the earliest time that the jobs before it
// allow. It omits jobs that cannot be placed, and does not sum up the tardiness.
func PlanInOrder(site Site, jobs []Job) (plan Plan) {
	p := newPlanner(&site)
	planned := p.initial()
	for i := range jobs {
		p.jobs[jobs[i].ID] = &jobs[i]
		if p.infeasible(&jobs[i]) != "" {
			continue
		}
		if placement, ok := p.schedule(planned, &jobs[i]); ok {
			plan.Placements, plan.Makespan = append(plan.Placements, placement), max(plan.Makespan, placement.End)
		}
	}
	return plan
}

// setPlacements sorts the placements, stores them in the plan and sums them up.
func (plan *Plan) setPlacements(placements []Placement) {
	slices.SortStableFunc(placements, func(a, b Placement) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Job, b.Job))
	})
	plan.Placements = placements
	for _, placement := range placements {
		plan.Makespan, plan.Tardiness = max(plan.Makespan, placement.End), plan.Tardiness+placement.Tardiness
	}
}

// score rates an order: lower tardiness is better, then an earlier end of the last job, then a
// lower sum of the ends of all jobs.
type score struct{ tardiness, makespan, sumOfEnds policy.Micros }

func (s *score) add(p Placement) {
	s.tardiness, s.makespan, s.sumOfEnds = s.tardiness+p.Tardiness, max(s.makespan, p.End), s.sumOfEnds+p.End
}

func (s score) betterThan(o score) bool {
	return cmp.Or(cmp.Compare(s.tardiness, o.tardiness), cmp.Compare(s.makespan, o.makespan), cmp.Compare(s.sumOfEnds, o.sumOfEnds)) < 0
}

// search finds the best order of a planner's open jobs.
type search struct {
	*planner
	started           []*Job
	base              outages     // includes those of the started jobs
	startedPlacements []Placement // of the started jobs
	ordersTried       int
	best              score
	bestPlacements    []Placement // of the best order; nil until one was found
}

func (s *search) scheduleStarted() {
	for _, j := range s.started {
		placement, _ := s.schedule(s.base, j) // a started job can always be placed
		s.startedPlacements = append(s.startedPlacements, placement)
	}
}

// exhaustive tries all orders of the remaining jobs, except those whose placements so far cannot
// lead to a better score than the best.
func (s *search) exhaustive(planned outages, placements []Placement, remaining []*Job, total score) {
	if len(remaining) == 0 {
		if s.ordersTried++; total.betterThan(s.best) {
			s.best, s.bestPlacements = total, slices.Clone(placements)
		}
		return
	}
	if !lowerBound(total, remaining).betterThan(s.best) {
		return
	}
	for i, j := range remaining {
		next := planned.clone()
		placement, ok := s.schedule(next, j)
		if !ok {
			continue
		}
		extended := total
		extended.add(placement)
		s.exhaustive(next, append(slices.Clip(placements), placement), slices.Delete(slices.Clone(remaining), i, i+1), extended)
	}
}

// lowerBound returns a score that no order of the remaining jobs can beat: it lets each job end as
// early as it could alone.
func lowerBound(total score, remaining []*Job) score {
	for _, j := range remaining {
		end := j.NotBefore + j.Duration
		total.makespan, total.sumOfEnds = max(total.makespan, end), total.sumOfEnds+end
		if j.Deadline > 0 {
			total.tardiness += max(0, end-j.Deadline)
		}
	}
	return total
}

// heuristic tries three orders by fixed rules, and then moves from the best order so far.
func (s *search) heuristic(open []*Job, seed uint64) {
	byID := func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) }
	longestFirst := func(a, b *Job) int { return cmp.Compare(b.Duration, a.Duration) }
	load := func(j *Job) float64 { return s.capacityOf(j) * float64(j.Duration) }
	for _, rule := range []func(a, b *Job) int{
		func(a, b *Job) int {
			return cmp.Or(cmp.Compare(deadline(a), deadline(b)), longestFirst(a, b), byID(a, b))
		},
		func(a, b *Job) int { return cmp.Or(longestFirst(a, b), byID(a, b)) },
		func(a, b *Job) int { return cmp.Or(cmp.Compare(load(b), load(a)), byID(a, b)) },
	} {
		order := slices.Clone(open)
		slices.SortFunc(order, rule)
		s.tryOrder(order)
	}
	s.improve(open, seed)
}

// deadline returns a job's deadline, or never if it has none.
func deadline(j *Job) policy.Micros {
	if j.Deadline == 0 {
		return never
	}
	return j.Deadline
}

// tryOrder schedules the jobs in the given order, and keeps the result if it is the best so far. It
// discards an order in which a job cannot be placed with the current outages.
func (s *search) tryOrder(order []*Job) {
	s.ordersTried++
	planned, placements, total := s.base.clone(), slices.Clone(s.startedPlacements), score{}
	for _, j := range order {
		placement, ok := s.schedule(planned, j)
		if !ok {
			return
		}
		placements = append(placements, placement)
		total.add(placement)
	}
	if total.betterThan(s.best) {
		s.best, s.bestPlacements = total, placements
	}
}

// improve is a local search: it tries orders that differ from the best so far in the position of
// one job.
func (s *search) improve(open []*Job, seed uint64) {
	generator := random.New(seed)
	byID := map[string]*Job{}
	for _, j := range open {
		byID[j.ID] = j
	}
	for range s.site.LocalSearchMoves {
		var order []*Job
		for _, placement := range s.bestPlacements {
			if j := byID[placement.Job]; j != nil {
				order = append(order, j)
			}
		}
		if len(order) < 2 {
			return
		}
		from := int(generator.Below(uint64(len(order))))
		to := int(generator.Below(uint64(len(order))))
		j := order[from]
		order = slices.Insert(slices.Delete(order, from, from+1), to, j)
		s.tryOrder(order)
	}
}

// scheduleFeasible handles the case that no order can place all jobs with the current outages. It
// schedules the jobs that can be placed and adds the others to infeasible.
func (s *search) scheduleFeasible(open []*Job, infeasible map[string]string) []Placement {
	planned := s.base.clone()
	placements := slices.Clone(s.startedPlacements)
	for _, j := range open {
		placement, ok := s.schedule(planned, j)
		if ok {
			placements = append(placements, placement)
		} else {
			infeasible[j.ID] = "with the current outages: " + placement.Reason
		}
	}
	return placements
}
