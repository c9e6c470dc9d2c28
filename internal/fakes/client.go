package fakes

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// Statuses of answers that clients look at.
const (
	statusOK       = "200"
	statusRejected = "503"
)

const (
	clientDialTimeout = 3 * time.Second
	redialPause       = 50 * time.Millisecond  // before the next director is tried
	answerSlack       = 100 * time.Millisecond // for which a client waits beyond its time
	minimumAttempt    = 10 * time.Millisecond  // no attempt begins with less time left
	earlySlack        = 5 * time.Millisecond   // by which a retry may come before its time
	idleFor           = 2 * time.Second        // of a connection that says nothing
)

var errAnswerOwed = errors.New("an answer was owed")

// Client requests objects of one director, and goes to another when that one is gone. One goroutine uses it.
type Client struct {
	Cluster          *Cluster      // whose statistics it adds to
	Targets          []*Target     // the directors that it knows
	Current          int           // index of the director that it uses
	LocalAddress     string        // its own address, on loopback; empty for any
	IgnoreRetryAfter bool          // it comes back after RetryPause, whatever it was told
	UnmarkedRetries  bool          // it does not mark its retries
	MaxRetries       int           // of one request
	RetryPause       time.Duration // before a retry that was not told another time
	FreshConnections bool          // it opens a connection for every attempt
	Rand             *rand.Rand    // of its own
	Zipf             *Zipf         // popularity of the objects that it requests

	conn      net.Conn
	answers   answerReader
	tag       int       // of the last attempt
	used      bool      // the connection has carried an attempt
	notBefore time.Time // the time that it was last told to come back at
}

// Close ends its connection.
func (c *Client) Close() {
	if c.conn != nil {
		closeQuietly(c.conn)
		c.conn = nil
	}
}

// Connect opens a connection where there is none, to the next director that accepts one. It fails only where the context ends.
func (c *Client) Connect(ctx context.Context) error {
	for c.conn == nil {
		dialer := net.Dialer{Timeout: clientDialTimeout}
		if c.LocalAddress != "" {
			dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.LocalAddress)}
		}
		conn, err := dialer.DialContext(ctx, "tcp", c.Targets[c.Current].Addr)
		if err == nil {
			c.conn, c.answers, c.used = conn, answerReader{conn: conn}, false
			context.AfterFunc(ctx, func() { closeQuietly(conn) })
			continue
		}
		if ctx.Err() != nil {
			return err
		}
		// Any other director: the next one in order would have the clients of seven that were killed all come to the eighth.
		c.Current = (c.Current + 1 + c.Rand.IntN(max(1, len(c.Targets)-1))) % len(c.Targets)
		if !Sleep(ctx, redialPause) {
			return ctx.Err()
		}
	}
	return nil
}

// Attempt makes one attempt, which has a time at the most, and returns the answer's status, the time that it tells to stay away, and the
// body. The key is empty where the content type needs none.
func (c *Client) Attempt(ctx context.Context, o Object, timeout time.Duration, isRetry bool, key string) (status string,
	retryAfter time.Duration, body string, err error) {
	for resent := false; ; resent = true {
		if err := c.Connect(ctx); err != nil {
			return "", 0, "", err
		}
		reused := c.used
		c.used = true
		answer, sentAt, err := c.roundTrip(o, timeout, isRetry, key)
		if err == nil {
			c.Cluster.recordAnswer(o, sentAt, answer)
			return answer.status, answer.retryAfter, answer.body, nil
		}
		target := c.Targets[c.Current]
		killed, paused := target.isKilled(), target.pausedAt(sentAt+timeout)
		c.Close()
		if reused && !resent && !killed && !errors.Is(err, errAnswerOwed) {
			continue // it crossed the end of a resting connection, and is sent once more
		}
		c.recordLoss(ctx, err, killed, paused, reused)
		return "", 0, "", err
	}
}

// roundTrip sends a request and waits for its answer.
func (c *Client) roundTrip(o Object, timeout time.Duration, isRetry bool, key string) (answer clientAnswer, sentAt time.Duration,
	err error) {
	c.tag++
	message := requestMessage(o, requestParameters{c.tag, fmt.Sprintf("%016x", c.Rand.Uint64()), timeout, isRetry && !c.UnmarkedRetries, key})
	sentAt = c.Cluster.Now()
	c.Cluster.Clients.WithLock(func(s *ClientStats) { count(&s.AttemptSeries, sentAt) })
	if _, err = c.conn.Write(message); err == nil {
		answer, err = c.readAnswer(c.tag, timeout+answerSlack)
	}
	return answer, sentAt, err
}

