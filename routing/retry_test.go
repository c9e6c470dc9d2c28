package routing

import (
	"fmt"
	"testing"

	"tallyproxy/dedup"
	"tallyproxy/policy"
)

// TestRetrySafety checks what may follow an attempt that failed (rule 2), so that no request runs
// a second time where that is unsafe.
func TestRetrySafety(t *testing.T) {
	cases := []struct {
		name        string
		retrySafety policy.RetrySafety
		scope       policy.DedupScope
		result      policy.Result
		after       policy.Micros
		action      policy.Action
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
		{"idempotent, no memory for the answer", policy.Idempotent, policy.DedupScopeAll, policy.ResourceExhausted, 0, policy.Reject},
		{"not idempotent, no memory for the answer", policy.NotIdempotent, policy.DedupScopeAll, policy.ResourceExhausted, 0, policy.Fail},
		{"with a key, zone, past its window", policy.IdempotentWithKey, policy.DedupScopeZone, policy.TimedOut, 3 * policy.Second, policy.Fail},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ContentTypes[0].RetrySafety, s.ContentTypes[0].DedupScope, s.ContentTypes[0].Uncacheable = c.retrySafety, c.scope, true
			r := newTestRouter(s, 0, 1)
			r.updateEndpoints(policy.Endpoint{ID: "e0", Zone: 1, Cell: 1}, policy.Endpoint{ID: "e1", Zone: 1, Cell: 2})
			request := r.request("a")
			request.Deadline += 5 * policy.Second
			first := r.Route(r.now, request)
			if first.Source.ID != "o" || first.CacheRank != 0 || first.Coalesce {
				t.Errorf("attempt for an uncacheable request: %+v", first)
			}
			// A lost connection is at first not attributed to its endpoint, which gets the next
			// attempt too.
			if decision := r.finish(request, c.after, c.result, policy.Unknown); decision.Action != c.action ||
				decision.Action == policy.Send && (decision.Endpoint == first.Endpoint) != (c.result == policy.ConnectionLost) {
				t.Errorf("%+v", decision)
			}
		})
	}
}

// TestRetryLimits checks that the number of attempts for one request is limited, and that there
// are no retries while many attempts fail.
func TestRetryLimits(t *testing.T) {
	cases := []struct {
		name        string
		errorRate   float64
		maxAttempts int
		attempts    int
	}{
		{"two retries", 0, 6, 3},
		{"none while overload is seen", 0.5, 6, 1},
		{"no more than the settings allow", 0, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.MaxAttempts = c.maxAttempts
			r := newTestRouter(s, 5, 2)
			r.errorRate = c.errorRate
			request, decision := r.route("a")
			attempts := 0
			for ; decision.Action == policy.Send; attempts++ {
				decision = r.finish(request, ms, policy.Rejected, policy.Unknown)
			}
			if attempts != c.attempts || decision.Action != policy.Reject {
				t.Errorf("%d attempts, then %+v", attempts, decision)
			}
			if request.Done = true; r.Route(r.now, request).Action != policy.None || r.RecheckAfter(r.now, request) != 0 {
				t.Error("a decision after the final answer")
			}
			late := r.request("a")
			if late.Deadline = r.now; r.Route(r.now, late).Action != policy.Reject {
				t.Error("no rejection for a request whose deadline has passed")
			}
		})
	}
}

// TestWithdrawnRepeatedly guards against requests that fail because their attempts are withdrawn
// repeatedly while the endpoint list changes. A withdrawn attempt does not count as an attempt,
// and it may be followed by another even while many attempts fail.
func TestWithdrawnRepeatedly(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		r := newTestRouter(settings(), 3, 1)
		request, decision := r.route("a")
		if overloaded {
			r.errorRate = 1
		}
		for i := range 4 * r.settings.MaxAttempts {
			if decision.Action != policy.Send {
				t.Fatalf("overloaded %v: after %d withdrawals %+v", overloaded, i, decision)
			}
			decision = r.finish(request, ms, policy.Withdrawn, policy.Unknown)
		}
		if decision = r.finish(request, ms, policy.Succeeded, policy.Hit); decision.Action != policy.None {
			t.Errorf("overloaded %v: after the success %+v", overloaded, decision)
		}
	}
}

