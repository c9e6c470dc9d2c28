// Package work decides in which order machines are taken out for work, and what may be out together: what is left must bear what is
// asked for, by location and hub, while machines are out and while those that came back warm up. It does no I/O, and the clock
// is given. docs/work.md has the model, and what is not built yet.
package maintenance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	d "tallyproxy/policy"
)

// Kind is what a machine is.
type Kind int

const (
	CacheNode Kind = iota
	Parent
	Director
)

var kinds = [...]string{"box", "parent", "director"}

func (k Kind) String() string { return kinds[k] }

// Machine is one that serves.
type Machine struct {
	Name        string
	Kind        Kind
	Location    string   // of a box or director: its location; of a parent: its hub
	Capacity    float64  // what it bears when warm; of a director: what its clients ask for that it can take
	Unavailable bool     // gone, or not answering, unasked: a fact that the plan starts from
	WarmingFor  d.Micros // how long it still warms up at the plan's start; its room counts as gone for so long
}

// Job is work that is asked for.
type Job struct {
	ID        string
	Machines  []string // out together
	Duration  d.Micros
	NotBefore d.Micros // on the plan's clock
	Deadline  d.Micros // 0 for no such wish
	Started   bool     // its machines are out already, and it takes so much longer: a fact
}

// Slot is what is asked for from a time on, until the next slot's.
type Slot struct {
	Start  d.Micros
	Demand map[string]float64 // by depot, of boxes and directors; by hub, of parents
}

// Site is what the plan is for.
type Site struct {
	Machines         []Machine
	Demand           []Slot      // by time; the first from the start
	WarmUp           [3]d.Micros // by kind: how long one that comes back is no help
	Reserve          float64     // part of what is there that must be left over beside the demand
	MaxUnavailable   float64     // part of a group's machines that may be out or warming together, at least one
	LocalSearchMoves int         // orders that the fast planner looks at
	ExactLimit       int         // jobs up to which all orders are looked at, by bounds
}

// Placement is a job's place in the order.
type Placement struct {
	Job        string
	Start, End d.Micros // out from, and to; it warms up afterwards
	Reason     string   // one sentence
	Tardiness  d.Micros // after the time by which it was to be done
}

// Plan is an order.
type Plan struct {
	Placements  []Placement // by their beginnings
	Makespan    d.Micros
	Tardiness   d.Micros
	Infeasible  map[string]string // jobs that can't be done at all, and what would be needed
	Optimal     bool              // there is none better
	OrdersTried int               // orders that were looked at
}

// group is machines of one kind in one depot or hub: what bears its demand together.
type group struct {
	name    string
	kind    Kind
	all     float64
	count   int
	outNow  float64 // room that is gone unasked
	fewer   int
	gone    []string
	warming []span
}

// span is room that is gone for a time.
type span struct {
	from, to d.Micros
	room     float64
	count    int
	job      string
	out      d.Micros // until then it is out, later it warms up
}

// planner holds what all orders share.
type planner struct {
	s      *Site
	groups []*group
	of     map[string]int     // machines' groups
	where  map[string]Machine // machines by name
	jobs   map[string]*Job
	steps  []d.Micros // when demand changes
}

func newPlanner(s *Site) *planner {
	p := &planner{s: s, of: map[string]int{}, where: map[string]Machine{}, jobs: map[string]*Job{}}
	index := map[string]int{}
	for _, m := range s.Machines {
		key := fmt.Sprint(m.Kind, " ", m.Location)
		i, ok := index[key]
		if !ok {
			i = len(p.groups)
			index[key] = i
			p.groups = append(p.groups, &group{name: m.Location, kind: m.Kind})
		}
		g := p.groups[i]
		g.all, g.count, p.of[m.Name], p.where[m.Name] = g.all+m.Capacity, g.count+1, i, m
		switch {
		case m.Unavailable:
			g.outNow, g.fewer, g.gone = g.outNow+m.Capacity, g.fewer+1, append(g.gone, m.Name)
		case m.WarmingFor > 0:
			g.warming = append(g.warming, span{0, m.WarmingFor, m.Capacity, 1, m.Name, 0})
		}
	}
	for _, slot := range s.Demand {
		p.steps = append(p.steps, slot.Start)
	}
	return p
}

