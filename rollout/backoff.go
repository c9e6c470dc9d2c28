package rollout

import (
	"tallyproxy/internal/hash"
	"tallyproxy/internal/random"
	"tallyproxy/policy"
)

// retryBackoff draws how long an agent's Recovery rests after an attempt that was refused. Agents that began at the same moment refuse
// each other and are refused at the same moment; after equal rests they would do so for ever.
//
// A rest is half of Timeouts.Step, in which the attempt of another agent comes to its end, and a part of a window that is drawn from the
// agent's own seed. The window is one Step at first. It doubles with each attempt in a row that was lost to another holder, up to two
// Steps for each agent of the fleet: that leaves each of them the time of one undisturbed attempt. An attempt that failed because too few
// agents answered leaves the window as it is, since nobody competes and the network may be back at any time.
type retryBackoff struct {
	random    random.Generator
	step      policy.Micros
	window    policy.Micros
	maxWindow policy.Micros
}

// newRetryBackoff makes the backoff of an agent of a fleet of so many agents.
func newRetryBackoff(agent string, agents int, step policy.Micros) retryBackoff {
	return retryBackoff{
		random: random.NewMixed(hash.String(agent)), step: step, window: step, maxWindow: 2 * step * policy.Micros(max(1, agents)),
	}
}

// next draws the rest after an attempt that was refused, lost to another holder or not.
func (b *retryBackoff) next(lostToAnother bool) policy.Micros {
	rest := b.step/2 + policy.Micros(b.random.Float64()*float64(b.window))
	if lostToAnother {
		b.window = min(2*b.window, b.maxWindow)
	}
	return rest
}

// reset follows an attempt that was not refused.
func (b *retryBackoff) reset() { b.window = b.step }
