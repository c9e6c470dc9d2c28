// Package maintenance plans in which order machines are taken out of service for maintenance, and which may be out together: at every
// time what is left must bear the demand of each location and hub, while machines are out and while those that came back warm up. It
// does no I/O, and times are on the plan's clock, which starts at 0. docs/work.md has the model, and what is not built yet.
package maintenance

import (
	"tallyproxy/policy"
)

// Kind is what a machine serves as.
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

// Machine is one that serves.
type Machine struct {
	Name        string        // unique in a site
	Kind        Kind          // what it serves as
	Location    string        // of a parent: its hub
	Capacity    float64       // what it bears when warm, in the demand's unit
	Unavailable bool          // it is out of service unplanned, a fact that the plan starts from
	WarmingFor  policy.Micros // it still warms up for so long, during which its capacity counts as lost
}

// Job is maintenance that is asked for.
type Job struct {
	ID        string        // unique in a site
	Machines  []string      // by name; out together
	Duration  policy.Micros // how long they are out
	NotBefore policy.Micros // the earliest start
	Deadline  policy.Micros // when it should have ended; 0 for none
	Started   bool          // its machines are out already, for Duration more: a fact that the plan starts from
}

// Slot is the demand from a time on, until the next slot's.
type Slot struct {
	Start  policy.Micros      // of this demand
	Demand map[string]float64 // by location or hub
}

// Site is what a plan is for.
type Site struct {
	Machines         []Machine            // all that serve, in and out of service
	Demand           []Slot               // by their starts, the first at 0
	WarmUp           [kinds]policy.Micros // by kind: how long a machine that comes back counts as lost
	Reserve          float64              // share of the capacity in service that must be left over beside the demand
	MaxUnavailable   float64              // share of a group's machines that may be out or warming together; one always may
	LocalSearchMoves int                  // orders that the local search tries
	ExactLimit       int                  // jobs up to which all orders are searched
}

// Placement is a job's time in a plan.
type Placement struct {
	Job       string        // its ID
	Start     policy.Micros // when its machines go out
	End       policy.Micros // when they come back, and begin to warm up
	Reason    string        // one sentence: why it starts then
	Tardiness policy.Micros // how long after its deadline it ends
}

// Plan is the placements of a site's jobs.
type Plan struct {
	Placements  []Placement       // by their starts, then jobs
	Makespan    policy.Micros     // when the last job ends
	Tardiness   policy.Micros     // the sum over all placements
	Infeasible  map[string]string // by job ID, those that can't be placed: why, and what would be needed
	Optimal     bool              // all orders were searched: no order gives a better plan
	OrdersTried int               // by the search
}
