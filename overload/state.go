package overload

import "tallyproxy/policy"

// State is the phase of a storm. The numbers are stored in reports.
type State int

const (
	// Calm is the state without a storm.
	Calm State = iota
	// Rising is the state from the first sign of a storm.
	Rising
	// Held is the state in which retries are admitted against the capacity of windows.
	Held
	// Draining is the state in which demand is below capacity again and reservations are still kept.
	Draining
)

var stateNames = [...]string{"calm", "rising", "held", "draining"}

// String is the state's name in logs and tables.
func (s State) String() string { return stateNames[s] }

const (
	risingWindows    = 3   // windows after which a rising storm is held
	minRequests      = 8   // requests below which a share of retries says nothing
	heavyObjectShare = 0.4 // share of the demand above which one object is left out of it
)

// Report describes the load, for the operators. The state socket encodes it as JSON under the names in the tags, which other versions of
// the tools read. Counts cover the recent windows.
type Report struct {
	State          State   `json:"State"`     // phase of the storm
	Requests       int     `json:"Asks"`      // requests
	Retries        int     `json:"Repeats"`   // requests that were marked as retries
	EarlyRetries   int     `json:"Early"`     // retries that came before their slot
	NewConnections int     `json:"Connects"`  // new client connections
	Demand         float64 `json:"Demand"`    // work requested, over what the caches could do
	WarmShare      float64 `json:"Warm"`      // capacity, over that of warm caches
	ReservedShare  float64 `json:"Promised"`  // work reserved ahead, over the capacity of the horizon
	KeptShare      float64 `json:"Kept"`      // share of reserved work that clients came back for
	CapacityFactor float64 `json:"Part"`      // learned correction of the capacity estimate
	Reservations   int     `json:"Remembers"` // reservations whose time is not over
}

// State is the phase of the storm.
func (c *Controller) State() State { return c.state }

// Report describes the load at a time.
func (c *Controller) Report(now policy.Micros) Report {
	r := c.summarize(now)
	if c.settings.Mode == ModeReserve {
		r.Reservations = c.reservations.countAfter(now)
	}
	return r
}

// summarize is the report without the count of reservations, which takes a pass over the table.
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

// overloaded reports whether demand exceeds capacity and there is a sign of a storm. An object that is most of the demand is left out of
// it: it loads its home cache alone, which has a concurrency limit of its own.
func (c *Controller) overloaded(now policy.Micros) bool {
	r := c.summarize(now)
	switch {
	case r.Demand <= c.settings.DemandThreshold:
		return false
	case r.Requests >= minRequests && float64(r.Retries) > c.settings.RetryShare*float64(r.Requests):
		return true
	case float64(r.NewConnections) > c.settings.ConnectionSurge*(recentWindows*c.usualConnections+2):
		return true
	}
	return r.WarmShare < c.settings.ColdThreshold
}

// changeState moves a storm on after a window.
func (c *Controller) changeState(now policy.Micros) {
	r := c.summarize(now)
	if c.windowsBelow++; r.Demand > 1 {
		c.windowsBelow = 0
	}
	switch overloaded := c.overloaded(now); {
	case c.state == Draining && overloaded:
		c.enter(now, Rising)
	case c.state == Draining && c.windowsBelow >= c.settings.Windows && !c.hasReservationsAhead():
		c.enter(now, Calm)
	case c.state == Rising && c.current-c.enteredAt >= risingWindows:
		c.enter(now, Held)
	case c.state == Held && c.windowsBelow >= c.settings.Windows:
		c.enter(now, Draining)
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

// enter changes the state and tells the listener.
func (c *Controller) enter(now policy.Micros, state State) {
	if c.state == state {
		return
	}
	c.state, c.enteredAt, c.windowsBelow = state, c.current, 0
	if c.onChange != nil {
		c.onChange(now, c.Report(now))
	}
}
