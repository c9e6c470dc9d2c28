// Package storm notices retry and reconnect storms from what one director sees by itself, and hands out times to come back
// as places in windows of the future: as many as the caches will be able to do then, beside first tries. It turns away only
// repeats, before their time or where the room of the present window is promised to others; all else is the limits' to decide. It does no I/O, takes the clock
// as a value, and draws chance from the seed alone.
//
// How to call it: Asked hears every download once, before it is placed. Place is asked for a time when one is turned away,
// Served hears when one was fulfilled, Connected when a client connects. Calls must not overlap.
package overload

import (
	"math"

	d "tallyproxy/policy"
)

// Mode says what throttled downloads are told.
type Mode int

const (
	ModeFixed   Mode = iota // the ordinary time, whatever goes on
	ModeSilent              // no time
	ModeReserve             // places, while there is a storm
)

// Settings are the operator's. Spans are parts of the longest advice that clients heed.
type Settings struct {
	Mode            Mode
	Horizon         float64 // how far ahead places are given
	Windows         int     // that the reach is cut into
	DemandThreshold float64 // work asked for over what can be done, from which a storm may rise
	ConnectionSurge float64 // new connections over the usual that are a sign of one
	RetryShare      float64 // share of marked repeats that is
	ColdThreshold   float64 // part of their full capacity under which the caches are
	ReservableShare float64 // part of what can be done that is promised
	MaxReservations int     // places remembered
}

// DefaultSettings are those of an operator's file that says nothing.
func DefaultSettings() Settings {
	return Settings{Horizon: 1, Windows: 10, DemandThreshold: 1.25, ConnectionSurge: 4, RetryShare: 0.5, ColdThreshold: 0.6, ReservableShare: 0.9, MaxReservations: 4096}
}

// CapacityEstimate is what the guard asks of the limits.
type CapacityEstimate interface {
	// Able is how much the location's ready caches can do for this director at a time, in transfers at full pace; 0 where
	// that is not known.
	Capacity(at d.Micros) float64
	// Full is what they could do if all were warm.
	WarmCapacity() float64
}

// State says how a storm is going.
type State int

const (
	Calm State = iota
	Rising
	Held
	Draining
)

var states = [...]string{"calm", "rising", "held", "draining"}

func (s State) String() string { return states[s] }

const (
	back       = 5    // windows over which demand is looked at, the present one too
	firm       = 3    // windows after which a rising storm is held
	usualOver  = 100  // windows over which the usual number of connections looks back
	fewest     = 8    // asks under which a share of repeats says nothing
	heeded     = 0.9  // how full a window may be for one that came at its time in vain,
	repeated   = 0.75 // for another repeat,
	ignored    = 0.5  // and for one of a client that comes early time and again
	often      = 3    // times early that make it one
	badPart    = 0.2  // of what was let in, turned away or late, from which less is promised
	lessBy     = 0.8
	moreBy     = 1.1
	leastPart  = 0.125 // of what can be done
	mostPart   = 2.0   // for caches that warm sooner than they must
	leastKept  = 0.5   // part of the promises that are reckoned with at the least
	leastRoom  = 0.05  // part of a window that is promised, however many first tries there are
	slower     = 20    // windows over which the work of first tries is taken to rise,
	faster     = 4     // and to fall: a burst is not taken for what comes after it
	singlePart = 0.4   // of the demand, from which one object is most of it
)

// Admission is one download as the guard sees it. It lives as long as the download.
type Admission struct {
	ClientHash   uint64  // the client, as a hash; 0 where not known
	ObjectHash   uint64  // content type, object and part, as a hash
	Work         float64 // sending time at full pace, µs
	RelativeCost float64 // what it costs for its benefit, over what most do
	IsRetry      bool    // marked as a repeat

	early, came, due, let bool     // before its time; at its time; and it had a place; let in where room was reckoned with
	at                    d.Micros // its place
}

// OnTime says whether it came at the time of its place: it counts as a first try.
func (a *Admission) OnTime() bool { return a.due }

