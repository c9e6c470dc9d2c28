package routing

import (
	"fmt"
	"testing"

	"tallyproxy/dedup"
	"tallyproxy/overload"
	"tallyproxy/policy"
)

// A deduped download over its client's tries: what the next try gets, by how the first ended and when the next comes.
func TestKeysOverRetries(t *testing.T) {
	cases := []struct {
		name   string
		ending policy.Result // of the first try's pull
		lost   bool          // the first answer never came: the client gave up
		after  policy.Micros
		scope  policy.DedupScope
		want   policy.Action
	}{
		{"failed, inside the window", policy.Failed, false, 2 * policy.Second, policy.DedupScopeAll, policy.Send},
		{"failed, past it", policy.Failed, false, 3100 * ms, policy.DedupScopeAll, policy.Fail},
		{"broken, past it", policy.ConnectionLost, false, 5 * policy.Second, policy.DedupScopeAll, policy.Fail},
		{"fulfilled but the answer was lost, past it", policy.Succeeded, true, 4 * policy.Second, policy.DedupScopeAll, policy.Fail},
		{"fulfilled but the answer was lost, inside", policy.Succeeded, true, policy.Second, policy.DedupScopeAll, policy.Send},
		{"turned away: it never ran", policy.Rejected, false, 5 * policy.Second, policy.DedupScopeAll, policy.Send},
		{"not reached: it never ran", policy.ConnectFailed, false, 5 * policy.Second, policy.DedupScopeAll, policy.Send},
		{"remembered long after", policy.ConnectionLost, false, 50 * policy.Second, policy.DedupScopeAll, policy.Fail},
		{"another zone's caches", policy.ConnectionLost, false, policy.Second, policy.DedupScopeZone, policy.Send},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ContentTypes[0].RetrySafety, s.ContentTypes[0].DedupScope = policy.IdempotentWithKey, c.scope
			b := newTestRouter(s, 2, 1)
			b.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 10, RetainWindows: 20}})
			first := b.request("o")
			first.IdempotencyKey = "k"
			if ans := b.Route(b.now, first); ans.Action != policy.Send {
				t.Fatalf("first: %+v", ans)
			}
			sent := b.now
			if c.lost {
				first.Done = true
			}
			b.AttemptDone(b.now+100*ms, first, policy.Outcome{Result: c.ending, Final: true})
			b.now = sent + c.after
			b.updateEndpoints(policy.Endpoint{ID: "e0", Zone: 1}, policy.Endpoint{ID: "e1", Zone: 1}) // what was held against them is past
			next := b.request("o")
			next.IdempotencyKey, next.IsRetry = "k", true
			if ans := b.Route(b.now, next); ans.Action != c.want {
				t.Errorf("the next try: %+v, want verb %d", ans, c.want)
			}
			other := b.request("o")
			other.IdempotencyKey = "another"
			if ans := b.Route(b.now, other); ans.Action != policy.Send {
				t.Errorf("another key: %+v", ans)
			}
		})
	}
	t.Run("no throttling reply that outlives the window", func(t *testing.T) {
		s := settings()
		s.ContentTypes[0].RetrySafety = policy.IdempotentWithKey
		b := newTestRouter(s, 1, 1)
		b.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 10, RetainWindows: 20}})
		first := b.request("o")
		first.IdempotencyKey = "k"
		b.Route(b.now, first)
		b.AttemptDone(b.now, first, policy.Outcome{Result: policy.ConnectionLost, Final: true})
		for _, x := range []struct {
			after policy.Micros
			want  policy.Action
		}{{policy.Second, policy.Reject}, {2900 * ms, policy.Fail}} {
			next := b.request("o")
			next.IdempotencyKey, next.IsRetry = "k", true
			b.updateEndpoints(policy.Endpoint{ID: "e0", Zone: 1, State: policy.Draining})
			next.ArrivedAt = b.now + x.after
			next.Deadline = next.ArrivedAt + policy.Second
			b.Route(next.ArrivedAt, next)
			if ans := b.Route(next.Deadline, next); ans.Action != x.want {
				t.Errorf("after %d ms: %+v", x.after/ms, ans)
			}
		}
	})
	t.Run("no room for a mark: throttled unsent", func(t *testing.T) {
		s := settings()
		s.ContentTypes[0].RetrySafety = policy.IdempotentWithKey
		b := newTestRouter(s, 2, 1)
		b.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 1, RetainWindows: 20}})
		for i, want := range []policy.Action{policy.Send, policy.Reject} {
			dl := b.request("o")
			dl.IdempotencyKey, dl.IsRetry = fmt.Sprint(i), true
			if ans := b.Route(b.now, dl); ans.Action != want {
				t.Errorf("key %d: %+v", i, ans)
			}
		}
	})
	t.Run("a stranger's repeat", func(t *testing.T) {
		for _, abandon := range []bool{false, true} {
			s := settings()
			s.ContentTypes[0].RetrySafety = policy.IdempotentWithKey // its expiry is longer than its window
			b := newTestRouter(s, 2, 1)
			b.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 10, RetainWindows: 20, FailUnknownRetries: abandon}})
			dl := b.request("o")
			dl.IdempotencyKey, dl.IsRetry = "k", true
			if ans := b.Route(b.now, dl); (ans.Action == policy.Fail) != abandon {
				t.Errorf("abandon %v: %+v", abandon, ans)
			}
		}
	})
}

