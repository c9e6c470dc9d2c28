package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"tallyproxy/internal/faulttest"
	"tallyproxy/membership"
	"tallyproxy/policy"
)

const (
	membershipStep        = 50 * millisecond
	maxSimulatedDirectors = 1200
	faultsBeginAfter      = 2 * policy.Second
	convergenceLimit      = 120 * policy.Second // time after the faults to reach a common view
	quotaTolerance        = 1e-6                // for rounding errors of the sum
	// clockSkew is the relative difference between the fastest and the slowest clock.
	clockSkew        = 1.0 / 64
	notReported int8 = -1 // the failure detector has made no report
)

// membershipSim runs the membership views of directors against each other in simulated time. The
// views are those of package membership; the network and the failure detector are simulated. The
// detector is poor on purpose: each director detects the state of each other one independently and
// late, so that views differ in every way in which they may with a real detector, and sometimes a
// report is wrong. Only the goroutine of the simulation uses it. Slices by pair are indexed by the
// method pair.
type membershipSim struct {
	random    *rand.Rand
	now       policy.Micros
	directors []simulatedMember
	// blocked has, for each pair, the number of faults that block messages from the second to the
	// first.
	blocked         []int32
	lossRate        float64
	reports         []detectorReport // that the detector has scheduled
	reportPending   []bool           // by pair
	reported        []int8           // by pair: last reported membership.State, or notReported
	messages        []leaseMessage   // in transit
	lastIncarnation uint64
}

// simulatedMember is the state of a director that concerns membership.
type simulatedMember struct {
	view     *membership.View
	settings membership.Settings
	speed    float64       // of its clock, relative to simulated time
	offset   policy.Micros // of its clock
	alive    bool
	paused   bool
}

// membershipSimResult is the result of one schedule in simulated time.
type membershipSimResult struct {
	PeakQuotaSum  float64       // largest sum of the quotas of a location
	QuotaExceeded int           // steps at which the sum was above its bound
	Unfinished    bool          // no common view was reached in time
	Convergence   policy.Micros // from the end of the last fault until the common view
	QuotaRaised   bool          // at least one quota was above 1 at some time
	MessageRate   float64       // messages per second and director
}

// failed reports whether a rule was broken.
func (r membershipSimResult) failed() bool { return r.QuotaExceeded > 0 || r.Unfinished }

// simulateMembership runs a schedule.
func simulateMembership(schedule faulttest.Schedule) (out membershipSimResult) {
	m := newMembershipSim(schedule)
	begin := m.now + faultsBeginAfter
	end := begin + policy.Micros(schedule.LengthMS)*millisecond
	messages := 0
	var faultsEndedAt policy.Micros // end of all faults; 0 before it
	for ; m.now < end+convergenceLimit; m.now += membershipStep {
		for _, fault := range schedule.Faults {
			m.applyFault(fault, begin)
		}
		if m.now >= end && faultsEndedAt == 0 {
			faultsEndedAt = m.now
			m.endFaults()
		}
		m.detect(faultsEndedAt == 0)
		messages += m.exchangeLeases()
		m.checkQuotas(&out)
		if faultsEndedAt > 0 && m.converged() {
			out.Convergence = m.now - faultsEndedAt
			out.MessageRate = float64(messages) / float64(len(m.directors)) / (float64(m.now-policy.Second) / float64(policy.Second))
			return out
		}
	}
	out.Unfinished = true
	return out
}

// newMembershipSim starts the directors of a schedule. Each of them knows that the others are up.
func newMembershipSim(schedule faulttest.Schedule) *membershipSim {
	n := schedule.Directors
	m := &membershipSim{
		random:        rand.New(rand.NewPCG(schedule.Seed, uint64(schedule.Number)+77)),
		now:           policy.Second,
		directors:     make([]simulatedMember, n),
		blocked:       make([]int32, n*n),
		reportPending: make([]bool, n*n),
		reported:      slices.Repeat([]int8{notReported}, n*n),
	}
	for i := range m.directors {
		m.directors[i].speed = 1 + (m.random.Float64()-0.5)*clockSkew
		m.directors[i].offset = policy.Micros(m.random.IntN(1e9))
		m.start(i)
	}
	for i := range m.directors {
		for j := range m.directors {
			m.report(i, j, membership.Up)
		}
	}
	return m
}

// pair returns the index of the pair of director i, the observer or receiver, and director j.
func (m *membershipSim) pair(i, j int) int { return i*len(m.directors) + j }

