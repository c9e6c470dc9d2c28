package rollout

import "tallyproxy/policy"

const (
	initialRestartDelay = policy.Second      // first delay; doubled after each restart
	maxRestartDelay     = 64 * policy.Second // longest delay
	stableUptime        = 30 * policy.Second // uptime after which the delay is reset
)

// RestartPolicy decides when to restart a director that exited on its own. It uses an exponential
// backoff, so that a director that cannot run does not use up its machine's time. A director that
// exited after a request to stop stays down. The zero value is ready to use.
type RestartPolicy struct {
	up    bool
	at    policy.Micros // when it was found up, or when its next start is due
	delay policy.Micros
	exits int
}

// ShouldStart reports whether to start the director now. up says whether the director is running,
// and stopRequested whether it exited after a request to stop.
func (p *RestartPolicy) ShouldStart(now policy.Micros, up, stopRequested bool) bool {
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
	case !stopRequested && now >= p.at:
		p.delay = min(2*p.delay, maxRestartDelay)
		p.at = now + p.delay
		return true
	}
	return false
}

// Exits returns how often the director was found down.
func (p *RestartPolicy) Exits() int { return p.exits }
