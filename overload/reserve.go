package overload

import (
	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// Shares of a window's reservable capacity up to which a slot in it is given, by how the client behaved. Less full windows come first
// for the better behaved.
const (
	fillLimitOnTime  = 0.9  // a retry that came at its time and was rejected nevertheless
	fillLimitRetry   = 0.75 // another retry
	fillLimitEarly   = 0.5  // a retry of a client that keeps coming early
	earlyRetryLimit  = 3    // early retries from which a client keeps coming early
	minCostShare     = 0.5  // of these limits, for the costliest requests
	minKeptShare     = 0.5  // share of reserved work that is expected to come, at the least
	minReservedShare = 0.05 // share of a window's capacity that may be reserved however many first attempts there are
)

// reserve finds the first window with room for the request, records the reservation and returns the time that the client is given. Where
// no window has room, the time is drawn from the later half of the horizon and reserves nothing.
func (c *Controller) reserve(now policy.Micros, a *Admission) policy.Micros {
	share := c.fillLimit(a)
	last := int64((now + c.horizon) / c.windowLength)
	for number := c.current + 1; number < last; number++ {
		begin := policy.Micros(number) * c.windowLength
		if begin < now+c.windowLength/2 { // the client could hardly be back by then
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

// fillLimit is how full a window may be to take the request, as a share of its reservable capacity.
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

// reservedIn is the work that is reserved in a window, the current one or one ahead within the horizon.
func (c *Controller) reservedIn(number int64) *float64 {
	return &c.reservedWork[number%int64(len(c.reservedWork))]
}

// reservable is how much work may be reserved in the window that begins at a time: what first attempts are expected to leave of its
// capacity, and more the more clients don't come back for their slots.
func (c *Controller) reservable(begin policy.Micros) float64 {
	capacity := c.windowCapacity(begin)
	return max(capacity*minReservedShare, capacity-c.firstAttemptWork) * c.settings.ReservableShare / max(minKeptShare, c.keptShare)
}

// windowCapacity is the work that a window can do at a time, in microseconds of sending time, corrected by what was learned.
func (c *Controller) windowCapacity(at policy.Micros) float64 {
	return c.capacity(at) * float64(c.windowLength) * c.capacityFactor
}

// capacity is the estimate of the capacity at a time, in transfers at full pace; where there is none, what was done lately at the best.
func (c *Controller) capacity(at policy.Micros) float64 {
	if capacity := c.estimate.Capacity(at); capacity > 0 {
		return capacity
	}
	return c.bestWork / float64(c.windowLength)
}

// reservationID is a hash of client and object. It is never 0, which marks a free entry of the table.
func reservationID(a *Admission) uint64 {
	return hash.Finalize(hash.Finalize(a.ClientHash)^a.ObjectHash) | 1
}
