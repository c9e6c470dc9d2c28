// Package manners decides when a director asks a service that hundreds of others ask too: calls are spread over the fleet from the
// first one on, after news as after errors, so that a service that is short is not held down by those it serves. It does no I/O;
// chance comes from the instance's seed. docs/start.md works out how long a director may be blind in each case.
package backoff

import (
	"cmp"

	d "tallyproxy/policy"
)

// PollResult is how a call ended.
type PollResult int

const (
	Changed       PollResult = iota // events came
	Unchanged                       // the wait was over without any
	ConnectFailed                   // no connection came up, or it ended before an answer began: nobody is there
	Truncated                       // the answer broke off within
	TimedOut                        // nothing came in time
	Unavailable                     // the service said that it is short
	Malformed                       // an answer that can't be read
	Canceled                        // from this side: the address moved, or the director asks again in doubt
)

var endings = [...]string{"news", "nothing", "refused", "half", "hung", "busy", "rubbish", "given up"}

func (e PollResult) String() string { return endings[e] }

// Intervals are spans; see Derive.
type Intervals struct {
	LongPoll      d.Micros // how long a call may wait for news
	InitialSpread d.Micros // the first call comes within this
	ChangeSpread  d.Micros // and the one after news
	MaxPause      d.Micros // the longest pause: what is told meanwhile counts as told soon after
	FirstErrorMax d.Micros // the longest after the first error in a row
	MinRetry      d.Micros // the shortest after further ones
}

// DeriveIntervals gives the times that follow from the platform's settings. A purge or a drain is heeded within its grace of being told, so
// news may be asked after within two thirds of the shorter one, and the first call within nine tenths. After a break what the service has to tell counts as
// told a third of the time for which old copies lie about later (PurgeKept; 2 s of 6 s); a pause is no longer than that.
func DeriveIntervals(s d.Settings, m d.Timeouts) Intervals {
	grace := cmp.Or(s.PurgePropagation, s.ConnectTimeout)
	if s.DrainPropagation > 0 {
		grace = min(grace, s.DrainPropagation)
	}
	most := cmp.Or(s.PurgeRetention/3, 8*m.PollRetry)
	return Intervals{LongPoll: m.LongPoll, InitialSpread: 9 * grace / 10, ChangeSpread: 2 * grace / 3, MaxPause: most, FirstErrorMax: 3 * most / 4, MinRetry: most / 5}
}

// ForDelegates gives the times for where a few of a fleet call for all: they wait for news less long, so that how old their word is shows that
// they are well, and are back sooner after news, which the others wait for.
func (t Intervals) ForDelegates() Intervals {
	t.LongPoll, t.ChangeSpread = t.LongPoll/4, t.ChangeSpread/8
	return t
}

// Poller decides for one director. Calls must not overlap.
type Poller struct {
	t      Intervals
	r      multiply
	failed int  // calls in a row
	spread bool // the next wait for news is shorter by chance, so that those who heard together part again
}

// New makes one. The seed is the instance's: no two of a fleet should have the same.
func New(t Intervals, seed uint64) *Poller {
	c := &Poller{t: t, r: multiply{uint32(seed), uint32(seed>>32) | 1}}
	for range 8 { // seeds that are near each other part
		c.r.next()
	}
	return c
}

// First is how long to wait before the first call, and how long that may wait for news.
func (c *Poller) First() (pause, poll d.Micros) { return c.upTo(c.t.InitialSpread), c.t.LongPoll }

// Next is how long to wait after a call that ended so, and how long the next may wait for news. Late is how long the call had gone
// on beyond the wait that was asked for; the service may have said after how long to come back, 0 where it did not.
func (c *Poller) Next(e PollResult, late, back d.Micros) (pause, poll d.Micros) {
	switch e {
	case Changed:
		c.failed = 0
		return c.upTo(c.t.ChangeSpread), c.t.LongPoll/2 + c.upTo(c.t.LongPoll/2)
	case Unchanged, Canceled:
		if e == Unchanged {
			c.failed = 0
		}
		return 0, c.t.LongPoll
	}
	c.failed++
	most := max(c.t.MinRetry, c.t.MaxPause-max(0, late)) // what was told while it hung counts from the end of the wait
	from, to := min(c.t.MinRetry, most/2), most
	if c.failed == 1 {
		from, to = 0, min(most, c.t.FirstErrorMax)
	}
	switch {
	case e == Truncated && c.failed == 1: // something was being told
		to /= 2
	case e == Unavailable && back > 0: // heeded as far as that goes; past it, as late as it goes
		from, to = min(back, most/2), min(most, 2*back)
		if back >= most {
			to = most
		}
	}
	return from + c.upTo(to-from), c.t.LongPoll
}

// upTo is a span by chance.
func (c *Poller) upTo(most d.Micros) d.Micros {
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
