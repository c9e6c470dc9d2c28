package maintenance

import (
	"cmp"
	"math"
	"slices"

	"tallyproxy/internal/random"
	"tallyproxy/policy"
)

// MakePlan places a site's jobs. Up to the site's ExactLimit of them it searches all orders; beyond, it tries some: by deadline, by
// duration, by the capacity that a job takes, and moves of one job from the best so far, drawn from a seed. Equal arguments give
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
		s.exhaustive(s.base, s.fixed, open, score{})
	} else {
		s.heuristic(open, seed)
	}
	if s.found == nil && len(open)+len(s.fixed) > 0 {
		s.found = s.scheduleFeasible(open, plan.Infeasible)
	}
	plan.OrdersTried = s.tried
	plan.setPlacements(s.found)
	return plan
}

// PlanInOrder gives each job the earliest time that those before it leave, in the order given. Jobs that can't be placed are left out,
// and no sums of tardiness are made.
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

// setPlacements sorts the placements and sums them up.
func (plan *Plan) setPlacements(placements []Placement) {
	slices.SortStableFunc(placements, func(a, b Placement) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Job, b.Job))
	})
	plan.Placements = placements
	for _, placement := range placements {
		plan.Makespan, plan.Tardiness = max(plan.Makespan, placement.End), plan.Tardiness+placement.Tardiness
	}
}

// score is how good an order is: first by the least tardiness, then by the earliest end of all, then by that of each.
type score struct{ tardiness, makespan, sumOfEnds policy.Micros }

func (s *score) add(p Placement) {
	s.tardiness, s.makespan, s.sumOfEnds = s.tardiness+p.Tardiness, max(s.makespan, p.End), s.sumOfEnds+p.End
}

func (s score) betterThan(o score) bool {
	return cmp.Or(cmp.Compare(s.tardiness, o.tardiness), cmp.Compare(s.makespan, o.makespan), cmp.Compare(s.sumOfEnds, o.sumOfEnds)) < 0
}

// search looks for the best order of a planner's open jobs.
type search struct {
	*planner
	started []*Job
	base    outages     // with the started jobs'
	fixed   []Placement // the started jobs'
	tried   int         // orders
	best    score
	found   []Placement // those of the best order; nil until one was found
}

func (s *search) scheduleStarted() {
	for _, j := range s.started {
		placement, _ := s.schedule(s.base, j) // a started job always has its place
		s.fixed = append(s.fixed, placement)
	}
}

// exhaustive tries all orders of the jobs that are left, except where what is placed can't become better than the best.
func (s *search) exhaustive(planned outages, placements []Placement, left []*Job, reached score) {
	if len(left) == 0 {
		if s.tried++; reached.betterThan(s.best) {
			s.best, s.found = reached, slices.Clone(placements)
		}
		return
	}
	if !bound(reached, left).betterThan(s.best) {
		return
	}
	for i, j := range left {
		next := planned.clone()
		placement, ok := s.schedule(next, j)
		if !ok {
			continue
		}
		with := reached
		with.add(placement)
		s.exhaustive(next, append(slices.Clip(placements), placement), slices.Delete(slices.Clone(left), i, i+1), with)
	}
}

// bound returns a score that no order of the jobs that are left can better: none ends before it could alone.
func bound(reached score, left []*Job) score {
	for _, j := range left {
		end := j.NotBefore + j.Duration
		reached.makespan, reached.sumOfEnds = max(reached.makespan, end), reached.sumOfEnds+end
		if j.Deadline > 0 {
			reached.tardiness += max(0, end-j.Deadline)
		}
	}
	return reached
}

// heuristic tries three orders by rule, then moves from the best so far.
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
		s.try(order)
	}
	s.improve(open, seed)
}

// deadline returns a job's, or the end of time where it has none.
func deadline(j *Job) policy.Micros {
	if j.Deadline == 0 {
		return never
	}
	return j.Deadline
}

// try schedules jobs in an order, and keeps that if it is the best. An order in which a job finds no place, with what is lost now, isn't
// kept.
func (s *search) try(order []*Job) {
	s.tried++
	planned, placements, reached := s.base.clone(), slices.Clone(s.fixed), score{}
	for _, j := range order {
		placement, ok := s.schedule(planned, j)
		if !ok {
			return
		}
		placements = append(placements, placement)
		reached.add(placement)
	}
	if reached.betterThan(s.best) {
		s.best, s.found = reached, placements
	}
}

// improve is a local search: it tries orders that differ from the best so far in one job's place.
func (s *search) improve(open []*Job, seed uint64) {
	generator := random.New(seed)
	byID := map[string]*Job{}
	for _, j := range open {
		byID[j.ID] = j
	}
	for range s.site.LocalSearchMoves {
		var order []*Job
		for _, placement := range s.found {
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
		s.try(order)
	}
}

// scheduleFeasible schedules, where no order has a place for all jobs as things are, those that find one. It adds the others to infeasible.
func (s *search) scheduleFeasible(open []*Job, infeasible map[string]string) []Placement {
	planned := s.base.clone()
	placements := slices.Clone(s.fixed)
	for _, j := range open {
		placement, ok := s.schedule(planned, j)
		if ok {
			placements = append(placements, placement)
		} else {
			infeasible[j.ID] = "as things are: " + placement.Reason
		}
	}
	return placements
}
