package dispatch

import (
	"errors"
	"time"

	"tallyproxy/internal/upstream"
	"tallyproxy/policy"
)

// attempt is one try of a request at an endpoint. Its shard's goroutine owns it.
type attempt struct {
	*upstream.Pull
	deadline policy.Micros
	ended    bool
}

// send starts an attempt as the policy decided.
func (s *Shard) send(req *request, d decision) {
	s.router.sent.Add(1)
	number := len(req.attempts)
	var earlier []*upstream.Pull
	for _, a := range req.attempts {
		earlier = append(earlier, a.Pull)
	}
	a := &attempt{deadline: d.at + d.Timeout}
	req.attempts = append(req.attempts, a)
	if d.target == nil { // the list has just lost it
		a.Pull = &upstream.Pull{}
		s.calls.PutUnbounded(func() { s.attemptEnded(req, number, policy.Withdrawn, upstream.Answer{}) })
		return
	}
	a.Pull = d.target.byShard[s.number].Send(s.upstreamRequest(req, d), func(answer upstream.Answer, err error) {
		s.calls.PutUnbounded(func() { s.attemptEnded(req, number, resultOf(answer, err), answer) })
	}, earlier...)
}

// upstreamRequest puts together what an attempt asks of its endpoint.
func (s *Shard) upstreamRequest(req *request, d decision) upstream.Want {
	message := &req.message
	w := upstream.Want{
		ID: message.Txn, Sort: message.Sort, Asset: req.Object, Slice: req.Part, Patience: d.Timeout.Duration(),
		Key: message.Key, Rank: d.CacheRank, Oldest: d.MaxAge.Duration(), Join: d.Coalesce, Held: d.OnlyIfCached,
		Renew: d.Revalidate, Seen: message.Held, Body: message.Body, Void: s.voidCheck(req, d),
	}
	if d.Source != d.Endpoint {
		w.From = d.sourceID
		if d.fillSource != nil {
			w.Source = d.fillSource.byShard[s.number]
		}
	}
	return w
}

// voidCheck returns a function that reports, just before an attempt is written, that its decision no longer holds: its client has
// left, it is too late to begin, or a purge has come since and the decision is too old to be written all the same.
func (s *Shard) voidCheck(req *request, d decision) func() bool {
	conn, tag, purges := req.conn, req.tag, d.purges
	decidedAt, bounded, notAfter := s.router.timeAt(d.at), d.NotAfter > 0, s.router.timeAt(d.NotAfter)
	maxAge := s.router.timeouts.MaxDecisionAge
	return func() bool {
		now := time.Now()
		return !conn.Waits(tag) || bounded && !now.Before(notAfter) ||
			maxAge > 0 && s.router.purges.Load() != purges && now.Sub(decidedAt) > maxAge.Duration()
	}
}

// attemptEnded takes an attempt's result: it answers the client where that succeeded, and has the policy decide what comes next.
func (s *Shard) attemptEnded(req *request, number int, result policy.Result, answer upstream.Answer) {
	a := req.attempts[number]
	if a.ended {
		answer.Body.Free()
		return
	}
	a.ended = true
	if result == policy.Withdrawn {
		s.router.withdrawn.Add(1)
	}
	defer recoverPanic(req)
	defer s.releaseID(req)
	if !req.Done && result == policy.Succeeded {
		s.router.succeeded.Add(1)
		req.conn.Fulfil(req.tag, answer.Body, answer.Word == upstream.Unchanged)
		s.finish(req)
	} else {
		answer.Body.Free()
	}
	if !req.Done && !req.conn.Waits(req.tag) {
		s.finish(req)
	}
	outcome := policy.Outcome{
		Attempt: number, Result: result, CacheStatus: cacheStatuses[answer.Note], Final: req.Done,
	}
	s.execute(req, s.router.decide(req, func(now policy.Micros) policy.Decision {
		return s.router.policy.AttemptDone(now, &req.Request, outcome)
	}))
}

// results gives the result that each of an endpoint's answers stands for.
var results = map[upstream.Word]policy.Result{
	upstream.Data: policy.Succeeded, upstream.Unchanged: policy.Succeeded, upstream.Absent: policy.CacheMiss,
	upstream.Full: policy.Rejected, upstream.Failed: policy.Failed, upstream.Moot: policy.NotSent,
}

// cacheStatuses gives the status that each note on an endpoint's answer stands for.
var cacheStatuses = map[string]policy.CacheStatus{
	"local": policy.Hit, "pulled": policy.Filled, "pulled_far": policy.FilledByOrigin,
	"rode": policy.Coalesced, "expired": policy.Stale, "turned_away": policy.SourceRejected,
	"cut_off": policy.SourceUnavailable, "not_there": policy.SourceMiss, "no_place": policy.CacheFull,
	"far_fault": policy.OriginFailed,
}

// resultOf returns an attempt's result from its answer or error. One that was not wholly written never ran; any other may have.
func resultOf(answer upstream.Answer, err error) policy.Result {
	if err == nil {
		return results[answer.Word]
	}
	failure := (*upstream.Error)(nil)
	if !errors.As(err, &failure) {
		return policy.ConnectionLost
	}
	written := failure.Stage >= upstream.WhollyWritten
	switch {
	case !written && errors.Is(err, upstream.ErrRecalled):
		return policy.Withdrawn
	case !written && errors.Is(err, upstream.ErrNoRoom): // which says nothing about the endpoint
		return policy.NotSent
	case !written && failure.GaveUp:
		return policy.NotSent
	case failure.GaveUp:
		return policy.Cancelled
	case !written:
		return policy.ConnectFailed
	default:
		return policy.ConnectionLost
	}
}
