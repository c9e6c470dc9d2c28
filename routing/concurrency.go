package routing

const (
	// initialConcurrency is the limit of attempts in flight at an edge cache before any are
	// observed. The directors of the zone share it.
	initialConcurrency  = 8
	minConcurrency      = 0.1  // lower bound of all limits
	slowHitRatio        = 0.75 // share of its latency objective above which a hit is slow
	concurrencyDecrease = 0.3  // share by which a slow attempt reduces the limit
	concurrencyIncrease = 0.25 // increase of the limit by an attempt that took no time
)

// concurrencyLimit is an adaptive limit on the number of attempts in flight, controlled by
// additive increase and multiplicative decrease (AIMD). Slow attempts reduce it, and quick
// attempts raise it while it is in use. It therefore settles where few attempts are slow, even if
// this director sees only a small part of the load. A limit below 1 is the share of the objects
// that may be sent, selected by a hash that is the same at all directors.
type concurrencyLimit struct {
	limit    float64
	floor    float64 // lower bound of the limit, in addition to minConcurrency
	inFlight int
}

// Allow reports whether one more attempt may be sent if it may use the given share of the limit.
// unitHash selects the objects that a limit below 1 allows: it is a hash as a number from 0 to 1,
// scaled up if costly objects are to be allowed less often, or 0 to allow every object.
func (c *concurrencyLimit) Allow(share, unitHash float64) bool {
	return float64(c.inFlight) < max(1, c.limit)*share && unitHash < c.limit
}

// Observe adapts the limit to an attempt that took ratio times its latency objective. A ratio
// above slow reduces the limit by the share decrease, but by 1 at most. Any other ratio raises the
// limit by up to increase if most of the limit is in use.
func (c *concurrencyLimit) Observe(ratio, slow, decrease, increase float64) {
	if ratio > slow {
		c.limit = max(minConcurrency, c.floor, c.limit-min(1, c.limit*decrease))
	} else if float64(c.inFlight+1) > c.limit*(1-decrease) {
		c.limit += increase * (1 - ratio/slow)
	}
}
