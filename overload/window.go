package overload

import "tallyproxy/policy"

const (
	recentWindows       = 5   // windows over which demand is summed, including the current one
	meanWindows         = 100 // windows over which slow running means are taken
	riseWindows         = 20  // windows over which the forecast of first attempts follows a rise
	fallWindows         = 4   // the same for a fall; fewer, to not project a burst
	sketchHalvingCycles = 8   // horizons after which the counts of early retries are halved

	wastedShareLimit  = 0.2 // rejected or late share of admitted retries that cuts the factor
	capacityDecrease  = 0.8
	capacityIncrease  = 1.1
	minCapacityFactor = 0.125
	maxCapacityFactor = 2.0 // for caches that warm up faster than estimated
)

// window counts the events of one time window. Work is in microseconds of transfer time.
type window struct {
	requestedWork     float64 // of all requests
	firstAttemptWork  float64 // of requests that are not retries
	admittedWork      float64 // of admitted requests
	completedWork     float64 // of successful requests
	redeemedWork      float64 // reserved work of clients that came on time
	admittedRetryWork float64 // of retries admitted during a storm
	wastedRetryWork   float64 // of those that were later rejected or answered late
	reservedAtStart   float64 // work reserved in the window when it began

	requests, retries, earlyRetries, newConnections int
}

func (c *Controller) currentWindow() *window { return &c.recent[c.current%recentWindows] }

// advance closes the windows that have ended by the given time and makes the window of that time
// the current one. On the first call, and after a gap longer than the horizon, it discards all
// windows and ends the storm.
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
		c.heavyObject.halve()
		if c.current%int64(sketchHalvingCycles*c.settings.Windows) == 0 {
			c.earlyRetries.halve()
		}
	}
}

// restart discards the windows, the reserved work and the learned corrections, ends a storm, and
// continues with the window of the given number.
func (c *Controller) restart(now policy.Micros, number int64) {
	c.recent, c.current = [recentWindows]window{}, max(c.current, number)
	clear(c.reservedWork)
	c.heavyObject = heavyHitter{}
	c.keptShare, c.capacityFactor, c.windowsBelow = 1, 1, len(c.reservedWork)
	if c.state != Calm {
		c.setState(now, Calm)
	}
}

// closeWindow updates the learned values from the current window, which has ended. During a storm
// it also updates the state.
func (c *Controller) closeWindow(now policy.Micros) {
	w := c.currentWindow()
	c.peakWork = max(c.peakWork*(1-1.0/meanWindows), w.completedWork)
	if w.firstAttemptWork > c.firstAttemptWork {
		c.firstAttemptWork += (w.firstAttemptWork - c.firstAttemptWork) / riseWindows
	} else {
		c.firstAttemptWork += (w.firstAttemptWork - c.firstAttemptWork) / fallWindows
	}
	if c.state == Calm {
		c.meanConnections += (float64(w.newConnections) - c.meanConnections) / meanWindows
		c.capacityFactor += (1 - c.capacityFactor) / meanWindows
		return
	}
	c.learnFromStorm(w)
	c.updateState(now)
}

// learnFromStorm updates the share of reserved work that is used, and corrects the capacity by the
// results of admitted retries.
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
