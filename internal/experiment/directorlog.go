package experiment

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"

	"tallyproxy/internal/logevent"
)

// removeFolder removes the directors' files. A failure only leaves files in the system's folder for
// temporary files.
func removeFolder(path string) { _ = os.RemoveAll(path) }

// directorLog receives the log of several directors. It counts lines of interest and copies all
// lines to an output. It is safe for concurrent use; its counts may be read once the directors have
// ended.
type directorLog struct {
	mu          sync.Mutex
	output      io.Writer // nil for none
	overloads   int       // logged detections of an overload
	clockStalls int       // logged detections of a stall
}

// Write implements io.Writer. It ignores errors of the output: a director must not fail because its
// log can't be written.
func (l *directorLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overloads += strings.Count(string(b), "event="+logevent.OverloadState+" state=rising")
	l.clockStalls += strings.Count(string(b), "event="+logevent.ClockStall)
	if l.output != nil {
		_, _ = l.output.Write(b)
	}
	return len(b), nil
}

// String returns the log so far if the output is a fmt.Stringer, else an empty string.
func (l *directorLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if text, ok := l.output.(fmt.Stringer); ok {
		return text.String()
	}
	return ""
}
