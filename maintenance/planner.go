package maintenance

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"tallyproxy/policy"
)

const (
	// tolerance is by how much the remaining capacity may be below the demand, to allow for
	// rounding.
	tolerance = 1e-9

	// maxPostponements limits how often the start of a job is postponed. After that, the job is
	// placed at the start reached so far.
	maxPostponements = 10_000

	never = policy.Micros(math.MaxInt64)
)

// group holds the machines of one kind in one location or hub, which serve its demand together.
type group struct {
	location string
	kind     Kind
	capacity float64 // of all machines
	size     int
	warming  []outage // machines that warm up at the start of the plan

	// Machines that are out of service unplanned, for the whole plan.
	lostCapacity float64
	lostCount    int
	lostNames    []string
}

// outage is capacity of a group that is lost for some time.
type outage struct {
	start, end policy.Micros
	returns    policy.Micros // when the machines return; they warm up until end
	capacity   float64
	count      int
	job        string // job ID; for a machine that warms up at the start: its name
}

// outages holds the outages of each group, in the order of the groups.
type outages [][]outage

func (o outages) clone() outages {
	out := make(outages, len(o))
	for i := range o {
		out[i] = slices.Clone(o[i])
	}
	return out
}

// planner holds the data that all orders of a site's jobs share.
type planner struct {
	site          *Site
	groups        []*group
	groupOf       map[string]int     // by machine name
	machines      map[string]Machine // by name
	jobs          map[string]*Job    // by ID
	demandChanges []policy.Micros
}

func newPlanner(site *Site) *planner {
	p := &planner{site: site, groupOf: map[string]int{}, machines: map[string]Machine{}, jobs: map[string]*Job{}}
	type key struct {
		kind     Kind
		location string
	}
	index := map[key]int{}
	for _, m := range site.Machines {
		i, ok := index[key{m.Kind, m.Location}]
		if !ok {
			i = len(p.groups)
			index[key{m.Kind, m.Location}] = i
			p.groups = append(p.groups, &group{location: m.Location, kind: m.Kind})
		}
		p.groups[i].add(m)
		p.groupOf[m.Name], p.machines[m.Name] = i, m
	}
	for _, slot := range site.Demand {
		p.demandChanges = append(p.demandChanges, slot.Start)
	}
	return p
}

func (g *group) add(m Machine) {
	g.capacity += m.Capacity
	g.size++
	switch {
	case m.Unavailable:
		g.lostCapacity += m.Capacity
		g.lostCount++
		g.lostNames = append(g.lostNames, m.Name)
	case m.WarmingFor > 0:
		g.warming = append(g.warming, outage{end: m.WarmingFor, capacity: m.Capacity, count: 1, job: m.Name})
	}
}

// initial returns the outages before any job is placed.
func (p *planner) initial() outages {
	planned := make(outages, len(p.groups))
	for i, g := range p.groups {
		planned[i] = slices.Clone(g.warming)
	}
	return planned
}

// demand returns the highest demand of a group between two times.
func (p *planner) demand(g *group, start, end policy.Micros) (highest float64) {
	slots := p.site.Demand
	for i, slot := range slots {
		if slot.Start < end && (i+1 == len(slots) || slots[i+1].Start > start) {
			highest = max(highest, slot.Demand[g.location])
		}
	}
	return highest
}

// available returns the part of the capacity in service that may be used, which is without the
// reserve.
func (p *planner) available(inService float64) float64 { return inService * (1 - p.site.Reserve) }

// jobOutages returns what a job takes from each group, without times. It leaves out machines that
// are out of service unplanned, because their capacity is lost in any case.
func (p *planner) jobOutages(j *Job) map[int]outage {
	jobOutages := map[int]outage{}
	for _, name := range j.Machines {
		m, known := p.machines[name]
		if !known || m.Unavailable && !j.Started {
			continue
		}
		o := jobOutages[p.groupOf[name]]
		o.capacity, o.count, o.job = o.capacity+m.Capacity, o.count+1, j.ID
		jobOutages[p.groupOf[name]] = o
	}
	return jobOutages
}

