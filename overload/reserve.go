package overload

import (
	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// Limits on how full a window may become by a reservation, as shares of its reservable capacity.
// Clients that behave better have higher limits and therefore get earlier windows.
const (
	fillLimitOnTime  = 0.9  // retry that came on time but was rejected
	fillLimitRetry   = 0.75 // other retry
	fillLimitEarly   = 0.5  // retry of a client that repeatedly comes early
	earlyRetryLimit  = 3    // number of early retries from which a client is repeatedly early
	minCostShare     = 0.5  // lowest share of these limits, for the costliest requests
	minKeptShare     = 0.5  // lowest share of reserved work that is expected to be used
	minReservedShare = 0.05 // share of capacity that may be reserved regardless of first attempts
)

// reserve finds the first window with room for the request, records the reservation and returns its
// time. A window without reservations has room for any request if it has reservable capacity. If no
// window has room, reserve draws a time from the second half of the horizon and reserves no work.
func (c *Controller) reserve(now policy.Micros, a *Admission) policy.Micros {
	share := c.fillLimit(a)
	last := int64((now + c.horizon) / c.windowLength)
	for number := c.current + 1; number < last; number++ {
		begin := policy.Micros(number) * c.windowLength
		if begin < now+c.windowLength/2 { // too soon for the client to return
			continue
		}
		reserved, reservable := c.reservedIn(number), c.reservable(begin)
		if *reserved > 0 && *reserved+a.Work > reservable*share || reservable <= 0 {
			continue
		}
		at := begin + policy.Micros(float64(c.windowLength)*min(1, *reserved/reservable))
		*reserved += a.Work
		c.reservations.put(reservationID(a), reservation{at: at, work: float32(a.Work)})
		return at
	}
	at := now + c.horizon/2 + policy.Micros(c.random.Float64()*float64(c.horizon/2))
	c.reservations.put(reservationID(a), reservation{at: at})
	return at
}

// fillLimit returns how full a window may become by the request, as a share of its reservable
// capacity.
func (c *Controller) fillLimit(a *Admission) float64 {
	share := min(1, max(minCostShare, 1/max(a.RelativeCost, 1e-9)))
	switch {
	case a.onTime:
		share *= fillLimitOnTime
	case a.IsRetry && c.earlyRetries.count(a.ClientHash) >= earlyRetryLimit:
		share *= fillLimitEarly
	case a.IsRetry:
		share *= fillLimitRetry
	}
	return share
}

// reservedIn returns a pointer to the reserved work of a window, which must be the current one or
// one ahead within the horizon.
func (c *Controller) reservedIn(number int64) *float64 {
	return &c.reservedWork[number%int64(len(c.reservedWork))]
}

// reservable returns how much work may be reserved in the window that begins at the given time: the
// capacity that first attempts are expected to leave, and more if fewer clients return for their
// slots.
func (c *Controller) reservable(begin policy.Micros) float64 {
	capacity := c.windowCapacity(begin)
	return max(capacity*minReservedShare, capacity-c.firstAttemptWork) * c.settings.ReservableShare / max(minKeptShare, c.keptShare)
}

// windowCapacity returns the work that can be done in a window at the given time, in microseconds
// of transfer time. It applies the learned correction.
func (c *Controller) windowCapacity(at policy.Micros) float64 {
	return c.capacity(at) * float64(c.windowLength) * c.capacityFactor
}

// capacity returns the estimated capacity at the given time, as a number of concurrent transfers at
// full rate. If there is no estimate, it returns the recent peak of completed work instead.
func (c *Controller) capacity(at policy.Micros) float64 {
	if capacity := c.estimate.Capacity(at); capacity > 0 {
		return capacity
	}
	return c.peakWork / float64(c.windowLength)
}

// reservationID returns a hash of client and object. It is never 0, which marks a free entry of the
// table.
func reservationID(a *Admission) uint64 {
	return hash.Finalize(hash.Finalize(a.ClientHash)^a.ObjectHash) | 1
}