// TestIdempotencyKeysOverRetries guards against a second run of a request across the client's
// retries. It checks the decision on a retry by how the first try ended and when the retry
// arrives.
func TestIdempotencyKeysOverRetries(t *testing.T) {
	cases := []struct {
		name       string
		result     policy.Result // result of the first try's attempt
		clientLeft bool          // the client disconnected before the first answer
		after      policy.Micros
		scope      policy.DedupScope
		want       policy.Action
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
			r := newTestRouter(s, 2, 1)
			r.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 10, RetainWindows: 20}})
			first := r.request("o")
			first.IdempotencyKey = "k"
			if decision := r.Route(r.now, first); decision.Action != policy.Send {
				t.Fatalf("first: %+v", decision)
			}
			sent := r.now
			if c.clientLeft {
				first.Done = true
			}
			r.AttemptDone(r.now+100*ms, first, policy.Outcome{Result: c.result, Final: true})
			r.now = sent + c.after
			// The list arrives again. Failures of the first try no longer exclude an endpoint.
			r.updateEndpoints(policy.Endpoint{ID: "e0", Zone: 1}, policy.Endpoint{ID: "e1", Zone: 1})
			next := r.request("o")
			next.IdempotencyKey, next.IsRetry = "k", true
			if decision := r.Route(r.now, next); decision.Action != c.want {
				t.Errorf("retry: %+v, want action %d", decision, c.want)
			}
			other := r.request("o")
			other.IdempotencyKey = "another"
			if decision := r.Route(r.now, other); decision.Action != policy.Send {
				t.Errorf("another key: %+v", decision)
			}
		})
	}
	t.Run("no rejection that outlives the window", func(t *testing.T) {
		s := settings()
		s.ContentTypes[0].RetrySafety = policy.IdempotentWithKey
		r := newTestRouter(s, 1, 1)
		r.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 10, RetainWindows: 20}})
		first := r.request("o")
		first.IdempotencyKey = "k"
		r.Route(r.now, first)
		r.AttemptDone(r.now, first, policy.Outcome{Result: policy.ConnectionLost, Final: true})
		for _, step := range []struct {
			after policy.Micros
			want  policy.Action
		}{{policy.Second, policy.Reject}, {2900 * ms, policy.Fail}} {
			next := r.request("o")
			next.IdempotencyKey, next.IsRetry = "k", true
			r.updateEndpoints(policy.Endpoint{ID: "e0", Zone: 1, State: policy.Draining})
			next.ArrivedAt = r.now + step.after
			next.Deadline = next.ArrivedAt + policy.Second
			r.Route(next.ArrivedAt, next)
			if decision := r.Route(next.Deadline, next); decision.Action != step.want {
				t.Errorf("after %d ms: %+v", step.after/ms, decision)
			}
		}
	})
	t.Run("no room for a record: rejected unsent", func(t *testing.T) {
		s := settings()
		s.ContentTypes[0].RetrySafety = policy.IdempotentWithKey
		r := newTestRouter(s, 2, 1)
		r.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 1, RetainWindows: 20}})
		for i, want := range []policy.Action{policy.Send, policy.Reject} {
			request := r.request("o")
			request.IdempotencyKey, request.IsRetry = fmt.Sprint(i), true
			if decision := r.Route(r.now, request); decision.Action != want {
				t.Errorf("key %d: %+v", i, decision)
			}
		}
	})
	t.Run("a retry with an unknown key", func(t *testing.T) {
		for _, failUnknown := range []bool{false, true} {
			s := settings()
			// The content type's timeout is longer than its dedup window.
			s.ContentTypes[0].RetrySafety = policy.IdempotentWithKey
			r := newTestRouter(s, 2, 1)
			r.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 10, RetainWindows: 20, FailUnknownRetries: failUnknown}})
			request := r.request("o")
			request.IdempotencyKey, request.IsRetry = "k", true
			if decision := r.Route(r.now, request); (decision.Action == policy.Fail) != failUnknown {
				t.Errorf("unknown keys fail: %v: %+v", failUnknown, decision)
			}
		}
	})
	t.Run("a retry after a rejection", func(t *testing.T) {
		s := settings()
		s.ContentTypes[0].RetrySafety = policy.IdempotentWithKey
		r := newTestRouter(s, 2, 1)
		r.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 10, RetainWindows: 20, FailUnknownRetries: true, MaxKnownKeys: 10}})
		first := r.request("o")
		first.IdempotencyKey, first.Deadline = "k", r.now // so that it is rejected unsent
		if decision := r.Route(r.now, first); decision.Action != policy.Reject {
			t.Fatalf("the first try: %+v", decision)
		}
		retry := r.request("o")
		retry.IdempotencyKey, retry.IsRetry = "k", true
		if decision := r.Route(r.now, retry); decision.Action != policy.Send {
			t.Errorf("the retry: %+v", decision)
		}
	})
}

// TestIDOfNotIdempotentRequest checks that a request that must not run twice and comes again with the
// same ID is not sent again if it may have run, and is sent if it has not.
func TestIDOfNotIdempotentRequest(t *testing.T) {
	for _, c := range []struct {
		result policy.Result
		want   policy.Action
	}{{policy.Cancelled, policy.Fail}, {policy.Succeeded, policy.Fail}, {policy.ConnectFailed, policy.Send}, {policy.Withdrawn, policy.Send}} {
		s := settings()
		s.ContentTypes[0].RetrySafety = policy.NotIdempotent
		r := newTestRouter(s, 2, 1)
		r.SetOptions(Options{Dedup: dedup.Settings{MaxRecords: 10, RetainWindows: 20}})
		first := r.request("o")
		first.ID = "00000000000000aa"
		if decision := r.Route(r.now, first); decision.Action != policy.Send {
			t.Fatalf("%+v", decision)
		}
		first.Done = true // its client has left
		r.AttemptDone(r.now, first, policy.Outcome{Result: c.result, Final: true})
		again := r.request("o")
		again.ID = first.ID
		if decision := r.Route(r.now, again); decision.Action != c.want {
			t.Errorf("after %s: %+v", c.result, decision)
		}
	}
}

// TestUnprocessable checks that an error on which two endpoints agree is attributed to the client,
// and that a suspect client's request gets only one attempt.
func TestUnprocessable(t *testing.T) {
	s := settings()
	s.ReportsCacheStatus = true
	for _, suspect := range []bool{false, true} {
		r := newTestRouter(s, 3, 1)
		request := r.request("o")
		request.ClientSuspect = suspect
		r.Route(r.now, request)
		attempts, decision := 1, r.finish(request, ms, policy.Failed, policy.Unknown)
		for decision.Action == policy.Send {
			attempts++
			decision = r.finish(request, ms, policy.Failed, policy.Unknown)
		}
		if want := map[bool]int{false: 2, true: 1}[suspect]; attempts != want || !decision.Unprocessable || decision.Action != policy.Reject {
			t.Errorf("suspect client %v: %d attempts, %+v", suspect, attempts, decision)
		}
	}
}
