package dispatch

import (
	"errors"
	"time"

	"tallyproxy/internal/logevent"
	"tallyproxy/internal/upstream"
	"tallyproxy/policy"
)

// attempt is one attempt of a request at an endpoint. The shard's goroutine owns it.
type attempt struct {
	*upstream.Attempt
	deadline policy.Micros
	ended    bool
}

// send starts an attempt according to a decision of the policy.
func (s *Shard) send(req *request, d decision) {
	s.router.sent.Add(1)
	number := len(req.attempts)
	var earlier []*upstream.Attempt
	for _, a := range req.attempts {
		earlier = append(earlier, a.Attempt)
	}
	a := &attempt{deadline: d.at + d.Timeout}
	req.attempts = append(req.attempts, a)
	if d.target == nil { // the endpoint was just removed from the list
		a.Attempt = &upstream.Attempt{}
		s.queueResult(func() { s.attemptEnded(req, number, policy.Withdrawn, upstream.Response{}) })
		return
	}
	a.Attempt = d.target.byShard[s.number].Send(s.upstreamRequest(req, d), func(response upstream.Response, err error) {
		s.queueResult(func() {
			result := resultOf(response, err)
			if result != policy.Succeeded {
				logevent.Detail(logevent.AttemptFailed, func() []any {
					return []any{"txn", req.message.TransactionID, "attempt", number, "endpoint", d.endpointID,
						"result", result, "err", err, "client_left", !req.conn.IsPending(req.tag)}
				})
			}
			s.attemptEnded(req, number, result, response)
		})
	}, earlier...)
}

// upstreamRequest builds the request that an attempt sends to its endpoint.
func (s *Shard) upstreamRequest(req *request, d decision) upstream.Request {
	message := &req.message
	out := upstream.Request{
		ID: message.TransactionID, ContentType: message.TypeName, Object: req.Object, Part: req.Part,
		Timeout: d.Timeout.Duration(), IdempotencyKey: message.IdempotencyKey, CacheRank: d.CacheRank, MaxAge: d.MaxAge.Duration(),
		Coalesce: d.Coalesce, OnlyIfCached: d.OnlyIfCached, Revalidate: d.Revalidate, ClientTag: message.IfNoneMatch,
		Body: message.Body, Superseded: s.supersededCheck(req, d),
	}
	if d.Source != d.Endpoint {
		out.SourceID = d.sourceID
		if d.fillSource != nil {
			out.Source = d.fillSource.byShard[s.number]
		}
	}
	return out
}

// supersededCheck returns a function that reports, just before an attempt is written, whether its
// decision no longer holds: the client no longer waits, it is too late to start, or a purge has
// arrived since and the decision is older than MaxDecisionAge.
func (s *Shard) supersededCheck(req *request, d decision) func() bool {
	conn, tag, purges := req.conn, req.tag, d.purges
	decidedAt, bounded, notAfter := s.router.timeAt(d.at), d.NotAfter > 0, s.router.timeAt(d.NotAfter)
	maxAge := s.router.timeouts.MaxDecisionAge
	return func() bool {
		now := time.Now()
		return !conn.IsWaiting(tag) || bounded && !now.Before(notAfter) ||
			maxAge > 0 && s.router.purges.Load() != purges && now.Sub(decidedAt) > maxAge.Duration()
	}
}

// attemptEnded processes the result of an attempt: it answers the client if the attempt succeeded,
// and lets the policy decide what to do next.
func (s *Shard) attemptEnded(req *request, number int, result policy.Result, response upstream.Response) {
	a := req.attempts[number]
	if a.ended {
		response.Body.Free()
		return
	}
	a.ended = true
	if result == policy.Withdrawn {
		s.router.withdrawn.Add(1)
	}
	defer recoverPanic(req)
	defer s.releaseID(req)
	if !req.Done && result == policy.Succeeded {
		result = s.succeed(req, response)
	} else {
		response.Body.Free()
	}
	if !req.Done && !req.conn.IsWaiting(req.tag) {
		s.finish(req)
	}
	outcome := policy.Outcome{
		Attempt: number, Result: result, CacheStatus: cacheStatuses[response.CacheStatus], Final: req.Done,
	}
	s.execute(req, s.router.decide(req, func(now policy.Micros) policy.Decision {
		return s.router.policy.AttemptDone(now, &req.Request, outcome)
	}))
}

// succeed answers the client with a response and finishes the request. It returns ResourceExhausted
// and leaves the request open if the client has too many responses left to read.
func (s *Shard) succeed(req *request, response upstream.Response) policy.Result {
	if !req.conn.Succeed(req.tag, response.Body, response.Status == upstream.StatusUnchanged) {
		return policy.ResourceExhausted
	}
	s.router.succeeded.Add(1)
	s.finish(req)
	return policy.Succeeded
}

// results maps the status of an endpoint's response to the result of the attempt.
var results = map[upstream.Status]policy.Result{
	upstream.StatusData: policy.Succeeded, upstream.StatusUnchanged: policy.Succeeded, upstream.StatusAbsent: policy.CacheMiss,
	upstream.StatusFull: policy.Rejected, upstream.StatusFailed: policy.Failed, upstream.StatusMoot: policy.NotSent,
}

// cacheStatuses maps the cache note of an endpoint's response to a cache status.
var cacheStatuses = map[string]policy.CacheStatus{
	"local": policy.Hit, "pulled": policy.Filled, "pulled_far": policy.FilledByOrigin,
	"rode": policy.Coalesced, "expired": policy.Stale, "turned_away": policy.SourceRejected,
	"cut_off": policy.SourceUnavailable, "not_there": policy.SourceMiss, "no_place": policy.CacheFull,
	"far_fault": policy.OriginFailed,
}

// resultOf returns the result of an attempt from its response or error. An attempt that was not
// fully written never ran; any other may have run.
func resultOf(response upstream.Response, err error) policy.Result {
	if err == nil {
		return results[response.Status]
	}
	failure := (*upstream.Error)(nil)
	if !errors.As(err, &failure) {
		return policy.ConnectionLost
	}
	written := failure.Stage >= upstream.FullyWritten
	switch {
	case !written && errors.Is(err, upstream.ErrWithdrawn):
		return policy.Withdrawn
	case !written && upstream.IsLocal(err):
		return policy.NotSent
	case !written && failure.Cancelled:
		return policy.NotSent
	case failure.Cancelled:
		return policy.Cancelled
	case !written:
		return policy.ConnectFailed
	case errors.Is(err, upstream.ErrNoBuffer):
		return policy.ResourceExhausted
	default:
		return policy.ConnectionLost
	}
}