// Report is how things go, for the operators. The state socket tells it as JSON, under the names in the tags.
type Report struct {
	State          State   `json:"State"`
	Requests       int     `json:"Asks"`      // of the last windows,
	Retries        int     `json:"Repeats"`   // of them marked as such,
	EarlyRetries   int     `json:"Early"`     // and before their time
	NewConnections int     `json:"Connects"`  // new connections of the last windows
	Demand         float64 `json:"Demand"`    // work asked for in them, over what could be done
	WarmShare      float64 `json:"Warm"`      // part of full capacity
	ReservedShare  float64 `json:"Promised"`  // work promised ahead, over what can be done in the reach
	KeptShare      float64 `json:"Kept"`      // part of the promises that clients come for
	CapacityFactor float64 `json:"Part"`      // of what can be done that is promised, as learned
	Reservations   int     `json:"Remembers"` // places remembered
}

// tally is what happened in one window.
type tally struct {
	asked, first, let, done, due float64 // work: asked for, by first tries, let in, served, come at its time
	sure, bad                    float64 // let in where room was reckoned with, and of that in vain
	promised                     float64 // at the window's begin
	asks, again, early, conns    int
}

// Controller is one instance.
type Controller struct {
	s     Settings
	f     CapacityEstimate
	span  d.Micros // of a window
	reach d.Micros
	rng   multiply

	state  State
	since  int64 // the window in which it was entered
	below  int   // windows in a row in which demand stayed below what can be done
	at     int64 // the present window
	past   [back]tally
	ahead  []float64 // promised work, by window; a ring, emptied as windows pass
	usual  float64   // new connections of a window
	first  float64   // work of first tries in a window, as it is likely to go on
	part   float64
	kept   float64
	best   float64 // work done in a window, at the best lately; used where Able is not known
	top    majority
	places *places
	early  *sketch
	told   func(now d.Micros, r Report)
}

// New makes a guard for clients that heed advice up to a time; with none, or in another mode, it never sees a storm. Told,
// where given, hears of every change of state.
func New(s Settings, most d.Micros, seed uint64, f CapacityEstimate, told func(d.Micros, Report)) *Controller {
	g := &Controller{s: s, f: f, rng: newMultiply(seed), part: 1, kept: 1, told: told}
	g.reach = d.Micros(s.Horizon * float64(most))
	if s.Mode != ModeReserve || g.reach <= 0 || s.Windows <= 0 || g.reach < d.Micros(s.Windows) {
		g.s.Mode = min(s.Mode, ModeSilent)
		return g
	}
	g.span = g.reach / d.Micros(s.Windows)
	g.ahead = make([]float64, s.Windows+2)
	g.places, g.early = newPlaces(s.MaxReservations), newSketch(s.MaxReservations/4)
	return g
}

// promised is the work that is promised for a window, of those ahead.
func (g *Controller) promised(window int64) *float64 { return &g.ahead[window%int64(len(g.ahead))] }

func (g *Controller) present() *tally { return &g.past[g.at%back] }

// ClientConnected hears of a client's new connection.
func (g *Controller) ClientConnected(now d.Micros) {
	if g.s.Mode != ModeReserve {
		return
	}
	g.turn(now)
	g.present().conns++
}

// Admit hears a download, and says whether it may be placed. Where it may not, what there is room for now is promised to
// others, or it came before its own time.
func (g *Controller) Admit(now d.Micros, a *Admission) bool {
	if g.s.Mode != ModeReserve {
		return true
	}
	g.turn(now)
	t := g.present()
	t.asks++
	if a.IsRetry {
		t.again++
		if p := g.places.find(id(a)); p != nil {
			switch {
			case now < p.at-g.span/4 && g.state != Calm:
				a.early, a.at = true, p.at
				t.early++
				g.early.add(a.ClientHash)
				return false
			case now <= p.at+2*g.span:
				a.came, a.due = true, p.work > 0
				t.due += float64(p.work)
				if w := int64(p.at / g.span); w >= g.at {
					held := g.promised(w)
					*held = max(0, *held-float64(p.work))
				}
			}
			*p = place{}
		}
	}
	if t.asked += a.Work; !a.IsRetry {
		t.first += a.Work
	}
	g.top.add(a.ObjectHash, a.Work)
	if g.state == Calm && g.over(now) {
		g.enter(now, Rising)
	}
	if a.IsRetry && !a.due && g.state >= Held {
		left := *g.promised(g.at) * max(leastKept, g.kept)
		rest := 1 - float64(now%g.span)/float64(g.span)
		if t.let+left+g.first*rest+a.Work > g.capacity(now) {
			return false
		}
	}
	t.let += a.Work
	if a.let = a.IsRetry && g.state >= Held; a.let {
		t.sure += a.Work
	}
	return true
}

