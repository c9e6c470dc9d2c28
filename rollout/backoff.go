package rollout

import (
	"tallyproxy/internal/hash"
	"tallyproxy/internal/random"
	"tallyproxy/policy"
)

// retryBackoff computes how long an agent's Recovery waits after an attempt that was refused.
// Agents that start at the same moment refuse each other and are refused at the same moment; with
// equal delays, they would repeat that forever.
//
// A delay is half of Timeouts.Step, in which the attempt of another agent can finish, plus a random
// part of a window, drawn with the agent's own seed. The window is one Step at first. It doubles
// with each consecutive attempt that was lost to another holder, up to two Steps for each agent of
// the fleet, which leaves each agent enough time for one undisturbed attempt. An attempt that
// failed because too few agents answered does not change the window, because no agent competes and
// the network may recover at any time.
type retryBackoff struct {
	random    random.Generator
	step      policy.Micros
	window    policy.Micros
	maxWindow policy.Micros
}

// newRetryBackoff returns the backoff of an agent in a fleet with the given number of agents.
func newRetryBackoff(agent string, agents int, step policy.Micros) retryBackoff {
	return retryBackoff{
		random: random.NewMixed(hash.String(agent)), step: step, window: step, maxWindow: 2 * step * policy.Micros(max(1, agents)),
	}
}

// next returns the delay after a refused attempt. lostToAnother says whether the attempt was lost
// to another holder.
func (b *retryBackoff) next(lostToAnother bool) policy.Micros {
	delay := b.step/2 + policy.Micros(b.random.Float64()*float64(b.window))
	if lostToAnother {
		b.window = min(2*b.window, b.maxWindow)
	}
	return delay
}

// reset restores the first window after an attempt that was not refused.
func (b *retryBackoff) reset() { b.window = b.step }
