package faulttest

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tallyproxy/internal/logevent"
)

// Entry is one thing that a process said, or that was done to it.
type Entry struct {
	At         time.Time
	Director   int    // the director; -1 for the world
	Event      string // of its log, or "do" for what the rig did
	Attributes map[string]string
}

// History is what every process saw and did, with times. It keeps what checkers need and no more.
type History struct {
	mu      sync.Mutex
	entries []Entry
	dropped int
}

const mostEntries = 2_000_000

// kept are the events of directors that checkers look at.
var kept = map[string]bool{
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
}

func (h *History) add(e Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.entries) >= mostEntries {
		h.dropped++
		return
	}
	h.entries = append(h.entries, e)
}

// Record writes down what the rig does.
func (h *History) Record(who int, what string, of map[string]string) {
	if of == nil {
		of = map[string]string{}
	}
	of["what"] = what
	h.add(Entry{time.Now(), who, "do", of})
}

// Entries are all so far, by time; what two processes said is ordered by their clocks.
func (h *History) Entries() []Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := slices.Clone(h.entries)
	slices.SortStableFunc(all, func(a, b Entry) int { return a.At.Compare(b.At) })
	return all
}

// String prints it, a line an entry.
func (h *History) String() string {
	var out strings.Builder
	for _, e := range h.Entries() {
		fmt.Fprintf(&out, "%s n%d %s %v\n", e.At.Format("05.000000"), e.Director, e.Event, e.Attributes)
	}
	return out.String()
}

// recorder takes one director's log.
type recorder struct {
	h    *History
	who  int
	rest []byte
	mu   sync.Mutex
	tail []string // the last lines, for one that ends badly
	race []string // what the race detector says of the first it finds
}

func (r *recorder) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rest = append(r.rest, b...)
	for {
		i := bytes.IndexByte(r.rest, '\n')
		if i < 0 {
			return len(b), nil
		}
		r.line(string(r.rest[:i]))
		r.rest = r.rest[i+1:]
	}
}

func (r *recorder) line(text string) {
	if len(r.race) > 0 && len(r.race) < 60 || strings.Contains(text, "DATA RACE") {
		r.race = append(r.race, text)
	}
	e := Entry{Director: r.who, Attributes: map[string]string{}}
	for word := range words(text) {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "time":
			e.At, _ = time.Parse("2006-01-02T15:04:05.000000Z", value)
		case "event":
			e.Event = value
		default:
			e.Attributes[name] = value
		}
	}
	if e.Event == "" || e.At.IsZero() || e.Event != logevent.Memberlist { // its own lines, and those of a crash
		if r.tail = append(r.tail, text); len(r.tail) > 40 {
			r.tail = r.tail[1:]
		}
	}
	if kept[e.Event] {
		r.h.add(e)
	}
}

// words are the key=value pairs of a log line; values with spaces stand in quotes.
func words(text string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for text != "" {
			end, quoted := len(text), false
			for i := range len(text) {
				if text[i] == '"' && (i == 0 || text[i-1] != '\\') {
					quoted = !quoted
				}
				if text[i] == ' ' && !quoted {
					end = i
					break
				}
			}
			if !yield(text[:end]) {
				return
			}
			text = text[min(len(text), end+1):]
		}
	}
}

// Tail is the end of what a director wrote.
func (r *recorder) Tail() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(append(slices.Clone(r.race), r.tail...), "\n")
}

// QuotaSums says how the parts of a scope summed up: the most at any instant, over the whole, and how many instants were above what
// is allowed. A director that is there holds the fixed part, and what it said that it holds until then; one that is stopped may
// hold what it held.
func QuotaSums(entries []Entry, directors int, scope string, most float64) (peak float64, over int) {
	type holding struct {
		there bool
		part  float64
		until time.Time
	}
	held := map[int]*holding{}
	sum := func(at time.Time) {
		all := 0.0
		for _, h := range held {
			switch {
			case !h.there:
			case h.part > 1 && at.After(h.until):
				all++
			default:
				all += h.part
			}
		}
		all /= float64(directors)
		peak = max(peak, all)
		if all > most+1e-6 {
			over++
		}
	}
	for _, e := range entries {
		h := held[e.Director]
		if h == nil {
			h = &holding{part: 1}
			held[e.Director] = h
		}
		switch {
		case e.Event == logevent.Started:
			*h = holding{there: true, part: 1}
		case e.Event == logevent.Stopped, e.Event == "do" && e.Attributes["what"] == Kill:
			h.there = false
		case e.Event == logevent.Quota:
			h.part, _ = strconv.ParseFloat(e.Attributes[scope], 64)
			left, err := time.ParseDuration(e.Attributes[scope+"_for"])
			if h.until = e.At.Add(left); err != nil || left < 0 {
				h.until = e.At.Add(24 * time.Hour)
			}
		default:
			continue
		}
		sum(e.At)
	}
	return peak, over
}

