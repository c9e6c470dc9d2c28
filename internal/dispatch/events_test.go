package dispatch

import (
	"fmt"
	"testing"
	"time"

	"tallyproxy/internal/discovery"
	"tallyproxy/policy"
)

// TestEvents guards against purges that do not reach the policy, and against requests sent over the
// connection of a process that has been restarted.
func TestEvents(t *testing.T) {
	h := newHarness(t, 0, sendToE1, sendToE1)
	h.router.Apply([]discovery.Event{{Object: "o", Group: -1, PurgedAt: 5}, {}, {Group: 3, PurgedAt: 6}})
	h.expectCall("purge o -1 5")
	h.expectCall("purge  3 6")
	h.request("1", "")
	h.expectCall("route b000000000000001")
	h.expectAtEndpoint("want a000000000000001 ")
	// The same name and address with another start time is a new process: later requests use a new
	// connection.
	h.router.Apply([]discovery.Event{{HasEndpoints: true, Endpoints: []discovery.Endpoint{
		{Endpoint: policy.Endpoint{ID: "e1", Started: 7}, Address: h.endpoint.Addr().String()},
	}}})
	h.expectCall("endpoints 1 false")
	earlierProcess := h.endpointConn
	h.endpointConn = nil
	h.request("2", "")
	h.expectCall("route b000000000000002")
	h.expectAtEndpoint("want a000000000000002 ")
	h.endpointSends("a000000000000002 data - 0\r\n\r\n")
	h.expectAnswer("2 200  ")
	h.expectCall("done 0 0 0 true")
	write(t, earlierProcess, "a000000000000001 data - 0\r\n\r\n")
	h.expectAnswer("1 200  ")
}

// TestAddressTaken guards against sending requests for an endpoint that has gone to a process of
// another name that came up at its address, while the list has not told yet that the first has gone.
func TestAddressTaken(t *testing.T) {
	const elsewhere = "127.0.0.1:1"
	entry := func(id, address string, started policy.Micros) discovery.Endpoint {
		return discovery.Endpoint{Endpoint: policy.Endpoint{ID: id, Started: started}, Address: address}
	}
	for _, c := range []struct {
		name     string
		complete bool
		entries  func(address string) []discovery.Endpoint
		call     string
		taken    bool
	}{
		{"a change", false, func(a string) []discovery.Endpoint { return []discovery.Endpoint{entry("e2", a, 5)} }, "endpoints 2 false", true},
		{"a change of another address", false, func(string) []discovery.Endpoint {
			return []discovery.Endpoint{entry("e2", elsewhere, 5)}
		}, "endpoints 1 false", false},
		{"a complete list", true, func(a string) []discovery.Endpoint {
			return []discovery.Endpoint{entry("e2", a, 5), entry("e1", a, 0), entry("e3", elsewhere, 0)}
		}, "endpoints 3 true", true},
		{"a complete list that does not tell which is later", true, func(a string) []discovery.Endpoint {
			return []discovery.Endpoint{entry("e2", a, 0), entry("e1", a, 0)}
		}, "endpoints 2 true", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 0, sendToE1, policy.Decision{Action: policy.Reject})
			h.router.Apply([]discovery.Event{{HasEndpoints: true, Snapshot: c.complete, Endpoints: c.entries(h.endpoint.Addr().String())}})
			h.expectCall(c.call)
			h.request("1", "")
			h.expectCall("route " + id("o", "1"))
			if c.taken {
				h.expectCall(fmt.Sprint("done 0 ", int(policy.Withdrawn), " 0 false"))
				h.expectAnswer("1 503  ")
				return
			}
			h.expectAtEndpoint("want " + id("t", "1"))
			h.endpointSends(id("t", "1") + " data - 0\r\n\r\n")
			h.expectAnswer("1 200  ")
		})
	}
}

// TestClockSteps guards against a step of the wall clock, while the director runs, that makes a node
// that starts afterwards look as old or as young as the step is large, and lets copies older than a
// purge pass.
func TestClockSteps(t *testing.T) {
	const hour = 3600 * policy.Second
	for _, c := range []struct {
		name         string
		machine      policy.Micros // step of the director's wall clock
		platform     policy.Micros // step of the platform's wall clock
		announced    policy.Micros // AnnouncedWithin of the events
		minAge, want policy.Micros // the age that is given to a start 2 s before, from minAge to want
	}{
		{"none", 0, 0, 0, 2 * policy.Second, 3 * policy.Second},
		{"all clocks back", -hour, -hour, 0, 2 * policy.Second, 3 * policy.Second},
		{"all clocks forward", hour, hour, 0, 0, 3 * policy.Second},
		{"the director's back", -hour, 0, 0, 0, 3 * policy.Second},
		{"the director's forward", hour, 0, 0, 2 * policy.Second, 3 * policy.Second},
		{"the platform's back, polled a second ago", 0, -hour, policy.Second, 0, policy.Second * 3 / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 0)
			h.router.wallClock = func() time.Time { return time.Now().Add(c.machine.Duration()) }
			happened := policy.Micros(time.Now().UnixMicro()) - 2*policy.Second + c.platform
			node := discovery.Endpoint{Endpoint: policy.Endpoint{ID: "e7", Started: happened}, Address: "127.0.0.1:1"}
			h.router.Apply([]discovery.Event{
				{HasEndpoints: true, Endpoints: []discovery.Endpoint{node}, AnnouncedWithin: c.announced},
				{Object: "o", Group: policy.AllGroups, PurgedAt: happened, AnnouncedWithin: c.announced},
			})
			h.expectCall("endpoints 1 false")
			var purgedAt policy.Micros
			if _, err := fmt.Sscanf(receive(t, h.policy.calls), "purge o -1 %d", &purgedAt); err != nil {
				t.Fatal(err)
			}
			now, startedAt := h.router.Now(), h.router.starts["e7"].local
			for name, at := range map[string]policy.Micros{"start": startedAt, "purge": purgedAt} {
				if age := now - at; age < c.minAge || age > c.want {
					t.Errorf("%s: age %v, want %v to %v", name, age.Duration(), c.minAge.Duration(), c.want.Duration())
				}
			}
		})
	}
}
