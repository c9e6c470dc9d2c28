package routing

import (
	"fmt"
	"testing"

	"tallyproxy/dedup"
	"tallyproxy/overload"
	d "tallyproxy/policy"
)

// A deduped download over its client's tries: what the next try gets, by how the first ended and when the next comes.
func TestKeysOverRetries(t *testing.T) {
	cases := []struct {
		name   string
		ending d.Result // of the first try's pull
		lost   bool     // the first answer never came: the client gave up
		after  d.Micros
		scope  d.DedupScope
		want   d.Action
	}{
		{"failed, inside the window", d.Failed, false, 2 * d.Second, d.DedupScopeAll, d.Send},
		{"failed, past it", d.Failed, false, 3100 * ms, d.DedupScopeAll, d.Fail},
		{"broken, past it", d.ConnectionLost, false, 5 * d.Second, d.DedupScopeAll, d.Fail},
		{"fulfilled but the answer was lost, past it", d.Succeeded, true, 4 * d.Second, d.DedupScopeAll, d.Fail},
		{"fulfilled but the answer was lost, inside", d.Succeeded, true, d.Second, d.DedupScopeAll, d.Send},
		{"turned away: it never ran", d.Rejected, false, 5 * d.Second, d.DedupScopeAll, d.Send},
		{"not reached: it never ran", d.ConnectFailed, false, 5 * d.Second, d.DedupScopeAll, d.Send},
		{"remembered long after", d.ConnectionLost, false, 50 * d.Second, d.DedupScopeAll, d.Fail},
		{"another zone's caches", d.ConnectionLost, false, d.Second, d.DedupScopeZone, d.Send},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ContentTypes[0].RetrySafety, s.ContentTypes[0].DedupScope = d.IdempotentWithKey, c.scope
			b := newBed(s, 2, 1)
			b.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 10, RetainWindows: 20}})
			first := b.download("o")
			first.IdempotencyKey = "k"
			if ans := b.Route(b.now, first); ans.Action != d.Send {
				t.Fatalf("first: %+v", ans)
			}
			sent := b.now
			if c.lost {
				first.Done = true
			}
			b.AttemptDone(b.now+100*ms, first, d.Outcome{Result: c.ending, Final: true})
			b.now = sent + c.after
			b.list(d.Endpoint{ID: "e0", Zone: 1}, d.Endpoint{ID: "e1", Zone: 1}) // what was held against them is past
			next := b.download("o")
			next.IdempotencyKey, next.IsRetry = "k", true
			if ans := b.Route(b.now, next); ans.Action != c.want {
				t.Errorf("the next try: %+v, want verb %d", ans, c.want)
			}
			other := b.download("o")
			other.IdempotencyKey = "another"
			if ans := b.Route(b.now, other); ans.Action != d.Send {
				t.Errorf("another key: %+v", ans)
			}
		})
	}
	t.Run("no throttling reply that outlives the window", func(t *testing.T) {
		s := settings()
		s.ContentTypes[0].RetrySafety = d.IdempotentWithKey
		b := newBed(s, 1, 1)
		b.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 10, RetainWindows: 20}})
		first := b.download("o")
		first.IdempotencyKey = "k"
		b.Route(b.now, first)
		b.AttemptDone(b.now, first, d.Outcome{Result: d.ConnectionLost, Final: true})
		for _, x := range []struct {
			after d.Micros
			want  d.Action
		}{{d.Second, d.Reject}, {2900 * ms, d.Fail}} {
			next := b.download("o")
			next.IdempotencyKey, next.IsRetry = "k", true
			b.list(d.Endpoint{ID: "e0", Zone: 1, State: d.Draining})
			next.ArrivedAt = b.now + x.after
			next.Deadline = next.ArrivedAt + d.Second
			b.Route(next.ArrivedAt, next)
			if ans := b.Route(next.Deadline, next); ans.Action != x.want {
				t.Errorf("after %d ms: %+v", x.after/ms, ans)
			}
		}
	})
	t.Run("no room for a mark: throttled unsent", func(t *testing.T) {
		s := settings()
		s.ContentTypes[0].RetrySafety = d.IdempotentWithKey
		b := newBed(s, 2, 1)
		b.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 1, RetainWindows: 20}})
		for i, want := range []d.Action{d.Send, d.Reject} {
			dl := b.download("o")
			dl.IdempotencyKey, dl.IsRetry = fmt.Sprint(i), true
			if ans := b.Route(b.now, dl); ans.Action != want {
				t.Errorf("key %d: %+v", i, ans)
			}
		}
	})
	t.Run("a stranger's repeat", func(t *testing.T) {
		for _, abandon := range []bool{false, true} {
			s := settings()
			s.ContentTypes[0].RetrySafety = d.IdempotentWithKey // its expiry is longer than its window
			b := newBed(s, 2, 1)
			b.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 10, RetainWindows: 20, FailUnknownRetries: abandon}})
			dl := b.download("o")
			dl.IdempotencyKey, dl.IsRetry = "k", true
			if ans := b.Route(b.now, dl); (ans.Action == d.Fail) != abandon {
				t.Errorf("abandon %v: %+v", abandon, ans)
			}
		}
	})
}

