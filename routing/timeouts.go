package routing

import (
	"cmp"

	"tallyproxy/policy"
)

// Limits of the platform's protocol.
const (
	// acceptAfterStop is the time after the stop signal during which clients continue to connect.
	acceptAfterStop = 6 * policy.Second / 10
	// The process is killed killAfterStop after the stop signal, or after the longest timeout of a
	// content type if that is shorter, plus at least killSlack.
	killAfterStop = 3 * policy.Second
	killSlack     = 7 * policy.Second / 10
	// staleAttemptLimit is the time after a client has disconnected from which no attempt for it
	// may begin.
	staleAttemptLimit = policy.Second / 10
	// malformedAnswerLimit is the time within which a client that sends a malformed message must
	// be answered.
	malformedAnswerLimit = 3 * policy.Second
)

// Timeouts derives the times and limits of connections from the settings. Only few requests share
// a connection to an endpoint, so that a lost connection affects few requests.
func Timeouts(s policy.Settings) policy.Timeouts {
	t := policy.Timeouts{
		AnswerReserve:     2 * s.AnswerGrace,
		Connect:           s.ConnectTimeout,
		ReadStall:         s.ConnectTimeout / 2,
		Idle:              s.KeepAliveTimeout / 16,
		PreferredStreams:  max(1, s.MaxConcurrentStreams/100),
		MaxStreams:        max(1, s.MaxConcurrentStreams),
		CancelConfirm:     s.ConnectTimeout / 4,
		RequestRead:       2 * malformedAnswerLimit / 3,
		DownstreamIdle:    s.KeepAliveTimeout / 6,
		DefaultRetryAfter: min(s.MaxRetryAfter, s.ConnectTimeout),
		DrainAccept:       acceptAfterStop + acceptAfterStop/3,
		LongPoll:          s.PurgeRetention / 5,
		PollRetry:         s.ConnectTimeout / 4,
		SuspectTimeout:    2 * s.ConnectTimeout,
		MaxDecisionAge:    min(s.ConnectTimeout/8, staleAttemptLimit/2),
	}
	maxUnnoticedStall := s.ConnectTimeout // maximum length of a stall that is not detected
	t.StallThreshold = min(maxUnnoticedStall, cmp.Or(s.PurgePropagation, maxUnnoticedStall), cmp.Or(s.DrainPropagation, maxUnnoticedStall)) / 2
	t.Heartbeat = t.StallThreshold / 5
	for _, contentType := range s.ContentTypes {
		t.WriteFlush = max(t.WriteFlush, contentType.Timeout)
	}
	t.DrainDeadline = min(t.WriteFlush, killAfterStop) + killSlack/2
	return t
}
