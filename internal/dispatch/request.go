package dispatch

import (
	"errors"
	"slices"

	"tallyproxy/internal/downstream"
	"tallyproxy/internal/upstream"
	"tallyproxy/policy"
	"tallyproxy/timerwheel"
)

// request is one that is open, until its final answer is out and its attempts have ended. Its shard's goroutine owns it.
type request struct {
	policy.Request
	shard     *Shard
	conn      *downstream.Conn
	tag       uint64 // the client's, on conn
	message   downstream.Request
	attempts  []*attempt
	recheckAt policy.Micros // when to ask the policy again; 0 for not
	timerDue  policy.Micros // 0 while it has no timer
	timer     timerwheel.Item[*request]
}

// errDuplicateID is told to a client that sends a request with an open one's id: no endpoint could tell the two apart.
var errDuplicateID = errors.New("txn: it is that of an open request")

// open takes up a request that has come, and asks the policy for its route.
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
	req.IsRetry, req.IdempotencyKey = message.IsRetry, message.IdempotencyKey
	req.ClientHash, req.ClientSuspect = message.ClientHash, message.ClientSuspect
	arrived := message.ArrivedAt
	if monitor := s.router.monitor; monitor != nil { // its client waits since it was sent, not since it was read
		arrived = arrived.Add(-monitor.StaleBy(arrived))
	}
	req.ArrivedAt = s.router.microsAt(arrived)
	req.Deadline = req.ArrivedAt + policy.MicrosOf(message.Timeout) - s.router.timeouts.AnswerReserve
	if s.drainUntil > 0 {
		req.Deadline = min(req.Deadline, s.drainUntil)
	}
	return req
}

// route asks the policy for a request's route, and does what it decides.
func (s *Shard) route(req *request) {
	if !req.conn.IsPending(req.tag) { // its client has left, and the call that says so waits behind others
		s.finish(req)
		return
	}
	s.execute(req, s.router.decide(req, func(now policy.Micros) policy.Decision {
		return s.router.policy.Route(now, &req.Request)
	}))
}

// decision is the policy's with what belongs to it at that moment.
type decision struct {
	policy.Decision
	at           policy.Micros
	recheckAfter policy.Micros // from at on; 0 for not
	sourceID     string        // of an attempt; read under the router's lock, since the policy changes its entries as the list does
	target       *endpoint     // of an attempt; nil where the list has just lost it
	fillSource   *endpoint     // likewise
	purges       int64         // that the policy knew of
}

// decide asks the policy, and when to ask it again.
func (r *Router) decide(req *request, call func(now policy.Micros) policy.Decision) (d decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.at = r.Now() // under the lock, so that the policy's clock never goes back
	d.Decision = call(d.at)
	switch d.Action {
	case policy.Reject, policy.Fail:
		return d
	case policy.Send:
		d.sourceID = d.Source.ID
		d.target, d.fillSource, d.purges = r.endpoints[d.Endpoint.ID], r.endpoints[d.sourceID], r.purges.Load()
	}
	if !req.Done {
		d.recheckAfter = r.policy.RecheckAfter(d.at, &req.Request)
	}
	return d
}

// execute does what the policy decided.
func (s *Shard) execute(req *request, d decision) {
	switch d.Action {
	case policy.Send:
		s.send(req, d)
	case policy.CancelAttempt:
		if a := req.attempts[d.Attempt]; !a.ended {
			a.Cancel(true)
		}
	case policy.Reject, policy.Fail:
		s.refuse(req, d)
	}
	if req.Done {
		return
	}
	if d.recheckAfter > 0 && (req.recheckAt == 0 || req.recheckAt > d.at+d.recheckAfter) {
		req.recheckAt = d.at + d.recheckAfter
	}
	s.schedule(req)
}

// refuse answers a request without an attempt's result: rejected, which makes a retry harmless, or failed, which promises nothing.
func (s *Shard) refuse(req *request, d decision) {
	if d.Unprocessable {
		req.conn.MarkSuspect()
	}
	if d.Action == policy.Reject {
		s.router.rejected.Add(1)
		req.conn.Reject(req.tag, d.RetryAfter.Duration())
	} else {
		s.router.failed.Add(1)
		req.conn.Fail(req.tag)
	}
	s.finish(req)
}

// finish ends a request: its client is owed nothing more, and its attempts are given up.
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

// releaseID frees a request's id once no client and no endpoint can know it as open.
func (s *Shard) releaseID(req *request) {
	running := slices.ContainsFunc(req.attempts, func(a *attempt) bool { return !a.ended })
	if req.Done && !running {
		s.router.owners.Release(req.message.TransactionID, s.number)
	}
}

// timerExpired ends the attempts that have run out of time, and asks the policy again where it is time for that.
func (s *Shard) timerExpired(req *request) {
	defer recoverPanic(req)
	req.timerDue = 0
	now := s.router.Now()
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

// schedule sets a request's timer for the earliest of its recheck and its attempts' deadlines. A timer whose time has been put off
// stays, and finds nothing to do when it expires.
func (s *Shard) schedule(req *request) {
	next := req.recheckAt
	for _, a := range req.attempts {
		if !a.ended && (next == 0 || a.deadline < next) {
			next = a.deadline
		}
	}
	switch {
	case req.Done || next == 0:
		s.timers.Cancel(&req.timer)
		req.timerDue = 0
	case req.timerDue == 0 || next < req.timerDue:
		req.timerDue = next
		s.timers.Schedule(&req.timer, int64(next))
	}
}
