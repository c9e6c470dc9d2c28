package overload

import (
	"tallyproxy/policy"
)

const ms policy.Micros = 1000

// fakeCaches has a capacity that rises linearly from a cold share during the warm-up.
type fakeCaches struct {
	warmCapacity, coldShare float64
	warmUpStart             policy.Micros
	warmUpDuration          policy.Micros
}

func (c *fakeCaches) WarmCapacity() float64 { return c.warmCapacity }
func (c *fakeCaches) Capacity(at policy.Micros) float64 {
	if at >= c.warmUpStart+c.warmUpDuration {
		return c.warmCapacity
	}
	return c.warmCapacity * (c.coldShare + (1-c.coldShare)*float64(max(0, at-c.warmUpStart))/float64(c.warmUpDuration))
}

func newTestController(estimate CapacityEstimate, onChange func(policy.Micros, Report)) *Controller {
	s := DefaultSettings()
	s.Mode = ModeReserve
	return New(s, policy.Second, 7, estimate, onChange)
}

// simulation runs clients against a controller and a plain capacity limit, in simulated time. An
// admitted request succeeds if the caches have capacity in the current time slice, and is rejected
// otherwise.
type simulation struct {
	controller *Controller
	caches     *fakeCaches
	now        policy.Micros
	sliceWork  float64 // work done in the current slice
	slice      policy.Micros
	served     map[int]policy.Micros // by client: when its request succeeded
	retryAt    map[int]policy.Micros // by client: time that it was given for its retry
}

func (s *simulation) send(client int, a *Admission) (served bool, retryAfter policy.Micros) {
	if at := s.now / (10 * ms); at != s.slice {
		s.slice, s.sliceWork = at, 0
	}
	if s.controller.Admit(s.now, a) && s.sliceWork+a.Work <= s.caches.Capacity(s.now)*float64(10*ms) {
		s.sliceWork += a.Work
		s.controller.Completed(s.now, a, false)
		s.served[client] = s.now
		return true, 0
	}
	retryAfter = s.controller.RetryAfter(s.now, a, 250*ms)
	s.retryAt[client] = s.now + retryAfter
	return false, retryAfter
}

func newSimulation(warmCapacity float64, onChange func(policy.Micros, Report)) *simulation {
	caches := &fakeCaches{warmCapacity: warmCapacity, coldShare: 0.2, warmUpStart: 100 * policy.Second, warmUpDuration: 10 * policy.Second}
	return &simulation{controller: newTestController(caches, onChange), caches: caches, now: 100 * policy.Second, served: map[int]policy.Micros{}, retryAt: map[int]policy.Micros{}}
}

func request(client int, isRetry bool) *Admission {
	return &Admission{ClientHash: uint64(client)*7919 + 1, ObjectHash: uint64(client) * 104729, Work: float64(50 * ms), RelativeCost: 1, IsRetry: isRetry}
}
