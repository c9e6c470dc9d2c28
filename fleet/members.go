package fleet

import (
	"maps"
	"slices"

	d "tallyproxy/director"
)

// Presence is how another agent is, as far as this one can tell.
type Presence int

const (
	Unknown Presence = iota // not heard of yet
	Up
	Suspected // it answers neither this agent nor others that were asked to try
	Gone      // for so long that it is not waited for
)

var presences = [...]string{"unknown", "up", "suspected", "gone"}

func (p Presence) String() string { return presences[p] }

// ProbeTimes are ratios to one: how often one agent is tried.
type ProbeTimes struct {
	Every  d.Micros // between two probes
	Answer d.Micros // for an answer, direct or by another
	Gone   d.Micros // suspected for so long, it is gone
	Others int      // asked to try where a direct probe was not answered
}

// DefaultProbes suit agents a few milliseconds apart.
func DefaultProbes() ProbeTimes {
	return ProbeTimes{Every: d.Second / 2, Answer: d.Second / 2, Gone: 10 * d.Second, Others: 2}
}

// Probe is one to be sent: to Of itself where Via is empty, else by asking Via to try it.
type Probe struct {
	Number  int
	Of, Via string
}

type member struct {
	presence Presence
	since    d.Micros
	heard    d.Micros
}

// Members finds out who is there by probing one after another in turn, directly and then by way of others, so that one bad
// link is not taken for a death.
type Members struct {
	t       ProbeTimes
	names   []string
	of      map[string]*member
	next    int
	last    d.Micros
	number  int
	pending map[int]pending // probes that were not answered; emptied by time
}

type pending struct {
	of       string
	until    d.Micros
	indirect bool
}

// NewMembers makes one for the other agents of the inventory.
func NewMembers(now d.Micros, others []string, t ProbeTimes) *Members {
	m := &Members{t: t, names: slices.Sorted(slices.Values(others)), of: map[string]*member{}, pending: map[int]pending{}, last: now}
	for _, name := range m.names {
		m.of[name] = &member{since: now}
	}
	return m
}

// Tick says which probes to send now.
func (m *Members) Tick(now d.Micros) (out []Probe) {
	for _, n := range slices.Sorted(maps.Keys(m.pending)) {
		p := m.pending[n]
		if now < p.until {
			continue
		}
		delete(m.pending, n)
		of := m.of[p.of]
		switch {
		case of.heard > p.until-m.t.Answer: // something came of it meanwhile
		case !p.indirect:
			out = append(out, m.by(now, p.of)...)
		case !m.tried(p.of):
			m.missed(now, of)
		}
	}
	if now-m.last >= m.t.Every && len(m.names) > 0 {
		m.last = now
		name := m.names[m.next%len(m.names)]
		m.next++
		out = append(out, m.probe(now, name, "", false))
	}
	for _, of := range m.of {
		if of.presence == Suspected && now-of.since >= m.t.Gone {
			of.presence, of.since = Gone, now
		}
	}
	return out
}

func (m *Members) probe(now d.Micros, of, via string, indirect bool) Probe {
	m.number++
	m.pending[m.number] = pending{of, now + m.t.Answer, indirect}
	return Probe{m.number, of, via}
}

// by asks others that are up to try one that did not answer; with nobody to ask, it is suspected at once.
func (m *Members) by(now d.Micros, of string) (out []Probe) {
	for i := range m.names {
		via := m.names[(m.next+i)%len(m.names)]
		if via != of && m.of[via].presence == Up && len(out) < m.t.Others {
			out = append(out, m.probe(now, of, via, true))
		}
	}
	if len(out) == 0 {
		m.missed(now, m.of[of])
	}
	return out
}

// tried says whether other probes of the same agent are still out.
func (m *Members) tried(of string) bool {
	for _, p := range m.pending {
		if p.of == of {
			return true
		}
	}
	return false
}

func (m *Members) missed(now d.Micros, of *member) {
	if of.presence == Up || of.presence == Unknown {
		of.presence, of.since = Suspected, now
	}
}

// Answered takes the answer to a probe; ok is false where the one that was asked could not reach it either.
func (m *Members) Answered(now d.Micros, number int, ok bool) {
	p, out := m.pending[number]
	if !out {
		return
	}
	delete(m.pending, number)
	if ok {
		m.Heard(now, p.of)
	} else if p.indirect && !m.tried(p.of) {
		m.missed(now, m.of[p.of])
	}
}

// Heard takes any sign of life.
func (m *Members) Heard(now d.Micros, name string) {
	if of := m.of[name]; of != nil {
		if of.heard = now; of.presence != Up {
			of.presence, of.since = Up, now
		}
	}
}

// Presence tells of all, by name.
func (m *Members) Presence() map[string]Presence {
	out := map[string]Presence{}
	for name, of := range m.of {
		out[name] = of.presence
	}
	return out
}
