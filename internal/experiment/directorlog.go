package experiment

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"

	"tallyproxy/internal/logevent"
)

// removeFolder removes the directors' files. What can't be removed stays in the system's folder for temporary files.
func removeFolder(path string) { _ = os.RemoveAll(path) }

// directorLog is the log of several directors. It counts lines of interest and copies all to an output. It is safe for concurrent use;
// its counts may be read once the directors have ended.
type directorLog struct {
	mu          sync.Mutex
	output      io.Writer // nil for none
	overloads   int       // lines that say that a director has detected an overload
	clockStalls int       // lines that say that a director has detected a stall
}

// Write implements io.Writer. Errors of the output are dropped: a director must not fail by its log.
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

// String is what was written, where the output keeps it.
func (l *directorLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if text, ok := l.output.(fmt.Stringer); ok {
		return text.String()
	}
	return ""
}
