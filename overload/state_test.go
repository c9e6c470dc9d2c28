package overload

import (
	"math/rand/v2"
	"testing"

	"tallyproxy/policy"
)

func TestNoStorm(t *testing.T) {
	cases := []struct {
		name string
		play func(c *crowd, r *rand.Rand)
	}{
		{"a busy morning", func(c *crowd, r *rand.Rand) {
			for i := 0; c.now < 160*policy.Second; i++ {
				rate := 20 + 300*float64(c.now-100*policy.Second)/float64(60*policy.Second) // up to 0.8 of what can be done
				c.now += policy.Micros(r.ExpFloat64() * float64(policy.Second) / rate)
				c.controller.ClientConnected(c.now)
				c.try(i, request(i, r.IntN(10) == 0))
			}
		}},
		{"one popular object", func(c *crowd, r *rand.Rand) {
			for i := 0; c.now < 130*policy.Second; i++ {
				c.now += policy.Micros(r.ExpFloat64() * float64(policy.Second) / 800)
				a := request(i, i%3 > 0)
				if r.IntN(10) > 0 {
					a.ObjectHash = 42
				}
				c.try(i, a)
			}
		}},
		{"more than can be done, no sign of a storm", func(c *crowd, r *rand.Rand) {
			for i := range 20000 {
				c.now += policy.Second / 700
				if i%20 == 0 {
					c.controller.ClientConnected(c.now)
				}
				c.try(i, request(i, false))
			}
		}},
		{"few clients, all repeat", func(c *crowd, r *rand.Rand) {
			for i := range 1000 {
				c.now += policy.Second / 50
				c.try(i, request(i, true))
			}
		}},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			rose := 0
			c := newCrowd(20, func(_ policy.Micros, r Report) {
				if r.State == Rising {
					rose++
				}
			})
			c.caches.began = 0
			for range 300 { // what is usual
				c.now += 10 * ms
				c.controller.ClientConnected(c.now)
			}
			x.play(c, rand.New(rand.NewPCG(1, 2)))
			if rose > 0 {
				t.Errorf("taken for a storm %d times; at the end %+v", rose, c.controller.Report(c.now))
			}
		})
	}
}

func TestSecondStorm(t *testing.T) {
	var states []State
	c := newCrowd(20, func(_ policy.Micros, r Report) { states = append(states, r.State) })
	burst := func(from int) {
		for i := range 500 {
			c.now += ms / 4
			c.controller.ClientConnected(c.now)
			c.try(from+i, request(from+i, false))
		}
	}
	burst(0)
	for c.controller.State() != Draining && c.now < 200*policy.Second {
		c.now += 10 * ms
		c.controller.ClientConnected(c.now)
	}
	c.caches.began = c.now // the power goes again
	burst(1000)
	if c.controller.State() != Rising && c.controller.State() != Held {
		t.Errorf("after the second: %v, through %v", c.controller.State(), states)
	}
	c.now += 60 * policy.Second
	if c.controller.ClientConnected(c.now); c.controller.State() != Calm {
		t.Errorf("after a long silence: %v", c.controller.State())
	}
}
