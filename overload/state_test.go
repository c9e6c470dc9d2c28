package overload

import (
	"math/rand/v2"
	"testing"

	"tallyproxy/policy"
)

// TestNoStorm guards against high load that is mistaken for a storm.
func TestNoStorm(t *testing.T) {
	cases := []struct {
		name string
		run  func(sim *simulation, r *rand.Rand)
	}{
		{"load rises to 0.8 of the capacity", func(sim *simulation, r *rand.Rand) {
			for i := 0; sim.now < 160*policy.Second; i++ {
				// The load rises to 0.8 of the capacity.
				rate := 20 + 300*float64(sim.now-100*policy.Second)/float64(60*policy.Second)
				sim.now += policy.Micros(r.ExpFloat64() * float64(policy.Second) / rate)
				sim.controller.ClientConnected(sim.now)
				sim.send(i, request(i, r.IntN(10) == 0))
			}
		}},
		{"one popular object", func(sim *simulation, r *rand.Rand) {
			for i := 0; sim.now < 130*policy.Second; i++ {
				sim.now += policy.Micros(r.ExpFloat64() * float64(policy.Second) / 800)
				a := request(i, i%3 > 0)
				if r.IntN(10) > 0 {
					a.ObjectHash = 42
				}
				sim.send(i, a)
			}
		}},
		{"load above capacity, no sign of a storm", func(sim *simulation, r *rand.Rand) {
			for i := range 20000 {
				sim.now += policy.Second / 700
				if i%20 == 0 {
					sim.controller.ClientConnected(sim.now)
				}
				sim.send(i, request(i, false))
			}
		}},
		{"few requests, all of them retries", func(sim *simulation, r *rand.Rand) {
			for i := range 1000 {
				sim.now += policy.Second / 50
				sim.send(i, request(i, true))
			}
		}},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			storms := 0
			sim := newSimulation(20, func(_ policy.Micros, r Report) {
				if r.State == Rising {
					storms++
				}
			})
			sim.caches.warmUpStart = 0
			for range 300 { // sets the usual number of connections
				sim.now += 10 * ms
				sim.controller.ClientConnected(sim.now)
			}
			x.run(sim, rand.New(rand.NewPCG(1, 2)))
			if storms > 0 {
				t.Errorf("storm detected %d times; last report %+v", storms, sim.controller.Report(sim.now))
			}
		})
	}
}

// TestSecondStorm guards against a storm that is missed while an earlier one drains, and against a
// storm that does not end in a long time without events.
func TestSecondStorm(t *testing.T) {
	var states []State
	sim := newSimulation(20, func(_ policy.Micros, r Report) { states = append(states, r.State) })
	burst := func(firstClient int) {
		for i := range 500 {
			sim.now += ms / 4
			sim.controller.ClientConnected(sim.now)
			sim.send(firstClient+i, request(firstClient+i, false))
		}
	}
	burst(0)
	for sim.controller.State() != Draining && sim.now < 200*policy.Second {
		sim.now += 10 * ms
		sim.controller.ClientConnected(sim.now)
	}
	sim.caches.warmUpStart = sim.now // the caches are cold again
	burst(1000)
	if sim.controller.State() != Rising && sim.controller.State() != Held {
		t.Errorf("state after the second burst: %v, state changes %v", sim.controller.State(), states)
	}
	sim.now += 60 * policy.Second
	if sim.controller.ClientConnected(sim.now); sim.controller.State() != Calm {
		t.Errorf("state after a long time without events: %v", sim.controller.State())
	}
}
