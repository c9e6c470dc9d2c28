package routing

import "tallyproxy/policy"

// SlowStartEvent is a change in an endpoint's slow start that is reported to the operator.
type SlowStartEvent string

// The events of an endpoint's slow start.
const (
	// SlowStartBegan means that the endpoint list has announced the endpoint's start, or that the
	// router infers it from failed connections.
	SlowStartBegan SlowStartEvent = "began"
	// SlowStartLimited means that the budget did not admit an attempt, for the first time since the
	// endpoint's start.
	SlowStartLimited SlowStartEvent = "limited"
	// SlowStartHalfWindow means that half an overload window has ended in which attempts were sent.
	SlowStartHalfWindow SlowStartEvent = "half_window"
	// SlowStartEnded means that the endpoint's slow start is over, or that the endpoint was removed
	// from the list or started again during it.
	SlowStartEnded SlowStartEvent = "ended"
)

// SlowStartReport describes an endpoint in slow start at the time of an event, with the figures
// that the router bases its budget on. Work is in microseconds of transfer time at the full rate.
type SlowStartReport struct {
	Event     SlowStartEvent // what has happened
	Endpoint  string         // ID in the endpoint list
	Tier      string         // "edge" or "parent"
	Age       policy.Micros  // since the endpoint's start
	Share     float64        // minimum share of its capacity that is available
	Capacity  float64        // even share of the warm capacity, in transfers at the full rate
	Quota     float64        // this director's part, as a multiple of its even share
	MissRatio float64        // running share of answers that were misses
	Budget    float64        // work that the present half of the overload window admits
	HalfWork  float64        // work sent in the half of the overload window that is reported
	PeakWork  float64        // largest work sent in a half of the overload window
	Sent      int            // attempts sent since the endpoint's start
	Deferred  int            // attempts that the budget did not admit since the endpoint's start
}

// reportSlowStart passes an event of an endpoint's slow start to the operator.
func (r *Router) reportSlowStart(now policy.Micros, t *tier, e *endpoint, event SlowStartEvent) {
	if r.onSlowStartReport == nil {
		return
	}
	capacity, quota := r.slowStartCapacity(now, t, e)
	report := SlowStartReport{
		Event: event, Endpoint: e.ID, Tier: "edge", Age: now - e.startedAt, Share: slowStartShare(now, e, t.slowStart),
		Capacity: capacity, Quota: quota, MissRatio: r.missRatio, Budget: r.slowStartBudget(now, t, e), HalfWork: e.slowStart.halfWork,
		PeakWork: max(e.slowStart.peakWork, e.slowStart.halfWork), Sent: e.slowStart.sent, Deferred: e.slowStart.deferred,
	}
	if t == &r.parents {
		report.Tier = "parent"
	}
	r.onSlowStartReport(now, report)
}

// reportSlowStarts reports the beginning of slow starts that the endpoint list has just announced.
func (r *Router) reportSlowStarts(now policy.Micros) {
	for _, t := range []*tier{&r.edges, &r.parents} {
		for _, e := range t.ready {
			r.updateSlowStart(now, t, e)
		}
	}
}

// updateSlowStart reports the beginning or the end of an endpoint's slow start if it has not been
// reported yet.
func (r *Router) updateSlowStart(now policy.Micros, t *tier, e *endpoint) {
	switch active := slowStartShare(now, e, t.slowStart) < 1; {
	case active && !e.slowStart.active:
		e.slowStart = slowStartCounts{active: true, halfWindow: e.slowStart.halfWindow, halfWork: e.slowStart.halfWork}
		r.reportSlowStart(now, t, e, SlowStartBegan)
	case !active && e.slowStart.active:
		r.endSlowStart(now, e)
	}
}

// endSlowStart reports the end of an endpoint's slow start, if it is in one.
func (r *Router) endSlowStart(now policy.Micros, e *endpoint) {
	if !e.slowStart.active {
		return
	}
	r.reportSlowStart(now, r.tierOf(e), e, SlowStartEnded)
	e.slowStart.active = false
}
