// Package maintenance plans the order in which machines are taken out of service for maintenance,
// and which machines may be out at the same time. At any time the remaining capacity must suffice
// for the demand of each location and hub, while machines are out and while returned machines warm
// up. The package does no I/O. Times are on the plan's clock, which starts at 0. docs/work.md
// describes the model and what is not implemented yet.
package maintenance

import (
	"tallyproxy/policy"
)

// Kind is the role of a machine.
type Kind int

// The kinds of machines.
const (
	CacheNode Kind = iota
	Parent
	Director
	kinds
)

var (
	kindNames   = [kinds]string{"cache node", "parent", "director"}
	kindPlurals = [kinds]string{"cache nodes", "parents", "directors"}
)

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

func (k Kind) plural() string { return kindPlurals[k] }

// Machine describes a machine of the site.
type Machine struct {
	Name        string        // unique in a site
	Kind        Kind          // role of the machine
	Location    string        // the hub in the case of a parent
	Capacity    float64       // capacity when warm, in the unit of the demand
	Unavailable bool          // already out of service, unplanned
	WarmingFor  policy.Micros // remaining warm-up time, during which its capacity counts as lost
}

// Job is a requested maintenance of one or more machines.
type Job struct {
	ID        string        // unique in a site
	Machines  []string      // names; all are out at the same time
	Duration  policy.Micros // how long the machines are out
	NotBefore policy.Micros // earliest start
	Deadline  policy.Micros // latest desired end; 0 for none
	Started   bool          // machines are already out, for Duration more; fixed in the plan
}

// Slot is the demand from Start until the next slot.
type Slot struct {
	Start  policy.Micros      // beginning of the slot
	Demand map[string]float64 // by location or hub
}

// Site holds the machines that a plan is for, their demand, and the limits and search settings of
// the plan.
type Site struct {
	Machines []Machine            // all machines, in and out of service
	Demand   []Slot               // by ascending start, the first at 0
	WarmUp   [kinds]policy.Micros // by kind: how long a returned machine counts as lost
	// Reserve is the share of the capacity in service that must remain free in addition to the
	// demand.
	Reserve float64
	// MaxUnavailable is the share of a group's machines that may be out of service or warming up at
	// the same time. One machine always may.
	MaxUnavailable   float64
	LocalSearchMoves int // orders that the local search tries
	ExactLimit       int // number of jobs up to which all orders are searched
}

// Placement is a job's time in a plan.
type Placement struct {
	Job       string        // job ID
	Start     policy.Micros // when the machines go out of service
	End       policy.Micros // when the machines return and begin to warm up
	Reason    string        // why the job starts at that time
	Tardiness policy.Micros // how long after the deadline the job ends
}

// Plan is the result for a site and its jobs.
type Plan struct {
	Placements  []Placement       // by start, then by job ID
	Makespan    policy.Micros     // end of the last job
	Tardiness   policy.Micros     // sum over all placements
	Infeasible  map[string]string // by job ID: why the job cannot be placed, and what it would need
	Optimal     bool              // all orders were searched, so no order gives a better plan
	OrdersTried int               // number of orders that the search tried
}
