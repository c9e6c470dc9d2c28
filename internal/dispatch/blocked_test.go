package dispatch

import (
	"fmt"
	"net"
	"testing"
	"time"

	"tallyproxy/policy"
)

// cancelAndStatus cancels request 1 and asks for the status, which is answered once the cancellation was read.
var cancelAndStatus = message("NEVERMIND", "1") + message("STATUS", "2")

// leaving lists the ways in which a client stops waiting for its request.
var leaving = []struct {
	name string
	do   func(h *harness, client net.Conn)
}{
	{"closed", func(h *harness, client net.Conn) {
		closeAll(h.t, client)
		h.awaitConnections(1)
	}},
	{"cancelled", func(h *harness, client net.Conn) {
		write(h.t, client, cancelAndStatus)
		h.expectAnswerBegins(client)
	}},
}

// TestNothingWrittenForLeftClients has a client leave while the call that says so waits behind others: nothing that was decided for
// it is written, no first attempt and no retry.
func TestNothingWrittenForLeftClients(t *testing.T) {
	for _, l := range leaving {
		t.Run("a first attempt, "+l.name, func(t *testing.T) {
			h, p := newBlockingHarness(t)
			client := h.newClient()
			h.requestOver(client, "1")
			receive(t, p.routing)
			h.request("2", "") // the shard blocks over this next, before it hears of the leaving
			h.awaitCallForShard()
			l.do(h, client)
			p.decide <- sendToE1
			if got := receive(t, p.routing); got != id("o", "2") {
				t.Fatalf("blocked over %s", got)
			}
			h.awaitCallForShard()
			p.decide <- sendToE1
			h.expectAtEndpoint("want " + id("t", "2"))
			h.endpointSends(id("t", "2") + " data - 0\r\n\r\n")
			h.expectAnswer("2 200  ")
		})
		t.Run("a retry, "+l.name, func(t *testing.T) {
			h, p := newBlockingHarness(t)
			p.afterDone = func() policy.Decision { return sendToE1 }
			client := h.newClient()
			h.requestOver(client, "1")
			receive(t, p.routing)
			p.decide <- sendToE1
			h.expectAtEndpoint("want " + id("t", "1"))
			h.request("2", "")
			receive(t, p.routing)
			h.endpointSends(id("t", "1") + " failed - 0\r\n\r\n") // heard of once the shard goes on
			h.awaitCallForShard()
			h.request("3", "") // and it blocks again behind that
			h.awaitClientRead()
			l.do(h, client)
			p.decide <- policy.Decision{Action: policy.Fail}
			h.expectAnswer("2 500  ")
			if got := receive(t, p.routing); got != id("o", "3") {
				t.Fatalf("blocked over %s", got)
			}
			if outcome := receive(t, p.outcomes); !outcome.Final { // before the shard hears of the leaving
				t.Errorf("it is to go on after %+v", outcome)
			}
			p.decide <- sendToE1
			h.expectAtEndpoint("want " + id("t", "3"))
			h.endpointSends(id("t", "3") + " data - 0\r\n\r\n")
			h.expectAnswer("3 200  ")
		})
	}
}

// TestNothingWrittenTooLate checks that an attempt isn't written once it is too late to begin, however that came; the policy decides
// anew.
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
				t.Errorf("ended as %d", outcome.Result)
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

// TestFullShard checks that requests are turned away at once where a shard is far behind, and that clients are seen to leave all the
// same.
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
	h.requestOver(client, "3")
	h.expectAnswerBegins(client)
	closeAll(t, client)
	h.awaitConnections(1)
	p.decide <- policy.Decision{Action: policy.Fail}
	h.expectAnswer("1 500  ")
	if len(p.routing) != 0 {
		t.Errorf("asked about %s", <-p.routing)
	}
}

// TestDrainBy checks that open requests, and those that still come, end in time by the policy's decisions.
func TestDrainBy(t *testing.T) {
	h, p := newBlockingHarness(t)
	h.request("1", "")
	receive(t, p.routing)
	p.decide <- sendToE1
	h.expectAtEndpoint("want " + id("t", "1"))
	h.router.DrainBy(time.Now())
	if outcome := receive(t, p.outcomes); outcome.Result != policy.TimedOut {
		t.Errorf("ended as %d", outcome.Result)
	}
	h.expectAnswer("1 503  ")
	h.request("2", "")
	receive(t, p.routing)
	for _, s := range h.router.Shards() {
		for _, byTag := range s.requests { // its goroutine is blocked
			for _, req := range byTag {
				if now := h.router.Now(); req.Deadline > now {
					t.Errorf("it may take %d more", req.Deadline-now)
				}
			}
		}
	}
	p.decide <- policy.Decision{Action: policy.Reject}
	h.expectAnswer("2 503  ")
}

// TestManyLeaveAtOnce has hundreds of clients leave while the shard is behind: the policy is asked about none of them, and nothing is
// written.
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
		h.requestOver(client, fmt.Sprint(1000+i))
	}
	for _, client := range clients {
		closeAll(t, client)
	}
	h.awaitConnections(1)
	p.decide <- policy.Decision{Action: policy.Fail}
	h.expectAnswer("1 500  ")
	h.request("2", "")
	if got := receive(t, p.routing); got != id("o", "2") {
		t.Errorf("asked about %s", got)
	}
	p.decide <- sendToE1
	h.expectAtEndpoint("want " + id("t", "2"))
	h.endpointSends(id("t", "2") + " data - 0\r\n\r\n")
	h.expectAnswer("2 200  ")
}

// stalled is a monitor that doesn't trust what the director knows until its channel is closed.
type stalled struct{ resolved chan struct{} }

func (s stalled) Trusted() bool {
	select {
	case <-s.resolved:
		return true
	default:
		return false
	}
}

func (s stalled) Resolved() <-chan struct{}          { return s.resolved }
func (stalled) StaleBy(read time.Time) time.Duration { return 0 }

// TestLeavingDuringStall has a client leave, or cancel, while the shard waits for the end of a stall: the policy isn't asked about it
// afterwards.
func TestLeavingDuringStall(t *testing.T) {
	for _, l := range leaving {
		t.Run(l.name, func(t *testing.T) {
			h, p := newBlockingHarness(t)
			client := h.newClient()
			monitor, set := stalled{make(chan struct{})}, make(chan struct{})
			h.router.Shards()[0].calls.PutUnbounded(func() { // by the shard itself, which reads it
				h.router.SetStallMonitor(monitor)
				close(set)
			})
			<-set
			h.requestOver(client, "1")
			l.do(h, client)
			h.request("2", "")
			h.awaitClientRead()
			close(monitor.resolved)
			if got := receive(t, p.routing); got != id("o", "2") {
				t.Errorf("asked about %s", got)
			}
			p.decide <- sendToE1
			h.expectAtEndpoint("want " + id("t", "2"))
			h.endpointSends(id("t", "2") + " data - 0\r\n\r\n")
			h.expectAnswer("2 200  ")
		})
	}
}
