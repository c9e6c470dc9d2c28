package faulttest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"tallyproxy/internal/logevent"
)

// harnessItself is the director of entries about none of them.
const noDirector = -1

// Entries of what the harness does have this event; attribute "what" says what it did.
const (
	harnessEvent    = "do"
	actionAttribute = "what"
)

// Actions of the harness on a director that checkers look at.
const (
	actionKill      = string(Kill)
	actionTerminate = string(Terminate)
)

// An entry with this attribute says that from now on, or no longer, directors can't see each other well.
const (
	disruptionAttribute = "disruption"
	disruptionOn        = "on"
	disruptionOff       = "off"
)

// Entry is one line that a director logged, or one thing that the harness did.
type Entry struct {
	At         time.Time         // by the clock of the machine
	Director   int               // its number; -1 where it is about none of them
	Event      string            // of the log line; "do" for what the harness did
	Attributes map[string]string // of the log line, as text; "what" for what the harness did
}

// isAction says whether an entry is of an action of the harness.
func (e Entry) isAction(actions ...string) bool {
	return e.Event == harnessEvent && slices.Contains(actions, e.Attributes[actionAttribute])
}

// isDisruption says whether an entry tells the begin of a disruption, or its end.
func (e Entry) isDisruption(state string) bool {
	return e.Event == harnessEvent && e.Attributes[disruptionAttribute] == state
}

// History keeps what every director logged and what was done to it, with times: of log lines those that checkers need. It may be used by
// any goroutine.
type History struct {
	mu      sync.Mutex
	entries []Entry // in the order of their arrival, maxEntries at the most
}

// maxEntries bounds a history; what comes beyond is dropped.
const maxEntries = 2_000_000

// checkedEvents are the directors' events that checkers look at.
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

// add appends an entry, as long as there is room.
func (h *History) add(e Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.entries) < maxEntries {
		h.entries = append(h.entries, e)
	}
}

// Record adds what the harness does to a director, or -1 for none of them, with attributes that may be nil.
func (h *History) Record(director int, action string, attributes map[string]string) {
	if attributes == nil {
		attributes = map[string]string{}
	}
	attributes[actionAttribute] = action
	h.add(Entry{time.Now(), director, harnessEvent, attributes})
}

// Entries returns all entries so far, by time.
func (h *History) Entries() []Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := slices.Clone(h.entries)
	slices.SortStableFunc(all, func(a, b Entry) int { return a.At.Compare(b.At) })
	return all
}

// String returns the entries so far as text, a line each.
func (h *History) String() string {
	var out strings.Builder
	for _, e := range h.Entries() {
		fmt.Fprintf(&out, "%s n%d %s %v\n", e.At.Format("05.000000"), e.Director, e.Event, e.Attributes)
	}
	return out.String()
}