// capacityOf returns the capacity that a job takes from all groups. It adds in the order of the
// groups, because sums in different orders differ in their last bits.
func (p *planner) capacityOf(j *Job) (capacity float64) {
	jobOutages := p.jobOutages(j)
	for _, group := range slices.Sorted(maps.Keys(jobOutages)) {
		capacity += jobOutages[group].capacity
	}
	return capacity
}

// withTimes returns the outage with its times set: out of service from start until returns, then
// warming up.
func (p *planner) withTimes(o outage, g *group, start, returns policy.Micros) outage {
	o.start, o.returns, o.end = start, returns, returns+p.site.WarmUp[g.kind]
	return o
}

// maxUnavailable returns how many machines of a group may be out of service or warming up at the
// same time.
func (p *planner) maxUnavailable(g *group) int {
	return max(1, int(p.site.MaxUnavailable*float64(g.size)))
}

// schedule places a job at the earliest time that the planned outages of its groups allow, and adds
// the job's outages to them. If there is no such time, it returns false and the reason.
func (p *planner) schedule(planned outages, j *Job) (Placement, bool) {
	jobOutages := p.jobOutages(j)
	order := make([]int, 0, len(jobOutages))
	for i := range jobOutages {
		order = append(order, i)
	}
	slices.Sort(order)
	start, reason, ok := p.earliest(planned, j, jobOutages, order)
	if !ok {
		return Placement{Job: j.ID, Reason: reason}, false
	}
	end := start + j.Duration
	for _, i := range order {
		planned[i] = append(planned[i], p.withTimes(jobOutages[i], p.groups[i], start, end))
	}
	placement := Placement{Job: j.ID, Start: start, End: end, Reason: reason}
	if j.Deadline > 0 {
		placement.Tardiness = max(0, end-j.Deadline)
	}
	return placement, true
}

// earliest returns when a job can start, and why not sooner. If the job cannot start at all, it
// returns false and the reason.
func (p *planner) earliest(planned outages, j *Job, jobOutages map[int]outage, order []int) (start policy.Micros, reason string, ok bool) {
	if j.Started {
		return 0, "already out of service", true
	}
	start, reason = j.NotBefore, "can start immediately"
	if j.NotBefore > 0 {
		reason = "not before the requested time"
	}
	for range maxPostponements {
		conflict, retryAt := "", policy.Micros(0)
		for _, i := range order {
			g := p.groups[i]
			if conflict, retryAt = p.conflict(g, planned[i], p.withTimes(jobOutages[i], g, start, start+j.Duration)); conflict != "" {
				break
			}
		}
		if conflict == "" {
			break
		}
		if retryAt <= start || retryAt == never {
			return 0, conflict, false
		}
		start, reason = retryAt, conflict
	}
	return start, reason, true
}

// conflict returns why an outage must not be added to the planned outages of a group, and the time
// of the next relevant change. The reason is empty if the outage may be added.
func (p *planner) conflict(g *group, planned []outage, added outage) (reason string, retryAt policy.Micros) {
	for _, o := range planned {
		if o.start < added.end && added.start < o.end && p.shareMachine(o.job, added.job) {
			return "waits for " + o.job + ": uses the same machine", o.end
		}
	}
	for _, at := range p.changesDuring(planned, added) {
		if reason, retryAt = p.conflictAt(g, planned, added, at); reason != "" {
			return reason, retryAt
		}
	}
	return "", 0
}

// changesDuring returns the times within an outage at which a group may begin to lack capacity:
// lost capacity grows only when outages start, and demand only when slots start.
func (p *planner) changesDuring(planned []outage, added outage) []policy.Micros {
	times := []policy.Micros{added.start}
	for _, o := range planned {
		if o.start > added.start && o.start < added.end {
			times = append(times, o.start)
		}
	}
	for _, at := range p.demandChanges {
		if at > added.start && at < added.end {
			times = append(times, at)
		}
	}
	slices.Sort(times)
	return times
}