// demand is the most that is asked of a group between two times.
func (p *planner) demand(g *group, from, to d.Micros) (most float64) {
	for i, slot := range p.s.Demand {
		if slot.Start < to && (i+1 == len(p.s.Demand) || p.s.Demand[i+1].Start > from) {
			most = max(most, slot.Demand[g.name])
		}
	}
	return most
}

// need is what a job takes of each group.
func (p *planner) need(j *Job) map[int]span {
	need := map[int]span{}
	for _, name := range j.Machines {
		m, known := p.where[name]
		if !known || m.Unavailable && !j.Started {
			continue // it is out already: its room is gone anyway
		}
		s := need[p.of[name]]
		s.room, s.count, s.job = s.room+m.Capacity, s.count+1, j.ID
		need[p.of[name]] = s
	}
	return need
}

// when gives a span its times: out from and to, then warming up.
func (p *planner) when(s span, g *group, from, out d.Micros) span {
	s.from, s.out, s.to = from, out, out+p.s.WarmUp[g.kind]
	return s
}

// mostOut is how many of a group may be out or warming together.
func (p *planner) mostOut(g *group) int { return max(1, int(p.s.MaxUnavailable*float64(g.count))) }

// fits says whether a span may be added to those of a group, and if not why, and when something changes next.
func (p *planner) fits(g *group, there []span, add span) (why string, again d.Micros) {
	// What is gone changes where spans begin and end, demand where slots do: looked at at each such time within the span.
	times := []d.Micros{add.from}
	for _, s := range there {
		if s.from > add.from && s.from < add.to {
			times = append(times, s.from)
		}
	}
	for _, at := range p.steps {
		if at > add.from && at < add.to {
			times = append(times, at)
		}
	}
	for _, s := range there {
		if s.from < add.to && add.from < s.to && p.share(s.job, add.job) {
			return "waits for " + s.job + ": it is the same machine", s.to
		}
	}
	slices.Sort(times)
	for _, at := range times {
		room, count := add.room+g.outNow, add.count+g.fewer
		var with []string
		next := d.Micros(math.MaxInt64)
		for _, s := range there {
			if s.from <= at && at < s.to {
				room, count = room+s.room, count+s.count
				with, next = append(with, s.job), min(next, s.to)
			}
		}
		demand := p.demand(g, at, at+1)
		switch {
		case count > p.mostOut(g) && count > add.count:
			return fmt.Sprintf("waits for %s: %d of %d %s in %s would be out or warming", p.others(g, with), count, g.count, plural(g.kind), g.name), next
		case (g.all-room)*(1-p.s.Reserve) < demand-1e-9:
			why := fmt.Sprintf("%.3g of %.3g would be left in %s for a demand of %.3g", g.all-room, g.all, g.name, demand)
			if len(with) > 0 {
				return "waits for " + p.others(g, with) + ": " + why, next
			}
			for i, slot := range p.s.Demand {
				if slot.Start > at && (g.all-room)*(1-p.s.Reserve) >= slot.Demand[g.name] {
					return "waits for a quieter time: " + why, p.s.Demand[i].Start
				}
			}
			return why, math.MaxInt64
		}
	}
	return "", 0
}

// share says whether two jobs have a machine in common.
func (p *planner) share(a, b string) bool {
	x, y := p.jobs[a], p.jobs[b]
	return x != nil && y != nil && slices.ContainsFunc(x.Machines, func(m string) bool { return slices.Contains(y.Machines, m) })
}

// others names whom a job waits for.
func (p *planner) others(g *group, with []string) string {
	all := append(slices.Clone(with), g.gone...)
	if slices.Sort(all); len(all) == 0 {
		return "others"
	}
	return strings.Join(slices.Compact(all), " and ")
}

