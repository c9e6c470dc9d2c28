package faulttest

import (
	"maps"
	"math"
	"slices"
	"time"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
)

// States of other directors, as named in log lines and status reports.
var (
	stateUp        = membership.Up.String()
	stateSuspected = membership.Suspected.String()
	stateFailed    = membership.Failed.String()
	stateLeft      = membership.Left.String()
)

// minUptime is how long a director must have been up when another one dies to be expected to detect
// that death.
const minUptime = 500 * time.Millisecond

// DetectionTimes returns, for each death, the time until all live directors knew of it, and the
// number of deaths that some live director never learned of. names are the names of the directors,
// by number. A death counts if the director was killed and was not restarted before all others knew
// of the death, and if no link was disrupted and no director was paused until then. Other deaths do
// not measure the failure detector.
func DetectionTimes(entries []Entry, names []string) (took []time.Duration, unknown int) {
	d := deathTracker{names: names, upSince: map[int]time.Time{}, incarnations: map[string]string{}}
	for _, e := range entries {
		d.apply(e)
		took = append(took, d.takeDetected(e.At)...)
	}
	return took, len(d.undetected)
}

// death is the death of a director and how far the other directors have detected it.
type death struct {
	at       time.Time
	director int
	knows    map[int]bool // whether a director knows, for each one alive since the death
	excluded bool         // the death does not measure the failure detector
}

// isDetected reports whether all live directors know of the death.
func (d *death) isDetected() bool {
	for _, knows := range d.knows {
		if !knows {
			return false
		}
	}
	return true
}

// deathTracker tracks deaths while a history is read in order of time.
type deathTracker struct {
	names        []string
	upSince      map[int]time.Time // by number of each live director
	incarnations map[string]string // latest seen by other directors, by name
	disruptions  int               // number in effect
	undetected   []*death          // deaths that some live director does not know of
}

// apply updates the tracker with the next entry.
func (t *deathTracker) apply(e Entry) {
	switch {
	case e.Event == logevent.Started:
		t.upSince[e.Director] = e.At
		t.exclude(func(d *death) bool { return d.director == e.Director })
	case e.isAction(actionKill, actionTerminate):
		t.recordDeath(e)
	case e.isDisruption(disruptionOn):
		t.disruptions++
		t.exclude(func(*death) bool { return true })
	case e.isDisruption(disruptionOff):
		t.disruptions--
	case e.Event == logevent.PeerState:
		t.recordState(e)
	}
}

// exclude marks the undetected deaths that match as excluded.
func (t *deathTracker) exclude(which func(*death) bool) {
	for _, d := range t.undetected {
		d.excluded = d.excluded || which(d)
	}
}

// recordDeath handles the end of a director. Detection no longer waits for that director. If it was
// killed after other directors had seen it, they are expected to detect its death.
func (t *deathTracker) recordDeath(e Entry) {
	delete(t.upSince, e.Director)
	for _, d := range t.undetected {
		delete(d.knows, e.Director)
	}
	if !e.isAction(actionKill) || e.Director >= len(t.names) || t.incarnations[t.names[e.Director]] == "" {
		return
	}
	d := &death{at: e.At, director: e.Director, knows: map[int]bool{}, excluded: t.disruptions > 0}
	for director, since := range t.upSince {
		if director < len(t.names) && since.Before(e.At.Add(-minUptime)) {
			d.knows[director] = false
		}
	}
	if len(d.knows) > 0 {
		t.undetected = append(t.undetected, d)
	}
}

// recordState handles a director's log line about the state of another director.
func (t *deathTracker) recordState(e Entry) {
	name := e.Attributes["name"]
	switch e.Attributes["state"] {
	case stateUp:
		t.incarnations[name] = e.Attributes["incarnation"]
	case stateFailed, stateLeft:
		for _, d := range t.undetected {
			if _, awaited := d.knows[e.Director]; awaited && t.names[d.director] == name {
				d.knows[e.Director] = true
			}
		}
	}
}

// takeDetected removes the deaths that all live directors know of and the excluded ones, and
// returns the detection times of the former.
func (t *deathTracker) takeDetected(now time.Time) (took []time.Duration) {
	t.undetected = slices.DeleteFunc(t.undetected, func(d *death) bool {
		if d.excluded {
			return true
		}
		if !d.isDetected() {
			return false
		}
		took = append(took, now.Sub(d.at))
		return true
	})
	return took
}

// PropagationTime returns the time from the given start until the given share of the directors had
// each logged an entry for which shows returns true. It returns a negative time if fewer directors
// ever logged one.
func PropagationTime(entries []Entry, from time.Time, directors int, share float64, shows func(Entry) bool) time.Duration {
	first := map[int]time.Duration{}
	for _, e := range entries {
		if _, known := first[e.Director]; !known && e.Director >= 0 && !e.At.Before(from) && shows(e) {
			first[e.Director] = e.At.Sub(from)
		}
	}
	times := slices.Sorted(maps.Values(first))
	if want := int(math.Ceil(share * float64(directors))); want <= len(times) && want > 0 {
		return times[want-1]
	}
	return -1
}

// FalsePositives counts how often a director was marked failed or suspected although it was up and,
// for longer than minSettled, no link had been disrupted and no director had been paused. names are
// the names of the directors, by number.
func FalsePositives(entries []Entry, names []string, minSettled time.Duration) (failed, suspected int) {
	up, clearSince, disruptions := map[string]bool{}, time.Time{}, 0
	for _, e := range entries {
		named := e.Director >= 0 && e.Director < len(names)
		switch {
		case e.Event == logevent.Started && named:
			up[names[e.Director]] = true
		case named && e.isAction(actionKill, actionTerminate):
			up[names[e.Director]] = false
		case e.isDisruption(disruptionOn):
			disruptions++
		case e.isDisruption(disruptionOff):
			disruptions--
			clearSince = e.At
		case e.Event == logevent.PeerState && up[e.Attributes["name"]] && disruptions == 0 && e.At.Sub(clearSince) > minSettled:
			failed += boolean.Int(e.Attributes["state"] == stateFailed)
			suspected += boolean.Int(e.Attributes["state"] == stateSuspected)
		}
	}
	return failed, suspected
}

// ConvergenceTime returns the time from the given start until all live directors had the same view
// that they kept to the end of the history. It returns 0 if they had that view before the start,
// and a negative time if they have no common view at the end. The history counts as ended when a
// director is asked to stop while all have the same view.
func ConvergenceTime(entries []Entry, from time.Time) time.Duration {
	digests := map[int]string{} // view of each live director; empty before its first
	var since time.Time         // start of the present common view; zero without one
	for _, e := range entries {
		switch {
		case e.Event == logevent.Started:
			digests[e.Director] = ""
		case e.Event == logevent.Stopping && e.Attributes["open"] != "" && !since.IsZero():
			return max(0, since.Sub(from)) // the end of the history
		case e.Event == logevent.Stopping, e.isAction(actionKill, actionTerminate):
			delete(digests, e.Director)
		case e.Event == logevent.MembershipView:
			if _, live := digests[e.Director]; live {
				digests[e.Director] = e.Attributes["digest"]
			}
		default:
			continue
		}
		switch {
		case !viewsAgree(digests):
			since = time.Time{}
		case since.IsZero():
			since = e.At
		}
	}
	if since.IsZero() {
		return -1
	}
	return max(0, since.Sub(from))
}

// viewsAgree reports whether there is at least one view and all views are equal and not empty.
func viewsAgree(digests map[int]string) bool {
	common := ""
	for _, digest := range digests {
		if digest == "" || common != "" && digest != common {
			return false
		}
		common = digest
	}
	return common != ""
}
