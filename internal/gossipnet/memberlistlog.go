package gossipnet

import (
	"bytes"
	"log/slog"
	"regexp"
	"sync"
	"time"

	"tallyproxy/internal/logevent"
)

// errorReportInterval is the minimum time between two log lines about memberlist's errors.
const errorReportInterval = 10 * time.Second

// suspectLine matches the log line with which memberlist reports that a member did not answer a
// probe. memberlist has no callback for this.
var suspectLine = regexp.MustCompile(`Suspect (\S+) has failed`)

// logWriter receives memberlist's log. It logs each line at debug level; errors are also counted
// and reported periodically.
type logWriter struct {
	onSuspect func(name string) // called from memberlist's goroutines

	mu         sync.Mutex
	errors     int // errors since reportedAt
	lastError  string
	reportedAt time.Time
}

// Write handles one line.
func (w *logWriter) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	slog.Debug(logevent.Memberlist, "text", text)
	if match := suspectLine.FindStringSubmatch(text); match != nil {
		w.onSuspect(match[1])
	}
	if bytes.Contains(line, []byte("[ERR]")) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.errors++
		w.lastError = text
	}
	return len(line), nil
}

// flush logs the number of errors and the last one, at most once per errorReportInterval.
func (w *logWriter) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.errors > 0 && time.Since(w.reportedAt) >= errorReportInterval {
		slog.Warn(logevent.MemberlistErrors, "lines", w.errors, "last", w.lastError)
		w.errors, w.reportedAt = 0, time.Now()
	}
}