// clock returns the time of a director's clock.
func (m *membershipSim) clock(i int) policy.Micros {
	return m.directors[i].offset + policy.Micros(float64(m.now)*m.directors[i].speed)
}

// start starts a director as a new incarnation, which no detector has reported yet.
func (m *membershipSim) start(i int) {
	m.lastIncarnation++
	settings := policy.Settings{ZoneDirectors: len(m.directors), TotalDirectors: len(m.directors), ConnectTimeout: 400 * millisecond,
		EdgeSlowStart: policy.SlowStart{OverloadWindow: 3 * policy.Second}}
	director := &m.directors[i]
	director.settings = membership.Derive(fmt.Sprint("n", i), m.lastIncarnation, settings)
	director.view = membership.New(m.clock(i), director.settings)
	director.alive = true
	for j := range m.directors {
		m.reported[m.pair(i, j)], m.reported[m.pair(j, i)] = notReported, notReported
	}
}

// applyFault begins or ends a fault if it is due in this step. The fault's times are relative to
// begin.
func (m *membershipSim) applyFault(f faulttest.Fault, begin policy.Micros) {
	from := begin + policy.Micros(f.AtMS)*millisecond
	to := from + policy.Micros(f.ForMS)*millisecond
	begins := m.now >= from && m.now-membershipStep < from
	ends := f.ForMS > 0 && m.now >= to && m.now-membershipStep < to
	if !begins && !ends {
		return
	}
	switch f.Kind {
	case faulttest.CutLinks, faulttest.Partition, faulttest.FlappingLinks:
		m.blockLinks(f, ends)
	case faulttest.LossyLinks:
		m.lossRate = 0
		if begins {
			m.lossRate = f.Rate
		}
	case faulttest.Kill, faulttest.Restart, faulttest.ZoneLoss:
		m.killOrStart(f, begins, ends)
	case faulttest.Pause:
		for _, i := range f.Targets {
			m.directors[i].paused = begins
		}
	}
}

// blockLinks blocks the links of a fault, or unblocks them when the fault ends.
func (m *membershipSim) blockLinks(f faulttest.Fault, ends bool) {
	change := int32(1)
	if ends {
		change = -1
	}
	for i := range m.directors {
		for j := range m.directors {
			if faulttest.AffectsLink(f, i, j) {
				m.blocked[m.pair(i, j)] += change
			}
		}
	}
}

// killOrStart kills the directors of a fault when it begins, and starts them when it ends, or
// immediately for a restart.
func (m *membershipSim) killOrStart(f faulttest.Fault, begins, ends bool) {
	targets := f.Targets
	if f.Kind == faulttest.ZoneLoss {
		targets = nil
		for i := range m.directors {
			if slices.Contains(f.Targets, i%2) {
				targets = append(targets, i)
			}
		}
	}
	for _, i := range targets {
		if begins {
			m.directors[i].alive = false
		}
		if (ends || f.Kind == faulttest.Restart) && !m.directors[i].alive {
			m.start(i)
		}
	}
}

// endFaults ends all faults.
func (m *membershipSim) endFaults() {
	clear(m.blocked)
	m.lossRate = 0
	for i := range m.directors {
		m.directors[i].paused = false
		if !m.directors[i].alive {
			m.start(i)
		}
	}
}

// checkQuotas sums the quotas of all running directors and counts a sum above the bound.
func (m *membershipSim) checkQuotas(out *membershipSimResult) {
	sum := 0.0
	for i := range m.directors {
		if !m.directors[i].alive {
			continue
		}
		zoneQuota, _ := m.directors[i].view.Quota(m.clock(i), membership.ScopeZone)
		fleetQuota, _ := m.directors[i].view.Quota(m.clock(i), membership.ScopeFleet)
		out.QuotaRaised = out.QuotaRaised || zoneQuota > 1 || fleetQuota > 1
		sum += zoneQuota / float64(len(m.directors))
	}
	out.PeakQuotaSum = max(out.PeakQuotaSum, sum)
	if sum > membership.MaxQuotaFactor+quotaTolerance {
		out.QuotaExceeded++
	}
}

// converged reports whether all directors have the same digest, see the whole fleet, are in the
// majority and have the normal quota of 1.
func (m *membershipSim) converged() bool {
	for i := range m.directors {
		view := m.directors[i].view
		quota, _ := view.Quota(m.clock(i), membership.ScopeZone)
		if quota != 1 || view.Digest() != m.directors[0].view.Digest() || view.PartitionState() != membership.Majority ||
			view.Count(m.clock(i), membership.ScopeFleet) != len(m.directors) {
			return false
		}
	}
	return true
}
