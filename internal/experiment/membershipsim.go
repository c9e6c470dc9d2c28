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
	membershipStep             = 50 * millisecond
	maxSimulatedDirectors      = 1200
	faultsBeginAfter           = 2 * policy.Second
	convergenceLimit           = 120 * policy.Second // after the faults, for all to have one view
	quotaTolerance             = 1e-6                // of the sum's rounding
	clockSkew                  = 1.0 / 64            // between the fastest and the slowest clock
	notReported           int8 = -1                  // by the failure detector
)

// membershipSim plays the views of directors against each other in simulated time. The views are those of package membership; network
// and failure detector are simulated. The detector is a bad one on purpose: each director finds out about each other by itself and
// late, so views differ in every way in which a real detector's may, and now and then a report is wrong. All of it belongs to the
// goroutine that plays the schedule. Slices by pair are indexed by pair.
type membershipSim struct {
	random          *rand.Rand
	now             policy.Micros
	directors       []simulatedMember
	blocked         []int32 // by pair: faults that block messages from the second to the first
	lossRate        float64
	reports         []detectorReport // that the detector is about to make
	reportPending   []bool           // by pair
	reported        []int8           // by pair: the detector's last report, a membership.State or notReported
	messages        []leaseMessage   // under way
	lastIncarnation uint64
}

// simulatedMember is a director, as far as it is a member.
type simulatedMember struct {
	view     *membership.View
	settings membership.Settings
	speed    float64       // of its clock, about 1
	offset   policy.Micros // of its clock
	alive    bool
	paused   bool
}

// membershipSimResult is the result of one schedule in simulated time.
type membershipSimResult struct {
	PeakQuotaSum  float64       // most that the quotas of a location came to together
	QuotaExceeded int           // steps at which that was more than the bound
	Unfinished    bool          // there was no common view in time
	Convergence   policy.Micros // from the end of the last fault until the common view
	QuotaRaised   bool          // some quota was above 1
	MessageRate   float64       // messages a second of each director
}

// failed says whether a rule was broken.
func (r membershipSimResult) failed() bool { return r.QuotaExceeded > 0 || r.Unfinished }

// simulateMembership plays a schedule.
func simulateMembership(schedule faulttest.Schedule) (out membershipSimResult) {
	m := newMembershipSim(schedule)
	begin := m.now + faultsBeginAfter
	end := begin + policy.Micros(schedule.LengthMS)*millisecond
	messages := 0
	var healedAt policy.Micros // 0 for not yet
	for ; m.now < end+convergenceLimit; m.now += membershipStep {
		for _, fault := range schedule.Faults {
			m.applyFault(fault, begin)
		}
		if m.now >= end && healedAt == 0 {
			healedAt = m.now
			m.heal()
		}
		m.detect(healedAt == 0)
		messages += m.exchangeLeases()
		m.checkQuotas(&out)
		if healedAt > 0 && m.converged() {
			out.Convergence = m.now - healedAt
			out.MessageRate = float64(messages) / float64(len(m.directors)) / (float64(m.now-policy.Second) / float64(policy.Second))
			return out
		}
	}
	out.Unfinished = true
	return out
}

// newMembershipSim starts a schedule's directors, each of which knows that the others are up.
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

// pair is the index of what director i has or hears of director j.
func (m *membershipSim) pair(i, j int) int { return i*len(m.directors) + j }

// clock is the time by a director's own clock.
func (m *membershipSim) clock(i int) policy.Micros {
	return m.directors[i].offset + policy.Micros(float64(m.now)*m.directors[i].speed)
}

// start starts a director as a new incarnation, which the detector has not seen yet.
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

// applyFault begins or ends a fault where its time has come in this step; times in it count from begin.
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

// blockLinks blocks the links of a fault, or unblocks them at its end.
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

// killOrStart kills a fault's directors when it begins, and starts them when it ends, or at once where it is a restart.
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

// heal ends all faults.
func (m *membershipSim) heal() {
	clear(m.blocked)
	m.lossRate = 0
	for i := range m.directors {
		m.directors[i].paused = false
		if !m.directors[i].alive {
			m.start(i)
		}
	}
}

// checkQuotas sums the quotas of all that live, and notes where the sum is above the bound.
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

// converged says whether every director sees all others, by one digest, and has the quota of a whole fleet.
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
