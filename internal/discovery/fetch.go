package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"tallyproxy/backoff"
	"tallyproxy/policy"
)

// maxAnswerBytes bounds what is read of one answer. Of a longer one the events that came whole are taken, and the next poll goes on after
// them.
const maxAnswerBytes = 8 << 20

// Ways in which a poll fails, beside a statusError and errors of decoding.
var (
	errNoAnswer  = errors.New("no answer")
	errTruncated = errors.New("truncated answer")
)

// statusError is an answer with another status than 200.
type statusError struct {
	status     int
	retryAfter time.Duration // of the Retry-After header; 0 where there is none
}

// Error names the status.
func (e statusError) Error() string { return fmt.Sprintf("status %d", e.status) }

// overloaded reports whether the channel may answer later.
func (e statusError) overloaded() bool {
	return e.status >= http.StatusInternalServerError || e.status == http.StatusTooManyRequests
}

// newHTTPClient returns the client of one Run. Two connections are enough for a poll and one that was canceled.
func newHTTPClient(timeouts policy.Timeouts) *http.Client {
	connect := timeouts.Connect.Duration()
	return &http.Client{
		Timeout:   timeouts.LongPoll.Duration() + 2*connect,
		Transport: &http.Transport{MaxConnsPerHost: 2, DisableCompression: true, DialContext: dialIPv4(connect)},
	}
}

// dialIPv4 keeps the channel's connections on TCP over IPv4: the fleet's bench refuses other sockets, and a name that also stands
// for an IPv6 address must not open one. The dial of a canceled poll goes on without it, and MaxConnsPerHost counts it: without a
// timeout of its own, dials that nobody answers would keep all later polls back.
func dialIPv4(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: timeout}
		return dialer.DialContext(ctx, "tcp4", address)
	}
}

// fetch sends one poll and decodes its answer. A panic while decoding is an error as any other, so that one answer can't end the
// process.
func (c *Client) fetch(ctx context.Context, client *http.Client, url string) (events []Event, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			events, err = nil, fmt.Errorf("panic: %v", cause)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	defer func() { _ = resp.Body.Close() }() // of a body that is only read
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError{resp.StatusCode, parseRetryAfter(resp.Header.Get("Retry-After"))}
	}
	if len(raw) == maxAnswerBytes {
		return c.decodeCutOff(raw)
	}
	events, err = c.Decode(raw)
	if endsEarly(err, len(raw)) {
		err = fmt.Errorf("%w: %w", errTruncated, err)
	}
	return events, err
}

// endsEarly reports whether a decoding error stands at the end of the text.
func endsEarly(err error, length int) bool {
	var syntaxError *json.SyntaxError
	return errors.As(err, &syntaxError) && syntaxError.Offset >= int64(length)
}

// classify says how a poll ended, and when the channel asked to be polled again; 0 where it did not.
func classify(events []Event, err error, canceled bool) (result backoff.PollResult, retryAfter time.Duration) {
	switch {
	case err == nil && len(events) > 0:
		return backoff.Changed, 0
	case canceled:
		return backoff.Canceled, 0
	case err == nil:
		return backoff.Unchanged, 0
	}
	return classifyError(err)
}

// classifyError says how a poll failed.
func classifyError(err error) (result backoff.PollResult, retryAfter time.Duration) {
	var status statusError
	var netError net.Error
	switch {
	case errors.As(err, &status) && status.overloaded():
		return backoff.Unavailable, status.retryAfter
	case errors.As(err, &status):
		return backoff.Malformed, 0
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &netError) && netError.Timeout():
		return backoff.TimedOut, 0
	case errors.Is(err, errTruncated):
		return backoff.Truncated, 0
	case errors.Is(err, errNoAnswer):
		return backoff.ConnectFailed, 0
	}
	return backoff.Malformed, 0
}

// parseRetryAfter reads the value of a Retry-After header, seconds or a date; 0 where there is none or it can't be read.
func parseRetryAfter(value string) time.Duration {
	if seconds, err := strconv.ParseUint(value, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if date, err := http.ParseTime(value); err == nil {
		return max(0, time.Until(date))
	}
	return 0
}
