package fakes

import (
	"sync"
	"time"
)

// SeriesInterval is the length of a bucket of the time series.
const SeriesInterval = 100 * time.Millisecond

// ClientRequest is how one request of a client went, over its attempts. Times are since the cluster's start.
type ClientRequest struct {
	ContentType       *ContentType  // of the object
	StartedAt         time.Duration // of the first attempt
	Duration          time.Duration // until its end
	Attempts          int           // that were made
	TransferMicros    float64       // transfer time at full pace, µs
	Succeeded         bool          // an attempt was answered with the object
	IgnoresRetryAfter bool          // as its client does
	LastStatus        string        // status of the last answer; empty where there was none
}

// LostAtEnd is a request without an answer whose connection was ended by its director.
type LostAtEnd struct {
	Client string    // address of the client's end of the connection
	SentAt time.Time // when its last byte was written
	Reason string    // what is known of it
}

// ClientStats is what clients have seen. Its lock guards it; WithLock takes it.
type ClientStats struct {
	mu               sync.Mutex
	Requests         []ClientRequest // that have ended
	AnswersByStatus  map[string]int  // of all attempts
	FirstAnswered    int             // requests whose first attempt was answered
	Lost             int             // attempts that were owed an answer and had none
	LostReasons      map[string]int  // by the error
	LostAtEnds       []LostAtEnd     // requests that a director had, by the client's knowledge, as it ended their connection
	Duplicates       int             // answers beyond the one
	WrongBodies      int             // answers with another object's bytes
	StaleCopies      int             // copies older than a purge of which the director had to know
	LostToKills      int             // attempts that ended with a director that was killed
	LostToPauses     int             // attempts whose time ended while their director was stopped
	EarlyRetries     int             // attempts before the time that was told
	LateAnswers      int             // answers later than lateAnswerLimit after the request's time
	CrossedEnds      int             // requests that crossed the end of a connection on which none was open
	EarlyRefusals    int             // connections refused by a director that owed to accept them
	AttemptSeries    []int           // attempts, by SeriesInterval
	RetryAfterSeries []int           // the times that clients were told to come back at
	SuccessSeries    []int           // answers with the object
	RejectSeries     []int           // answers that reject
}

// count adds an event to a time series.
func count(series *[]int, at time.Duration) {
	i := int(max(0, at) / SeriesInterval)
	for len(*series) <= i {
		*series = append(*series, 0)
	}
	(*series)[i]++
}

// WithLock calls a function that reads or changes the statistics, under their lock.
func (s *ClientStats) WithLock(access func(*ClientStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.AnswersByStatus == nil {
		s.AnswersByStatus, s.LostReasons = map[string]int{}, map[string]int{}
	}
	access(s)
}