func plural(k Kind) string {
	if k == CacheNode {
		return "boxes"
	}
	return k.String() + "s"
}

// add gives a job the earliest place that its groups allow, given those that have theirs; false where there is none.
func (p *planner) add(there [][]span, j *Job) (Placement, bool) {
	at, why := j.NotBefore, "it can begin at once"
	if j.NotBefore > 0 {
		why = "not before the time that was asked for"
	}
	need := p.need(j)
	order := make([]int, 0, len(need))
	for i := range need {
		order = append(order, i)
	}
	slices.Sort(order)
	if j.Started {
		at, why = 0, "it is out already"
	}
	for tries := 0; !j.Started && tries < 10_000; tries++ {
		moved := false
		for _, i := range order {
			g := p.groups[i]
			s := p.when(need[i], g, at, at+j.Duration)
			if w, next := p.fits(g, there[i], s); w != "" {
				if next <= at || next == math.MaxInt64 {
					return Placement{Job: j.ID, Reason: w}, false
				}
				at, why, moved = next, w, true
				break
			}
		}
		if !moved {
			break
		}
	}
	for _, i := range order {
		there[i] = append(there[i], p.when(need[i], p.groups[i], at, at+j.Duration))
	}
	place := Placement{Job: j.ID, Start: at, End: at + j.Duration, Reason: why}
	if j.Deadline > 0 {
		place.Tardiness = max(0, place.End-j.Deadline)
	}
	return place, true
}

// begin is what stands before any job has its place.
func (p *planner) begin() [][]span {
	there := make([][]span, len(p.groups))
	for i, g := range p.groups {
		there[i] = slices.Clone(g.warming)
	}
	return there
}

// MakePlan makes an order for some jobs. Up to Exact of them it looks at every order but for those that can't be better; beyond, at some:
// by what is due, what takes longest, what takes most room, and others by chance.
func MakePlan(s Site, jobs []Job, seed uint64) (plan Plan) {
	p := newPlanner(&s)
	plan.Infeasible = map[string]string{}
	var facts, open []*Job
	for i := range jobs {
		j := &jobs[i]
		p.jobs[j.ID] = j
		switch why := p.never(j); {
		case why != "":
			plan.Infeasible[j.ID] = why
		case j.Started:
			facts = append(facts, j)
		default:
			open = append(open, j)
		}
	}
	base := p.begin()
	var fixed []Placement
	for _, j := range facts {
		place, _ := p.add(base, j)
		fixed = append(fixed, place)
	}
	best := score{late: math.MaxInt64}
	var found []Placement
	try := func(order []*Job) {
		plan.OrdersTried++
		there, places, sc := clone(base), slices.Clone(fixed), score{}
		for _, j := range order {
			place, ok := p.add(there, j)
			if !ok { // with what is out now; it is tried last
				return
			}
			places = append(places, place)
			sc.take(place)
		}
		if sc.less(best) {
			best, found = sc, places
		}
	}
	if plan.Optimal = len(open) <= s.ExactLimit; plan.Optimal {
		p.search(base, fixed, open, score{}, &best, &found, &plan.OrdersTried)
	} else {
		for _, by := range []func(a, b *Job) int{
			func(a, b *Job) int {
				return cmp.Or(cmp.Compare(due(a), due(b)), cmp.Compare(b.Duration, a.Duration), cmp.Compare(a.ID, b.ID))
			},
			func(a, b *Job) int { return cmp.Or(cmp.Compare(b.Duration, a.Duration), cmp.Compare(a.ID, b.ID)) },
			func(a, b *Job) int {
				return cmp.Or(cmp.Compare(p.room(b)*float64(b.Duration), p.room(a)*float64(a.Duration)), cmp.Compare(a.ID, b.ID))
			},
		} {
			order := slices.Clone(open)
			slices.SortFunc(order, by)
			try(order)
		}
		p.improve(open, seed, s.LocalSearchMoves, try, func() []Placement { return found })
	}
	if found == nil && len(open)+len(fixed) > 0 {
		// With what is gone unasked some find no place at all as things are: those that do, in order; the others wait.
		there := clone(base)
		found = slices.Clone(fixed)
		for _, j := range open {
			if place, ok := p.add(there, j); ok {
				found = append(found, place)
			} else {
				plan.Infeasible[j.ID] = "as things are: " + place.Reason
			}
		}
	}
	slices.SortStableFunc(found, func(a, b Placement) int { return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Job, b.Job)) })
	for plan.Placements = found; len(found) > 0; found = found[1:] {
		plan.Makespan, plan.Tardiness = max(plan.Makespan, found[0].End), plan.Tardiness+found[0].Tardiness
	}
	return plan
}