// recordAnswer counts a client's answer to a request that it sent at a time, and what is wrong with its bytes.
func (c *Cluster) recordAnswer(o Object, sentAt time.Duration, answer clientAnswer) {
	c.Clients.WithLock(func(s *ClientStats) {
		s.AnswersByStatus[answer.status]++
		if answer.status == statusRejected {
			count(&s.RejectSeries, c.Now())
		}
		if answer.status != statusOK {
			return
		}
		count(&s.SuccessSeries, c.Now())
		id, born, ok := parseBody(answer.body)
		if !ok || id != o.ID {
			s.WrongBodies++
			return
		}
		if at := c.bindingPurge(o.ID, o.Group, sentAt); at > 0 && born < c.startedAt.Add(at).UnixMilli() {
			s.StaleCopies++
		}
	})
}

// recordLoss counts an attempt that has no answer. One whose client gave up is owed none.
func (c *Client) recordLoss(ctx context.Context, err error, killed, paused, reused bool) {
	c.Cluster.Clients.WithLock(func(s *ClientStats) {
		switch {
		case killed:
			s.LostToKills++
		case paused && errors.Is(err, errAnswerOwed):
			s.LostToPauses++
		case ctx.Err() == nil:
			s.Lost++
			s.LostReasons[fmt.Sprintf("%v reused=%v", err, reused)]++
		}
	})
}

// Request asks for an object, and again where it is rejected or fails, until it has it, its time is up or its retries are used.
func (c *Client) Request(ctx context.Context, o Object) ClientRequest {
	request := ClientRequest{
		ContentType:       o.Type,
		StartedAt:         c.Cluster.Now(),
		IgnoresRetryAfter: c.IgnoreRetryAfter,
		TransferMicros:    c.Cluster.transferMicros(o.Type, o.ID),
	}
	key := ""
	if o.Type.IdempotentWithKey {
		key = fmt.Sprintf("%016x%016x", c.Rand.Uint64(), c.Rand.Uint64())
	}
	for {
		left := o.Type.Timeout - (c.Cluster.Now() - request.StartedAt)
		if left <= minimumAttempt || request.Attempts > c.MaxRetries || ctx.Err() != nil {
			break
		}
		retryAfter := c.attemptOf(ctx, &request, o, left, key)
		if request.Succeeded {
			break
		}
		if pause := c.pauseBefore(retryAfter); pause > 0 && !Sleep(ctx, pause) {
			break
		}
	}
	if request.Duration = c.Cluster.Now() - request.StartedAt; ctx.Err() == nil {
		c.Cluster.Clients.WithLock(func(s *ClientStats) { s.Requests = append(s.Requests, request) })
	}
	return request
}

// attemptOf makes the next attempt of a request, and returns the time that it was told to stay away; 0 for none.
func (c *Client) attemptOf(ctx context.Context, request *ClientRequest, o Object, left time.Duration, key string) time.Duration {
	request.Attempts++
	isRetry := request.Attempts > 1
	if isRetry && time.Until(c.notBefore) > earlySlack {
		c.Cluster.Clients.WithLock(func(s *ClientStats) { s.EarlyRetries++ })
	}
	status, retryAfter, _, err := c.Attempt(ctx, o, left, isRetry, key)
	request.LastStatus = status
	if err == nil && !isRetry {
		c.Cluster.Clients.WithLock(func(s *ClientStats) { s.FirstAnswered++ })
	}
	if c.FreshConnections {
		c.Close()
	}
	request.Succeeded = err == nil && status == statusOK
	return retryAfter
}

// pauseBefore is how long the client waits before a retry, given the time that it was told to stay away; 0 for none.
func (c *Client) pauseBefore(retryAfter time.Duration) time.Duration {
	c.notBefore = time.Time{}
	if retryAfter <= 0 {
		return c.RetryPause
	}
	c.notBefore = time.Now().Add(retryAfter)
	at := c.Cluster.Now() + retryAfter
	c.Cluster.Clients.WithLock(func(s *ClientStats) { count(&s.RetryAfterSeries, at) })
	if c.IgnoreRetryAfter {
		return c.RetryPause
	}
	return retryAfter
}

// Run requests one object after another until the context ends, from a time since the cluster's start on, with a pause of meanPause on
// average between them.
func (c *Client) Run(ctx context.Context, from, meanPause time.Duration) {
	defer c.Close()
	if !Sleep(ctx, from-c.Cluster.Now()) {
		return
	}
	for ctx.Err() == nil {
		c.Request(ctx, c.Cluster.DrawObject(c.Rand, c.Zipf))
		if !Sleep(ctx, time.Duration(c.Rand.ExpFloat64()*float64(meanPause))) {
			return
		}
	}
}

// Idle connects and says nothing, again and again, until the context ends.
func (c *Client) Idle(ctx context.Context) {
	defer c.Close()
	for ctx.Err() == nil {
		if c.Connect(ctx) != nil {
			return
		}
		if err := c.conn.SetReadDeadline(time.Now().Add(idleFor)); err == nil {
			_, _ = c.conn.Read(c.answers.buffer[:]) // however it ends, the next connection follows
		}
		c.Close()
	}
}

// Sleep waits; it returns false when the context has ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