// In a storm on cold caches, a throttled client gets a place, comes back to it, and is treated as a first try; one that comes
// early has the same place.
func TestPlacesInAStorm(t *testing.T) {
	b := newBed(settings(), 2, 1)
	rows := []d.Endpoint{{ID: "e0", Zone: 1, Started: b.now}, {ID: "e1", Zone: 1, Started: b.now}}
	b.list(rows...)
	o := overload.DefaultSettings()
	o.Mode = overload.ModeReserve
	b.SetOptions(Options{Overload: o})
	ask := func(i int, again bool) (*d.Request, d.Decision) {
		dl := b.download(fmt.Sprint("o", i))
		dl.ClientHash, dl.IsRetry = uint64(i+1), again
		return dl, b.Route(b.now, dl)
	}
	told, turned := map[int]d.Micros{}, 0
	held := map[int]*d.Request{}
	for i := range 300 {
		b.now += ms
		b.ClientConnected(b.now)
		dl, ans := ask(i, false)
		switch ans.Action {
		case d.Queue:
			held[i] = dl
		case d.Reject:
			turned++
			told[i] = b.now + ans.RetryAfter
		}
	}
	b.now += 400 * ms
	for i := range 300 {
		if dl := held[i]; dl != nil {
			if ans := b.Route(b.now, dl); ans.Action == d.Reject {
				told[i] = b.now + ans.RetryAfter
			}
		}
	}
	if b.storm.State() == overload.Calm || len(told) < 50 {
		t.Fatalf("state %v, %d throttled", b.storm.State(), len(told))
	}
	times := map[d.Micros]bool{}
	for i := range 300 {
		if at := told[i]; at > b.now+100*ms {
			times[at] = true
			_, ans := ask(i, true)
			if ans.Action != d.Reject || b.now+ans.RetryAfter != at {
				t.Fatalf("early: %+v, was told %d ms", ans, (at-b.now)/ms)
			}
		}
	}
	if len(times) < 10 {
		t.Errorf("all are told %d times", len(times))
	}
}

// What two nodes agree on names what no node knows; one that asked for such costs one pull.
func TestOfNoUse(t *testing.T) {
	s := settings()
	s.ReportsCacheStatus = true
	for _, doubted := range []bool{false, true} {
		b := newBed(s, 3, 1)
		dl := b.download("o")
		dl.ClientSuspect = doubted
		b.Route(b.now, dl)
		pulls, ans := 1, b.end(dl, ms, d.Failed, d.Unknown)
		for ans.Action == d.Send {
			pulls++
			ans = b.end(dl, ms, d.Failed, d.Unknown)
		}
		if want := map[bool]int{false: 2, true: 1}[doubted]; pulls != want || !ans.Unprocessable || ans.Action != d.Reject {
			t.Errorf("doubted %v: %d pulls, %+v", doubted, pulls, ans)
		}
	}
}
