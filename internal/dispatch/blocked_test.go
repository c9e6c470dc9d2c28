package dispatch

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"tallyproxy/policy"
)

// cancelAndStatus cancels request 1 and sends a STATUS command, which is answered once the
// cancellation has been read.
var cancelAndStatus = message("NEVERMIND", "1") + message("STATUS", "2")

// leaveDelay is the time in which a client's end reaches the socket of the server.
const leaveDelay = 20 * time.Millisecond

// departure is a way in which a client stops waiting for its request.
type departure struct {
	name string
	do   func(h *harness, client net.Conn)
}

// closedUnread is a departure that the connection's reader has had no time to notice.
var closedUnread = departure{"closed, and its reader has not run", func(h *harness, client net.Conn) {
	h.clientReads.Lock()
	h.t.Cleanup(h.clientReads.Unlock)
	closeAll(h.t, client)
	time.Sleep(leaveDelay)
}}

// closedBehindInput is a departure behind input that the connection's reader has not read.
var closedBehindInput = departure{"closed behind input that was not read", func(h *harness, client net.Conn) {
	h.clientReads.Lock()
	h.t.Cleanup(h.clientReads.Unlock)
	write(h.t, client, message("STATUS", "7"))
	time.Sleep(leaveDelay) // the reader has taken this from the socket, and waits
	write(h.t, client, message("STATUS", "8"))
	closeAll(h.t, client)
	time.Sleep(leaveDelay)
}}

// departures lists the ways in which a client stops waiting for its request.
var departures = []departure{
	{"closed", func(h *harness, client net.Conn) {
		closeAll(h.t, client)
		h.awaitConnections(1)
	}},
	{"cancelled", func(h *harness, client net.Conn) {
		write(h.t, client, cancelAndStatus)
		h.expectAnswerStart(client)
	}},
}

// TestNothingWrittenForLeftClients guards against writing a first attempt or a retry for a client
// that has left, while the call that reports this waits behind others in the shard's queue, or while
// the reader that would notice waits for a processor.
func TestNothingWrittenForLeftClients(t *testing.T) {
	for _, departure := range append(slices.Clone(departures), closedUnread, closedBehindInput) {
		t.Run("a first attempt, "+departure.name, func(t *testing.T) {
			h, p := newBlockingHarness(t)
			client := h.newClient()
			h.requestFrom(client, "1")
			receive(t, p.routing)
			h.request("2", "") // the shard blocks on this next, before it processes the departure
			h.awaitCallForShard()
			departure.do(h, client)
			p.decide <- sendToE1
			if got := receive(t, p.routing); got != id("o", "2") {
				t.Fatalf("Route blocks for %s", got)
			}
			h.awaitCallForShard()
			p.decide <- sendToE1
			h.expectAtEndpoint("want " + id("t", "2"))
			h.endpointSends(id("t", "2") + " data - 0\r\n\r\n")
			h.expectAnswer("2 200  ")
		})
		t.Run("a retry, "+departure.name, func(t *testing.T) {
			h, p := newBlockingHarness(t)
			p.afterDone = func() policy.Decision { return sendToE1 }
			client := h.newClient()
			h.requestFrom(client, "1")
			receive(t, p.routing)
			p.decide <- sendToE1
			h.expectAtEndpoint("want " + id("t", "1"))
			h.request("2", "")
			receive(t, p.routing)
			// processed once the shard continues
			h.endpointSends(id("t", "1") + " failed - 0\r\n\r\n")
			h.awaitCallForShard()
			h.request("3", "") // the shard blocks again on this
			h.awaitClientRead()
			departure.do(h, client)
			p.decide <- policy.Decision{Action: policy.Fail}
			h.expectAnswer("2 500  ")
			if got := receive(t, p.routing); got != id("o", "3") {
				t.Fatalf("Route blocks for %s", got)
			}
			// before the shard processes the departure
			if outcome := receive(t, p.outcomes); !outcome.Final {
				t.Errorf("request is not final after %+v", outcome)
			}
			p.decide <- sendToE1
			h.expectAtEndpoint("want " + id("t", "3"))
			h.endpointSends(id("t", "3") + " data - 0\r\n\r\n")
			h.expectAnswer("3 200  ")
		})
	}
}

