package experiment

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"tallyproxy/internal/faulttest"
	"tallyproxy/membership"
	d "tallyproxy/policy"
)

// peerSim plays boards of directors against each other in simulated time: the modules that decide are the real ones, the network
// and the detector are not. The detector is a bad one on purpose: each pair finds out by itself and late, so views differ in every
// way that a real one's may, and now and then it is wrong.
type peerSim struct {
	n        int
	r        *rand.Rand
	now      d.Micros
	boards   []*membership.View
	settings []membership.Settings
	skew     []float64 // how fast each clock goes
	offset   []d.Micros
	alive    []bool
	stopped  []bool
	cut      []int32 // by pair
	poor     float64
	flips    []simFlip // what the detector is about to find out
	due      []bool
	said     []int8 // what it said last; unsaid for nothing yet
	post     []simLetter
	born     uint64
}

type simFlip struct {
	at    d.Micros
	of    [2]int
	state membership.State
	lie   bool
}

type simLetter struct {
	at       d.Micros
	from, to int
	ask      *membership.LeaseRequest
	grant    *membership.LeaseGrant
	born     uint64 // of whom it is for
}

const (
	simStep               = 50 * d.Second / 1000
	maxSimulatedDirectors = 1200 // directors, at the most
)

// membershipSimResult is what came of one schedule in simulated time.
type membershipSimResult struct {
	PeakQuotaSum  float64
	QuotaExceeded int
	Unfinished    bool
	Convergence   d.Micros // from the end of the last fault
	QuotaRaised   bool     // some part was above the fixed one
	MessageRate   float64  // messages a second of each director
}

// simulateMembership plays a schedule.
func simulateMembership(s faulttest.Schedule) (out membershipSimResult) {
	m := &peerSim{
		n: s.Directors, r: rand.New(rand.NewPCG(s.Seed, uint64(s.Number)+77)), now: d.Second, cut: make([]int32, s.Directors*s.Directors),
		due: make([]bool, s.Directors*s.Directors), said: slices.Repeat([]int8{unsaid}, s.Directors*s.Directors), alive: make([]bool, s.Directors), stopped: make([]bool, s.Directors),
	}
	m.boards, m.settings = make([]*membership.View, m.n), make([]membership.Settings, m.n)
	for i := range m.n {
		m.skew = append(m.skew, 1+(m.r.Float64()-0.5)/64)
		m.offset = append(m.offset, d.Micros(m.r.IntN(1e9)))
		m.start(i)
	}
	for i := range m.n {
		for j := range m.n {
			m.tell(i, j, membership.Up)
		}
	}
	begin, end := m.now+2*d.Second, m.now+2*d.Second+d.Micros(s.LengthMS)*1000
	limit := end + 120*d.Second
	steps, messages := 0, 0
	var healed d.Micros
	for ; m.now < limit; m.now += simStep {
		steps++
		for _, f := range s.Faults {
			m.fault(f, begin)
		}
		if m.now >= end && healed == 0 {
			healed = m.now
			m.heal()
		}
		m.detect(healed == 0)
		messages += m.turn()
		sum := 0.0
		for i, b := range m.boards {
			if !m.alive[i] {
				continue
			}
			for _, scope := range []membership.Scope{membership.ScopeZone, membership.ScopeFleet} {
				part, _ := b.Quota(m.clock(i), scope)
				if out.QuotaRaised = out.QuotaRaised || part > 1; scope == membership.ScopeZone {
					sum += part / float64(m.n)
				}
			}
		}
		if out.PeakQuotaSum = max(out.PeakQuotaSum, sum); sum > membership.MaxQuotaFactor+1e-6 {
			out.QuotaExceeded++
		}
		if healed > 0 && m.agreed() {
			out.Convergence = m.now - healed
			out.MessageRate = float64(messages) / float64(m.n) / (float64(m.now-d.Second) / float64(d.Second))
			return out
		}
	}
	out.Unfinished = true
	return out
}

const unsaid = -1

func (m *peerSim) pair(i, j int) int { return i*m.n + j }

func (m *peerSim) clock(i int) d.Micros { return m.offset[i] + d.Micros(float64(m.now)*m.skew[i]) }

func (m *peerSim) start(i int) {
	m.born++
	s := membership.Derive(fmt.Sprint("n", i), m.born, d.Settings{ZoneDirectors: m.n, TotalDirectors: m.n, ConnectTimeout: 400_000,
		EdgeSlowStart: d.SlowStart{OverloadWindow: 3 * d.Second}})
	m.settings[i], m.boards[i], m.alive[i] = s, membership.New(m.clock(i), s), true
	for j := range m.n {
		m.said[m.pair(i, j)], m.said[m.pair(j, i)] = unsaid, unsaid // a process that is new is found out about anew
	}
}

func (m *peerSim) tell(i, j int, s membership.State) {
	if i != j && m.alive[i] {
		m.said[m.pair(i, j)] = int8(s)
		m.boards[i].UpdatePeer(m.clock(i), m.settings[j].Name, m.settings[j].Incarnation, 0, s)
	}
}

