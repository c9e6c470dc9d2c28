package overload

import (
	"tallyproxy/policy"
)

const ms policy.Micros = 1000

// fakeCaches is a capacity that rises on a straight line from a time on.
type fakeCaches struct {
	full, from float64
	began      policy.Micros
	warm       policy.Micros
}

func (c *fakeCaches) WarmCapacity() float64 { return c.full }
func (c *fakeCaches) Capacity(at policy.Micros) float64 {
	if at >= c.began+c.warm {
		return c.full
	}
	return c.full * (c.from + (1-c.from)*float64(max(0, at-c.began))/float64(c.warm))
}

func newTestController(estimate CapacityEstimate, onChange func(policy.Micros, Report)) *Controller {
	s := DefaultSettings()
	s.Mode = ModeReserve
	return New(s, policy.Second, 7, estimate, onChange)
}

// crowd plays clients against a controller and a plain limit, in simulated time: an admitted request is served where the caches have
// capacity in the current slice of time, else rejected.
type crowd struct {
	controller *Controller
	caches     *fakeCaches
	now        policy.Micros
	spent      float64 // work done in the slice
	slice      policy.Micros
	served     map[int]policy.Micros // by client, when it was served
	retryAt    map[int]policy.Micros // by client, the time that it was given
}

func (c *crowd) try(client int, a *Admission) (served bool, retryAfter policy.Micros) {
	if at := c.now / (10 * ms); at != c.slice {
		c.slice, c.spent = at, 0
	}
	if c.controller.Admit(c.now, a) && c.spent+a.Work <= c.caches.Capacity(c.now)*float64(10*ms) {
		c.spent += a.Work
		c.controller.Completed(c.now, a, false)
		c.served[client] = c.now
		return true, 0
	}
	retryAfter = c.controller.RetryAfter(c.now, a, 250*ms)
	c.retryAt[client] = c.now + retryAfter
	return false, retryAfter
}

func newCrowd(full float64, onChange func(policy.Micros, Report)) *crowd {
	f := &fakeCaches{full: full, from: 0.2, began: 100 * policy.Second, warm: 10 * policy.Second}
	return &crowd{controller: newTestController(f, onChange), caches: f, now: 100 * policy.Second, served: map[int]policy.Micros{}, retryAt: map[int]policy.Micros{}}
}

func request(client int, isRetry bool) *Admission {
	return &Admission{ClientHash: uint64(client)*7919 + 1, ObjectHash: uint64(client) * 104729, Work: float64(50 * ms), RelativeCost: 1, IsRetry: isRetry}
}
