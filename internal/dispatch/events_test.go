package dispatch

import (
	"testing"

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
