package faulttest

import (
	"slices"
	"testing"
	"time"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/fakes"
	"tallyproxy/internal/logevent"
)

// TestCheckers guards against checkers that miss a violation in a made-up history, or report one
// where there is none.
func TestCheckers(t *testing.T) {
	at := time.Now()
	entry := func(ms, director int, event string, attributes ...string) Entry {
		e := Entry{at.Add(time.Duration(ms) * time.Millisecond), director, event, map[string]string{}}
		for i := 0; i < len(attributes); i += 2 {
			e.Attributes[attributes[i]] = attributes[i+1]
		}
		return e
	}
	names := []string{"n0", "n1", "n2"}
	started := []Entry{entry(0, 0, logevent.Started), entry(0, 1, logevent.Started), entry(0, 2, logevent.Started)}
	quota := func(ms, director int, value, left string) Entry {
		return entry(ms, director, logevent.Quota, "zone", value, "zone_for", left)
	}
	for _, c := range []struct {
		name    string
		entries []Entry
		peak    float64
		over    int
	}{
		{"fixed", nil, 1, 0},
		{"above", []Entry{quota(10, 0, "2", "1s"), quota(20, 1, "2", "1s"), quota(30, 2, "2.5", "1s")}, 6.5 / 3, 1},
		{"run out", []Entry{quota(10, 0, "2", "5ms"), quota(20, 1, "2", "5ms"), quota(30, 2, "2.5", "1s")}, 4.5 / 3, 0},
		{"dead", []Entry{quota(10, 0, "2", "1s"), quota(20, 1, "2", "1s"), entry(25, 0, harnessEvent, actionAttribute, actionKill), quota(30, 2, "2.5", "1s")}, 5.0 / 3, 0},
	} {
		if peak, over := QuotaSums(append(slices.Clone(started), c.entries...), 3, "zone", 2); peak < c.peak-1e-9 || peak > c.peak+1e-9 || over != c.over {
			t.Errorf("%s: peak %v, %d instants over the limit", c.name, peak, over)
		}
	}
	peerState := func(ms, director int, name, state string) Entry {
		return entry(ms, director, logevent.PeerState, "name", name, "incarnation", "1", "state", state)
	}
	history := append(slices.Clone(started), peerState(10, 0, "n2", "up"), peerState(11, 1, "n2", "up"), entry(5000, 2, harnessEvent, actionAttribute, actionKill),
		peerState(6000, 0, "n2", "failed"), peerState(6500, 1, "n2", "failed"))
	if took, unknown := DetectionTimes(history, names); len(took) != 1 || took[0] != 1500*time.Millisecond || unknown != 0 {
		t.Errorf("deaths detected after %v, %d not detected", took, unknown)
	}
	if _, unknown := DetectionTimes(history[:len(history)-1], names); unknown != 1 {
		t.Errorf("%d deaths not detected, want 1", unknown)
	}
	if failed, suspected := FalsePositives(append(slices.Clone(started), peerState(20000, 0, "n1", "failed"), peerState(20001, 2, "n1", "suspected")), names, time.Second); failed != 1 || suspected != 1 {
		t.Errorf("%d false failures, %d false suspicions, want 1 of each", failed, suspected)
	}
	view := func(ms, director int, digest string) Entry {
		return entry(ms, director, logevent.MembershipView, "digest", digest)
	}
	views := append(slices.Clone(started), view(10, 0, "a"), view(20, 1, "a"), view(30, 2, "a"), view(50, 1, "b"), view(90, 1, "a"))
	if got := ConvergenceTime(views, at.Add(40*time.Millisecond)); got != 50*time.Millisecond {
		t.Errorf("converged after %v", got)
	}
	if got := ConvergenceTime(views[:len(views)-1], at); got >= 0 {
		t.Errorf("converged after %v", got)
	}
}

// TestLostAtEnds guards against counting a lost request as one that crossed the end of its
// connection. It crossed only if it was sent between the director's last read and a half-close that
// the machine delayed.
func TestLostAtEnds(t *testing.T) {
	lookedAt := time.Now()
	entries := []Entry{{lookedAt, 0, logevent.HalfCloseDelayed, map[string]string{
		"client": "127.0.0.1:5", "looked_at": lookedAt.UTC().Format(time.RFC3339Nano), "gap": "20ms",
	}}}
	for _, c := range []struct {
		client string
		after  time.Duration // time of sending, after the director's last read
		isLost bool
	}{
		{"127.0.0.1:5", -1, true}, {"127.0.0.1:5", time.Millisecond, false}, {"127.0.0.1:5", 19 * time.Millisecond, false},
		{"127.0.0.1:5", 20 * time.Millisecond, true}, {"127.0.0.1:6", time.Millisecond, true},
	} {
		lost, crossed := splitLostAtEnds(entries, []fakes.LostAtEnd{{Client: c.client, SentAt: lookedAt.Add(c.after)}})
		if len(lost) != boolean.Int(c.isLost) || len(lost)+len(crossed) != 1 {
			t.Errorf("%s, %v after the last read: lost %v, crossed %v", c.client, c.after, lost, crossed)
		}
	}
}
