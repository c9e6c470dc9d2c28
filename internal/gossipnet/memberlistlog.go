package gossipnet

import (
	"bytes"
	"log/slog"
	"regexp"
	"sync"
	"time"

	"tallyproxy/internal/logevent"
)

// errorReportInterval is the time between two log lines about memberlist's errors.
const errorReportInterval = 10 * time.Second

// suspectLine is the line in which memberlist reports that a member did not answer a probe. It has no callback for that.
var suspectLine = regexp.MustCompile(`Suspect (\S+) has failed`)

// logWriter takes memberlist's log. All lines are logged for debugging; errors are counted, and logged together now and then.
type logWriter struct {
	onSuspect func(name string) // called from memberlist's goroutines

	mu         sync.Mutex
	errors     int // since reportedAt
	lastError  string
	reportedAt time.Time
}

// Write takes one line.
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

// flush logs the number of errors and the last of them, once in errorReportInterval.
func (w *logWriter) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.errors > 0 && time.Since(w.reportedAt) >= errorReportInterval {
		slog.Warn(logevent.MemberlistErrors, "lines", w.errors, "last", w.lastError)
		w.errors, w.reportedAt = 0, time.Now()
	}
}
