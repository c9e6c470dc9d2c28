// Package overload detects retry and reconnect storms from the load that one director observes.
// During a storm, the retry-after time of a rejected client is a reserved slot in one of the coming
// time windows. The slots of a window add up to the capacity of the caches that first attempts are
// expected to leave. The package rejects only retries: those that come before their slot, and those
// without a slot if the capacity of the current window is reserved for others. All other limits are
// up to the caller. The package does no I/O, takes the time as an argument, and draws random
// numbers only from its seed.
//
// A Controller counts every request before it is routed (Admit), every successful request
// (Completed) and every new client connection (ClientConnected). For a rejected request it returns
// the retry-after time (RetryAfter).
//
// A storm is rising when demand exceeds capacity and there is a sign of a storm (many retries, many
// new connections, or cold caches). It is held after a few windows, draining once demand has stayed
// below capacity, and over once no reservations are left.
package overload

import (
	"tallyproxy/internal/random"
	"tallyproxy/policy"
)

// CapacityEstimate estimates the work that the ready caches of the zone can do for this director,
// as a number of concurrent transfers at full rate.
type CapacityEstimate interface {
	// Capacity returns the estimate for a present or future time, or 0 if it is unknown.
	Capacity(at policy.Micros) float64
	// WarmCapacity returns what the estimate would be if all ready caches were warm, or 0 if it is
	// unknown.
	WarmCapacity() float64
}

// Admission describes one request to the Controller. It lives as long as the request and belongs to
// the same goroutine.
type Admission struct {
	ClientHash   uint64  // hash of the client's address; 0 if unknown
	ObjectHash   uint64  // hash of content type, object and part
	Work         float64 // transfer time at full rate, in microseconds
	RelativeCost float64 // work per unit of priority weight, relative to the average request
	IsRetry      bool    // client marked the request as a retry

	early         bool          // arrived before the time that the client was given
	onTime        bool          // arrived at that time
	reserved      bool          // arrived at that time, and capacity was reserved for it
	admittedRetry bool          // retry admitted against the capacity of a window during a storm
	retryAt       policy.Micros // time that the client was given for its retry
}

// OnTime reports whether the request arrived at the time of its reserved slot. Such a request
// counts as a first attempt.
func (a *Admission) OnTime() bool { return a.reserved }

// Controller tracks the load of one director. It is not safe for concurrent use: the goroutine of
// the routing.Router that owns it makes all calls. Its memory is bounded by the settings.
type Controller struct {
	settings     Settings
	estimate     CapacityEstimate
	windowLength policy.Micros
	horizon      policy.Micros
	random       random.Generator
	onChange     func(now policy.Micros, report Report) // may be nil

	state            State
	enteredAt        int64 // number of the window in which the state began
	windowsBelow     int   // consecutive windows with demand below capacity
	current          int64 // number of the current window
	recent           [recentWindows]window
	reservedWork     []float64 // ring of the reserved work of the windows ahead
	meanConnections  float64   // running mean of new connections per window
	firstAttemptWork float64   // forecast of the work of first attempts per window
	capacityFactor   float64   // correction of the capacity estimate, learned from admitted retries
	keptShare        float64   // running share of reserved work whose clients returned for it
	peakWork         float64   // recent peak of completed work per window; used without an estimate
	heavyObject      heavyHitter
	reservations     *reservationTable
	earlyRetries     *sketch
}

// New returns a Controller for clients that honor retry-after times up to maxRetryAfter. It never
// detects a storm in a mode other than ModeReserve. If maxRetryAfter is too short for the number of
// windows in the settings, ModeReserve acts like ModeSilent. onChange, unless nil, is called on
// every change of state, within the call that causes it.
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

// Admit counts a request and reports whether it may be routed. It rejects a retry that comes before
// its slot, and a retry without a slot if the rest of the current window's capacity is needed for
// others.
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
		c.setState(now, Rising)
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

// redeem looks up the retry's reservation and removes it. During a storm, if the retry comes before
// its reserved time, redeem keeps the reservation and returns false.
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

// hasCapacity reports whether the current window has capacity for more work in addition to the work
// that is admitted, reserved, or forecast for the rest of the window.
func (c *Controller) hasCapacity(now policy.Micros, work float64) bool {
	reserved := *c.reservedIn(c.current) * max(minKeptShare, c.keptShare)
	rest := 1 - float64(now%c.windowLength)/float64(c.windowLength)
	return c.currentWindow().admittedWork+reserved+c.firstAttemptWork*rest+work <= c.windowCapacity(now)
}

// Completed counts a successful request; late is true if it missed its latency objective.
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

// RetryAfter returns how long the client of a rejected request should wait before it retries, or 0
// for no advice. Outside a storm, ModeReserve returns defaultRetryAfter; ModeFixed always does.
func (c *Controller) RetryAfter(now policy.Micros, a *Admission, defaultRetryAfter policy.Micros) policy.Micros {
	if c.settings.Mode == ModeSilent {
		return 0
	}
	if c.settings.Mode == ModeFixed {
		return defaultRetryAfter
	}
	c.advance(now)
	if a.admittedRetry {
		c.currentWindow().wastedRetryWork += a.Work
		a.admittedRetry = false
	}
	if c.state == Calm {
		return defaultRetryAfter
	}
	if !a.early {
		a.retryAt = c.reserve(now, a)
	}
	return max(1, a.retryAt-now)
}
