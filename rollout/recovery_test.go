package rollout

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"tallyproxy/policy"
)

const (
	// maxToolTime is the longest time that a tool takes for a change of one wave (docs/fleet.md).
	// Competing agents must not need longer.
	maxToolTime = 70 * policy.Second
	// maxLateTime is the time after which a schedule of `tallybench fleet` counts as unfinished. It
	// is the limit if messages are delayed by as much as the lease.
	maxLateTime = 600 * policy.Second

	contentionTick = 50 * policy.Second / 1000 // between two ticks of an agent
)

// contentionSeeds returns the number of fleets that are simulated for each case; `make long`
// simulates more.
func contentionSeeds() uint64 {
	if os.Getenv("TALLYPROXY_LONG") != "" {
		return 500
	}
	return 20
}

// timedDelivery is a message or a reply with the time of its arrival.
type timedDelivery struct {
	at policy.Micros
	delivery
}

// contention is a fleet whose tool crashed after all agents had prepared its change. The turns of
// all agents to complete the change come at the same moment, and messages take a random time.
type contention struct {
	*fleet
	random             *rand.Rand
	clock              policy.Micros // simulated time, independent of the agents' clocks
	minDelay, maxDelay policy.Micros
	offsets            map[string]policy.Micros // of each agent's clock from the simulated time
	startTimes         map[string]policy.Micros
	nextTicks          map[string]policy.Micros
	// Agents of the previous version, which wait for Timeouts.Step after each refusal.
	fixedDelay map[string]bool
	deliveries []timedDelivery // in the order of arrival
}

// newContention returns a contention in which all turns come at 20 s.
func newContention(seed uint64, agents int) *contention {
	c := &contention{
		fleet: newFleet(agents), random: rand.New(rand.NewPCG(seed, uint64(agents))), offsets: map[string]policy.Micros{},
		startTimes: map[string]policy.Micros{}, nextTicks: map[string]policy.Micros{}, fixedDelay: map[string]bool{},
	}
	change := c.newChange(fmt.Sprint("c", seed), "x", 1)
	for _, name := range c.names {
		m := c.machines[name]
		m.Handle(c.now, Message{Type: Prepare, Ballot: Ballot{1, "op1"}, Change: change})
		c.store(m)
		m.down = true
		c.startTimes[name] = 10*policy.Second - policy.Micros(m.recovery.rank(change.ID))*DefaultTimeouts().Resend
	}
	return c
}

// act runs an action of an agent at the agent's own time. The messages of the action arrive later.
func (c *contention) act(name string, action func(m *machine)) {
	m := c.machines[name]
	c.now = c.clock + c.offsets[name]
	backoffBefore := m.recovery.backoffUntil
	action(m)
	for len(m.commands) > 0 {
		c.carryOutNext(m)
	}
	if c.fixedDelay[name] && m.recovery.backoffUntil != backoffBefore {
		m.recovery.backoffUntil = c.now + DefaultTimeouts().Step
	}
	for _, d := range c.inFlight {
		at := c.clock + c.minDelay + policy.Micros(c.random.Int64N(int64(c.maxDelay-c.minDelay)+1))
		next, _ := slices.BinarySearchFunc(c.deliveries, at+1, func(x timedDelivery, at policy.Micros) int { return cmp.Compare(x.at, at) })
		c.deliveries = slices.Insert(c.deliveries, next, timedDelivery{at, d})
	}
	c.inFlight = nil
}

// tickAgent starts an agent whose start time has come, or ticks its recovery.
func (c *contention) tickAgent(seed uint64, name string) {
	if c.clock < c.nextTicks[name] || c.clock < c.startTimes[name] {
		return
	}
	if c.machines[name].down {
		c.act(name, func(m *machine) {
			c.boot(name)
			m.recovery.backoff = newRetryBackoff(fmt.Sprint(seed, name), len(c.names), DefaultTimeouts().Step)
		})
	}
	c.act(name, c.tickRecovery)
	c.nextTicks[name] = c.clock + contentionTick
}

// run simulates the contention and returns how long after the turns the last agent was done, or the
// limit.
func (c *contention) run(seed uint64, limit policy.Micros) policy.Micros {
	const turns, step = 20 * policy.Second, policy.Second / 200
	for c.clock = 0; c.clock < turns+limit; c.clock += step {
		for _, name := range c.names {
			c.tickAgent(seed, name)
		}
		for len(c.deliveries) > 0 && c.deliveries[0].at <= c.clock {
			d := c.deliveries[0]
			c.deliveries = c.deliveries[1:]
			c.act(d.to, func(*machine) { c.deliver(d.delivery) })
		}
		if c.clock > turns && c.isFinished() {
			return c.clock - turns
		}
	}
	return limit
}

func (c *contention) isFinished() bool {
	return !slices.ContainsFunc(c.names, func(name string) bool {
		return slices.ContainsFunc(c.machines[name].State.Entries, func(e *Entry) bool { return !e.IsComplete() })
	})
}

// TestRecoveriesAtOneMoment guards against agents whose turns come at the same moment and that
// refuse each other forever because their delays are equal.
func TestRecoveriesAtOneMoment(t *testing.T) {
	lease := DefaultTimeouts().Lease
	clocksApart := func(c *contention) {
		for _, name := range c.names {
			c.offsets[name] = policy.Micros(c.random.Int64N(int64(1000 * policy.Second)))
			c.startTimes[name] += policy.Micros(c.random.Int64N(int64(contentionTick)))
		}
	}
	for _, test := range []struct {
		name               string
		minDelay, maxDelay policy.Micros
		change             func(c *contention) // nil for no change
		limit              policy.Micros
	}{
		{"clocks and messages in step", 10_000, 10_000, nil, maxToolTime},
		{"clocks apart", 1_000, 20_000, clocksApart, maxToolTime},
		{"messages as late as the lease", 0, lease, clocksApart, maxLateTime},
		{"one agent of this version", 10_000, 10_000, func(c *contention) {
			for _, name := range c.names[1:] {
				c.fixedDelay[name] = true
			}
		}, maxToolTime},
		{"half the agents of this version", 10_000, 10_000, func(c *contention) {
			for _, name := range c.names[:len(c.names)/2] {
				c.fixedDelay[name] = true
			}
		}, maxToolTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, agents := range []int{2, 3, 4, 5, 8, 20} {
				var longest policy.Micros
				for seed := range contentionSeeds() {
					c := newContention(seed, agents)
					c.minDelay, c.maxDelay = test.minDelay, test.maxDelay
					if test.change != nil {
						test.change(c)
					}
					elapsed := c.run(seed, test.limit)
					longest = max(longest, elapsed)
					if elapsed >= test.limit {
						t.Errorf("%d agents, seed %d: not finished %v after their turns", agents, seed, test.limit.Duration())
					}
					if c.err != nil {
						t.Errorf("%d agents, seed %d: %v", agents, seed, c.err)
					}
				}
				t.Logf("%d agents: finished at most %v after their turns", agents, longest.Duration())
			}
		})
	}
}