// TestNothingWrittenTooLate guards against writing an attempt after the time at which it may start
// at the latest. The policy must decide again instead.
func TestNothingWrittenTooLate(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			h, p := newBlockingHarness(t)
			p.notAfter = func(now policy.Micros) policy.Micros {
				if late {
					return now
				}
				return now + 60*policy.Second
			}
			h.request("1", "")
			receive(t, p.routing)
			p.decide <- sendToE1
			if !late {
				h.expectAtEndpoint("want " + id("t", "1"))
				h.endpointSends(id("t", "1") + " data - 0\r\n\r\n")
				h.expectAnswer("1 200  ")
				return
			}
			if outcome := receive(t, p.outcomes); outcome.Result != policy.Withdrawn {
				t.Errorf("attempt ended with result %d", outcome.Result)
			}
			h.expectAnswer("1 503  ")
			h.request("2", "")
			receive(t, p.routing)
			p.notAfter = nil
			p.decide <- sendToE1
			h.expectAtEndpoint("want " + id("t", "2"))
			h.endpointSends(id("t", "2") + " data - 0\r\n\r\n")
			h.expectAnswer("2 200  ")
		})
	}
}

// TestFullShard guards against requests that wait for a shard with a full queue instead of being
// rejected at once, and against disconnects that are not detected meanwhile.
func TestFullShard(t *testing.T) {
	h, p := newBlockingHarness(t)
	client := h.newClient()
	for deadline := time.Now().Add(testTimeout); h.server.ConnCount() < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	h.request("1", "")
	receive(t, p.routing)
	for range queueLimit {
		h.router.Shards()[0].calls.PutUnbounded(func() {})
	}
	h.request("2", "")
	h.expectAnswer("2 503  ")
	h.requestFrom(client, "3")
	h.expectAnswerStart(client)
	closeAll(t, client)
	h.awaitConnections(1)
	p.decide <- policy.Decision{Action: policy.Fail}
	h.expectAnswer("1 500  ")
	if len(p.routing) != 0 {
		t.Errorf("the policy was asked about %s", <-p.routing)
	}
}

// TestDrainBy guards against open or new requests that outlast the drain deadline. The policy
// decides how they end.
func TestDrainBy(t *testing.T) {
	h, p := newBlockingHarness(t)
	h.request("1", "")
	receive(t, p.routing)
	p.decide <- sendToE1
	h.expectAtEndpoint("want " + id("t", "1"))
	h.router.DrainBy(time.Now())
	if outcome := receive(t, p.outcomes); outcome.Result != policy.TimedOut {
		t.Errorf("attempt ended with result %d", outcome.Result)
	}
	h.expectAnswer("1 503  ")
	h.request("2", "")
	receive(t, p.routing)
	for _, s := range h.router.Shards() {
		for _, byTag := range s.requests { // its goroutine is blocked
			for _, req := range byTag {
				if now := h.router.Now(); req.Deadline > now {
					t.Errorf("deadline is %d µs in the future", req.Deadline-now)
				}
			}
		}
	}
	p.decide <- policy.Decision{Action: policy.Reject}
	h.expectAnswer("2 503  ")
}

// TestManyLeaveAtOnce guards against asking the policy about hundreds of clients that have left
// while the shard was behind, and against writing anything for them.
func TestManyLeaveAtOnce(t *testing.T) {
	const count = 300
	h, p := newBlockingHarness(t)
	h.server.SetMaxConns(2 * count)
	var clients []net.Conn
	for range count {
		clients = append(clients, h.newClient())
	}
	waitFor(t, "all clients to be accepted", func() bool { return h.server.ConnCount() > count })
	h.request("1", "")
	receive(t, p.routing)
	for i, client := range clients {
		h.requestFrom(client, fmt.Sprint(1000+i))
	}
	for _, client := range clients {
		closeAll(t, client)
	}
	h.awaitConnections(1)
	p.decide <- policy.Decision{Action: policy.Fail}
	h.expectAnswer("1 500  ")
	h.request("2", "")
	if got := receive(t, p.routing); got != id("o", "2") {
		t.Errorf("the policy was asked about %s", got)
	}
	p.decide <- sendToE1
	h.expectAtEndpoint("want " + id("t", "2"))
	h.endpointSends(id("t", "2") + " data - 0\r\n\r\n")
	h.expectAnswer("2 200  ")
}

