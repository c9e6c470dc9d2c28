package dispatch

import (
	"errors"
	"slices"

	"tallyproxy/internal/downstream"
	"tallyproxy/internal/logevent"
	"tallyproxy/internal/upstream"
	"tallyproxy/policy"
	"tallyproxy/timerwheel"
)

// request is an open request, until its final answer is sent and its attempts have ended. The
// shard's goroutine owns it.
type request struct {
	policy.Request
	shard     *Shard
	conn      *downstream.Conn
	tag       uint64 // the client's tag on conn
	message   downstream.Request
	attempts  []*attempt
	recheckAt policy.Micros // when to ask the policy again; 0 for never
	timerDue  policy.Micros // 0 while no timer is set
	timer     timerwheel.Item[*request]
}

// errDuplicateID is reported for a request with the ID of an open one: no endpoint could
// distinguish the two.
var errDuplicateID = errors.New("txn: already used by an open request")

// open registers a new request and asks the policy for its route.
func (s *Shard) open(c *downstream.Conn, tag uint64, message downstream.Request) {
	if !c.IsPending(tag) {
		message.Body.Free()
		return
	}
	if !s.router.owners.Claim(message.TransactionID, s.number) {
		message.Body.Free()
		c.ReportBadRequest(errDuplicateID)
		c.Fail(tag)
		return
	}
	req := s.newRequest(c, tag, message)
	if s.requests[c] == nil {
		s.requests[c] = map[uint64]*request{}
	}
	s.requests[c][tag] = req
	s.router.open.Add(1)
	defer recoverPanic(req)
	s.route(req)
}

func (s *Shard) newRequest(c *downstream.Conn, tag uint64, message downstream.Request) *request {
	req := &request{shard: s, conn: c, tag: tag, message: message}
	req.timer.Value = req
	req.Type, req.Object, req.Part, req.Group = message.Type, message.Object, message.Part, message.Group
	req.ID, req.IsRetry, req.IdempotencyKey = message.TransactionID, message.IsRetry, message.IdempotencyKey
	req.ClientHash, req.ClientConn, req.ClientSuspect = message.ClientHash, message.ClientConn, message.ClientSuspect
	arrived := message.ArrivedAt
	// the client has waited since it sent the request, not since the request was read
	if monitor := s.router.monitor; monitor != nil {
		arrived = arrived.Add(-monitor.StaleBy(arrived))
	}
	req.ArrivedAt = s.router.microsAt(arrived)
	req.Deadline = req.ArrivedAt + policy.MicrosOf(message.Timeout) - s.router.timeouts.AnswerReserve
	if s.drainUntil > 0 {
		req.Deadline = min(req.Deadline, s.drainUntil)
	}
	return req
}

// route asks the policy for a request's route and carries out its decision. While the state is not
// trusted, the request waits until its deadline, when the policy can only end it.
func (s *Shard) route(req *request) {
	if now := s.router.Now(); now < req.Deadline && !s.trusted() {
		req.recheckAt = now
		s.postpone(req)
		return
	}
	// the client has left, but the call that reports this is still queued
	if !req.conn.IsWaiting(req.tag) {
		s.finish(req)
		return
	}
	s.execute(req, s.router.decide(req, func(now policy.Micros) policy.Decision {
		return s.router.policy.Route(now, &req.Request)
	}))
}

// decision is a decision of the policy with the state that it is based on.
type decision struct {
	policy.Decision
	at           policy.Micros
	recheckAfter policy.Micros // after at; 0 for never
	// IDs of an attempt's endpoint and source, read under the router's lock because the policy
	// changes its entries when the list changes
	endpointID string
	sourceID   string
	target     *endpoint // of an attempt; nil if the list has just dropped it
	fillSource *endpoint // of an attempt; nil if the list has just dropped it
	purges     int64     // number of purges that the policy knew of
}

// decide asks the policy for a decision and for the time at which to ask it again.
func (r *Router) decide(req *request, call func(now policy.Micros) policy.Decision) (d decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.at = r.Now() // read under the lock, so that the policy's clock never goes backwards
	d.Decision = call(d.at)
	switch d.Action {
	case policy.Reject, policy.Fail:
		return d
	case policy.Send:
		d.endpointID, d.sourceID = d.Endpoint.ID, d.Source.ID
		d.target, d.fillSource, d.purges = r.endpoints[d.Endpoint.ID], r.endpoints[d.sourceID], r.purges.Load()
	}
	if !req.Done {
		d.recheckAfter = r.policy.RecheckAfter(d.at, &req.Request)
	}
	return d
}

