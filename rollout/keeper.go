package rollout

import d "tallyproxy/policy"

// How a director that ended is started again.
const (
	keepSoon   = d.Second      // after its end, the first time,
	keepLate   = 64 * d.Second // twice as long each time, up to this,
	keepSteady = 30 * d.Second // until it has run for so long
)

// RestartPolicy decides when a director that ended by itself is started again: soon, and ever later while it goes on ending, so that one
// that can't run does not take its machine's time. One that ended as it was told to, by a signal to stop, stays down.
type RestartPolicy struct {
	up   bool
	at   d.Micros // since it is up, or when it is to be started
	wait d.Micros
	ends int
}

// ShouldStart takes how the director is now, and says whether to start it.
func (k *RestartPolicy) ShouldStart(now d.Micros, up, told bool) (start bool) {
	switch {
	case up && !k.up:
		k.up, k.at = true, now
	case up && now-k.at >= keepSteady:
		k.wait = 0
	case up:
	case k.up || k.wait == 0: // it has ended, or was never there
		k.up, k.ends = false, k.ends+1
		k.wait = min(max(keepSoon, 2*k.wait), keepLate)
		k.at = now + k.wait
	case !told && now >= k.at:
		k.wait = min(2*k.wait, keepLate)
		k.at = now + k.wait
		return true
	}
	return false
}

// Exits is how often it was found down.
func (k *RestartPolicy) Exits() int { return k.ends }
