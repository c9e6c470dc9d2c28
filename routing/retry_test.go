package routing

import (
	"fmt"
	"testing"

	"tallyproxy/dedup"
	"tallyproxy/policy"
)

// TestRetrySafety: rule 2, what may follow an attempt that ended badly.
func TestRetrySafety(t *testing.T) {
	cases := []struct {
		name   string
		repeat policy.RetrySafety
		scope  policy.DedupScope
		result policy.Result
		after  policy.Micros
		action policy.Action
	}{
		{"idempotent may run again", policy.Idempotent, policy.DedupScopeAll, policy.ConnectionLost, 0, policy.Send},
		{"not idempotent that may have run", policy.NotIdempotent, policy.DedupScopeAll, policy.ConnectionLost, 0, policy.Fail},
		{"not idempotent, error answer", policy.NotIdempotent, policy.DedupScopeAll, policy.Failed, 0, policy.Fail},
		{"not idempotent that never ran", policy.NotIdempotent, policy.DedupScopeAll, policy.Rejected, 0, policy.Send},
		{"not idempotent, connect failed", policy.NotIdempotent, policy.DedupScopeAll, policy.ConnectFailed, 0, policy.Send},
		{"with a key in its window", policy.IdempotentWithKey, policy.DedupScopeAll, policy.ConnectionLost, policy.Second, policy.Send},
		{"with a key past its window", policy.IdempotentWithKey, policy.DedupScopeAll, policy.ConnectionLost, 3 * policy.Second, policy.Reject},
		{"with a key, same cell", policy.IdempotentWithKey, policy.DedupScopeCell, policy.ConnectionLost, 0, policy.Send},
		{"with a key, other cell", policy.IdempotentWithKey, policy.DedupScopeCell, policy.Failed, 0, policy.Fail},
		{"with a key, same zone", policy.IdempotentWithKey, policy.DedupScopeZone, policy.Failed, 0, policy.Send},
		{"with a key, zone, past its window", policy.IdempotentWithKey, policy.DedupScopeZone, policy.TimedOut, 3 * policy.Second, policy.Fail},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ContentTypes[0].RetrySafety, s.ContentTypes[0].DedupScope, s.ContentTypes[0].Uncacheable = c.repeat, c.scope, true
			b := newTestRouter(s, 0, 1)
			b.updateEndpoints(policy.Endpoint{ID: "e0", Zone: 1, Cell: 1}, policy.Endpoint{ID: "e1", Zone: 1, Cell: 2})
			request := b.request("a")
			request.Deadline += 5 * policy.Second
			first := b.Route(b.now, request)
			if first.Source.ID != "o" || first.CacheRank != 0 || first.Coalesce {
				t.Errorf("an uncacheable attempt: %+v", first)
			}
			if decision := b.finish(request, c.after, c.result, policy.Unknown); decision.Action != c.action ||
				decision.Action == policy.Send && (decision.Endpoint == first.Endpoint) != (c.result == policy.ConnectionLost) { // the connection's fault, not its endpoint's
				t.Errorf("%+v", decision)
			}
		})
	}
}

// TestRetryLimits: the attempts for one request are bounded, and fewer while many attempts fail.
func TestRetryLimits(t *testing.T) {
	cases := []struct {
		name      string
		errorRate float64
		most      int
		attempts  int
	}{
		{"two retries", 0, 6, 3},
		{"none while overload is seen", 0.5, 6, 1},
		{"no more than the settings allow", 0, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.MaxAttempts = c.most
			b := newTestRouter(s, 5, 2)
			b.errorRate = c.errorRate
			request, decision := b.route("a")
			attempts := 0
			for ; decision.Action == policy.Send; attempts++ {
				decision = b.finish(request, ms, policy.Rejected, policy.Unknown)
			}
			if attempts != c.attempts || decision.Action != policy.Reject {
				t.Errorf("%d attempts, then %+v", attempts, decision)
			}
			if request.Done = true; b.Route(b.now, request).Action != policy.None || b.RecheckAfter(b.now, request) != 0 {
				t.Error("a decision after the final answer")
			}
			late := b.request("a")
			if late.Deadline = b.now; b.Route(b.now, late).Action != policy.Reject {
				t.Error("no rejection for a client that is about to leave")
			}
		})
	}
}

// TestWithdrawnRepeatedly: an attempt that was withdrawn is as if it had not been decided, however often that happens while the list changes.
// It counts neither as an attempt nor, while many attempts fail, as one that may not be followed.
func TestWithdrawnRepeatedly(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		b := newTestRouter(settings(), 3, 1)
		request, decision := b.route("a")
		if overloaded {
			b.errorRate = 1
		}
		for i := range 4 * b.settings.MaxAttempts {
			if decision.Action != policy.Send {
				t.Fatalf("overloaded %v: after %d withdrawals %+v", overloaded, i, decision)
			}
			decision = b.finish(request, ms, policy.Withdrawn, policy.Unknown)
		}
		if decision = b.finish(request, ms, policy.Succeeded, policy.Hit); decision.Action != policy.None {
			t.Errorf("overloaded %v: in the end %+v", overloaded, decision)
		}
	}
}

