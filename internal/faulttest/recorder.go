package faulttest

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"time"

	"tallyproxy/internal/logevent"
)

// timeLayout is the layout of the time in a director's log lines.
const timeLayout = "2006-01-02T15:04:05.000000Z"

const (
	maxTailLines     = 40
	maxRaceLines     = 60
	raceReportMarker = "DATA RACE" // marks the first line of a race detector report
)

// recorder receives the output of one director and adds its log lines to the history.
type recorder struct {
	history  *History
	director int

	mu        sync.Mutex
	partial   []byte   // incomplete last line
	lastLines []string // reported if the director fails
	raceLines []string // first report of the race detector
}

// Write accepts output in pieces of any size. It never fails.
func (r *recorder) Write(output []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partial = append(r.partial, output...)
	for {
		end := bytes.IndexByte(r.partial, '\n')
		if end < 0 {
			return len(output), nil
		}
		r.addLine(string(r.partial[:end]))
		r.partial = r.partial[end+1:]
	}
}

// addLine processes one line. The caller holds the lock.
func (r *recorder) addLine(text string) {
	if len(r.raceLines) > 0 && len(r.raceLines) < maxRaceLines || strings.Contains(text, raceReportMarker) {
		r.raceLines = append(r.raceLines, text)
	}
	entry := parseLine(text)
	entry.Director = r.director
	// Keep lines of the director itself and lines of a crash, but none of memberlist.
	if entry.At.IsZero() || entry.Event != logevent.Memberlist {
		if r.lastLines = append(r.lastLines, text); len(r.lastLines) > maxTailLines {
			r.lastLines = r.lastLines[1:]
		}
	}
	if checkedEvents[entry.Event] {
		r.history.add(entry)
	}
}

// parseLine parses a log line. The entry of any other text has no event.
func parseLine(text string) Entry {
	entry := Entry{Attributes: map[string]string{}}
	for pair := range logPairs(text) {
		key, value, _ := strings.Cut(pair, "=")
		switch key {
		case "time":
			entry.At, _ = time.Parse(timeLayout, value)
		case "event":
			entry.Event = value
		default:
			entry.Attributes[key] = value
		}
	}
	return entry
}

// logPairs yields the key=value pairs of a log line; values that contain spaces are quoted.
func logPairs(text string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for text != "" {
			end := pairEnd(text)
			if !yield(text[:end]) {
				return
			}
			text = text[min(len(text), end+1):]
		}
	}
}

// pairEnd returns the index of the first space outside quotes, or the length of the text if there
// is none.
func pairEnd(text string) int {
	quoted := false
	for i := range len(text) {
		if text[i] == '"' && (i == 0 || text[i-1] != '\\') {
			quoted = !quoted
		}
		if text[i] == ' ' && !quoted {
			return i
		}
	}
	return len(text)
}

// tail returns the first report of the race detector followed by the last lines of a director's
// output.
func (r *recorder) tail() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(append(slices.Clone(r.raceLines), r.lastLines...), "\n")
}
