package overload

import "tallyproxy/policy"

const (
	recentWindows    = 5   // windows over which demand is summed, the current one too
	usualWindows     = 100 // windows over which slow running means look back
	riseWindows      = 20  // windows over which the forecast of first attempts follows a rise
	fallWindows      = 4   // windows over which it follows a fall: a burst is not taken for what comes after it
	sketchFadeCycles = 8   // horizons after which the counts of early retries are halved

	wastedShareLimit  = 0.2 // share of admitted retries that were rejected or late, above which the capacity factor is cut
	capacityDecrease  = 0.8
	capacityIncrease  = 1.1
	minCapacityFactor = 0.125
	maxCapacityFactor = 2.0 // for caches that warm up sooner than their estimate
)

// window counts the events of one window of time. Work is in microseconds of sending time.
type window struct {
	requestedWork     float64 // of all requests
	firstAttemptWork  float64 // of requests that are no retries
	admittedWork      float64 // of requests that were admitted
	completedWork     float64 // of requests that succeeded
	redeemedWork      float64 // reserved work whose clients came at their time
	admittedRetryWork float64 // of retries that were admitted during a storm
	wastedRetryWork   float64 // of those that were rejected later or answered late
	reservedAtStart   float64 // work that was reserved in the window when it began

	requests, retries, earlyRetries, newConnections int
}

func (c *Controller) currentWindow() *window { return &c.recent[c.current%recentWindows] }

// advance closes the windows that have passed by a time and makes the time's own window the current one. After a gap longer than the
// horizon, and at the first call, it forgets all windows and the storm.
func (c *Controller) advance(now policy.Micros) {
	target := int64(now / c.windowLength)
	if c.current == 0 || target-c.current > int64(len(c.reservedWork))+recentWindows {
		c.restart(now, target)
		return
	}
	for c.current < target {
		c.closeWindow(now)
		*c.reservedIn(c.current) = 0
		c.current++
		c.recent[c.current%recentWindows] = window{reservedAtStart: *c.reservedIn(c.current)}
		c.heavyObject.fade()
		if c.current%int64(sketchFadeCycles*c.settings.Windows) == 0 {
			c.earlyRetries.fade()
		}
	}
}

// restart begins anew with the window of the given number.
func (c *Controller) restart(now policy.Micros, number int64) {
	c.recent, c.current = [recentWindows]window{}, max(c.current, number)
	clear(c.reservedWork)
	c.heavyObject = heavyHitter{}
	c.keptShare, c.capacityFactor, c.windowsBelow = 1, 1, len(c.reservedWork)
	if c.state != Calm {
		c.enter(now, Calm)
	}
}

// closeWindow learns from the current window, whose time has passed, and changes the state where that is due.
func (c *Controller) closeWindow(now policy.Micros) {
	w := c.currentWindow()
	c.bestWork = max(c.bestWork*(1-1.0/usualWindows), w.completedWork)
	if w.firstAttemptWork > c.firstAttemptWork {
		c.firstAttemptWork += (w.firstAttemptWork - c.firstAttemptWork) / riseWindows
	} else {
		c.firstAttemptWork += (w.firstAttemptWork - c.firstAttemptWork) / fallWindows
	}
	if c.state == Calm {
		c.usualConnections += (float64(w.newConnections) - c.usualConnections) / usualWindows
		c.capacityFactor += (1 - c.capacityFactor) / usualWindows
		return
	}
	c.learnFromStorm(w)
	c.changeState(now)
}

// learnFromStorm corrects the share of reservations that are kept, and the capacity by what became of the admitted retries.
func (c *Controller) learnFromStorm(w *window) {
	if w.reservedAtStart > 0 {
		c.keptShare += (min(1, w.redeemedWork/w.reservedAtStart) - c.keptShare) / recentWindows
	}
	if w.wastedRetryWork > wastedShareLimit*w.admittedRetryWork {
		c.capacityFactor = max(minCapacityFactor, c.capacityFactor*capacityDecrease)
	} else if w.completedWork > 0 {
		c.capacityFactor = min(maxCapacityFactor, c.capacityFactor*capacityIncrease)
	}
}