// TestIdempotencyKeysOverRetries: what a client's next try gets, by how its first try ended and when the next one comes.
func TestIdempotencyKeysOverRetries(t *testing.T) {
	cases := []struct {
		name   string
		result policy.Result // of the first try's attempt
		lost   bool          // the client had left before the first answer
		after  policy.Micros
		scope  policy.DedupScope
		want   policy.Action
	}{
		{"failed, inside the window", policy.Failed, false, 2 * policy.Second, policy.DedupScopeAll, policy.Send},
		{"failed, past it", policy.Failed, false, 3100 * ms, policy.DedupScopeAll, policy.Fail},
		{"connection lost, past it", policy.ConnectionLost, false, 5 * policy.Second, policy.DedupScopeAll, policy.Fail},
		{"succeeded but the answer was lost, past it", policy.Succeeded, true, 4 * policy.Second, policy.DedupScopeAll, policy.Fail},
		{"succeeded but the answer was lost, inside", policy.Succeeded, true, policy.Second, policy.DedupScopeAll, policy.Send},
		{"rejected: it never ran", policy.Rejected, false, 5 * policy.Second, policy.DedupScopeAll, policy.Send},
		{"connect failed: it never ran", policy.ConnectFailed, false, 5 * policy.Second, policy.DedupScopeAll, policy.Send},
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
			if decision := b.Route(b.now, first); decision.Action != policy.Send {
				t.Fatalf("first: %+v", decision)
			}
			sent := b.now
			if c.lost {
				first.Done = true
			}
			b.AttemptDone(b.now+100*ms, first, policy.Outcome{Result: c.result, Final: true})
			b.now = sent + c.after
			b.updateEndpoints(policy.Endpoint{ID: "e0", Zone: 1}, policy.Endpoint{ID: "e1", Zone: 1}) // what was held against them is past
			next := b.request("o")
			next.IdempotencyKey, next.IsRetry = "k", true
			if decision := b.Route(b.now, next); decision.Action != c.want {
				t.Errorf("the next try: %+v, want action %d", decision, c.want)
			}
			other := b.request("o")
			other.IdempotencyKey = "another"
			if decision := b.Route(b.now, other); decision.Action != policy.Send {
				t.Errorf("another key: %+v", decision)
			}
		})
	}
	t.Run("no rejection that outlives the window", func(t *testing.T) {
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
			if decision := b.Route(next.Deadline, next); decision.Action != x.want {
				t.Errorf("after %d ms: %+v", x.after/ms, decision)
			}
		}
	})
	t.Run("no room for a record: rejected unsent", func(t *testing.T) {
		s := settings()
		s.ContentTypes[0].RetrySafety = policy.IdempotentWithKey
		b := newTestRouter(s, 2, 1)
		b.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 1, RetainWindows: 20}})
		for i, want := range []policy.Action{policy.Send, policy.Reject} {
			request := b.request("o")
			request.IdempotencyKey, request.IsRetry = fmt.Sprint(i), true
			if decision := b.Route(b.now, request); decision.Action != want {
				t.Errorf("key %d: %+v", i, decision)
			}
		}
	})
	t.Run("a retry with an unknown key", func(t *testing.T) {
		for _, fails := range []bool{false, true} {
			s := settings()
			s.ContentTypes[0].RetrySafety = policy.IdempotentWithKey // the timeout is longer than the dedup window
			b := newTestRouter(s, 2, 1)
			b.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 10, RetainWindows: 20, FailUnknownRetries: fails}})
			request := b.request("o")
			request.IdempotencyKey, request.IsRetry = "k", true
			if decision := b.Route(b.now, request); (decision.Action == policy.Fail) != fails {
				t.Errorf("unknown keys fail: %v: %+v", fails, decision)
			}
		}
	})
}

// TestUnprocessable: an error that two endpoints agree on is the client's, and a suspect client's request costs one attempt.
func TestUnprocessable(t *testing.T) {
	s := settings()
	s.ReportsCacheStatus = true
	for _, suspect := range []bool{false, true} {
		b := newTestRouter(s, 3, 1)
		request := b.request("o")
		request.ClientSuspect = suspect
		b.Route(b.now, request)
		attempts, decision := 1, b.finish(request, ms, policy.Failed, policy.Unknown)
		for decision.Action == policy.Send {
			attempts++
			decision = b.finish(request, ms, policy.Failed, policy.Unknown)
		}
		if want := map[bool]int{false: 2, true: 1}[suspect]; attempts != want || !decision.Unprocessable || decision.Action != policy.Reject {
			t.Errorf("suspect client %v: %d attempts, %+v", suspect, attempts, decision)
		}
	}
}