// fakeStallMonitor is a stall monitor that reports a stall until its channel is closed.
type fakeStallMonitor struct{ resolved chan struct{} }

func (s fakeStallMonitor) Trusted() bool {
	select {
	case <-s.resolved:
		return true
	default:
		return false
	}
}

func (s fakeStallMonitor) Resolved() <-chan struct{}          { return s.resolved }
func (fakeStallMonitor) StaleBy(read time.Time) time.Duration { return 0 }

// startStall makes the shard's state suspect until the monitor's channel is closed.
func (h *harness) startStall() fakeStallMonitor {
	h.t.Helper()
	monitor, set := fakeStallMonitor{make(chan struct{})}, make(chan struct{})
	// called by the shard itself, since its goroutine reads the monitor
	h.router.Shards()[0].calls.PutUnbounded(func() {
		h.router.SetStallMonitor(monitor)
		close(set)
	})
	<-set
	return monitor
}

// shortRequest sends a request whose client waits for 200 ms.
func (h *harness) shortRequest(tag string) {
	h.t.Helper()
	h.clientSends("ASK", tag, "clip", "txn="+id("t", tag)+",limit=200,item="+id("o", tag)+",n=0,shard=1")
}

// TestDeadlinesDuringStall guards against requests that get no answer at their deadline because the
// shard waits until the director's state is trusted. Those with time left must wait, and then be
// served.
func TestDeadlinesDuringStall(t *testing.T) {
	t.Run("new", func(t *testing.T) {
		h, p := newBlockingHarness(t)
		monitor := h.startStall()
		h.request("1", "")
		h.shortRequest("2")
		if got := receive(t, p.routing); got != id("o", "2") {
			t.Fatalf("the policy was asked about %s", got)
		}
		p.decide <- policy.Decision{Action: policy.Reject}
		h.expectAnswer("2 503  ")
		close(monitor.resolved)
		if got := receive(t, p.routing); got != id("o", "1") {
			t.Fatalf("the policy was asked about %s", got)
		}
		p.decide <- sendToE1
		h.expectAtEndpoint("want " + id("t", "1"))
		h.endpointSends(id("t", "1") + " data - 0\r\n\r\n")
		h.expectAnswer("1 200  ")
	})
	t.Run("sent before", func(t *testing.T) {
		h, p := newBlockingHarness(t)
		p.afterDone = func() policy.Decision { return policy.Decision{Action: policy.Fail} }
		for _, tag := range []string{"1", "2"} {
			decision := sendToE1
			if tag == "1" {
				h.request(tag, "")
			} else {
				decision.Timeout = 200 * policy.Millisecond
				h.shortRequest(tag)
			}
			receive(t, p.routing)
			p.decide <- decision
			h.expectAtEndpoint("want " + id("t", tag))
		}
		monitor := h.startStall()
		h.endpointSends(id("t", "1") + " data - 0\r\n\r\n") // it must not be served yet
		if outcome := receive(t, p.outcomes); outcome.Result != policy.TimedOut {
			t.Errorf("attempt ended with result %s", outcome.Result)
		}
		h.expectAnswer("2 500  ")
		close(monitor.resolved)
		h.expectAnswer("1 200  ")
	})
}

// TestLeavingDuringStall guards against asking the policy about a request whose client left or
// cancelled it while the shard waited for the end of a stall.
func TestLeavingDuringStall(t *testing.T) {
	for _, departure := range departures {
		t.Run(departure.name, func(t *testing.T) {
			h, p := newBlockingHarness(t)
			client := h.newClient()
			monitor := h.startStall()
			h.requestFrom(client, "1")
			departure.do(h, client)
			h.request("2", "")
			h.awaitClientRead()
			close(monitor.resolved)
			if got := receive(t, p.routing); got != id("o", "2") {
				t.Errorf("the policy was asked about %s", got)
			}
			p.decide <- sendToE1
			h.expectAtEndpoint("want " + id("t", "2"))
			h.endpointSends(id("t", "2") + " data - 0\r\n\r\n")
			h.expectAnswer("2 200  ")
		})
	}
}
