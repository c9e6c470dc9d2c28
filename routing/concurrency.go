package routing

const (
	initialConcurrency  = 8    // attempts in flight at an edge cache before anything is known of it, of all the zone's directors
	minConcurrency      = 0.1  // what limits fall to at the least
	slowHitRatio        = 0.75 // a hit that takes more of its latency objective is slow
	concurrencyDecrease = 0.3  // share of the limit that a slow attempt takes off
	concurrencyIncrease = 0.25 // what the limit gains by an attempt that took no time
)

// concurrencyLimit is an adaptive limit for what may be in flight somewhere, by additive increase and multiplicative decrease: something
// slow cuts it, something quick raises it while it is in use, so it settles where few are slow, however little of the load one director
// sees. Below 1 the limit is the share of the objects that may be sent, by a hash that all directors share.
type concurrencyLimit struct {
	limit    float64
	floor    float64 // the limit does not fall below it
	inFlight int
}

// Allow reports whether one more may be sent that may use a share of the limit. object is the object's hash as a number from 0 to 1.
func (c *concurrencyLimit) Allow(share, object float64) bool {
	return float64(c.inFlight) < max(1, c.limit)*share && object < c.limit
}

// Observe adapts the limit to something that took a ratio of its latency objective: a ratio above slow cuts the limit by the share
// decrease, by 1 at the most; another raises it by up to increase.
func (c *concurrencyLimit) Observe(ratio, slow, decrease, increase float64) {
	if ratio > slow {
		c.limit = max(minConcurrency, c.floor, c.limit-min(1, c.limit*decrease))
	} else if float64(c.inFlight+1) > c.limit*(1-decrease) {
		c.limit += increase * (1 - ratio/slow)
	}
}
