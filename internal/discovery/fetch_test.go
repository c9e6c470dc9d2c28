package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"tallyproxy/backoff"
	"tallyproxy/internal/fakes"
)

// respond writes an answer. It ignores errors, since the client may have canceled the poll.
func respond(w io.Writer, text string) {
	_, _ = io.WriteString(w, text)
}

// TestClassifyError guards against a failed poll that is classified wrongly, which would select the
// wrong pause before the next poll.
func TestClassifyError(t *testing.T) {
	cases := []struct {
		name       string
		serve      http.HandlerFunc // nil if no server listens
		want       backoff.PollResult
		retryAfter time.Duration
	}{
		{"nobody listens", nil, backoff.ConnectFailed, 0},
		{"closed before an answer", func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }, backoff.ConnectFailed, 0},
		{"overloaded", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, backoff.Unavailable, 0},
		{"overloaded with a retry time", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "5")
			w.WriteHeader(http.StatusTooManyRequests)
		}, backoff.Unavailable, 5 * time.Second},
		{"overloaded with a malformed retry time", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "-5")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, backoff.Unavailable, 0},
		{"not found", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, backoff.Malformed, 0},
		{"truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "999")
			respond(w, `{"cursor":2,`)
		}, backoff.Truncated, 0},
		{"truncated without a length that says so", func(w http.ResponseWriter, _ *http.Request) { respond(w, `{"cursor":2,"cmds":[`) }, backoff.Truncated, 0},
		{"malformed", func(w http.ResponseWriter, _ *http.Request) { respond(w, `{"cursor":"x"}`) }, backoff.Malformed, 0},
		{"silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, backoff.TimedOut, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.serve)
			if c.serve == nil {
				server.Close()
			}
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			client := &http.Client{}
			defer client.CloseIdleConnections()
			_, err := New(testSite).fetch(ctx, client, server.URL+"/cmd/next")
			if result, retryAfter := classifyError(err); result != c.want || retryAfter != c.retryAfter {
				t.Errorf("%v: %v, retry after %v; want %v, %v", err, result, retryAfter, c.want, c.retryAfter)
			}
		})
	}
}

// TestLongAnswer guards against an answer over maxAnswerBytes that is requested again and again:
// after a long outage, the channel may send that many events.
func TestLongAnswer(t *testing.T) {
	const events = 200_000 // more than 8 MiB
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resume, err := strconv.Atoi(r.FormValue("resume"))
		if err != nil {
			t.Error(err)
		}
		var answer strings.Builder
		fmt.Fprintf(&answer, `{"cursor":%d,"cmds":[`, events)
		for n := resume + 1; n <= events; n++ {
			fmt.Fprintf(&answer, `{"cursor":%d,"drop":{"family":17,"when":17645760}},`, n)
		}
		respond(w, strings.TrimSuffix(answer.String(), ",")+"]}")
	}))
	defer server.Close()
	client := New(testSite)
	next, polls := int64(1), 0
	for ; next <= events && polls < 5; polls++ {
		got, err := client.fetch(t.Context(), server.Client(), fmt.Sprint(server.URL, "/cmd/next?resume=", client.cursor))
		if err != nil {
			t.Fatalf("poll %d, after event %d: %v", polls, next-1, err)
		}
		for _, e := range got {
			if e.Cursor != next {
				t.Fatalf("received event %d, want %d", e.Cursor, next)
			}
			next++
		}
	}
	if t.Logf("%d polls", polls); next <= events {
		t.Errorf("%d polls returned %d of %d events", polls, next-1, events)
	}
}

// TestEventTooLong guards against a single event that exceeds maxAnswerBytes without an error: the
// next poll would return it again.
func TestEventTooLong(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		respond(w, `{"cursor":1,"cmds":[{"cursor":1,"nodes":{"endpoints":[{"name":"`+strings.Repeat("x", maxAnswerBytes)+`"}]}}]}`)
	}))
	defer server.Close()
	if _, err := New(testSite).fetch(t.Context(), server.Client(), server.URL); !errors.Is(err, errEventTooLong) {
		t.Errorf("got %v", err)
	}
}

// TestDialTimeout guards against unanswered dials that continue after their polls were canceled:
// two of them would block all later polls.
func TestDialTimeout(t *testing.T) {
	listener, err := fakes.ListenUnresponsive()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // nothing is written to it
	dialed := make(chan error, 1)
	go func() {
		_, err := dialIPv4(50*time.Millisecond)(context.WithoutCancel(t.Context()), "tcp", listener.Addr().String())
		dialed <- err
	}()
	select {
	case err := <-dialed:
		if err == nil {
			t.Error("the dial succeeded")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the dial did not time out")
	}
}
