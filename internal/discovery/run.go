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

// session is the state of one call of Run. It belongs to Run's goroutine.
type session struct {
	*Client
	http          *http.Client
	poller        *backoff.Poller
	timeouts      policy.Timeouts
	apply         func([]Event)
	polledAddress string        // address of the last poll
	longPoll      policy.Micros // how long the channel may delay its answer to the next poll
	answeredAt    time.Time     // start of the last poll that was answered; zero if there is none
}

// pollRequest is one poll.
type pollRequest struct {
	address  string
	longPoll time.Duration // how long the channel may delay its answer; 0 for none
	timeout  time.Duration // of the whole poll
	began    stall.Reading // on the stall monitor's clocks
	started  time.Time
}

// Run polls the channel until the context ends, each time at the address set last by SetAddress. It
// passes the events of each answer to apply, together and in order, from its own goroutine. Package
// backoff determines when the next poll starts. If the director's state is suspect, the next poll
// starts immediately and asks for an immediate answer.
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

// newSession returns the state for one call of Run.
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

// awaitWake waits until Wake is called. It also returns after StallThreshold, so that a missed call
// has no lasting effect.
func (s *session) awaitWake(ctx context.Context) {
	s.stallMonitor.Polled(s.stallMonitor.Now())
	select {
	case <-s.wake:
	case <-time.After(s.timeouts.StallThreshold.Duration()):
	case <-ctx.Done():
	}
}

// poll sends one poll, applies its events and pauses until the next poll is due. Canceling the poll
// also ends the pause.
func (s *session) poll(ctx context.Context) {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := s.newRequest(cancel)
	events, err := s.send(pollCtx, request)
	if err == nil && len(events) > 0 {
		s.boundAnnouncements(events)
		s.apply(events)
	}
	if err == nil {
		s.answeredAt = request.started
	}
	if err == nil || pollCtx.Err() == nil {
		// PollDone may cancel this poll by calling PollNow.
		s.stallMonitor.PollDone(request.began, s.stallMonitor.Now(), err == nil)
	}
	result, retryAfter := classify(events, err, pollCtx.Err() != nil)
	s.recordResult(result, err)
	sleep(pollCtx, s.nextPause(request, result, retryAfter, err))
}

// boundAnnouncements notes in the events that they had not been announced when the poll before this
// one began, which would have returned them.
func (s *session) boundAnnouncements(events []Event) {
	if s.answeredAt.IsZero() {
		return
	}
	within := policy.MicrosOf(time.Since(s.answeredAt))
	for i := range events {
		events[i].AnnouncedWithin = within
	}
}

// newRequest prepares a poll whose context cancel cancels.
func (s *session) newRequest(cancel context.CancelFunc) pollRequest {
	address, refresh := s.beginPoll(cancel)
	// An idle connection to the old address would keep its file descriptor.
	if s.polledAddress != address {
		s.http.CloseIdleConnections()
		s.polledAddress = address
	}
	connect := s.timeouts.Connect.Duration()
	r := pollRequest{address: address, longPoll: s.longPoll.Duration(), began: s.stallMonitor.Now()}
	r.timeout = r.longPoll + 2*connect
	s.stallMonitor.Polled(r.began)
	// A stall that is detected after this check calls PollNow, which cancels this poll.
	if refresh || s.stallMonitor.Suspect() {
		r.longPoll, r.timeout = 0, connect
	}
	r.started = time.Now()
	return r
}

// send sends a poll and returns its events.
func (s *session) send(ctx context.Context, r pollRequest) ([]Event, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/cmd/next?resume=%d&block=%d", r.address, s.cursor, r.longPoll.Milliseconds())
	return s.fetch(ctx, s.http, url)
}

// recordResult logs the first of consecutive failures and the recovery from them. A canceled poll
// neither counts as a failure nor ends a series of failures.
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

// nextPause returns the pause after a poll and sets the duration of the next long poll. After a
// poll that asked for an immediate answer, there is no pause if it succeeded, and PollRetry if it
// failed.
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

// sleep returns after the pause or when the context ends.
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
