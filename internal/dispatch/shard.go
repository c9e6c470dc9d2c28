package dispatch

import (
	"time"

	"tallyproxy/internal/downstream"
	"tallyproxy/policy"
	"tallyproxy/shard"
	"tallyproxy/timerwheel"
)

const (
	queueLimit = 1024 // calls that may wait for a shard before new requests are rejected
	timerTick  = 250  // in microseconds (µs)
)

// StallMonitor reports whether the director may act on its state after a pause in which it may have
// missed updates.
type StallMonitor interface {
	// Trusted reports whether the director may act now.
	Trusted() bool
	// Resolved returns a channel that is closed once the director may act again.
	Resolved() <-chan struct{}
	// StaleBy returns the longest time that input read at the given time may have waited before it
	// was read, because the process was stalled.
	StaleBy(read time.Time) time.Duration
}

// Shard owns the requests of some clients. Its exported methods implement downstream.Handler and
// may be called from any goroutine. Except for ConnOpened, each queues a call for the shard's own
// goroutine, which alone accesses the requests.
type Shard struct {
	router *Router
	number int
	calls  *shard.Queue[func()]
	done   chan struct{} // closed by Router.Stop

	// The shard's goroutine owns the fields below.

	// open requests, by connection and tag; removed when they end
	requests   map[*downstream.Conn]map[uint64]*request
	timers     *timerwheel.Wheel[*request]
	drainUntil policy.Micros // when all requests must be answered; 0 for no limit
	// suspended is set while the director's state is not trusted, see trusted.
	suspended bool
	// ends of attempts that wait until the state is trusted; each attempt is there at most once
	heldResults []func()
	// requests to be scheduled again once the state is trusted, in the order in which they were due;
	// each is there at most once for its route and once for its timer
	postponed []*request
}

func newShard(r *Router, number int) *Shard {
	return &Shard{
		router: r, number: number, calls: shard.NewQueue[func()](queueLimit), done: make(chan struct{}),
		requests: map[*downstream.Conn]map[uint64]*request{},
		timers:   timerwheel.New[*request](timerTick, int64(r.clockOffset)),
	}
}

// run executes iterations until the router stops. An iteration makes the queued calls, runs the
// timers that are due and acknowledges the latest event that had arrived before it.
func (s *Shard) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var timerSetFor time.Time // zero while the timer is not set
	for {
		var resolved <-chan struct{} // nil unless suspended
		if s.suspended {
			resolved = s.router.monitor.Resolved()
		}
		select {
		case <-s.calls.Ready():
		case <-resolved:
		case <-timer.C:
			timerSetFor = time.Time{}
		case <-s.done:
			return
		}
		latest := s.router.epochs.Latest()
		now := s.runOnce()
		// decisions made before it have been carried out
		s.router.epochs.Acknowledge(s.number, latest)
		if s.timers.Len() == 0 {
			continue
		}
		next := now.Add(s.timers.UntilNext(int64(s.router.microsAt(now))))
		if timerSetFor.IsZero() || next.Before(timerSetFor) {
			timerSetFor = next
			timer.Reset(time.Until(next))
		}
	}
}

// runOnce makes the queued calls and runs the timers that are due at the time it returns.
func (s *Shard) runOnce() (now time.Time) {
	if s.suspended && s.trusted() {
		s.resume()
	}
	for _, call := range s.calls.TakeAll() {
		call()
	}
	now = time.Now()
	s.timers.Advance(int64(s.router.microsAt(now)), func(i *timerwheel.Item[*request]) { s.timerExpired(i.Value) })
	return now
}

// trusted reports whether the director's state may be acted on now; the monitor limits the time for
// which it may not. After a pause the queued calls are older than the events waiting on the command
// channel, so nothing may be sent or served on their basis. Meanwhile requests wait, but are
// answered at their deadlines, and clients that leave are noticed.
func (s *Shard) trusted() bool {
	monitor := s.router.monitor
	if monitor == nil || monitor.Trusted() {
		return true
	}
	s.suspended = true
	return false
}

// resume continues with what has waited until the state is trusted.
func (s *Shard) resume() {
	s.suspended = false
	held, postponed := s.heldResults, s.postponed
	s.heldResults, s.postponed = nil, nil
	for _, result := range held {
		s.whenTrusted(result)
	}
	for _, req := range postponed {
		s.schedule(req)
	}
}

// postpone makes a request wait until the state is trusted, or else for its deadline.
func (s *Shard) postpone(req *request) {
	s.postponed = append(s.postponed, req)
	s.schedule(req)
}

// whenTrusted makes a call that processes the end of an attempt, or keeps it until the state is
// trusted.
func (s *Shard) whenTrusted(result func()) {
	if s.trusted() {
		result()
		return
	}
	s.heldResults = append(s.heldResults, result)
}

// queueResult queues a call that processes the end of an attempt. It may be called from any
// goroutine.
func (s *Shard) queueResult(result func()) {
	s.calls.PutUnbounded(func() { s.whenTrusted(result) })
}

// drainBy makes open requests, and those that still arrive, end by the given time.
func (s *Shard) drainBy(end policy.Micros) {
	s.drainUntil = end
	for _, byTag := range s.requests {
		for _, req := range byTag {
			req.Deadline = min(req.Deadline, end)
			for _, a := range req.attempts {
				a.deadline = min(a.deadline, end)
			}
			s.schedule(req)
		}
	}
}

// HandleRequest queues a request from a client, or rejects it if too many calls wait for the shard.
// It never blocks, since the connection's reader must continue in order to detect that its client
// disconnects.
func (s *Shard) HandleRequest(c *downstream.Conn, tag uint64, message downstream.Request) {
	taken := s.calls.TryPut(func() { s.open(c, tag, message) })
	if !taken {
		message.Body.Free()
		c.RejectUnsent(tag, message)
	}
}

// ConnOpened notifies the policy that a client has connected.
func (s *Shard) ConnOpened(*downstream.Conn) {
	s.router.WithPolicy(func() { s.router.policy.ClientConnected(s.router.Now()) })
}

// HandleCancel ends a request that its client no longer waits for.
func (s *Shard) HandleCancel(c *downstream.Conn, tag uint64) {
	s.calls.PutUnbounded(func() {
		if req := s.requests[c][tag]; req != nil {
			s.finish(req)
		}
	})
}

// ConnClosed ends all requests of a client that has disconnected.
func (s *Shard) ConnClosed(c *downstream.Conn) {
	s.calls.PutUnbounded(func() {
		for _, req := range s.requests[c] {
			s.finish(req)
		}
	})
}
