package overload

import "tallyproxy/policy"

// State is the phase of a storm. Reports contain its numeric value.
type State int

const (
	// Calm means that there is no storm.
	Calm State = iota
	// Rising begins at the first sign of a storm.
	Rising
	// Held means that retries are admitted only within the capacity of the window.
	Held
	// Draining means that demand is below capacity again while reservations remain.
	Draining
)

var stateNames = [...]string{"calm", "rising", "held", "draining"}

// String returns the state's name in logs and tables.
func (s State) String() string { return stateNames[s] }

const (
	risingWindows    = 3   // windows after which a rising storm is held
	minRequests      = 8   // requests below which the share of retries is not meaningful
	heavyObjectShare = 0.4 // share above which one object is left out of the demand
)

// Report describes the load for operators. The state socket encodes it as JSON under the names in
// the tags, which tools of other versions read. Counts cover the recent windows.
type Report struct {
	State          State   `json:"State"`     // phase of the storm
	Requests       int     `json:"Asks"`      // requests, including rejected ones
	Retries        int     `json:"Repeats"`   // requests marked as retries
	EarlyRetries   int     `json:"Early"`     // retries that came before their slot
	NewConnections int     `json:"Connects"`  // new client connections
	Demand         float64 `json:"Demand"`    // requested work relative to capacity
	WarmShare      float64 `json:"Warm"`      // capacity relative to that of warm caches
	ReservedShare  float64 `json:"Promised"`  // reserved work relative to the horizon's capacity
	KeptShare      float64 `json:"Kept"`      // share of reserved work whose clients returned
	CapacityFactor float64 `json:"Part"`      // learned correction of the capacity estimate
	Reservations   int     `json:"Remembers"` // reservations whose time has not passed
}

// State returns the phase of the storm.
func (c *Controller) State() State { return c.state }

// Report returns a description of the load at the given time.
func (c *Controller) Report(now policy.Micros) Report {
	r := c.summarize(now)
	if c.settings.Mode == ModeReserve {
		r.Reservations = c.reservations.countAfter(now)
	}
	return r
}

// summarize returns the report without the number of reservations, which takes a pass over the
// table.
func (c *Controller) summarize(now policy.Micros) Report {
	r := Report{State: c.state, KeptShare: c.keptShare, CapacityFactor: c.capacityFactor, WarmShare: 1}
	if c.settings.Mode != ModeReserve {
		return r
	}
	requestedWork := 0.0
	for _, w := range c.recent {
		r.Requests += w.requests
		r.Retries += w.retries
		r.EarlyRetries += w.earlyRetries
		r.NewConnections += w.newConnections
		requestedWork += w.requestedWork
	}
	if share := c.heavyObject.share(); share > heavyObjectShare {
		requestedWork *= 1 - share
	}
	capacity := c.capacity(now)
	if warm := c.estimate.WarmCapacity(); warm > 0 {
		r.WarmShare = min(1, capacity/warm)
	}
	if capacity > 0 {
		r.Demand = requestedWork / (capacity * recentWindows * float64(c.windowLength))
		for _, work := range c.reservedWork {
			r.ReservedShare += work
		}
		r.ReservedShare /= capacity * float64(c.horizon)
	}
	return r
}

// overloaded reports whether demand exceeds its threshold and there is a sign of a storm. An object
// that causes most of the demand is left out of it: it loads only its home cache, which has its own
// concurrency limit.
func (c *Controller) overloaded(now policy.Micros) bool {
	r := c.summarize(now)
	switch {
	case r.Demand <= c.settings.DemandThreshold:
		return false
	case r.Requests >= minRequests && float64(r.Retries) > c.settings.RetryShare*float64(r.Requests):
		return true
	case float64(r.NewConnections) > c.settings.ConnectionSurge*(recentWindows*c.meanConnections+2):
		return true
	}
	return r.WarmShare < c.settings.ColdThreshold
}

// updateState makes the state transition, if any, that is due after a window has ended.
func (c *Controller) updateState(now policy.Micros) {
	r := c.summarize(now)
	if c.windowsBelow++; r.Demand > 1 {
		c.windowsBelow = 0
	}
	switch overloaded := c.overloaded(now); {
	case c.state == Draining && overloaded:
		c.setState(now, Rising)
	case c.state == Draining && c.windowsBelow >= c.settings.Windows && !c.hasReservationsAhead():
		c.setState(now, Calm)
	case c.state == Rising && c.current-c.enteredAt >= risingWindows:
		c.setState(now, Held)
	case c.state == Held && c.windowsBelow >= c.settings.Windows:
		c.setState(now, Draining)
	}
}

// hasReservationsAhead reports whether work is reserved in a window after the current one.
func (c *Controller) hasReservationsAhead() bool {
	for i, work := range c.reservedWork {
		if work > 0 && int64(i) != c.current%int64(len(c.reservedWork)) {
			return true
		}
	}
	return false
}

// setState changes the state and calls onChange.
func (c *Controller) setState(now policy.Micros, state State) {
	if c.state == state {
		return
	}
	c.state, c.enteredAt, c.windowsBelow = state, c.current, 0
	if c.onChange != nil {
		c.onChange(now, c.Report(now))
	}
}
