package routing

import (
	"cmp"

	"tallyproxy/policy"
)

// Figures of the platform's protocol.
const (
	acceptAfterStop      = 6 * policy.Second / 10 // clients go on connecting for this long after the signal to stop
	killAfterStop        = 3 * policy.Second      // the process is killed this long after the signal, or the longest timeout if that is less,
	killSlack            = 7 * policy.Second / 10 // plus at least this
	staleAttemptLimit    = policy.Second / 10     // no attempt may begin this long after its client has left
	malformedAnswerLimit = 3 * policy.Second      // a client that sends what is no message is answered within this time
)

// Timeouts derives the times and limits of sockets from the settings. Few requests share a connection to an endpoint, so few are lost
// with it.
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
	unnoticed := s.ConnectTimeout // what a stall that goes unnoticed may cost at the most
	t.StallThreshold = min(unnoticed, cmp.Or(s.PurgePropagation, unnoticed), cmp.Or(s.DrainPropagation, unnoticed)) / 2
	t.Heartbeat = t.StallThreshold / 5
	for _, contentType := range s.ContentTypes {
		t.WriteFlush = max(t.WriteFlush, contentType.Timeout)
	}
	t.DrainDeadline = min(t.WriteFlush, killAfterStop) + killSlack/2
	return t
}
