package dispatch

import (
	"errors"
	"io"
	"testing"

	"tallyproxy/internal/discovery"
	"tallyproxy/policy"
)

// TestRequests guards against incorrect policy calls, upstream messages and answers during the life
// of a request.
func TestRequests(t *testing.T) {
	queue, cancel := policy.Decision{Action: policy.Queue}, policy.Decision{Action: policy.CancelAttempt}
	reject := policy.Decision{Action: policy.Reject, RetryAfter: 250_000}
	sendShort := sendToE1
	sendShort.Timeout = 1000
	cases := []struct {
		name         string
		recheckAfter policy.Micros
		decisions    []policy.Decision
		moreFields   string // additional fields of the client's request
		run          func(*harness)
	}{
		{"succeeded", 0, []policy.Decision{sendToE1}, "", func(h *harness) {
			h.expectAtEndpoint("want a000000000000001 sort=clip,asset=b000000000000001,slice=0,patience=60000,from=p1 0\r\n")
			h.endpointSends("a000000000000001 data n=local 3\r\nxyz\r\n")
			h.expectAnswer("1 200  xyz")
			h.expectCall("done 0 0 1 true")
		}},
		{"unchanged, where the client has no copy", 0, []policy.Decision{sendToE1, reject}, "", func(h *harness) {
			h.expectAtEndpoint("want a000000000000001 ")
			h.endpointSends("a000000000000001 unchanged - 0\r\n\r\n")
			h.expectCall("done 0 5 0 false")
			h.expectAnswer("1 503 later=250 ")
		}},
		{"the client's copy is unchanged", 0, []policy.Decision{sendToE1}, ",mine=4be0c1927d55a6f3", func(h *harness) {
			h.expectAtEndpoint("want a000000000000001 sort=clip,asset=b000000000000001,slice=0,patience=60000,from=p1,seen=4be0c1927d55a6f3 0\r\n")
			h.endpointSends("a000000000000001 unchanged n=expired 0\r\n\r\n")
			h.expectAnswer("1 200 still=1 ")
			h.expectCall("done 0 0 5 true")
		}},
		{"a miss, then rejected", 0, []policy.Decision{sendToE1, reject}, "", func(h *harness) {
			h.expectAtEndpoint("want a000000000000001 ")
			h.endpointSends("a000000000000001 absent n=not_there 0\r\n\r\n")
			h.expectCall("done 0 8 8 false")
			h.expectAnswer("1 503 later=250 ")
		}},
		{"failed, then retried", 0, []policy.Decision{sendToE1, sendToE1}, "", func(h *harness) {
			h.expectAtEndpoint("want a000000000000001 ")
			h.endpointSends("a000000000000001 failed n=far_fault 0\r\n\r\n")
			h.expectCall("done 0 1 10 false")
			h.endpointConn = nil // the retry uses another connection
			h.expectAtEndpoint("want a000000000000001 ")
			h.endpointSends("a000000000000001 data - 0\r\n\r\n")
			h.expectAnswer("1 200  ")
			h.expectCall("done 1 0 0 true")
		}},
		{"queued, then failed", 1000, []policy.Decision{queue, queue, {Action: policy.Fail}}, "", func(h *harness) {
			close(h.policy.recheck)
			h.expectCall("route b000000000000001")
			h.expectCall("route b000000000000001")
			h.expectAnswer("1 500  ")
		}},
		{"cancelled, its endpoint silent", 1000, []policy.Decision{sendToE1, cancel, reject}, "", func(h *harness) {
			h.expectAtEndpoint("want a000000000000001 ")
			close(h.policy.recheck)
			h.expectCall("route b000000000000001")
			h.expectCall("done 0 6 0 false")
			h.expectAnswer("1 503 later=250 ")
		}},
		{"timed out", 0, []policy.Decision{sendShort, reject}, "", func(h *harness) {
			h.expectCall("done 0 3 0 false")
			h.expectAnswer("1 503 later=250 ")
		}},
		{"the client cancels", 0, []policy.Decision{sendToE1}, "", func(h *harness) {
			h.expectAtEndpoint("want a000000000000001 ")
			h.clientSends("NEVERMIND", "1")
			h.expectAtEndpoint("never_mind a000000000000001")
			h.expectCall("done 0 6 0 true")
		}},
		{"the client disconnects", 0, []policy.Decision{sendToE1}, "", func(h *harness) {
			h.expectAtEndpoint("want a000000000000001 ")
			closeAll(h.t, h.client)
			h.expectAtEndpoint("never_mind a000000000000001")
			h.expectCall("done 0 6 0 true")
		}},
		{"an endpoint that is not listed", 0, []policy.Decision{
			{Action: policy.Send, Endpoint: &policy.Endpoint{ID: "e9"}, Source: &policy.Endpoint{ID: "e9"}, Timeout: policy.Second}, reject,
		}, "", func(h *harness) {
			h.expectCall("done 0 9 0 false")
			h.expectAnswer("1 503 later=250 ")
		}},
		{"its endpoint is removed meanwhile", 0, []policy.Decision{sendToE1}, "", func(h *harness) {
			h.expectAtEndpoint("want a000000000000001 ")
			h.updateEndpoint(policy.Removed)
			h.endpointSends("a000000000000001 data n=pulled 3\r\nxyz\r\n")
			h.expectAnswer("1 200  xyz")
			h.expectCall("done 0 0 2 true")
			if _, err := h.endpointInput.ReadByte(); !errors.Is(err, io.EOF) {
				h.t.Errorf("connection to the removed endpoint was not closed: %v", err)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.recheckAfter, c.decisions...)
			h.request("1", c.moreFields)
			h.expectCall("route b000000000000001")
			c.run(h)
		})
	}
}

// TestDuplicateID guards against accepting a request with the ID of a request that is still open at
// a client or an endpoint. It must be refused without asking the policy, regardless of who sends
// it.
func TestDuplicateID(t *testing.T) {
	h := newHarness(t, 0, sendToE1, policy.Decision{}, sendToE1)
	h.request("1", "")
	h.expectCall("route b000000000000001")
	h.expectAtEndpoint("want a000000000000001 ")
	requestSameID := func(tag string) {
		h.clientSends("ASK", tag, "clip", "txn=a000000000000001,limit=60000,item=b000000000000009,n=0,shard=1")
	}
	requestSameID("2")
	h.expectAnswer("2 500  ")
	h.endpointSends("a000000000000001 data - 0\r\n\r\n")
	h.expectAnswer("1 200  ")
	h.expectCall("done 0 0 0 true")
	requestSameID("3")
	h.expectCall("route b000000000000009")
	h.expectAtEndpoint("want a000000000000001 ")
	h.endpointSends("a000000000000001 data - 0\r\n\r\n")
	h.expectAnswer("3 200  ")
	h.expectCall("done 0 0 0 true")
}

// TestPanicEndsOneConnection guards against a panic in a decision that ends more than the
// connection of the request it concerned.
func TestPanicEndsOneConnection(t *testing.T) {
	h := newHarness(t, 0, sendToE1)
	h.router.Apply([]discovery.Event{{Object: "bad", PurgedAt: 1}})
	other := h.newClient()
	write(t, other, message("ASK", "1", "clip", "txn="+panicObject+",limit=60000,item="+panicObject+",n=0,shard=1"))
	if _, err := other.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want io.EOF", err)
	}
	h.request("1", "")
	h.expectCall("route b000000000000001")
	h.expectAtEndpoint("want a000000000000001 ")
	h.endpointSends("a000000000000001 data - 0\r\n\r\n")
	h.expectAnswer("1 200  ")
	h.expectCall("done 0 0 0 true")
}
