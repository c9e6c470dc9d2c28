package dispatch

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"tallyproxy/policy"
)

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestDebugLinesNameRequestAndReason guards against an incident in which the log cannot tell why a
// request was retried or ended and why its connections were closed.
func TestDebugLinesNameRequestAndReason(t *testing.T) {
	var log syncBuffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	t.Cleanup(func() { slog.SetDefault(before) })
	h := newHarness(t, 0, sendToE1, policy.Decision{Action: policy.Reject, Reason: policy.ReasonExhausted})
	h.request("1", "")
	h.expectAtEndpoint("want a000000000000001 ")
	closeAll(t, h.endpointConn)
	h.expectAnswer("1 503  ")
	closeAll(t, h.client)
	for _, want := range [][]string{
		{"msg=attempt_failed", "txn=a000000000000001", "endpoint=e1", "result=connection_lost"},
		{"msg=request_ended", "txn=a000000000000001", "rejected=true", "reason=exhausted", "attempts=1"},
		{"msg=upstream_closed", "attempts=1"},
		{"msg=downstream_closed", "reason=ended", "pending=0"},
	} {
		waitFor(t, strings.Join(want, " "), func() bool { return hasLine(log.String(), want) })
	}
}

// hasLine reports whether a line of the text contains all parts.
func hasLine(text string, parts []string) bool {
	for line := range strings.Lines(text) {
		found := true
		for _, part := range parts {
			found = found && strings.Contains(line, part)
		}
		if found {
			return true
		}
	}
	return false
}