// DetectionTimes says how long it took until all that live knew of each death: of one that was killed and not started again before all
// knew, with all links well and nobody stopped. Others say nothing of the detector.
func DetectionTimes(entries []Entry, names []string) (took []time.Duration, unknown int) {
	alive, since := map[int]bool{}, map[int]time.Time{}
	type death struct {
		at    time.Time
		who   int
		born  string
		heard map[int]bool
		spoil bool
	}
	born := map[string]string{}
	var open []*death
	troubled := 0
	for _, e := range entries {
		what := e.Attributes["what"]
		switch {
		case e.Event == logevent.Started:
			alive[e.Director], since[e.Director] = true, e.At
			for _, d := range open {
				d.spoil = d.spoil || d.who == e.Director
			}
		case e.Event == "do" && (what == Kill || what == Terminate):
			alive[e.Director] = false
			for _, d := range open {
				delete(d.heard, e.Director)
			}
			if what == Kill && e.Director < len(names) {
				d := &death{at: e.At, who: e.Director, born: born[names[e.Director]], heard: map[int]bool{}, spoil: troubled > 0}
				for i := range alive {
					if alive[i] && i < len(names) && since[i].Before(e.At.Add(-500*time.Millisecond)) {
						d.heard[i] = false
					}
				}
				if len(d.heard) > 0 && d.born != "" {
					open = append(open, d)
				}
			}
		case e.Event == "do" && e.Attributes["trouble"] == "on":
			troubled++
			for _, d := range open {
				d.spoil = true
			}
		case e.Event == "do" && e.Attributes["trouble"] == "off":
			troubled--
		case e.Event == logevent.PeerState && e.Attributes["state"] == "up":
			born[e.Attributes["name"]] = e.Attributes["incarnation"]
		case e.Event == logevent.PeerState && (e.Attributes["state"] == "failed" || e.Attributes["state"] == "left"):
			for _, d := range open {
				if _, waits := d.heard[e.Director]; waits && names[d.who] == e.Attributes["name"] {
					d.heard[e.Director] = true
				}
			}
		}
		open = slices.DeleteFunc(open, func(d *death) bool {
			if d.spoil {
				return true
			}
			for _, heard := range d.heard {
				if !heard {
					return false
				}
			}
			took = append(took, e.At.Sub(d.at))
			return true
		})
	}
	return took, len(open)
}

// PropagationTime says after how long so large a share of so many directors had first said something that shows that they knew, from a time on;
// negative where they never did.
func PropagationTime(entries []Entry, from time.Time, directors int, share float64, shows func(Entry) bool) time.Duration {
	first := map[int]time.Duration{}
	for _, e := range entries {
		if _, known := first[e.Director]; !known && e.Director >= 0 && !e.At.Before(from) && shows(e) {
			first[e.Director] = e.At.Sub(from)
		}
	}
	all := slices.Sorted(maps.Values(first))
	if want := int(math.Ceil(share * float64(directors))); want <= len(all) && want > 0 {
		return all[want-1]
	}
	return -1
}

// FalsePositives counts directors taken for failed, and suspected, while they were there, were not stopped, and all links were well and
// had been for a while.
func FalsePositives(entries []Entry, names []string, settled time.Duration) (failed, suspected int) {
	alive, clear, troubled := map[string]bool{}, time.Time{}, 0
	for _, e := range entries {
		switch {
		case e.Event == logevent.Started && e.Director >= 0 && e.Director < len(names):
			alive[names[e.Director]] = true
		case e.Event == "do" && e.Director >= 0 && e.Director < len(names) && (e.Attributes["what"] == Kill || e.Attributes["what"] == Terminate):
			alive[names[e.Director]] = false
		case e.Event == "do" && e.Attributes["trouble"] == "on":
			troubled++
		case e.Event == "do" && e.Attributes["trouble"] == "off":
			troubled--
			clear = e.At
		case e.Event == logevent.PeerState && alive[e.Attributes["name"]] && troubled == 0 && e.At.Sub(clear) > settled:
			failed += bit(e.Attributes["state"] == "failed")
			suspected += bit(e.Attributes["state"] == "suspected")
		}
	}
	return failed, suspected
}

// ConvergenceTime is how long after a time all that live first had the same view and kept it; negative where they did not.
func ConvergenceTime(entries []Entry, from time.Time) time.Duration {
	views, alive := map[int]string{}, map[int]bool{}
	since := time.Time{}
	for _, e := range entries {
		switch {
		case e.Event == logevent.Started:
			alive[e.Director], views[e.Director] = true, ""
		case e.Event == logevent.Stopping, e.Event == "do" && (e.Attributes["what"] == Kill || e.Attributes["what"] == Terminate):
			if e.Event == logevent.Stopping && e.Attributes["open"] != "" && since != (time.Time{}) {
				return max(0, since.Sub(from)) // the end
			}
			alive[e.Director] = false
		case e.Event == logevent.MembershipView:
			views[e.Director] = e.Attributes["digest"]
		default:
			continue
		}
		one, n := "", 0
		for i, on := range alive {
			if !on {
				continue
			}
			if n++; n == 1 {
				one = views[i]
			} else if one != views[i] {
				one = ""
			}
			if one == "" {
				break
			}
		}
		if one == "" {
			since = time.Time{}
		} else if since.IsZero() {
			since = e.At
		}
	}
	if since.IsZero() {
		return -1
	}
	return max(0, since.Sub(from))
}

func bit(on bool) int {
	if on {
		return 1
	}
	return 0
}
