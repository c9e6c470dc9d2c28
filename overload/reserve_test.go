package overload

import (
	"fmt"
	"slices"
	"testing"

	"tallyproxy/policy"
)

// TestReservationsMeetCapacity guards against slots without capacity: clients that follow their
// retry-after time must nearly all succeed in their reserved slot.
func TestReservationsMeetCapacity(t *testing.T) {
	var states []State
	sim := newSimulation(20, func(_ policy.Micros, r Report) { states = append(states, r.State) })
	type arrival struct {
		at     policy.Micros
		client int
	}
	var queue []arrival
	for i := range 400 {
		sim.now = 100*policy.Second + policy.Micros(i)*250
		sim.controller.ClientConnected(sim.now)
		if ok, retryAfter := sim.send(i, request(i, false)); !ok {
			queue = append(queue, arrival{sim.now + retryAfter, i})
		}
	}
	onTime, served := 0, 0
	for len(queue) > 0 && sim.now < 130*policy.Second {
		next := slices.MinFunc(queue, func(a, b arrival) int { return int(a.at - b.at) })
		queue = slices.DeleteFunc(queue, func(x arrival) bool { return x == next })
		sim.now = max(sim.now, next.at) + ms
		a := request(next.client, true)
		ok, retryAfter := sim.send(next.client, a)
		if a.OnTime() {
			onTime++
			if ok {
				served++
			}
		}
		if !ok {
			queue = append(queue, arrival{sim.now + retryAfter, next.client})
		}
	}
	if len(sim.served) != 400 || onTime < 50 || float64(served) < 0.8*float64(onTime) {
		t.Errorf("%d clients served; %d of %d that came on time found capacity", len(sim.served), served, onTime)
	}
	// All clients must be served in 1.5 times the time that the caches need, plus one second.
	last := policy.Micros(0)
	for _, at := range sim.served {
		last = max(last, at)
	}
	need, done := policy.Micros(0), 0.0
	for at := 100 * policy.Second; done < 400*float64(50*ms); at += ms {
		done += sim.caches.Capacity(at) * float64(ms)
		need = at - 100*policy.Second
	}
	if took := last - 100*policy.Second; took > need*3/2+policy.Second {
		t.Errorf("took %d ms, the caches need %d ms", took/ms, need/ms)
	}
	for at := range 40 {
		sim.now += policy.Micros(at) * 20 * ms
		sim.controller.ClientConnected(sim.now)
	}
	if len(states) < 4 || states[0] != Rising || states[1] != Held || states[len(states)-1] != Calm {
		t.Errorf("state changes %v", states)
	}
}

// TestEarlyRetriesKeepTheirSlot guards against early retries that succeed, get another slot, or are
// not counted.
func TestEarlyRetriesKeepTheirSlot(t *testing.T) {
	sim := newSimulation(4, nil)
	for i := range 200 {
		sim.now += ms
		sim.send(i, request(i, false))
	}
	retryAt := sim.retryAt[150]
	if retryAt <= sim.now {
		t.Fatal("client 150 was given no time")
	}
	for i := range 20 {
		sim.now += ms
		a := request(150, true)
		if ok, retryAfter := sim.send(150, a); ok || sim.now+retryAfter != retryAt && i < 10 {
			t.Fatalf("early retry %d: succeeded %v, retry at %d, want %d", i, ok, sim.now+retryAfter, retryAt)
		}
		if a.OnTime() {
			t.Fatal("an early retry counts as on time")
		}
	}
	if n := sim.controller.earlyRetries.count(request(150, true).ClientHash); n < earlyRetryLimit {
		t.Errorf("%d early retries counted", n)
	}
	if n := sim.controller.earlyRetries.count(request(151, true).ClientHash); n >= earlyRetryLimit {
		t.Errorf("%d early retries counted for a client that never came early", n)
	}
	// Early retries must be counted: a repeatedly early client gets a slot only in less full
	// windows.
	if at := sim.controller.Report(sim.now); at.EarlyRetries == 0 {
		t.Error("the report counts no early retries")
	}
}

// TestTwoDirectorsTogether guards against two directors, each with half of the capacity and a part
// of the clients, that together reserve more than the caches can do.
func TestTwoDirectorsTogether(t *testing.T) {
	for _, halves := range [][2]int{{500, 500}, {1000, 0}, {900, 100}} {
		t.Run(fmt.Sprint(halves), func(t *testing.T) {
			reserved := map[policy.Micros]float64{}
			for _, n := range halves {
				sim := newSimulation(10, nil)
				for i := range n {
					sim.now = 100*policy.Second + policy.Micros(i)*ms
					if ok, retryAfter := sim.send(i, request(i, false)); !ok {
						if entry := sim.controller.reservations.find(reservationID(request(i, false))); entry != nil && entry.work > 0 {
							reserved[(sim.now+retryAfter)/(100*ms)] += float64(entry.work)
						}
					}
				}
			}
			caches := newSimulation(20, nil).caches
			for window, work := range reserved {
				if capacity := caches.Capacity((window+1)*100*ms) * float64(100*ms); work > 1.3*capacity {
					t.Errorf("%0.f reserved in a window with a capacity of %0.f", work, capacity)
				}
			}
		})
	}
}
