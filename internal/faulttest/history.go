package faulttest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"tallyproxy/internal/logevent"
)

// noDirector is the director number of entries that concern no director.
const noDirector = -1

// Entries for harness actions have this event; the attribute "what" names the action.
const (
	harnessEvent    = "do"
	actionAttribute = "what"
)

// Harness actions on a director that checkers evaluate.
const (
	actionKill      = string(Kill)
	actionTerminate = string(Terminate)
)

// An entry with this attribute marks the start or the end of a time in which directors can't
// reliably see each other.
const (
	disruptionAttribute = "disruption"
	disruptionOn        = "on"
	disruptionOff       = "off"
)

// Entry is a line that a director logged or an action of the harness.
type Entry struct {
	At         time.Time         // by the machine's clock
	Director   int               // number of the director; -1 for none
	Event      string            // event of the log line; "do" for a harness action
	Attributes map[string]string // attributes of the log line; "what" names a harness action
}

// isAction reports whether the entry is one of the given harness actions.
func (e Entry) isAction(actions ...string) bool {
	return e.Event == harnessEvent && slices.Contains(actions, e.Attributes[actionAttribute])
}

// isDisruption reports whether the entry marks the start or the end of a disruption, as selected by
// state.
func (e Entry) isDisruption(state string) bool {
	return e.Event == harnessEvent && e.Attributes[disruptionAttribute] == state
}

// History collects, with times, the log lines of all directors that checkers need and the actions
// of the harness on them. It is safe for concurrent use.
type History struct {
	mu      sync.Mutex
	entries []Entry // in the order of arrival, maxEntries at most
}

// maxEntries limits the size of a history; further entries are dropped.
const maxEntries = 2_000_000

// checkedEvents are the log events that the history keeps for checkers.
var checkedEvents = map[string]bool{
	logevent.PeerState:            true,
	logevent.MembershipView:       true,
	logevent.Quota:                true,
	logevent.Started:              true,
	logevent.Stopping:             true,
	logevent.Stopped:              true,
	logevent.ClockStall:           true,
	logevent.ClockStallResolved:   true,
	logevent.PeerNameConflict:     true,
	logevent.MemberlistErrors:     true,
	logevent.HintProbed:           true,
	logevent.GossipReceived:       true,
	logevent.DiscoveryUnreachable: true,
	logevent.DiscoveryReachable:   true,
	logevent.ViewUnconfirmed:      true,
	logevent.WarmStart:            true,
	logevent.DiscoveryEvents:      true,
	logevent.RelayRole:            true,
	logevent.EndpointListRelayed:  true,
	logevent.PanicRecovered:       true,
	logevent.StartFailed:          true,
	logevent.DiscoveryPollFailed:  true,
	logevent.HalfCloseDelayed:     true,
}

// add appends an entry unless the history is full.
func (h *History) add(e Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.entries) < maxEntries {
		h.entries = append(h.entries, e)
	}
}

// Record adds an action of the harness on a director, or on none if director is -1. The attributes
// may be nil.
func (h *History) Record(director int, action string, attributes map[string]string) {
	if attributes == nil {
		attributes = map[string]string{}
	}
	attributes[actionAttribute] = action
	h.add(Entry{time.Now(), director, harnessEvent, attributes})
}

// Entries returns all entries so far, sorted by time.
func (h *History) Entries() []Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := slices.Clone(h.entries)
	slices.SortStableFunc(all, func(a, b Entry) int { return a.At.Compare(b.At) })
	return all
}

// String returns the entries so far as text, one per line.
func (h *History) String() string {
	var out strings.Builder
	for _, e := range h.Entries() {
		fmt.Fprintf(&out, "%s n%d %s %v\n", e.At.Format("05.000000"), e.Director, e.Event, e.Attributes)
	}
	return out.String()
}
