// Package manners decides when a director asks a service that hundreds of others ask too: calls are spread over the fleet from the
// first one on, after news as after errors, so that a service that is short is not held down by those it serves. It does no I/O;
// chance comes from the instance's seed. docs/start.md works out how long a director may be blind in each case.
package backoff

import (
	"cmp"

	d "tallyproxy/policy"
)

// Ending is how a call ended.
type Ending int

const (
	News    Ending = iota // events came
	Nothing               // the wait was over without any
	Refused               // no connection came up, or it ended before an answer began: nobody is there
	HalfWay               // the answer broke off within
	Hung                  // nothing came in time
	Busy                  // the service said that it is short
	Rubbish               // an answer that can't be read
	GivenUp               // from this side: the address moved, or the director asks again in doubt
)

var endings = [...]string{"news", "nothing", "refused", "half", "hung", "busy", "rubbish", "given up"}

func (e Ending) String() string { return endings[e] }

// Times are spans; see Derive.
type Times struct {
	Poll   d.Micros // how long a call may wait for news
	First  d.Micros // the first call comes within this
	Spread d.Micros // and the one after news
	Most   d.Micros // the longest pause: what is told meanwhile counts as told soon after
	Base   d.Micros // the longest after the first error in a row
	Least  d.Micros // the shortest after further ones
}

// Derive gives the times that follow from the platform's settings. A purge or a drain is heeded within its grace of being told, so
// news may be asked after within two thirds of the shorter one, and the first call within nine tenths. After a break what the service has to tell counts as
// told a third of the time for which old copies lie about later (PurgeKept; 2 s of 6 s); a pause is no longer than that.
func Derive(s d.Settings, m d.Timeouts) Times {
	grace := cmp.Or(s.PurgePropagation, s.ConnectTimeout)
	if s.DrainPropagation > 0 {
		grace = min(grace, s.DrainPropagation)
	}
	most := cmp.Or(s.PurgeRetention/3, 8*m.PollRetry)
	return Times{Poll: m.LongPoll, First: 9 * grace / 10, Spread: 2 * grace / 3, Most: most, Base: 3 * most / 4, Least: most / 5}
}

// Few gives the times for where a few of a fleet call for all: they wait for news less long, so that how old their word is shows that
// they are well, and are back sooner after news, which the others wait for.
func (t Times) Few() Times {
	t.Poll, t.Spread = t.Poll/4, t.Spread/8
	return t
}

// Caller decides for one director. Calls must not overlap.
type Caller struct {
	t      Times
	r      multiply
	failed int  // calls in a row
	spread bool // the next wait for news is shorter by chance, so that those who heard together part again
}

// New makes one. The seed is the instance's: no two of a fleet should have the same.
func New(t Times, seed uint64) *Caller {
	c := &Caller{t: t, r: multiply{uint32(seed), uint32(seed>>32) | 1}}
	for range 8 { // seeds that are near each other part
		c.r.next()
	}
	return c
}

// First is how long to wait before the first call, and how long that may wait for news.
func (c *Caller) First() (pause, poll d.Micros) { return c.upTo(c.t.First), c.t.Poll }

// Next is how long to wait after a call that ended so, and how long the next may wait for news. Late is how long the call had gone
// on beyond the wait that was asked for; the service may have said after how long to come back, 0 where it did not.
func (c *Caller) Next(e Ending, late, back d.Micros) (pause, poll d.Micros) {
	switch e {
	case News:
		c.failed = 0
		return c.upTo(c.t.Spread), c.t.Poll/2 + c.upTo(c.t.Poll/2)
	case Nothing, GivenUp:
		if e == Nothing {
			c.failed = 0
		}
		return 0, c.t.Poll
	}
	c.failed++
	most := max(c.t.Least, c.t.Most-max(0, late)) // what was told while it hung counts from the end of the wait
	from, to := min(c.t.Least, most/2), most
	if c.failed == 1 {
		from, to = 0, min(most, c.t.Base)
	}
	switch {
	case e == HalfWay && c.failed == 1: // something was being told
		to /= 2
	case e == Busy && back > 0: // heeded as far as that goes; past it, as late as it goes
		from, to = min(back, most/2), min(most, 2*back)
		if back >= most {
			to = most
		}
	}
	return from + c.upTo(to-from), c.t.Poll
}

// upTo is a span by chance.
func (c *Caller) upTo(most d.Micros) d.Micros {
	if most <= 0 {
		return 0
	}
	return d.Micros(uint64(most) * uint64(c.r.next()) >> 32)
}

// multiply is the house's multiply-with-carry generator.
type multiply struct{ x, carry uint32 }

func (m *multiply) next() uint32 {
	t := 4294957665*uint64(m.x) + uint64(m.carry)
	m.x, m.carry = uint32(t), uint32(t>>32)
	return m.x
}

// Seed is an instance's own, from the platform's seed, which all directors of a fleet may share, and its name.
func Seed(seed uint64, name string) uint64 {
	h := uint64(14695981039346656037) ^ seed
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