// Completed hears that a download was fulfilled, late or not.
func (g *Controller) Completed(now d.Micros, a *Admission, late bool) {
	if g.s.Mode != ModeReserve {
		return
	}
	g.turn(now)
	t := g.present()
	if t.done += a.Work; late && a.let {
		t.bad += a.Work
	}
}

// RetryAfter is the time after which a download that is turned away may come back; ordinary is what it is told in calm.
func (g *Controller) RetryAfter(now d.Micros, a *Admission, ordinary d.Micros) d.Micros {
	if g.s.Mode == ModeSilent {
		return 0
	}
	if g.s.Mode == ModeFixed {
		return ordinary
	}
	g.turn(now)
	if a.let {
		g.present().bad += a.Work
		a.let = false
	}
	if g.state == Calm {
		return ordinary
	}
	if !a.early {
		a.at = g.promise(now, a)
	}
	return max(1, a.at-now)
}

// promise finds a place and remembers it.
func (g *Controller) promise(now d.Micros, a *Admission) d.Micros {
	share := min(1, max(0.5, 1/max(a.RelativeCost, 1e-9)))
	switch {
	case a.came:
		share *= heeded
	case a.IsRetry && g.early.count(a.ClientHash) >= often:
		share *= ignored
	case a.IsRetry:
		share *= repeated
	}
	last := int64((now + g.reach) / g.span)
	for w := g.at + 1; w < last; w++ {
		begin := d.Micros(w) * g.span
		if begin < now+g.span/2 { // it could hardly be there
			continue
		}
		held, room := g.promised(w), g.room(begin)
		if *held > 0 && *held+a.Work > room*share || room <= 0 {
			continue
		}
		at := begin + d.Micros(float64(g.span)*min(1, *held/room))
		*held += a.Work
		g.places.put(id(a), place{at: at, work: float32(a.Work)})
		return at
	}
	at := now + g.reach/2 + d.Micros(g.rng.unit()*float64(g.reach/2))
	g.places.put(id(a), place{at: at})
	return at
}

// capacity is how much work is reckoned with for the window of a time.
func (g *Controller) capacity(at d.Micros) float64 { return g.able(at) * float64(g.span) * g.part }

// room is how much may be promised of it: what first tries are likely to leave, and more where many don't come for what
// they were promised.
func (g *Controller) room(at d.Micros) float64 {
	all := g.capacity(at)
	return max(all*leastRoom, all-g.first) * g.s.ReservableShare / max(leastKept, g.kept)
}

func (g *Controller) able(at d.Micros) float64 {
	if able := g.f.Capacity(at); able > 0 {
		return able
	}
	return g.best / float64(g.span)
}

// over says whether demand passes what can be done, with a sign of a storm. One object that is most of the demand is left
// out of it: its home has its limit, and the others have none of it.
func (g *Controller) over(now d.Micros) bool {
	r := g.figures(now)
	switch {
	case r.Demand <= g.s.DemandThreshold:
		return false
	case r.Requests >= fewest && float64(r.Retries) > g.s.RetryShare*float64(r.Requests):
		return true
	case float64(r.NewConnections) > g.s.ConnectionSurge*(back*g.usual+2):
		return true
	}
	return r.WarmShare < g.s.ColdThreshold
}

// Report tells how things go at a time.
func (g *Controller) Report(now d.Micros) Report {
	r := g.figures(now)
	if g.s.Mode == ModeReserve {
		r.Reservations = g.places.len(now)
	}
	return r
}