// execute carries out a decision of the policy.
func (s *Shard) execute(req *request, d decision) {
	switch d.Action {
	case policy.Send:
		s.send(req, d)
	case policy.CancelAttempt:
		if a := req.attempts[d.Attempt]; !a.ended {
			a.Cancel(true)
		}
	case policy.Reject, policy.Fail:
		s.rejectOrFail(req, d)
	}
	if req.Done {
		return
	}
	if d.recheckAfter > 0 && (req.recheckAt == 0 || req.recheckAt > d.at+d.recheckAfter) {
		req.recheckAt = d.at + d.recheckAfter
	}
	s.schedule(req)
}

// rejectOrFail answers a request without the result of an attempt. If it rejects the request, a
// retry is harmless; if it fails the request, the request may or may not have run.
func (s *Shard) rejectOrFail(req *request, d decision) {
	if d.Unprocessable {
		req.conn.MarkSuspect()
	}
	logevent.Detail(logevent.RequestEnded, func() []any {
		return []any{"txn", req.message.TransactionID, "rejected", d.Action == policy.Reject, "reason", d.Reason,
			"attempts", len(req.attempts), "waited", (s.router.Now() - req.ArrivedAt).Duration(), "retry_after", d.RetryAfter.Duration()}
	})
	if d.Action == policy.Reject {
		s.router.rejected.Add(1)
		req.conn.Reject(req.tag, d.RetryAfter.Duration())
	} else {
		s.router.failed.Add(1)
		req.conn.Fail(req.tag)
	}
	s.finish(req)
}

// finish ends a request: the client gets no further answer, and running attempts are cancelled.
func (s *Shard) finish(req *request) {
	if req.Done {
		return
	}
	req.Done = true
	s.router.open.Add(-1)
	delete(s.requests[req.conn], req.tag)
	if len(s.requests[req.conn]) == 0 {
		delete(s.requests, req.conn)
	}
	for _, a := range req.attempts {
		if !a.ended {
			a.Cancel(false)
		}
	}
	req.message.Body.Free()
	s.releaseID(req)
	s.schedule(req)
}

// releaseID releases a request's ID once no client and no endpoint can regard it as open.
func (s *Shard) releaseID(req *request) {
	running := slices.ContainsFunc(req.attempts, func(a *attempt) bool { return !a.ended })
	if req.Done && !running {
		s.router.owners.Release(req.message.TransactionID, s.number)
	}
}

// timerExpired ends attempts whose deadline has passed, and asks the policy again if a recheck is
// due.
func (s *Shard) timerExpired(req *request) {
	defer recoverPanic(req)
	req.timerDue = 0
	now := s.router.Now()
	if now < req.Deadline && !s.trusted() {
		s.postpone(req)
		return
	}
	for number, a := range req.attempts {
		if !a.ended && a.deadline <= now && !req.Done {
			a.Cancel(false)
			s.attemptEnded(req, number, policy.TimedOut, upstream.Response{})
		}
	}
	if !req.Done && req.recheckAt > 0 && req.recheckAt <= now {
		req.recheckAt = 0
		s.route(req)
	}
	s.schedule(req)
}

// nextDue returns the recheck time of a request or the earliest deadline of its attempts, whichever
// comes first; 0 for neither. While the state is not trusted, that is not before its deadline.
func (s *Shard) nextDue(req *request) policy.Micros {
	next := req.recheckAt
	for _, a := range req.attempts {
		if !a.ended && (next == 0 || a.deadline < next) {
			next = a.deadline
		}
	}
	if s.suspended {
		next = max(next, req.Deadline)
	}
	return next
}

// schedule sets a request's timer to the time at which it is due next. If that time is later than
// before, the timer is not changed: it expires early, finds nothing due and is set again.
func (s *Shard) schedule(req *request) {
	next := s.nextDue(req)
	switch {
	case req.Done || next == 0:
		s.timers.Cancel(&req.timer)
		req.timerDue = 0
	case req.timerDue == 0 || next < req.timerDue:
		req.timerDue = next
		s.timers.Schedule(&req.timer, int64(next))
	}
}
