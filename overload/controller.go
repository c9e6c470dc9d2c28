// Package overload notices retry and reconnect storms from what one director sees by itself. During a storm it gives rejected clients
// a retry-after time that is a reserved slot in one of the next windows of time: as many slots as the caches have capacity for then,
// beside first attempts. It rejects retries only, when they come before their slot or when the capacity of the current window is reserved
// for others; every other limit is the caller's. It does no I/O, takes the clock as a value, and draws random numbers from its seed alone.
//
// A Controller is told of every request before it is routed (Admit), of every request that succeeded (Completed) and of every new client
// connection (ClientConnected), and is asked for a time when a request is rejected (RetryAfter).
//
// A storm is rising when demand exceeds capacity and there is a sign of a storm (many retries, many new connections, or
// cold caches). It is held after a few windows, draining once demand has stayed below capacity, and over once no reservation is left.
package overload

import (
	"tallyproxy/internal/random"
	"tallyproxy/policy"
)

// CapacityEstimate is the work that the zone's ready caches can do for this director, in transfers at full pace.
type CapacityEstimate interface {
	// Capacity is the estimate for a time, now or ahead; 0 where it is not known.
	Capacity(at policy.Micros) float64
	// WarmCapacity is the estimate if all ready caches were warm; 0 where it is not known.
	WarmCapacity() float64
}

// Admission is one request as the controller sees it. It lives as long as the request and belongs to the same goroutine.
type Admission struct {
	ClientHash   uint64  // hash of the client's address; 0 where it is not known
	ObjectHash   uint64  // hash of content type, object and part
	Work         float64 // sending time at full pace, in microseconds
	RelativeCost float64 // work for a unit of priority weight, over that of the average request
	IsRetry      bool    // the client marked the request as a retry

	early         bool          // it came before the time that it was given
	onTime        bool          // it came at that time
	reserved      bool          // it came at that time, and capacity was reserved for it
	admittedRetry bool          // it is a retry that was admitted against the capacity of a window during a storm
	retryAt       policy.Micros // the time that its client was given
}

// OnTime reports whether the request came at the time of its reserved slot. It then counts as a first attempt.
func (a *Admission) OnTime() bool { return a.reserved }

// Controller holds what one director knows of the load. It is not safe for concurrent use: the goroutine of the routing.Router that owns
// it makes all calls. Its memory is bounded by the settings.
type Controller struct {
	settings     Settings
	estimate     CapacityEstimate
	windowLength policy.Micros
	horizon      policy.Micros
	random       random.Generator
	onChange     func(now policy.Micros, report Report) // may be nil

	state            State
	enteredAt        int64 // the window in which the state was entered
	windowsBelow     int   // windows in a row in which demand stayed below capacity
	current          int64 // the number of the current window
	recent           [recentWindows]window
	reservedWork     []float64 // reserved work by window: a ring of the windows ahead, cleared as they pass
	usualConnections float64   // running mean of new connections in a window
	firstAttemptWork float64   // forecast of the work of first attempts in a window
	capacityFactor   float64   // correction of the capacity estimate, learned from what became of admitted retries
	keptShare        float64   // running share of reserved work that clients came back for
	bestWork         float64   // most work completed in a window lately; stands in for a capacity that is not known
	heavyObject      heavyHitter
	reservations     *reservationTable
	earlyRetries     *sketch
}

// New makes a controller for clients that heed retry-after times up to maxRetryAfter; where that is too short for the settings' windows,
// and in another mode than ModeReserve, it never sees a storm. onChange, unless nil, is called with every change of state, within the
// call that causes it.
func New(settings Settings, maxRetryAfter policy.Micros, seed uint64, estimate CapacityEstimate, onChange func(policy.Micros, Report)) *Controller {
	c := &Controller{
		settings: settings, estimate: estimate, random: random.NewMixed(seed), capacityFactor: 1, keptShare: 1, onChange: onChange,
	}
	c.horizon = policy.Micros(settings.Horizon * float64(maxRetryAfter))
	if settings.Mode != ModeReserve || c.horizon <= 0 || settings.Windows <= 0 || c.horizon < policy.Micros(settings.Windows) {
		c.settings.Mode = min(settings.Mode, ModeSilent)
		return c
	}
	c.windowLength = c.horizon / policy.Micros(settings.Windows)
	c.reservedWork = make([]float64, settings.Windows+2)
	c.reservations = newReservationTable(settings.MaxReservations)
	c.earlyRetries = newSketch(settings.MaxReservations / 4)
	return c
}