func (g *Controller) figures(now d.Micros) Report {
	r := Report{State: g.state, KeptShare: g.kept, CapacityFactor: g.part, WarmShare: 1}
	if g.s.Mode != ModeReserve {
		return r
	}
	asked := 0.0
	for _, t := range g.past {
		r.Requests += t.asks
		r.Retries += t.again
		r.EarlyRetries += t.early
		r.NewConnections += t.conns
		asked += t.asked
	}
	if share := g.top.share(); share > singlePart {
		asked *= 1 - share
	}
	able := g.able(now)
	if full := g.f.WarmCapacity(); full > 0 {
		r.WarmShare = min(1, able/full)
	}
	if able > 0 {
		r.Demand = asked / (able * back * float64(g.span))
		for _, held := range g.ahead {
			r.ReservedShare += held
		}
		r.ReservedShare /= able * float64(g.reach)
	}
	return r
}

// State says how things go.
func (g *Controller) State() State { return g.state }

func (g *Controller) enter(now d.Micros, s State) {
	if g.state == s {
		return
	}
	g.state, g.since, g.below = s, g.at, 0
	if g.told != nil {
		g.told(now, g.Report(now))
	}
}

// turn closes the windows that have passed.
func (g *Controller) turn(now d.Micros) {
	to := int64(now / g.span)
	if g.at == 0 || to-g.at > int64(len(g.ahead))+back { // the first call, or nothing was heard for long
		g.past, g.at = [back]tally{}, max(g.at, to)
		clear(g.ahead)
		g.top = majority{}
		g.kept, g.part, g.below = 1, 1, len(g.ahead)
		if g.state != Calm {
			g.enter(now, Calm)
		}
		return
	}
	for g.at < to {
		g.closed(now)
		*g.promised(g.at) = 0
		g.at++
		g.past[g.at%back] = tally{promised: *g.promised(g.at)}
		g.top.fade()
		if g.at%int64(8*g.s.Windows) == 0 {
			g.early.fade()
		}
	}
}

// closed learns from a window that has passed.
func (g *Controller) closed(now d.Micros) {
	t := g.present()
	g.best = max(g.best*(1-1.0/usualOver), t.done)
	if t.first > g.first {
		g.first += (t.first - g.first) / slower
	} else {
		g.first += (t.first - g.first) / faster
	}
	if g.state == Calm {
		g.usual += (float64(t.conns) - g.usual) / usualOver
		g.part += (1 - g.part) / usualOver
		return
	}
	if t.promised > 0 {
		g.kept += (min(1, t.due/t.promised) - g.kept) / back
	}
	if t.bad > badPart*t.sure {
		g.part = max(leastPart, g.part*lessBy)
	} else if t.done > 0 {
		g.part = min(mostPart, g.part*moreBy)
	}
	r := g.figures(now)
	if g.below++; r.Demand > 1 {
		g.below = 0
	}
	promised := false
	for i, held := range g.ahead {
		promised = promised || held > 0 && int64(i) != g.at%int64(len(g.ahead))
	}
	switch over := g.over(now); {
	case g.state == Draining && over:
		g.enter(now, Rising)
	case g.state == Draining && g.below >= g.s.Windows && !promised:
		g.enter(now, Calm)
	case g.state == Rising && g.at-g.since >= firm:
		g.enter(now, Held)
	case g.state == Held && g.below >= g.s.Windows:
		g.enter(now, Draining)
	}
}

// id tells apart who asks for what.
func id(a *Admission) uint64 { return mix(mix(a.ClientHash)^a.ObjectHash) | 1 }

// mix is the finisher of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// multiply is a multiply-with-carry generator.
type multiply struct{ x, carry uint32 }

func newMultiply(seed uint64) multiply {
	seed = mix(seed + 0x9e3779b97f4a7c15)
	return multiply{uint32(seed), uint32(seed>>32)%4294957664 + 1}
}

func (m *multiply) unit() float64 {
	t := 4294957665*uint64(m.x) + uint64(m.carry)
	m.x, m.carry = uint32(t), uint32(t>>32)
	return float64(m.x) / (math.MaxUint32 + 1)
}
