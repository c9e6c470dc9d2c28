// Package stage has the stand-ins of the second review: a director as a process, cache nodes, the
// command channel and clients. Each of them does what the operators' pages say and writes down what
// it was sent, so that a case can judge a rule by what clients, nodes and the platform see.
package stage

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of a case, record.txt. Its methods are safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file at path and starts the clock of the case.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Now returns the time since the start of the case.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Add writes one line with the time in seconds.
func (r *Record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.4f %s\n", r.Now().Seconds(), fmt.Sprintf(format, values...))
}

// Say writes one line to the record and to the standard output.
func (r *Record) Say(format string, values ...any) {
	r.Add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// UnixMillis returns a time as Unix milliseconds.
func UnixMillis(t time.Time) int64 { return t.Sub(time.Unix(0, 0)).Milliseconds() }

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NoRun  = 2 // the case could not run
)

// Disturbed reports whether the case is to play its disruption.
func Disturbed() bool { return os.Getenv("TROUBLE") != "0" }