// ClientConnected counts a new client connection.
func (c *Controller) ClientConnected(now policy.Micros) {
	if c.settings.Mode != ModeReserve {
		return
	}
	c.advance(now)
	c.currentWindow().newConnections++
}

// Admit counts a request and reports whether it may be routed. It may not where it is a retry that came before its slot, or one without
// a slot while the rest of the current window's capacity is needed for others.
func (c *Controller) Admit(now policy.Micros, a *Admission) bool {
	if c.settings.Mode != ModeReserve {
		return true
	}
	c.advance(now)
	w := c.currentWindow()
	w.requests++
	if a.IsRetry {
		w.retries++
		if !c.redeem(now, a) {
			return false
		}
	}
	if w.requestedWork += a.Work; !a.IsRetry {
		w.firstAttemptWork += a.Work
	}
	c.heavyObject.add(a.ObjectHash, a.Work)
	if c.state == Calm && c.overloaded(now) {
		c.enter(now, Rising)
	}
	if a.IsRetry && !a.reserved && c.state >= Held && !c.hasCapacity(now, a.Work) {
		return false
	}
	w.admittedWork += a.Work
	if a.admittedRetry = a.IsRetry && c.state >= Held; a.admittedRetry {
		w.admittedRetryWork += a.Work
	}
	return true
}

// redeem looks up the retry's reservation and uses it up, unless the retry comes before it during a storm: then it reports false.
func (c *Controller) redeem(now policy.Micros, a *Admission) bool {
	r := c.reservations.find(reservationID(a))
	if r == nil {
		return true
	}
	w := c.currentWindow()
	switch {
	case now < r.at-c.windowLength/4 && c.state != Calm:
		a.early, a.retryAt = true, r.at
		w.earlyRetries++
		c.earlyRetries.add(a.ClientHash)
		return false
	case now <= r.at+2*c.windowLength:
		a.onTime, a.reserved = true, r.work > 0
		w.redeemedWork += float64(r.work)
		if number := int64(r.at / c.windowLength); number >= c.current {
			reserved := c.reservedIn(number)
			*reserved = max(0, *reserved-float64(r.work))
		}
	}
	*r = reservation{}
	return true
}

// hasCapacity reports whether the current window can take more work beside what is admitted, reserved and forecast for its rest.
func (c *Controller) hasCapacity(now policy.Micros, work float64) bool {
	reserved := *c.reservedIn(c.current) * max(minKeptShare, c.keptShare)
	rest := 1 - float64(now%c.windowLength)/float64(c.windowLength)
	return c.currentWindow().admittedWork+reserved+c.firstAttemptWork*rest+work <= c.windowCapacity(now)
}

// Completed counts a request that succeeded, late or in time.
func (c *Controller) Completed(now policy.Micros, a *Admission, late bool) {
	if c.settings.Mode != ModeReserve {
		return
	}
	c.advance(now)
	w := c.currentWindow()
	if w.completedWork += a.Work; late && a.admittedRetry {
		w.wastedRetryWork += a.Work
	}
}

// RetryAfter is how long the client of a rejected request should wait before it retries; 0 for no advice. ordinary is the advice in calm.
func (c *Controller) RetryAfter(now policy.Micros, a *Admission, ordinary policy.Micros) policy.Micros {
	if c.settings.Mode == ModeSilent {
		return 0
	}
	if c.settings.Mode == ModeFixed {
		return ordinary
	}
	c.advance(now)
	if a.admittedRetry {
		c.currentWindow().wastedRetryWork += a.Work
		a.admittedRetry = false
	}
	if c.state == Calm {
		return ordinary
	}
	if !a.early {
		a.retryAt = c.reserve(now, a)
	}
	return max(1, a.retryAt-now)
}
