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
	// maxToolTime is the longest that a tool takes for a change of one wave (docs/fleet.md). Agents that compete are to need no longer.
	maxToolTime = 70 * policy.Second
	// maxLateTime is when a schedule of `tallybench fleet` counts as unended. It holds where messages are as late as the lease.
	maxLateTime = 600 * policy.Second

	contestTick = 50 * policy.Second / 1000 // between two ticks of an agent
)

// contestSeeds is how many fleets of each case are played; `make long` plays more.
func contestSeeds() uint64 {
	if os.Getenv("TALLYPROXY_LONG") != "" {
		return 500
	}
	return 20
}

// timedDelivery is a message or a reply that arrives at a time.
type timedDelivery struct {
	at policy.Micros
	delivery
}

// contest is a fleet whose tool died while all agents held its change prepared. All agents' turns to complete it come at the same moment,
// and messages take a drawn time.
type contest struct {
	*fleet
	random             *rand.Rand
	clock              policy.Micros // the time that no agent's clock shows
	minDelay, maxDelay policy.Micros
	offsets            map[string]policy.Micros // of each agent's clock
	startTimes         map[string]policy.Micros
	nextTicks          map[string]policy.Micros
	fixedRest          map[string]bool // agents of the version before: each refusal is followed by a rest of Timeouts.Step
	deliveries         []timedDelivery // in the order of their arrival
}

// newContest makes a contest in which all turns come at 20 s.
func newContest(seed uint64, agents int) *contest {
	c := &contest{
		fleet: newFleet(agents), random: rand.New(rand.NewPCG(seed, uint64(agents))), offsets: map[string]policy.Micros{},
		startTimes: map[string]policy.Micros{}, nextTicks: map[string]policy.Micros{}, fixedRest: map[string]bool{},
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

// act has an agent do something at its own time. What it sends arrives later.
func (c *contest) act(name string, do func(m *machine)) {
	m := c.machines[name]
	c.now = c.clock + c.offsets[name]
	backoffBefore := m.recovery.backoffUntil
	do(m)
	for len(m.commands) > 0 {
		c.carryOutNext(m)
	}
	if c.fixedRest[name] && m.recovery.backoffUntil != backoffBefore {
		m.recovery.backoffUntil = c.now + DefaultTimeouts().Step
	}
	for _, it := range c.inFlight {
		at := c.clock + c.minDelay + policy.Micros(c.random.Int64N(int64(c.maxDelay-c.minDelay)+1))
		next, _ := slices.BinarySearchFunc(c.deliveries, at+1, func(x timedDelivery, at policy.Micros) int { return cmp.Compare(x.at, at) })
		c.deliveries = slices.Insert(c.deliveries, next, timedDelivery{at, it})
	}
	c.inFlight = nil
}

// tickAgent starts an agent whose time has come, or ticks its recovery.
func (c *contest) tickAgent(seed uint64, name string) {
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
	c.nextTicks[name] = c.clock + contestTick
}

// run plays the contest and returns how long after the turns the last agent was done, or the limit.
func (c *contest) run(seed uint64, limit policy.Micros) policy.Micros {
	const turns, step = 20 * policy.Second, policy.Second / 200
	for c.clock = 0; c.clock < turns+limit; c.clock += step {
		for _, name := range c.names {
			c.tickAgent(seed, name)
		}
		for len(c.deliveries) > 0 && c.deliveries[0].at <= c.clock {
			it := c.deliveries[0]
			c.deliveries = c.deliveries[1:]
			c.act(it.to, func(*machine) { c.deliver(it.delivery) })
		}
		if c.clock > turns && c.isOver() {
			return c.clock - turns
		}
	}
	return limit
}

func (c *contest) isOver() bool {
	return !slices.ContainsFunc(c.names, func(name string) bool {
		return slices.ContainsFunc(c.machines[name].State.Entries, func(e *Entry) bool { return !e.IsComplete() })
	})
}

// Guards against agents whose turns come together and that refuse each other for ever, since they rest for the same time.
func TestRecoveriesAtOneMoment(t *testing.T) {
	lease := DefaultTimeouts().Lease
	clocksApart := func(c *contest) {
		for _, name := range c.names {
			c.offsets[name] = policy.Micros(c.random.Int64N(int64(1000 * policy.Second)))
			c.startTimes[name] += policy.Micros(c.random.Int64N(int64(contestTick)))
		}
	}
	for _, test := range []struct {
		name               string
		minDelay, maxDelay policy.Micros
		change             func(c *contest) // nil for none
		limit              policy.Micros
	}{
		{"clocks and messages in step", 10_000, 10_000, nil, maxToolTime},
		{"clocks apart", 1_000, 20_000, clocksApart, maxToolTime},
		{"messages as late as the lease", 0, lease, clocksApart, maxLateTime},
		{"one agent of this version", 10_000, 10_000, func(c *contest) {
			for _, name := range c.names[1:] {
				c.fixedRest[name] = true
			}
		}, maxToolTime},
		{"half the agents of this version", 10_000, 10_000, func(c *contest) {
			for _, name := range c.names[:len(c.names)/2] {
				c.fixedRest[name] = true
			}
		}, maxToolTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, agents := range []int{2, 3, 4, 5, 8, 20} {
				var longest policy.Micros
				for seed := range contestSeeds() {
					c := newContest(seed, agents)
					c.minDelay, c.maxDelay = test.minDelay, test.maxDelay
					if test.change != nil {
						test.change(c)
					}
					took := c.run(seed, test.limit)
					longest = max(longest, took)
					if took >= test.limit {
						t.Errorf("%d agents, seed %d: not over %v after their turns", agents, seed, test.limit.Duration())
					}
					if c.err != nil {
						t.Errorf("%d agents, seed %d: %v", agents, seed, c.err)
					}
				}
				t.Logf("%d agents: over at most %v after their turns", agents, longest.Duration())
			}
		})
	}
}
