package dispatch

import (
	"time"

	"tallyproxy/internal/downstream"
	"tallyproxy/policy"
	"tallyproxy/shard"
	"tallyproxy/timerwheel"
)

const (
	queueLimit = 1024 // calls that may wait for a shard before new requests are turned away
	timerTick  = 250  // µs
)

// StallMonitor says whether this director may act on what it knows, after a pause in which it may have missed news.
type StallMonitor interface {
	// Trusted reports whether it may act now.
	Trusted() bool
	// Resolved returns a channel that is closed once it may act again.
	Resolved() <-chan struct{}
	// StaleBy returns by how much what was read at a time may be older than that, since it lay unread during a stall.
	StaleBy(read time.Time) time.Duration
}

// Shard owns some clients' requests. Its exported methods are those of a downstream.Handler and may be called from any goroutine: each
// hands a call to the shard's own goroutine, which alone touches the requests.
type Shard struct {
	router *Router
	number int
	calls  *shard.Queue[func()]
	done   chan struct{} // closed by Router.Stop

	// The shard's goroutine owns what follows.
	requests   map[*downstream.Conn]map[uint64]*request // open ones, by the client's tag; dropped as they end
	timers     *timerwheel.Wheel[*request]
	drainUntil policy.Micros // when all is to be answered; 0 for no such time
}

func newShard(r *Router, number int) *Shard {
	return &Shard{
		router: r, number: number, calls: shard.NewQueue[func()](queueLimit), done: make(chan struct{}),
		requests: map[*downstream.Conn]map[uint64]*request{},
		timers:   timerwheel.New[*request](timerTick, int64(r.clockOffset)),
	}
}

// run takes turns until the router stops. A turn makes the calls that wait, runs the timers that are due and acknowledges the last
// event that had come before it.
func (s *Shard) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var timerSetFor time.Time // zero while the timer is not set
	for {
		select {
		case <-s.calls.Ready():
		case <-timer.C:
			timerSetFor = time.Time{}
		case <-s.done:
			return
		}
		latest := s.router.epochs.Latest()
		now, ok := s.takeTurn()
		if !ok {
			return
		}
		s.router.epochs.Acknowledge(s.number, latest) // what was decided before has been handed on
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

// takeTurn makes the calls that wait and runs the timers that are due, at the time that it returns. It returns false where the
// router has stopped.
func (s *Shard) takeTurn() (now time.Time, ok bool) {
	for _, call := range s.calls.TakeAll() {
		if !s.awaitTrusted() {
			return now, false
		}
		call()
	}
	if !s.awaitTrusted() {
		return now, false
	}
	now = time.Now()
	s.timers.Advance(int64(s.router.microsAt(now)), func(i *timerwheel.Item[*request]) { s.timerExpired(i.Value) })
	return now, true
}

// awaitTrusted waits while what this director knows is not to be trusted, which the monitor bounds. It returns false where the
// router has stopped. It comes before every call and all timers: after a pause what waits here is older than what the command
// channel has to tell, and nothing may be sent or served on it.
func (s *Shard) awaitTrusted() bool {
	for {
		monitor := s.router.monitor
		if monitor == nil || monitor.Trusted() {
			return true
		}
		select {
		case <-monitor.Resolved():
		case <-s.done:
			return false
		}
	}
}

// drainBy has open requests, and those that still come, end by a time.
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

// HandleRequest takes a request from a client, or turns it away where too much waits for the shard. It never waits: the connection's reader
// must go on, to see that its client leaves.
func (s *Shard) HandleRequest(c *downstream.Conn, tag uint64, message downstream.Request) {
	taken := s.calls.TryPut(func() { s.open(c, tag, message) })
	if !taken {
		message.Body.Free()
		c.RejectUnsent(tag, message)
	}
}

// ConnOpened tells the policy that a client has connected.
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

// ConnClosed ends all requests of a client that is gone.
func (s *Shard) ConnClosed(c *downstream.Conn) {
	s.calls.PutUnbounded(func() {
		for _, req := range s.requests[c] {
			s.finish(req)
		}
	})
}
