package overload

import (
	"fmt"
	"slices"
	"testing"

	"tallyproxy/policy"
)

// TestReservationsMeetCapacity: clients that heed their time find capacity. Of those with a reserved slot nearly all are served in it,
// and no window gets more than the caches can do.
func TestReservationsMeetCapacity(t *testing.T) {
	var states []State
	c := newCrowd(20, func(_ policy.Micros, r Report) { states = append(states, r.State) })
	type arrival struct {
		at     policy.Micros
		client int
	}
	var queue []arrival
	for i := range 400 {
		c.now = 100*policy.Second + policy.Micros(i)*250
		c.controller.ClientConnected(c.now)
		if ok, retryAfter := c.try(i, request(i, false)); !ok {
			queue = append(queue, arrival{c.now + retryAfter, i})
		}
	}
	onTime, served := 0, 0
	for len(queue) > 0 && c.now < 130*policy.Second {
		next := slices.MinFunc(queue, func(a, b arrival) int { return int(a.at - b.at) })
		queue = slices.DeleteFunc(queue, func(x arrival) bool { return x == next })
		c.now = max(c.now, next.at) + ms
		a := request(next.client, true)
		ok, retryAfter := c.try(next.client, a)
		if a.OnTime() {
			onTime++
			if ok {
				served++
			}
		}
		if !ok {
			queue = append(queue, arrival{c.now + retryAfter, next.client})
		}
	}
	if len(c.served) != 400 || onTime < 50 || float64(served) < 0.8*float64(onTime) {
		t.Errorf("%d served; %d of %d came at their time and found capacity", len(c.served), served, onTime)
	}
	// the whole of it takes no longer than the caches need, and half as long again
	last := policy.Micros(0)
	for _, at := range c.served {
		last = max(last, at)
	}
	need, done := policy.Micros(0), 0.0
	for at := 100 * policy.Second; done < 400*float64(50*ms); at += ms {
		done += c.caches.Capacity(at) * float64(ms)
		need = at - 100*policy.Second
	}
	if took := last - 100*policy.Second; took > need*3/2+policy.Second {
		t.Errorf("took %d ms where the caches need %d", took/ms, need/ms)
	}
	for at := range 40 {
		c.now += policy.Micros(at) * 20 * ms
		c.controller.ClientConnected(c.now)
	}
	if len(states) < 4 || states[0] != Rising || states[1] != Held || states[len(states)-1] != Calm {
		t.Errorf("went through %v", states)
	}
}

func TestEarlyRetriesKeepTheirSlot(t *testing.T) {
	c := newCrowd(4, nil)
	for i := range 200 {
		c.now += ms
		c.try(i, request(i, false))
	}
	retryAt := c.retryAt[150]
	if retryAt <= c.now {
		t.Fatal("150 was given no time")
	}
	for i := range 20 {
		c.now += ms
		a := request(150, true)
		if ok, retryAfter := c.try(150, a); ok || c.now+retryAfter != retryAt && i < 10 {
			t.Fatalf("early, try %d: served %v, given %d, had %d", i, ok, c.now+retryAfter, retryAt)
		}
		if a.OnTime() {
			t.Fatal("early is not due")
		}
	}
	if n := c.controller.earlyRetries.count(request(150, true).ClientHash); n < earlyRetryLimit {
		t.Errorf("seen early %d times", n)
	}
	if n := c.controller.earlyRetries.count(request(151, true).ClientHash); n >= earlyRetryLimit {
		t.Errorf("one that never came early counts %d", n)
	}
	// early time and again: a place in a window less full than others may have
	if at := c.controller.Report(c.now); at.EarlyRetries == 0 {
		t.Error("the report counts no early retries")
	}
}

// TestTwoDirectorsTogether: directors that see half of the clients each, with half of the capacity each, together reserve no more than
// the caches can do.
func TestTwoDirectorsTogether(t *testing.T) {
	for _, halves := range [][2]int{{500, 500}, {1000, 0}, {900, 100}} {
		t.Run(fmt.Sprint(halves), func(t *testing.T) {
			promised := map[policy.Micros]float64{}
			for _, n := range halves {
				c := newCrowd(10, nil)
				for i := range n {
					c.now = 100*policy.Second + policy.Micros(i)*ms
					if ok, retryAfter := c.try(i, request(i, false)); !ok {
						if p := c.controller.reservations.find(reservationID(request(i, false))); p != nil && p.work > 0 {
							promised[(c.now+retryAfter)/(100*ms)] += float64(p.work)
						}
					}
				}
			}
			f := newCrowd(20, nil).caches
			for window, work := range promised {
				if able := f.Capacity((window+1)*100*ms) * float64(100*ms); work > 1.3*able {
					t.Errorf("%0.f promised for a window that can do %0.f", work, able)
				}
			}
		})
	}
}