// PlanInOrder gives each job the earliest place that those before it leave, in the order in which they come.
func PlanInOrder(s Site, jobs []Job) (plan Plan) {
	p := newPlanner(&s)
	there := p.begin()
	for i := range jobs {
		p.jobs[jobs[i].ID] = &jobs[i]
		if p.never(&jobs[i]) != "" {
			continue
		}
		if place, ok := p.add(there, &jobs[i]); ok {
			plan.Placements, plan.Makespan = append(plan.Placements, place), max(plan.Makespan, place.End)
		}
	}
	return plan
}

// never says why a job can't be done at any time, even alone with all others in their places, and what would be needed; empty where
// it can.
func (p *planner) never(j *Job) string {
	if j.Started {
		return ""
	}
	var unknown []string
	for _, name := range j.Machines {
		if _, known := p.where[name]; !known {
			unknown = append(unknown, name)
		}
	}
	if len(unknown) > 0 {
		return "there is no " + strings.Join(unknown, ", ")
	}
	if len(j.Machines) == 0 || j.Duration <= 0 {
		return "it names no machine, or takes no time"
	}
	need := p.need(j)
	for i, g := range p.groups {
		s, wanted := need[i]
		if !wanted {
			continue
		}
		if s.count >= g.count && p.demand(g, 0, math.MaxInt64) > 0 && g.count > 0 && g.kind != Director {
			return fmt.Sprintf("all %d %s in %s would be out; another one there is needed", g.count, plural(g.kind), g.name)
		}
		least := math.Inf(1)
		for _, slot := range p.s.Demand {
			if slot.Demand[g.name] < least {
				least = slot.Demand[g.name]
			}
		}
		if short := least - (g.all-s.room)*(1-p.s.Reserve); len(p.s.Demand) > 0 && short > 1e-9 {
			return fmt.Sprintf("%.3g of %.3g would be left in %s for a demand of %.3g at the quietest; %.3g more room is needed there", g.all-s.room,
				g.all, g.name, least, short/(1-p.s.Reserve))
		}
	}
	return ""
}

// score is how good an order is: late as little as can be, then done early, then each early.
type score struct{ late, done, sum d.Micros }

func (s *score) take(p Placement) {
	s.late, s.done, s.sum = s.late+p.Tardiness, max(s.done, p.End), s.sum+p.End
}

func (s score) less(o score) bool {
	return cmp.Or(cmp.Compare(s.late, o.late), cmp.Compare(s.done, o.done), cmp.Compare(s.sum, o.sum)) < 0
}

// search looks at all orders of what is left, but where what stands is already no better than the best.
func (p *planner) search(there [][]span, places []Placement, left []*Job, sc score, best *score, found *[]Placement, looked *int) {
	if len(left) == 0 {
		if *looked++; sc.less(*best) {
			*best, *found = sc, slices.Clone(places)
		}
		return
	}
	bound := sc
	for _, j := range left { // none ends before it could alone
		end := j.NotBefore + j.Duration
		bound.done, bound.sum = max(bound.done, end), bound.sum+end
		if j.Deadline > 0 {
			bound.late += max(0, end-j.Deadline)
		}
	}
	if !bound.less(*best) {
		return
	}
	for i, j := range left {
		next := clone(there)
		place, ok := p.add(next, j)
		if !ok {
			continue
		}
		with := sc
		with.take(place)
		p.search(next, append(slices.Clip(places), place), slices.Delete(slices.Clone(left), i, i+1), with, best, found, looked)
	}
}

