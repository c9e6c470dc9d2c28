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

// States of other directors, as log lines and status reports name them.
var (
	stateUp        = membership.Up.String()
	stateSuspected = membership.Suspected.String()
	stateFailed    = membership.Failed.String()
	stateLeft      = membership.Left.String()
)

// minUptime is for how long a director has to be up before a death for it to be waited for.
const minUptime = 500 * time.Millisecond

// DetectionTimes returns, of each death, how long it took until all directors that live knew of it, and how many deaths not all know of.
// It counts those of directors, by their names, that were killed and not started again before all knew, with no disruption of links and
// nobody paused meanwhile; others say nothing of the failure detector.
func DetectionTimes(entries []Entry, names []string) (took []time.Duration, unknown int) {
	d := deathTracker{names: names, upSince: map[int]time.Time{}, incarnations: map[string]string{}}
	for _, e := range entries {
		d.apply(e)
		took = append(took, d.takeDetected(e.At)...)
	}
	return took, len(d.undetected)
}

// death is a director's, as others come to know of it.
type death struct {
	at       time.Time
	director int
	knows    map[int]bool // by director that lived then and still does: whether it knows
	excluded bool         // it says nothing of the failure detector
}

// isDetected says whether all know.
func (d *death) isDetected() bool {
	for _, knows := range d.knows {
		if !knows {
			return false
		}
	}
	return true
}

// deathTracker follows deaths through a history.
type deathTracker struct {
	names        []string
	upSince      map[int]time.Time // of directors that live
	incarnations map[string]string // that others have seen of a director, by name
	disruptions  int               // that go on
	undetected   []*death          // that not all know of
}

// apply takes an entry.
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

// spoil marks those of the open deaths that no longer say anything.
func (t *deathTracker) exclude(which func(*death) bool) {
	for _, d := range t.undetected {
		d.excluded = d.excluded || which(d)
	}
}

// died takes the end of a director: nobody waits for it any more, and if it was killed and ever seen, others are to know.
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

// observed takes what a director says of another's state.
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

// takeDetected removes the deaths that all know of, and those that are spoiled, and returns how long the former took.
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

// PropagationTime returns after how long, from a time on, a share of so many directors had first logged something that shows that they
// knew; negative where so many never did.
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

// FalsePositives counts directors, by their names, that others took for failed, or suspected, while they were up and not paused, and for
// longer than minCalm there had been no disruption of links.
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

// ConvergenceTime returns how long after a time all directors that live first had one view and kept it to the end; 0 where they had it
// before, negative where they have none. The end is where a director is asked to stop while there is such a view.
func ConvergenceTime(entries []Entry, from time.Time) time.Duration {
	digests := map[int]string{} // of the views of directors that live; empty until the first
	var since time.Time         // when their present common view began; zero where they have none
	for _, e := range entries {
		switch {
		case e.Event == logevent.Started:
			digests[e.Director] = ""
		case e.Event == logevent.Stopping && e.Attributes["open"] != "" && !since.IsZero():
			return max(0, since.Sub(from)) // the end
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

// haveOneView says whether there are views, and all of them are the same and not empty.
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