// In a storm on cold caches, a throttled client gets a place, comes back to it, and is treated as a first try; one that comes
// early has the same place.
func TestPlacesInAStorm(t *testing.T) {
	b := newTestRouter(settings(), 2, 1)
	rows := []policy.Endpoint{{ID: "e0", Zone: 1, Started: b.now}, {ID: "e1", Zone: 1, Started: b.now}}
	b.updateEndpoints(rows...)
	o := overload.DefaultSettings()
	o.Mode = overload.ModeReserve
	b.SetOptions(Options{Overload: o})
	ask := func(i int, again bool) (*policy.Request, policy.Decision) {
		dl := b.request(fmt.Sprint("o", i))
		dl.ClientHash, dl.IsRetry = uint64(i+1), again
		return dl, b.Route(b.now, dl)
	}
	told, turned := map[int]policy.Micros{}, 0
	held := map[int]*policy.Request{}
	for i := range 300 {
		b.now += ms
		b.ClientConnected(b.now)
		dl, ans := ask(i, false)
		switch ans.Action {
		case policy.Queue:
			held[i] = dl
		case policy.Reject:
			turned++
			told[i] = b.now + ans.RetryAfter
		}
	}
	b.now += 400 * ms
	for i := range 300 {
		if dl := held[i]; dl != nil {
			if ans := b.Route(b.now, dl); ans.Action == policy.Reject {
				told[i] = b.now + ans.RetryAfter
			}
		}
	}
	if b.overload.State() == overload.Calm || len(told) < 50 {
		t.Fatalf("state %v, %d throttled", b.overload.State(), len(told))
	}
	times := map[policy.Micros]bool{}
	for i := range 300 {
		if at := told[i]; at > b.now+100*ms {
			times[at] = true
			_, ans := ask(i, true)
			if ans.Action != policy.Reject || b.now+ans.RetryAfter != at {
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
		b := newTestRouter(s, 3, 1)
		dl := b.request("o")
		dl.ClientSuspect = doubted
		b.Route(b.now, dl)
		pulls, ans := 1, b.finish(dl, ms, policy.Failed, policy.Unknown)
		for ans.Action == policy.Send {
			pulls++
			ans = b.finish(dl, ms, policy.Failed, policy.Unknown)
		}
		if want := map[bool]int{false: 2, true: 1}[doubted]; pulls != want || !ans.Unprocessable || ans.Action != policy.Reject {
			t.Errorf("doubted %v: %d pulls, %+v", doubted, pulls, ans)
		}
	}
}
