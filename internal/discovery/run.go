package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"tallyproxy/backoff"
	"tallyproxy/internal/logevent"
	"tallyproxy/policy"
	"tallyproxy/stall"
)

// session is the state of one Run; it belongs to Run's goroutine.
type session struct {
	*Client
	http     *http.Client
	poller   *backoff.Poller
	timeouts policy.Timeouts
	apply    func([]Event)
	polled   string        // address of the last poll
	longPoll policy.Micros // longest that the channel may hold the next poll open
}

// pollRequest is one poll.
type pollRequest struct {
	address  string
	longPoll time.Duration // longest that the channel may hold the poll open; 0 for an answer at once
	timeout  time.Duration // of the whole poll
	began    stall.Reading // on the stall monitor's clocks
	started  time.Time
}

// Run polls the channel until the context ends, each time at the address that SetAddress named last. It passes the events of each
// answer to apply, together and in order, from its own goroutine. Package backoff says when the next poll begins; where what is
// known is suspect it begins at once and asks for an answer at once.
func (c *Client) Run(ctx context.Context, timeouts policy.Timeouts, apply func([]Event)) {
	s := c.newSession(timeouts, apply)
	defer s.http.CloseIdleConnections()
	pause, longPoll := s.poller.First()
	s.longPoll = longPoll
	sleep(ctx, pause)
	for ctx.Err() == nil {
		if c.shouldPoll == nil || c.shouldPoll() {
			s.poll(ctx)
		} else {
			s.awaitWake(ctx)
		}
	}
}

func (c *Client) newSession(timeouts policy.Timeouts, apply func([]Event)) *session {
	intervals := backoff.DeriveIntervals(c.site.Settings, timeouts)
	if c.shouldPoll != nil {
		intervals = intervals.ForDelegates()
	}
	return &session{
		Client:   c,
		http:     newHTTPClient(timeouts),
		poller:   backoff.New(intervals, c.seed),
		timeouts: timeouts,
		apply:    apply,
	}
}

// awaitWake waits until Wake is called. It returns after StallThreshold all the same, so that a missed call does no lasting harm.
func (s *session) awaitWake(ctx context.Context) {
	s.stallMonitor.Polled(s.stallMonitor.Now())
	select {
	case <-s.wake:
	case <-time.After(s.timeouts.StallThreshold.Duration()):
	case <-ctx.Done():
	}
}

// poll makes one poll, applies what it brings and sleeps until the next is due. A cancellation ends the sleep too.
func (s *session) poll(ctx context.Context) {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := s.newRequest(cancel)
	events, err := s.send(pollCtx, request)
	if err == nil && len(events) > 0 {
		s.apply(events)
	}
	if err == nil || pollCtx.Err() == nil {
		s.stallMonitor.PollDone(request.began, s.stallMonitor.Now(), err == nil) // may cancel this poll
	}
	result, retryAfter := classify(events, err, pollCtx.Err() != nil)
	s.recordResult(result, err)
	sleep(pollCtx, s.nextPause(request, result, retryAfter, err))
}

// newRequest prepares a poll that cancel cancels.
func (s *session) newRequest(cancel context.CancelFunc) pollRequest {
	address, refresh := s.beginPoll(cancel)
	if s.polled != address { // an idle connection to the old address would keep its descriptor
		s.http.CloseIdleConnections()
		s.polled = address
	}
	connect := s.timeouts.Connect.Duration()
	r := pollRequest{address: address, longPoll: s.longPoll.Duration(), began: s.stallMonitor.Now()}
	r.timeout = r.longPoll + 2*connect
	s.stallMonitor.Polled(r.began)
	// A stall that is noticed later than here calls PollNow, which cancels this poll.
	if refresh || s.stallMonitor.Suspect() {
		r.longPoll, r.timeout = 0, connect
	}
	r.started = time.Now()
	return r
}

func (s *session) send(ctx context.Context, r pollRequest) ([]Event, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/cmd/next?resume=%d&block=%d", r.address, s.cursor, r.longPoll.Milliseconds())
	return s.fetch(ctx, s.http, url)
}

// recordResult logs the first failure in a row and the recovery from it. A canceled poll is no failure, and ends none.
func (s *session) recordResult(result backoff.PollResult, err error) {
	wasFailing, failed := s.Failing(), err != nil && result != backoff.Canceled
	switch {
	case err == nil && wasFailing:
		slog.Info(logevent.DiscoveryPollRecovered, "cursor", s.cursor)
	case failed && !wasFailing:
		slog.Warn(logevent.DiscoveryPollFailed, "cursor", s.cursor, "result", result.String(), "err", err)
	}
	s.setFailing(err != nil && (wasFailing || failed))
}

// nextPause returns how long to sleep after a poll, and sets the next long poll. After a poll that asked for an answer at once the
// next one follows at once, or after PollRetry where it failed.
func (s *session) nextPause(r pollRequest, result backoff.PollResult, retryAfter time.Duration, err error) (pause policy.Micros) {
	overrun := time.Since(r.started) - r.longPoll
	pause, s.longPoll = s.poller.Next(result, policy.MicrosOf(overrun), policy.MicrosOf(retryAfter))
	switch {
	case r.longPoll > 0:
		return pause
	case err != nil:
		return s.timeouts.PollRetry
	}
	return 0
}

// sleep returns after the pause, or when the context ends.
func sleep(ctx context.Context, pause policy.Micros) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
