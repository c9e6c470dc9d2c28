package fakes

import (
	"sync"
	"time"
)

// SeriesInterval is the length of one interval of the time series.
const SeriesInterval = 100 * time.Millisecond

// ClientRequest is the result of one request of a client, over all its attempts. Times are relative
// to the start of the cluster.
type ClientRequest struct {
	ContentType       *ContentType  // content type of the object
	StartedAt         time.Duration // start of the first attempt
	Duration          time.Duration // time until the request ended
	Attempts          int           // number of attempts
	TransferMicros    float64       // transfer time at full rate, in µs
	Succeeded         bool          // an attempt was answered with the object
	IgnoresRetryAfter bool          // whether its client ignores retry-after times
	LastStatus        string        // status of the last answer; empty if there was none
}

// LostAtEnd is an unanswered request whose connection was closed by the director.
type LostAtEnd struct {
	Client string    // local address of the connection of the client
	SentAt time.Time // when the last byte was written
	Reason string    // description of the request and its connection
}

// ClientStats holds the statistics of clients. WithLock gives access to it under its lock.
type ClientStats struct {
	mu               sync.Mutex
	Requests         []ClientRequest // completed requests
	AnswersByStatus  map[string]int  // answers to all attempts, by status
	FirstAnswered    int             // requests whose first attempt was answered
	Lost             int             // unanswered attempts that were owed an answer
	LostReasons      map[string]int  // lost attempts, by error
	LostAtEnds       []LostAtEnd     // received by a director that then closed the connection
	Duplicates       int             // answers to a tag without an open request
	WrongBodies      int             // answers with the wrong object
	StaleCopies      int             // copies older than a purge that the director had to know
	LostToKills      int             // attempts lost when their director was killed
	LostToPauses     int             // attempts that timed out while their director was stopped
	EarlyRetries     int             // attempts before their retry-after time
	LateAnswers      int             // answers later than lateAnswerLimit after the timeout
	CrossedEnds      int             // requests sent while the connection was being closed
	EarlyRefusals    int             // connections refused by a director that had to accept them
	AttemptSeries    []int           // attempts per SeriesInterval
	RetryAfterSeries []int           // retry times given to clients, per SeriesInterval
	SuccessSeries    []int           // successful answers per SeriesInterval
	RejectSeries     []int           // rejections per SeriesInterval
}

// count adds one to the interval of a time series that contains the given time.
func count(series *[]int, at time.Duration) {
	i := int(max(0, at) / SeriesInterval)
	for len(*series) <= i {
		*series = append(*series, 0)
	}
	(*series)[i]++
}

// WithLock calls access, which may read or change the statistics, with the lock held.
func (s *ClientStats) WithLock(access func(*ClientStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.AnswersByStatus == nil {
		s.AnswersByStatus, s.LostReasons = map[string]int{}, map[string]int{}
	}
	access(s)
}
