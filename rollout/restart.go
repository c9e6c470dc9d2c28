package rollout

import "tallyproxy/policy"

const (
	initialRestartDelay = policy.Second      // doubled after each restart
	maxRestartDelay     = 64 * policy.Second // the longest
	stableUptime        = 30 * policy.Second // after which the delay is the initial one again
)

// RestartPolicy decides when a director that exited by itself is started again, with an exponential backoff so that one that can't run
// does not take its machine's time. One that exited because it was told to stop stays down. The zero value is ready to use.
type RestartPolicy struct {
	up    bool
	at    policy.Micros // when it was found up, or when it is to be started
	delay policy.Micros
	exits int
}

// ShouldStart takes whether the director is up, and whether it was told to stop, and reports whether to start it now.
func (p *RestartPolicy) ShouldStart(now policy.Micros, up, toldToStop bool) bool {
	switch {
	case up && !p.up:
		p.up, p.at = true, now
	case up && now-p.at >= stableUptime:
		p.delay = 0
	case up:
	case p.up || p.delay == 0: // it has exited, or was never up
		p.up, p.exits = false, p.exits+1
		p.delay = min(max(initialRestartDelay, 2*p.delay), maxRestartDelay)
		p.at = now + p.delay
	case !toldToStop && now >= p.at:
		p.delay = min(2*p.delay, maxRestartDelay)
		p.at = now + p.delay
		return true
	}
	return false
}

// Exits returns how often the director was found down.
func (p *RestartPolicy) Exits() int { return p.exits }