// improve tries orders near the best so far: one job moved elsewhere.
func (p *planner) improve(open []*Job, seed uint64, tries int, try func([]*Job), best func() []Placement) {
	r := multiply{uint32(seed), uint32(seed>>32) | 1}
	byID := map[string]*Job{}
	for _, j := range open {
		byID[j.ID] = j
	}
	for range tries {
		var order []*Job
		for _, place := range best() {
			if j := byID[place.Job]; j != nil {
				order = append(order, j)
			}
		}
		if len(order) < 2 {
			return
		}
		from, to := r.upTo(len(order)), r.upTo(len(order))
		j := order[from]
		order = slices.Insert(slices.Delete(order, from, from+1), to, j)
		try(order)
	}
}

func (p *planner) room(j *Job) (room float64) {
	for _, s := range p.need(j) {
		room += s.room
	}
	return room
}

func due(j *Job) d.Micros {
	if j.Deadline == 0 {
		return math.MaxInt64
	}
	return j.Deadline
}

func clone(there [][]span) [][]span {
	out := make([][]span, len(there))
	for i := range there {
		out[i] = slices.Clone(there[i])
	}
	return out
}

// Violations says where a plan breaks what it is to keep, looked at by itself: every time at which something changes, every group.
func Violations(s Site, jobs []Job, plan Plan) (broken []string) {
	p := newPlanner(&s)
	byID := map[string]*Job{}
	for i := range jobs {
		byID[jobs[i].ID] = &jobs[i]
	}
	there := p.begin()
	begun := map[int]bool{} // groups in which a fact stands that nobody planned
	for _, place := range plan.Placements {
		j := byID[place.Job]
		for i, sp := range p.need(j) {
			there[i] = append(there[i], p.when(sp, p.groups[i], place.Start, place.End))
			begun[i] = begun[i] || j.Started
		}
		if !j.Started && place.Start < j.NotBefore {
			broken = append(broken, fmt.Sprintf("%s begins %v before its time", j.ID, j.NotBefore-place.Start))
		}
	}
	for i, g := range p.groups {
		var times []d.Micros
		for k, sp := range there[i] {
			for _, o := range there[i][:k] {
				if x, y := byID[sp.job], byID[o.job]; x != nil && y != nil && x.Machines[0] == y.Machines[0] && sp.from < o.out && o.from < sp.out {
					broken = append(broken, fmt.Sprintf("%s and %s have one machine at a time", sp.job, o.job))
				}
			}
			times = append(times, sp.from)
		}
		for _, at := range append(times, p.steps...) {
			room, count, most := g.outNow, g.fewer, p.mostOut(g)
			for _, sp := range there[i] {
				if sp.from <= at && at < sp.to {
					room, count, most = room+sp.room, count+sp.count, max(most, sp.count+g.fewer)
				}
			}
			if room == g.outNow || begun[i] || len(g.warming) > 0 || g.fewer > 0 {
				continue // nothing that was planned, or more was gone before
			}
			if left := (g.all - room) * (1 - s.Reserve); count > most || left < p.demand(g, at, at+1)-1e-6 {
				broken = append(broken, fmt.Sprintf("at %d: %d of %d out in %s, %.3g left for %.3g", at, count, g.count, g.name, left, p.demand(g, at, at+1)))
			}
		}
	}
	return broken
}

// multiply is the house's multiply-with-carry generator.
type multiply struct{ x, carry uint32 }

func (m *multiply) upTo(n int) int {
	t := 4294957665*uint64(m.x) + uint64(m.carry)
	m.x, m.carry = uint32(t), uint32(t>>32)
	return int(uint64(m.x) * uint64(n) >> 32)
}