// conflictAt is conflict for a single time.
func (p *planner) conflictAt(g *group, planned []outage, added outage, at policy.Micros) (reason string, retryAt policy.Micros) {
	lost, count := added.capacity+g.lostCapacity, added.count+g.lostCount
	var overlapping []string
	next := never
	for _, o := range planned {
		if o.start <= at && at < o.end {
			lost, count = lost+o.capacity, count+o.count
			overlapping, next = append(overlapping, o.job), min(next, o.end)
		}
	}
	if count > p.maxUnavailable(g) && count > added.count {
		return fmt.Sprintf("waits for %s: %d of %d %s in %s would be out of service or warming up",
			g.blockers(overlapping), count, g.size, g.kind.plural(), g.location), next
	}
	demand, inService := p.demand(g, at, at+1), g.capacity-lost
	if p.available(inService) >= demand-tolerance {
		return "", 0
	}
	reason = fmt.Sprintf("%.3g of %.3g capacity would remain in %s for a demand of %.3g", inService, g.capacity, g.location, demand)
	if len(overlapping) > 0 {
		return "waits for " + g.blockers(overlapping) + ": " + reason, next
	}
	for _, slot := range p.site.Demand {
		if slot.Start > at && p.available(inService) >= slot.Demand[g.location] {
			return "waits for lower demand: " + reason, slot.Start
		}
	}
	return reason, never
}

// shareMachine reports whether two jobs, given by ID, have a machine in common.
func (p *planner) shareMachine(a, b string) bool {
	x, y := p.jobs[a], p.jobs[b]
	return x != nil && y != nil && slices.ContainsFunc(x.Machines, func(m string) bool { return slices.Contains(y.Machines, m) })
}

// blockers returns the names of what a job waits for: the given jobs and the group's machines that
// are out of service unplanned.
func (g *group) blockers(jobs []string) string {
	all := append(slices.Clone(jobs), g.lostNames...)
	if slices.Sort(all); len(all) == 0 {
		return "others"
	}
	return strings.Join(slices.Compact(all), " and ")
}

// infeasible returns why a job cannot be done at any time, even if no other job is placed, and what
// would be needed. It returns an empty string if the job can be done.
func (p *planner) infeasible(j *Job) string {
	if j.Started {
		return ""
	}
	var unknown []string
	for _, name := range j.Machines {
		if _, known := p.machines[name]; !known {
			unknown = append(unknown, name)
		}
	}
	if len(unknown) > 0 {
		return "unknown machine: " + strings.Join(unknown, ", ")
	}
	if len(j.Machines) == 0 || j.Duration <= 0 {
		return "names no machine or has no duration"
	}
	jobOutages := p.jobOutages(j)
	for i, g := range p.groups {
		if o, needed := jobOutages[i]; needed {
			if reason := p.infeasibleIn(g, o); reason != "" {
				return reason
			}
		}
	}
	return ""
}

// infeasibleIn is infeasible for a single group and the outage of a job in it.
func (p *planner) infeasibleIn(g *group, o outage) string {
	if o.count >= g.size && p.demand(g, 0, never) > 0 && g.size > 0 && g.kind != Director {
		return fmt.Sprintf("all %d %s in %s would be out of service; at least one more is needed there", g.size, g.kind.plural(), g.location)
	}
	lowest := math.Inf(1)
	for _, slot := range p.site.Demand {
		lowest = min(lowest, slot.Demand[g.location])
	}
	inService := g.capacity - o.capacity
	if short := lowest - p.available(inService); len(p.site.Demand) > 0 && short > tolerance {
		return fmt.Sprintf("%.3g of %.3g capacity would remain in %s for the lowest demand of %.3g; %.3g more capacity is needed there",
			inService, g.capacity, g.location, lowest, short/(1-p.site.Reserve))
	}
	return ""
}
