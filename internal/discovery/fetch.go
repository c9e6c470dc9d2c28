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

// maxAnswerBytes limits how much of an answer is read. The complete events in a longer answer are
// used, and the next poll continues after them.
const maxAnswerBytes = 8 << 20

// Errors of a poll, apart from statusError and decoding errors.
var (
	errNoAnswer  = errors.New("no answer")
	errTruncated = errors.New("truncated answer")
)

// statusError reports an answer whose HTTP status is not 200.
type statusError struct {
	status     int
	retryAfter time.Duration // from the Retry-After header; 0 if missing
}

// Error returns a text with the status.
func (e statusError) Error() string { return fmt.Sprintf("HTTP status %d", e.status) }

// overloaded reports whether the status is of a temporary kind, so that a later poll may succeed.
func (e statusError) overloaded() bool {
	return e.status >= http.StatusInternalServerError || e.status == http.StatusTooManyRequests
}

// newHTTPClient returns the HTTP client for one Run. It allows two connections, enough for the
// current poll and a canceled one.
func newHTTPClient(timeouts policy.Timeouts) *http.Client {
	connect := timeouts.Connect.Duration()
	return &http.Client{
		Timeout:   timeouts.LongPoll.Duration() + 2*connect,
		Transport: &http.Transport{MaxConnsPerHost: 2, DisableCompression: true, DialContext: dialIPv4(connect)},
	}
}

// dialIPv4 restricts connections to the channel to TCP over IPv4: the fleet's bench rejects other
// sockets, so a name that also resolves to an IPv6 address must not open one.
//
// The dialer has its own timeout because http.Transport continues a dial after its poll is
// canceled, and counts it against MaxConnsPerHost. Without the timeout, dials that are never
// answered would block all later polls.
func dialIPv4(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: timeout}
		return dialer.DialContext(ctx, "tcp4", address)
	}
}

// fetch sends a poll and decodes the answer. A panic during decoding is returned as an error, so
// that a single answer cannot end the process.
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
	defer func() { _ = resp.Body.Close() }() // the body is only read
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError{resp.StatusCode, parseRetryAfter(resp.Header.Get("Retry-After"))}
	}
	if len(raw) == maxAnswerBytes {
		return c.decodeTruncated(raw)
	}
	events, err = c.Decode(raw)
	if isErrorAtEnd(err, len(raw)) {
		err = fmt.Errorf("%w: %w", errTruncated, err)
	}
	return events, err
}

// isErrorAtEnd reports whether a JSON syntax error is at the end of the text, which means that the
// text is truncated.
func isErrorAtEnd(err error, length int) bool {
	var syntaxError *json.SyntaxError
	return errors.As(err, &syntaxError) && syntaxError.Offset >= int64(length)
}

// classify returns the result of a poll, and the delay that the channel requested before the next
// poll; 0 if it requested none.
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

// classifyError returns the result of a failed poll, and the requested delay as classify does.
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

// parseRetryAfter parses a Retry-After header, which holds seconds or a date. It returns 0 if the
// header is missing or malformed.
func parseRetryAfter(value string) time.Duration {
	if seconds, err := strconv.ParseUint(value, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if date, err := http.ParseTime(value); err == nil {
		return max(0, time.Until(date))
	}
	return 0
}