// fault begins and ends one at its time.
func (m *peerSim) fault(f faulttest.Fault, begin d.Micros) {
	from := begin + d.Micros(f.AtMS)*1000
	to := from + d.Micros(f.ForMS)*1000
	on, off := m.now >= from && m.now-simStep < from, f.ForMS > 0 && m.now >= to && m.now-simStep < to
	if !on && !off {
		return
	}
	links := func(add int) {
		for i := range m.n {
			for j := range m.n {
				if faulttest.AffectsLink(f, i, j) {
					m.cut[m.pair(i, j)] += int32(add)
				}
			}
		}
	}
	switch f.Kind {
	case faulttest.CutLinks, faulttest.Partition, faulttest.FlappingLinks:
		if links(1); off {
			links(-2)
		}
	case faulttest.LossyLinks:
		m.poor = f.Rate * float64(bit(on))
	case faulttest.Kill, faulttest.Restart, faulttest.ZoneLoss:
		who := f.Targets
		if f.Kind == faulttest.ZoneLoss {
			who = nil
			for i := range m.n {
				if slices.Contains(f.Targets, i%2) {
					who = append(who, i)
				}
			}
		}
		for _, i := range who {
			if on {
				m.alive[i] = false
			}
			if (off || f.Kind == faulttest.Restart) && !m.alive[i] {
				m.start(i)
			}
		}
	case faulttest.Pause:
		for _, i := range f.Targets {
			m.stopped[i] = on
		}
	}
}

// heal makes all well.
func (m *peerSim) heal() {
	clear(m.cut)
	m.poor = 0
	for i := range m.n {
		m.stopped[i] = false
		if !m.alive[i] {
			m.start(i)
		}
	}
}

// reached says whether one can be found to be there by another.
func (m *peerSim) reached(by, of int) bool {
	return m.alive[of] && !m.stopped[of] && m.cut[m.pair(by, of)] <= 0 && m.cut[m.pair(of, by)] <= 0
}

// detect has each that lives find out about each other, late, and now and then wrongly while there are faults.
func (m *peerSim) detect(wrong bool) {
	for i := range m.n {
		if !m.alive[i] || m.stopped[i] {
			continue
		}
		for j := range m.n {
			pair, state := m.pair(i, j), membership.Failed
			if m.reached(i, j) {
				state = membership.Up
			}
			said := m.said[pair]
			if i == j || m.due[pair] || said == int8(state) || said == unsaid && state == membership.Failed {
				continue
			}
			wait := d.Second/10 + d.Micros(m.r.Int64N(int64(d.Second)))
			if state == membership.Failed {
				wait += d.Second
			}
			m.due[pair] = true
			m.flips = append(m.flips, simFlip{at: m.now + wait, of: [2]int{i, j}})
		}
		if wrong && m.r.IntN(400) == 0 {
			m.flips = append(m.flips, simFlip{at: m.now, of: [2]int{i, m.r.IntN(m.n)}, state: membership.State(m.r.IntN(3)), lie: true})
		}
	}
	kept := m.flips[:0]
	for _, f := range m.flips {
		i, j := f.of[0], f.of[1]
		switch {
		case m.now < f.at || m.stopped[i]:
			kept = append(kept, f)
			continue
		case f.lie:
			m.tell(i, j, f.state)
			continue
		case m.reached(i, j):
			m.tell(i, j, membership.Up)
		default:
			m.tell(i, j, membership.Failed)
		}
		m.due[m.pair(i, j)] = false
	}
	m.flips = kept
}

// turn has each say what it has to, and hear what has come.
func (m *peerSim) turn() (sent int) {
	for i := range m.n {
		if !m.alive[i] || m.stopped[i] {
			continue
		}
		asks := m.boards[i].Tick(m.clock(i))
		for _, to := range slices.Sorted(maps.Keys(asks)) {
			j, _ := strconv.Atoi(to[1:])
			ask := asks[to]
			sent++
			m.send(simLetter{from: i, to: j, ask: &ask, born: m.settings[j].Incarnation})
		}
	}
	due := m.post
	m.post = nil
	for _, l := range due {
		if m.now < l.at || m.alive[l.to] && m.stopped[l.to] {
			m.post = append(m.post, l) // it lies in the socket of one that is stopped
			continue
		}
		if !m.alive[l.to] || m.settings[l.to].Incarnation != l.born {
			continue
		}
		if l.ask != nil {
			if g, ok := m.boards[l.to].HandleLeaseRequest(m.clock(l.to), m.settings[l.from].Name, *l.ask); ok {
				sent++
				m.send(simLetter{from: l.to, to: l.from, grant: &g, born: m.settings[l.from].Incarnation})
			}
		} else {
			m.boards[l.to].HandleLeaseGrant(m.clock(l.to), m.settings[l.from].Name, *l.grant)
		}
	}
	return sent
}

func (m *peerSim) send(l simLetter) {
	if m.cut[m.pair(l.from, l.to)] > 0 || m.r.Float64() < m.poor {
		return
	}
	l.at = m.now + d.Micros(m.r.Int64N(20_000))
	if m.r.IntN(20) == 0 {
		l.at += d.Micros(m.r.Int64N(int64(3 * d.Second))) // very late
	}
	m.post = append(m.post, l)
}

// agreed says whether all see all, and hold what they hold when all are there.
func (m *peerSim) agreed() bool {
	for i, b := range m.boards {
		if part, _ := b.Quota(m.clock(i), membership.ScopeZone); part != 1 || b.Digest() != m.boards[0].Digest() || b.PartitionState() != membership.Majority ||
			b.Count(m.clock(i), membership.ScopeFleet) != m.n {
			return false
		}
	}
	return true
}
