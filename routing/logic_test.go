package routing

import (
	"fmt"
	"testing"

	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

func TestOrdinaryPath(t *testing.T) {
	a, b := newTestRouter(settings(), 4, 3), newTestRouter(settings(), 4, 3)
	times := map[string]int{}
	for i := range 400 {
		dl, ans := a.route(fmt.Sprint(i))
		other, again := b.route(fmt.Sprint(i))
		if ans.Endpoint.ID != again.Endpoint.ID || ans.Source.ID != again.Source.ID {
			t.Fatalf("object %d: two instances disagree: %+v and %+v", i, ans, again)
		}
		if ans.Action != policy.Send || ans.CacheRank != 2 || !ans.Coalesce || ans.OnlyIfCached || ans.Timeout != 3*policy.Second {
			t.Fatalf("object %d: %+v", i, ans)
		}
		times[ans.Endpoint.ID]++
		times[ans.Source.ID]++
		a.finish(dl, ms, policy.Succeeded, policy.Hit)
		b.finish(other, ms, policy.Succeeded, policy.Hit)
	}
	for id, n := range times {
		if n < 60 || n > 180 {
			t.Errorf("%s has %d of 400 objects", id, n)
		}
	}
	if len(times) != 7 {
		t.Errorf("used %v", times)
	}
}

func TestWhereWithoutSomeNodes(t *testing.T) {
	cases := []struct {
		name           string
		edges, parents int
		change         []policy.Endpoint
		verb           policy.Action
		source         string
	}{
		{"no parents", 2, 0, nil, policy.Send, "o"},
		{"one of each", 1, 1, nil, policy.Send, "p0"},
		{"no edges yet", 0, 1, nil, policy.Queue, ""},
		{"draining parent", 1, 1, []policy.Endpoint{{ID: "p0", Kind: 1, State: policy.Draining}}, policy.Send, "o"},
		{"gone parent", 1, 1, []policy.Endpoint{{ID: "p0", Kind: 1, State: policy.Removed}}, policy.Send, "o"},
		{"draining edge", 1, 1, []policy.Endpoint{{ID: "e0", Zone: 1, State: policy.Draining}}, policy.Queue, ""},
		{"edge of another zone", 0, 1, []policy.Endpoint{{ID: "x", Zone: 2}}, policy.Queue, ""},
		{"no origin", 1, 0, []policy.Endpoint{{ID: "o", Kind: 2, State: policy.Removed}}, policy.Send, "e0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRouter(settings(), c.edges, c.parents)
			b.updateEndpoints(c.change...)
			dl, ans := b.route("a")
			if ans.Action != c.verb || ans.Source != nil && ans.Source.ID != c.source {
				t.Fatalf("%+v", ans)
			}
			if c.verb == policy.Queue {
				if wait := b.RecheckAfter(b.now, dl); wait <= 0 || wait > b.t.LatencyObjective {
					t.Errorf("held for %d", wait)
				}
				b.now += 2 * policy.Second
				if ans := b.Route(b.now, dl); ans.Action != policy.Reject || ans.RetryAfter <= 0 {
					t.Errorf("after its target time: %+v", ans)
				}
			}
		})
	}
	t.Run("a complete list leaves out the rest", func(t *testing.T) {
		b := newTestRouter(settings(), 3, 1)
		b.UpdateEndpoints(b.now, []policy.Endpoint{{ID: "e1", Zone: 1}}, true)
		if _, ans := b.route("a"); ans.Endpoint.ID != "e1" || ans.Source.ID != "e1" || len(b.endpoints) != 1 {
			t.Errorf("%+v", ans)
		}
	})
}

// Rule 2: what may follow a pull that ended badly.
func TestRepeats(t *testing.T) {
	cases := []struct {
		name   string
		repeat policy.RetrySafety
		scope  policy.DedupScope
		ending policy.Result
		after  policy.Micros
		verb   policy.Action
	}{
		{"retriable may run again", policy.Idempotent, policy.DedupScopeAll, policy.ConnectionLost, 0, policy.Send},
		{"non-retriable that may have run", policy.NotIdempotent, policy.DedupScopeAll, policy.ConnectionLost, 0, policy.Fail},
		{"non-retriable, error answer", policy.NotIdempotent, policy.DedupScopeAll, policy.Failed, 0, policy.Fail},
		{"non-retriable that never ran", policy.NotIdempotent, policy.DedupScopeAll, policy.Rejected, 0, policy.Send},
		{"non-retriable, not reached", policy.NotIdempotent, policy.DedupScopeAll, policy.ConnectFailed, 0, policy.Send},
		{"deduped in its window", policy.IdempotentWithKey, policy.DedupScopeAll, policy.ConnectionLost, policy.Second, policy.Send},
		{"deduped past its window", policy.IdempotentWithKey, policy.DedupScopeAll, policy.ConnectionLost, 3 * policy.Second, policy.Reject},
		{"deduped, same cell", policy.IdempotentWithKey, policy.DedupScopeCell, policy.ConnectionLost, 0, policy.Send},
		{"deduped, other cell", policy.IdempotentWithKey, policy.DedupScopeCell, policy.Failed, 0, policy.Fail},
		{"deduped, same zone", policy.IdempotentWithKey, policy.DedupScopeZone, policy.Failed, 0, policy.Send},
		{"deduped, zone, past its window", policy.IdempotentWithKey, policy.DedupScopeZone, policy.TimedOut, 3 * policy.Second, policy.Fail},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ContentTypes[0].RetrySafety, s.ContentTypes[0].DedupScope, s.ContentTypes[0].Uncacheable = c.repeat, c.scope, true
			b := newTestRouter(s, 0, 1)
			b.updateEndpoints(policy.Endpoint{ID: "e0", Zone: 1, Cell: 1}, policy.Endpoint{ID: "e1", Zone: 1, Cell: 2})
			dl := b.request("a")
			dl.Deadline += 5 * policy.Second
			first := b.Route(b.now, dl)
			if first.Source.ID != "o" || first.CacheRank != 0 || first.Coalesce {
				t.Errorf("a pass-through pull: %+v", first)
			}
			if ans := b.finish(dl, c.after, c.ending, policy.Unknown); ans.Action != c.verb ||
				ans.Action == policy.Send && (ans.Endpoint == first.Endpoint) != (c.ending == policy.ConnectionLost) { // a connection, not its node
				t.Errorf("%+v", ans)
			}
		})
	}
}

func TestFurtherPulls(t *testing.T) {
	cases := []struct {
		name    string
		trouble float64
		most    int
		pulls   int
	}{
		{"two further ones", 0, 6, 3},
		{"none while overload is seen", 0.5, 6, 1},
		{"no more than the settings allow", 0, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.MaxAttempts = c.most
			b := newTestRouter(s, 5, 2)
			b.errorRate = c.trouble
			dl, ans := b.route("a")
			pulls := 0
			for ; ans.Action == policy.Send; pulls++ {
				ans = b.finish(dl, ms, policy.Rejected, policy.Unknown)
			}
			if pulls != c.pulls || ans.Action != policy.Reject {
				t.Errorf("%d pulls, then %+v", pulls, ans)
			}
			if dl.Done = true; b.Route(b.now, dl).Action != policy.None || b.RecheckAfter(b.now, dl) != 0 {
				t.Error("something after the final answer")
			}
			late := b.request("a")
			if late.Deadline = b.now; b.Route(b.now, late).Action != policy.Reject {
				t.Error("something else than an end for a client without patience")
			}
		})
	}
}

// Rule 5: the oldest copy that will do.
func TestPurges(t *testing.T) {
	cases := []struct {
		name   string
		fresh  policy.Micros
		object string
		group  int
		ago    policy.Micros
		oldest policy.Micros
	}{
		{"none", 0, "other", 1, policy.Second, 0},
		{"of the object", 0, "a", 7, policy.Second, policy.Second},
		{"of the group", 0, "", 7, 2 * policy.Second, 2 * policy.Second},
		{"of another group", 0, "", 8, policy.Second, 0},
		{"of all", 0, "", policy.AllGroups, 2 * policy.Second, 2 * policy.Second},
		{"right now", 0, "a", 7, 0, 1},
		{"all old copies are gone", 0, "a", 7, 7 * policy.Second, 0},
		{"older than fresh", policy.Second, "a", 7, 2 * policy.Second, 0},
		{"younger than fresh", 3 * policy.Second, "a", 7, 2 * policy.Second, 2 * policy.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ContentTypes[0].TTL = c.fresh
			b := newTestRouter(s, 2, 1)
			dl, _ := b.route("a")
			b.Purge(b.now, c.object, c.group, b.now-c.ago)
			if ans := b.finish(dl, 0, policy.Rejected, policy.Unknown); ans.MaxAge != c.oldest || ans.Revalidate != (c.fresh > 0) {
				t.Errorf("later pull of a download in hand: %+v", ans)
			}
			b.now += 7 * policy.Second
			b.Purge(b.now, "z", 1, b.now)
			if len(b.purges) != 1 {
				t.Errorf("%d purges kept", len(b.purges))
			}
			if b.Purge(b.now, "z", 1, 0); len(b.purges) != 0 {
				t.Error("a purge that no longer binds was kept")
			}
		})
	}
}

// Rule 4: directors that know nothing of one another keep a warming node's budget in every window, whatever is
// asked, and what does not fit goes elsewhere.
func TestWarmingNodes(t *testing.T) {
	cases := []struct {
		name           string
		edges, parents int
		cold           policy.Endpoint
		filling        policy.CacheStatus
		directors      int
	}{
		{"edge, one director", 3, 1, policy.Endpoint{ID: "e9", Zone: 1}, policy.Hit, 1},
		{"edge, four directors", 3, 1, policy.Endpoint{ID: "e9", Zone: 1}, policy.Hit, 4},
		{"only edge", 0, 1, policy.Endpoint{ID: "e9", Zone: 1}, policy.Hit, 2},
		{"parent", 3, 1, policy.Endpoint{ID: "p9", Kind: 1}, policy.Filled, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ZoneDirectors = c.directors
			var beds []*testRouter
			warm, capacity := s.EdgeSlowStart, 4/float64(c.edges+1)/0.5 // of the link's four transfers; half of pulls miss
			if c.cold.Kind == 1 {
				warm, capacity = s.ParentSlowStart, 4/float64(c.parents+1)
			}
			for range c.directors {
				b := newTestRouter(s, c.edges, c.parents)
				c.cold.Started = b.now
				b.updateEndpoints(c.cold)
				beds = append(beds, b)
			}
			sent, other, budget := 0.0, 0, 0.0
			for i := range 2 * int(warm.OverloadWindow/ms) {
				for _, b := range beds {
					b.now += ms
					b.missRatio = 0.5
					dl, ans := b.route(fmt.Sprint(i))
					switch {
					case ans.Action != policy.Send:
						continue
					case ans.Endpoint.ID == c.cold.ID:
						sent += 0.2
					case ans.Source.ID == c.cold.ID:
						sent += 0.2 * b.missRatio // the others are hits
					default:
						other++
					}
					b.finish(dl, 0, policy.Succeeded, c.filling)
				}
				budget += warm.OverloadFactor * capacity * slowStartShare(beds[0].now, beds[0].endpoints[c.cold.ID], warm) / 1000
			}
			if sent == 0 || sent > budget {
				t.Errorf("sent %.1f of a budget of %.1f", sent, budget)
			}
			if c.edges > 0 && other == 0 {
				t.Error("nothing went to the others")
			}
			if w := slowStartShare(c.cold.Started+warm.Duration, beds[0].endpoints[c.cold.ID], warm); w != 1 {
				t.Errorf("still at %.2f after its time", w)
			}
		})
	}
}

func TestFailedNodesAreSkippedAndTriedCarefully(t *testing.T) {
	cases := []struct {
		name   string
		told   bool
		ending policy.Result
		fill   policy.CacheStatus
		times  int
		edge   bool // the edge is skipped
		parent bool // the parent is
	}{
		{"not reached, asked, not reached", false, policy.ConnectFailed, policy.Unknown, 2, true, false},
		{"not reached once", false, policy.ConnectFailed, policy.Unknown, 1, false, false},
		{"broken", false, policy.ConnectionLost, policy.Unknown, 9, true, false},
		{"broken a few times", false, policy.ConnectionLost, policy.Unknown, 8, false, false},
		{"one error", false, policy.Failed, policy.Unknown, 1, false, false},
		{"full for a while", true, policy.Rejected, policy.Unknown, 8, false, false},
		{"full, again and again", true, policy.Rejected, policy.Unknown, 9, true, false},
		{"source lost, told", true, policy.Rejected, policy.SourceUnavailable, 3, false, true},
		{"source lost once", true, policy.Rejected, policy.SourceUnavailable, 1, false, false},
		{"origin failed behind it", true, policy.Rejected, policy.OriginFailed, 5, false, false},
		{"refused three times, not told why", false, policy.Rejected, policy.Unknown, 3, false, true},
		{"refused twice, not told why", false, policy.Rejected, policy.Unknown, 2, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus, s.MaxAttempts = c.told, 1
			b := newTestRouter(s, 3, 2)
			b.fillLatencyMemory = 1e9 // the gate stays open
			objects := b.objects("e1", 40)
			home, source := b.endpoints["e1"], (*endpoint)(nil)
			for _, object := range objects {
				dl, ans := b.route(object)
				if source == nil {
					source = b.endpoints[ans.Source.ID]
				}
				if ans.Source != &source.Endpoint && ans.Source != ans.Endpoint || c.times == 0 {
					b.finish(dl, 0, policy.NotSent, policy.Unknown)
					continue
				}
				b.finish(dl, ms, c.ending, c.fill)
				c.times--
			}
			if (home.ejectedUntil > b.now) != c.edge || (source.ejectedUntil > b.now) != c.parent {
				t.Fatalf("edge until %d, parent until %d, now %d", home.ejectedUntil, source.ejectedUntil, b.now)
			}
			if c.parent && source.ejectedUntil-b.now != 10*policy.Second {
				t.Errorf("parent skipped for %d", source.ejectedUntil-b.now)
			}
			if !c.edge {
				return
			}
			if _, ans := b.route(objects[0]); ans.Endpoint.ID == "e1" {
				t.Error("sent to a skipped edge")
			}
			b.now = home.ejectedUntil
			dl, trial := b.route(objects[0])
			_, second := b.route(objects[1])
			if trial.Endpoint.ID != "e1" || second.Endpoint.ID == "e1" {
				t.Errorf("tried with %s and %s", trial.Endpoint.ID, second.Endpoint.ID)
			}
			b.finish(dl, ms, policy.Succeeded, policy.Hit)
			if _, ans := b.route(objects[2]); ans.Endpoint.ID != "e1" {
				t.Error("not back after a trial that went well")
			}
		})
	}
	t.Run("a restart forgets", func(t *testing.T) {
		b := newTestRouter(settings(), 1, 1)
		b.eject(b.now, b.endpoints["e0"], &attempt{sentAt: b.now}, policy.Second)
		b.updateEndpoints(policy.Endpoint{ID: "e0", Zone: 1, Started: 1})
		if _, ans := b.route("a"); ans.Action != policy.Send {
			t.Errorf("%+v", ans)
		}
	})
}

// A cache that was not reached may have restarted before the list tells.
func TestBackBeforeTheListTells(t *testing.T) {
	cases := []struct {
		name    string
		first   policy.Result
		answer  policy.Result
		filling policy.CacheStatus
		warming bool
	}{
		{"empty", policy.ConnectFailed, policy.CacheMiss, policy.Unknown, true},
		{"still holds what it had", policy.ConnectFailed, policy.Succeeded, policy.Hit, false},
		{"only a break", policy.ConnectionLost, policy.CacheMiss, policy.Unknown, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRouter(settings(), 3, 1)
			objects := b.objects("e1", 60)
			dl, _ := b.route(objects[0])
			b.finish(dl, ms, c.first, policy.Unknown)
			dl, ans := b.route(objects[1])
			if asked := ans.Source == ans.Endpoint; ans.Endpoint.ID != "e1" || asked != (c.first == policy.ConnectFailed) {
				t.Fatalf("then %+v", ans)
			}
			if c.answer == policy.Succeeded {
				b.finish(dl, ms, c.answer, c.filling)
			} else if ans := b.finish(dl, ms, c.answer, c.filling); ans.Action != policy.Send || ans.Source == ans.Endpoint {
				t.Errorf("after its answer: %+v", ans)
			}
			if w := slowStartShare(b.now, b.endpoints["e1"], b.settings.EdgeSlowStart); (w < 1) != c.warming {
				t.Errorf("taken for %.2f warm", w)
			}
		})
	}
}

// What ends with one connection is one sign against its node, and may go there once more; some in a row are a failure.
func TestBrokenConnections(t *testing.T) {
	t.Run("together", func(t *testing.T) {
		b := newTestRouter(settings(), 3, 2)
		var together []*policy.Request
		for _, o := range b.objects("e1", 2*failureThreshold) {
			dl, _ := b.route(o)
			together = append(together, dl)
		}
		b.now += ms
		for i, dl := range together {
			if ans := b.finish(dl, 0, policy.ConnectionLost, policy.Unknown); ans.Action != policy.Send || ans.Endpoint.ID != "e1" {
				t.Fatalf("download %d: %+v", i, ans)
			}
		}
		if ans := b.finish(together[0], 0, policy.ConnectionLost, policy.Unknown); ans.Action != policy.Send || ans.Endpoint.ID == "e1" {
			t.Errorf("a third time there: %+v", ans)
		}
	})
	t.Run("one after another", func(t *testing.T) {
		b := newTestRouter(settings(), 3, 2)
		for i, o := range b.objects("e1", failureThreshold*failureThreshold) {
			dl, _ := b.route(o)
			ans := b.finish(dl, ms, policy.ConnectionLost, policy.Unknown)
			skipped := b.endpoints["e1"].ejectedUntil > b.now
			if skipped != (i+1 == failureThreshold*failureThreshold) || ans.Action != policy.Send || (ans.Endpoint.ID == "e1") == skipped {
				t.Errorf("%d in a row: skipped %v, %+v", i+1, skipped, ans)
			}
			dl.Done = true
			b.finish(dl, 0, policy.Cancelled, policy.Unknown)
		}
	})
}

// Errors that name no cause are the client's where two nodes agree, a node's where another does what was asked.
func TestErrorsWithoutACause(t *testing.T) {
	cases := []struct {
		name  string
		then  policy.Result
		verb  policy.Action // of the answer to it
		skips bool
	}{
		{"another node errs too", policy.Failed, policy.Reject, false},
		{"another node fulfils", policy.Succeeded, policy.None, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus = true
			b := newTestRouter(s, 3, 2)
			for _, o := range b.objects("e1", 2*failureThreshold) {
				dl, ans := b.route(o)
				if ans.Endpoint.ID != "e1" {
					break // it is skipped
				}
				if ans := b.finish(dl, ms, policy.Failed, policy.Unknown); ans.Action != policy.Send || ans.Endpoint.ID == "e1" {
					t.Fatalf("after the first error: %+v", ans)
				}
				if ans := b.finish(dl, ms, c.then, policy.Unknown); ans.Action != c.verb {
					t.Fatalf("after the second node: %+v", ans)
				}
			}
			if skipped := b.endpoints["e1"].ejectedUntil > b.now; skipped != c.skips {
				t.Errorf("skipped: %v", skipped)
			}
			if b.fillLatency > 0 && !c.skips {
				t.Errorf("an error at once counts as a slow fill: %v", b.fillLatency)
			}
		})
	}
}

func TestSilentNode(t *testing.T) {
	b := newTestRouter(settings(), 3, 1)
	objects := b.objects("e1", 4)
	var dls []*policy.Request
	b.now += ms
	for _, object := range objects {
		dl, _ := b.route(object)
		dls = append(dls, dl)
	}
	b.now += b.RecheckAfter(b.now, dls[0])
	verbs := []policy.Action{}
	for _, dl := range dls {
		verbs = append(verbs, b.Route(b.now, dl).Action)
	}
	if want := fmt.Sprint([]policy.Action{policy.None, policy.None, policy.CancelAttempt, policy.CancelAttempt}); fmt.Sprint(verbs) != want {
		t.Fatalf("verbs %v, want %v", verbs, want)
	}
	if ans := b.finish(dls[2], ms, policy.Cancelled, policy.Unknown); ans.Action != policy.Send || ans.Endpoint.ID == "e1" {
		t.Errorf("after the cancel: %+v", ans)
	}
	b.finish(dls[3], ms, policy.Succeeded, policy.Hit)
	b.now += b.RecheckAfter(b.now, dls[0])
	if ans := b.Route(b.now, dls[0]); ans.Action != policy.None {
		t.Errorf("a node that was heard of: %+v", ans)
	}
}

// A source that lets nothing through while its edges answer others. Where answers tell nothing, no more is seen than fills that take
// long, which they do for many reasons: the source is left alone.
func TestSilentSource(t *testing.T) {
	for _, told := range []bool{true, false} {
		t.Run(fmt.Sprint("told ", told), func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus = told
			b := newTestRouter(s, 1, 2)
			var dls []*policy.Request
			source := ""
			for i := 0; len(dls) < 3; i++ {
				b.now += ms
				dl, ans := b.route(fmt.Sprint(i))
				if source == "" || ans.Source.ID == source {
					source, dls = ans.Source.ID, append(dls, dl)
					continue
				}
				b.finish(dl, ms, policy.Succeeded, policy.Filled)
			}
			b.serve(1, ms, policy.Hit)
			b.now += policy.Second
			ans := policy.Decision{}
			for _, dl := range dls {
				ans = b.Route(b.now, dl)
			}
			if (ans.Action == policy.CancelAttempt) != told || (b.endpoints[source].ejectedUntil > b.now) != told || b.endpoints["e0"].ejectedUntil > b.now {
				t.Fatalf("%+v", ans)
			}
			if !told {
				return
			}
			if ans := b.finish(dls[2], ms, policy.Cancelled, policy.Unknown); ans.Endpoint.ID != "e0" || ans.Source.ID == source {
				t.Errorf("after the cancel: %+v", ans)
			}
		})
	}
}

func TestAllParentsFailing(t *testing.T) {
	for _, told := range []bool{false, true} {
		t.Run(fmt.Sprint("told ", told), func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus, s.MaxAttempts = told, 1
			b := newTestRouter(s, 2, 2)
			b.fillLatencyMemory = 1e9
			for i := range 60 {
				if dl, ans := b.route(fmt.Sprint(i)); ans.Source.ID != "o" {
					b.finish(dl, ms, policy.Rejected, policy.SourceUnavailable)
				} else {
					b.finish(dl, ms, policy.Succeeded, policy.Filled)
				}
			}
			if _, ans := b.route("a"); (ans.Source.ID == "o") != told {
				t.Errorf("filled from %s", ans.Source.ID)
			}
		})
	}
}

func TestSlowParent(t *testing.T) {
	cases := []struct {
		name    string
		other   policy.Micros // what fills through the other parent take
		trial   bool          // the other is back from a skip and not yet tried
		skipped bool
	}{{"alone", 100 * ms, false, true}, {"both slow", 900 * ms, false, false}, {"the other gone", 0, true, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRouter(settings(), 2, 2)
			b.fillLatencyMemory = 1e9 // the gate stays open
			for i := range 60 {
				b.endpoints["p1"].halfOpen, b.endpoints["p1"].probing = c.trial, c.trial
				if dl, ans := b.route(fmt.Sprint(i)); ans.Source.ID == "p0" {
					b.finish(dl, 900*ms, policy.Succeeded, policy.Filled)
				} else {
					b.finish(dl, c.other, policy.Succeeded, policy.Filled)
				}
			}
			if n := b.endpoints["p0"]; (n.ejectedUntil > 0) != c.skipped || b.endpoints["p1"].ejectedUntil > 0 {
				t.Errorf("skipped until %d and %d", n.ejectedUntil, b.endpoints["p1"].ejectedUntil)
			}
		})
	}
}

func TestStraightToAParent(t *testing.T) {
	cases := []struct {
		name   string
		direct bool
		change policy.Endpoint
		node   string
	}{
		{"no cache left", true, policy.Endpoint{ID: "e0", Zone: 1, State: policy.Removed}, "p0"},
		{"not allowed", false, policy.Endpoint{ID: "e0", Zone: 1, State: policy.Removed}, ""},
		{"one cache", true, policy.Endpoint{ID: "e0", Zone: 1}, "e0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.AllowDirect = c.direct
			b := newTestRouter(s, 1, 1)
			b.updateEndpoints(c.change)
			dl, ans := b.route("a")
			if ans.Endpoint == nil != (c.node == "") || ans.Endpoint != nil && ans.Endpoint.ID != c.node {
				t.Fatalf("%+v", ans)
			}
			if c.node != "p0" {
				return
			}
			if ans.Source.ID != "o" || b.fillLimiter.inFlight != 1 {
				t.Errorf("%+v, %d at the gate", ans, b.fillLimiter.inFlight)
			}
			b.fillLimiter.limit = 1
			if _, ans := b.route("b"); ans.Action != policy.Queue {
				t.Errorf("past what the link carries: %+v", ans)
			}
			b.finish(dl, ms, policy.Succeeded, policy.Filled)
			if b.fillLimiter.inFlight != 0 {
				t.Error("still counted")
			}
		})
	}
}

func TestSlowHitsLimitAnEdge(t *testing.T) {
	for _, c := range []struct {
		name string
		took policy.Micros
		less bool
	}{{"quick", 200 * ms, false}, {"slow", 790 * ms, true}} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRouter(settings(), 1, 1)
			for range 20 {
				var dls []*policy.Request
				for i := range 12 {
					if dl, ans := b.route(fmt.Sprint(i)); ans.Action == policy.Send {
						dls = append(dls, dl)
					}
				}
				b.now += c.took
				for _, dl := range dls {
					b.finish(dl, 0, policy.Succeeded, policy.Hit)
				}
			}
			if n := b.endpoints["e0"]; (n.concurrency.limit < initialConcurrency) != c.less || n.concurrency.inFlight != 0 {
				t.Errorf("limit %.1f, %d out", n.concurrency.limit, n.concurrency.inFlight)
			}
		})
	}
}

func TestJammedFills(t *testing.T) {
	b := newTestRouter(settings(), 1, 1)
	b.serve(10, 900*ms, policy.Filled)
	if b.congestedAt == 0 {
		t.Fatal("the gate stayed open")
	}
	dl, look := b.route("a")
	if look.Source != look.Endpoint {
		t.Fatalf("not asked first: %+v", look)
	}
	held := b.finish(dl, ms, policy.CacheMiss, policy.Unknown)
	if held.Action != policy.Send || held.Endpoint != look.Endpoint || held.Source.ID != "p0" || !held.OnlyIfCached {
		t.Fatalf("a miss: %+v", held)
	}
	if fill := b.finish(dl, ms, policy.CacheMiss, policy.Unknown); fill.Action != policy.Send || fill.Source.ID != "p0" || fill.OnlyIfCached {
		t.Fatalf("a miss there too: %+v", fill)
	}
	b.fillLimiter.limit = 1
	other, _ := b.route("b")
	if ans := b.finish(other, ms, policy.CacheMiss, policy.Unknown); ans.Action != policy.Queue {
		t.Errorf("a miss before a full gate: %+v", ans)
	}
	b.finish(dl, ms, policy.Succeeded, policy.Filled)
	if ans := b.Route(b.now, other); ans.Action != policy.Send || !ans.OnlyIfCached {
		t.Errorf("once there is room: %+v", ans)
	}
	if b.fillLimiter.limit, b.originLimiter.limit = 4, 2; b.originLimiter.inFlight != 0 || b.fillLimiter.inFlight != 1 {
		t.Errorf("%d at the gate, %d of them deep", b.fillLimiter.inFlight, b.originLimiter.inFlight)
	}
	for i := range 3 {
		dl, _ := b.route(fmt.Sprint("c", i))
		b.finish(dl, ms, policy.CacheMiss, policy.Unknown)
		if ans := b.finish(dl, ms, policy.CacheMiss, policy.Unknown); (ans.Action == policy.Send) != (i < 2) {
			t.Errorf("fill %d from the origin: %+v", i, ans)
		}
	}
	b.fillLimiter.inFlight, b.originLimiter.inFlight = 1, 0
	b.finish(other, ms, policy.Succeeded, policy.Filled)
	b.now += 11 * policy.Second
	b.serve(1, ms, policy.Hit)
	if _, ans := b.route("c"); ans.Source == ans.Endpoint || b.fillLimiter.inFlight != 0 {
		t.Errorf("the gate did not open again: %+v", ans)
	}
}

// TestSizedHomes: where the settings vouch for the list's sizes, a node is home to its share of the objects; where
// they don't, or all sizes are alike, every node has an even share, as before.
func TestSizedHomes(t *testing.T) {
	cases := []struct {
		name    string
		sized   bool
		weights []float64
		want    []float64 // shares of the homes
	}{
		{"sizes told", true, []float64{1, 1, 2}, []float64{0.25, 0.25, 0.5}},
		{"sizes alike", true, []float64{4, 4, 4}, []float64{1.0 / 3, 1.0 / 3, 1.0 / 3}},
		{"sizes not vouched for", false, []float64{1, 1, 2}, []float64{1.0 / 3, 1.0 / 3, 1.0 / 3}},
		{"a size of none", true, []float64{0, 1, 1}, []float64{0, 0.5, 0.5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.WeightsAreSizes = c.sized
			b := newTestRouter(s, 0, 1)
			var rows []policy.Endpoint
			for i, w := range c.weights {
				rows = append(rows, policy.Endpoint{ID: fmt.Sprint("e", i), Zone: 1, Weight: w})
			}
			b.updateEndpoints(rows...)
			homes := map[string]int{}
			const n = 3000
			for i := range n {
				dl, ans := b.route(fmt.Sprint(i))
				homes[ans.Endpoint.ID]++
				b.finish(dl, ms, policy.Succeeded, policy.Hit)
			}
			for i, want := range c.want {
				if got := float64(homes[fmt.Sprint("e", i)]) / n; got < want-0.03 || got > want+0.03 {
					t.Errorf("e%d is home to %.3f, want %.3f", i, got, want)
				}
			}
		})
	}
}

// TestSilentAnswers: where answers tell neither hit nor fill, quick ones open a jammed gate again and clear the
// parent that they came through; the share of misses is not moved by them.
func TestSilentAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		took   policy.Micros
		jammed bool
	}{{"quick", 50 * ms, false}, {"slow", 900 * ms, true}} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRouter(settings(), 2, 2)
			b.fillLatency, b.congestedAt = 2, b.now
			b.endpoints["p0"].consecutiveFailures, b.endpoints["p1"].consecutiveFailures = 5, 5
			for i := range 60 {
				b.now += 100 * ms
				dl, ans := b.route(fmt.Sprint(i))
				for ans.Action == policy.Send && ans.Source == ans.Endpoint { // asked first while jammed
					ans = b.finish(dl, ms, policy.CacheMiss, policy.Unknown)
				}
				if ans.Action == policy.Send {
					b.finish(dl, c.took, policy.Succeeded, policy.Unknown)
				}
			}
			if jammed := b.fillLatency > congestionThreshold; jammed != c.jammed || b.missRatio != 0.5 {
				t.Errorf("jam %.2f, misses %.2f", b.fillLatency, b.missRatio)
			}
			if !c.jammed && (b.endpoints["p0"].consecutiveFailures != 0 || b.endpoints["p1"].consecutiveFailures != 0) {
				t.Errorf("parents still marked: %d, %d", b.endpoints["p0"].consecutiveFailures, b.endpoints["p1"].consecutiveFailures)
			}
		})
	}
}

// While the limit of fills from the origin is below one, a part of the objects may go there: of the costly ones, by the work that
// they cost for their benefit, a smaller part.
func TestCostlyObjectsWait(t *testing.T) {
	cases := []struct {
		name string
		size float64 // of the download, where most have 200
		want float64 // part of the objects
	}{{"as most", 200, 0.5}, {"twice as long", 400, 0.5 / 7.8}, {"half as long", 100, 0.5}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRouter(settings(), 1, 2)
			went := 0
			const asked = 1000
			for i := range asked {
				b.congestedAt, b.fillLimiter.inFlight, b.originLimiter.inFlight, b.originLimiter.limit, b.averageCost = b.now, 0, 0, 0.5, runningMean{200_000, meanMemory}
				dl := b.request(fmt.Sprint("x", i))
				dl.SizeKB = c.size
				b.Route(b.now, dl)
				b.finish(dl, 0, policy.CacheMiss, policy.Unknown)
				ans := b.finish(dl, 0, policy.CacheMiss, policy.Unknown)
				went += boolean.Int(ans.Action == policy.Send)
				dl.Done = true
				if ans.Action == policy.Send {
					b.finish(dl, 0, policy.Succeeded, policy.Filled)
				}
			}
			if part := float64(went) / asked; part < c.want-0.05 || part > c.want+0.05 {
				t.Errorf("%.3f of the objects went, want %.3f", part, c.want)
			}
		})
	}
}

// Where answers tell nothing of a refusal's cause, the limits of fills gain twice as much by what goes well.
func TestGainsWhereNothingIsTold(t *testing.T) {
	for _, c := range []struct {
		told bool
		want float64
	}{{true, concurrencyIncrease}, {false, 2 * concurrencyIncrease}} {
		t.Run(fmt.Sprint("told ", c.told), func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus = c.told
			b := newTestRouter(s, 1, 1)
			p := &attempt{endpoint: b.endpoints["e0"], source: b.endpoints["p0"], countedAsFill: true, mayReachOrigin: true}
			gate, deep := b.fillLimiter.limit, b.originLimiter.limit
			b.fillLimiter.inFlight, b.originLimiter.inFlight = int(gate), int(deep)
			b.observeFill(b.now, p, 0, true)
			if got := b.originLimiter.limit - deep; got != c.want || b.fillLimiter.limit-gate != c.want {
				t.Errorf("gains of %v and %v, want %v", got, b.fillLimiter.limit-gate, c.want)
			}
		})
	}
}

// With no parent left to ask for what it holds, a fill goes to the origin, for the part of the objects that its limit leaves.
func TestNoParentLeft(t *testing.T) {
	b := newTestRouter(settings(), 1, 1)
	b.endpoints["p0"].ejectedUntil = b.now + 100*policy.Second
	went := 0
	const asked = 2000
	for i := range asked {
		b.congestedAt, b.fillLimiter.inFlight, b.originLimiter.inFlight, b.originLimiter.limit = b.now, 0, 0, 0.25
		dl, _ := b.route(fmt.Sprint("x", i))
		ans := b.finish(dl, 0, policy.CacheMiss, policy.Unknown)
		if went += boolean.Int(ans.Action == policy.Send); ans.Action == policy.Send && (ans.Source.ID != "o" || ans.OnlyIfCached || b.originLimiter.inFlight != 1) {
			t.Fatalf("%+v, %d counted", ans, b.originLimiter.inFlight)
		}
		dl.Done = true
		if ans.Action == policy.Send {
			b.finish(dl, 0, policy.Succeeded, policy.FilledByOrigin)
		}
	}
	if part := float64(went) / asked; part < 0.2 || part > 0.3 {
		t.Errorf("%.3f of the objects went, want 0.25", part)
	}
}

// While fills are jammed, an object that its home lacks may be at the next edge in hash order, where it went while the home was full,
// slow or away: that one is asked too, once, before a fill, which is still the home's.
func TestSecondEdgeAsked(t *testing.T) {
	cases := []struct {
		name   string
		edges  int
		gated  bool
		second policy.Result
	}{
		{"it holds it", 3, true, policy.Succeeded},
		{"it lacks it too", 3, true, policy.CacheMiss},
		{"there is none", 1, true, policy.CacheMiss},
		{"nothing is jammed", 3, false, policy.CacheMiss},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRouter(settings(), c.edges, 1)
			dl, ans := b.route("x")
			home := ans.Endpoint.ID
			b.finish(dl, ms, policy.Succeeded, policy.Hit)
			if !c.gated {
				b.endpoints[home].halfOpen = true // then the home alone is asked
			} else {
				b.congestedAt = b.now
			}
			dl, ans = b.route("x")
			if ans.Endpoint.ID != home || ans.Source != ans.Endpoint {
				t.Fatalf("the home was not asked: %+v", ans)
			}
			ans = b.finish(dl, ms, policy.CacheMiss, policy.Unknown)
			if another := c.edges > 1 && c.gated; another != (ans.Endpoint.ID != home && ans.Source == ans.Endpoint) {
				t.Fatalf("after the home: %+v", ans)
			} else if another {
				ans = b.finish(dl, ms, c.second, policy.Hit)
			}
			if c.second == policy.Succeeded {
				return
			}
			if ans.Action != policy.Send || ans.Endpoint.ID != home || ans.Source.ID != "p0" {
				t.Errorf("the fill: %+v", ans)
			}
		})
	}
}

// What a location's caches can do is known by their sizes too, where the link is not told: else any demand would be a storm.
func TestAbleWithNoLinkTold(t *testing.T) {
	for _, c := range []struct {
		name  string
		sized bool
		want  float64
	}{{"sizes vouched for", true, 10.0 / 4}, {"not", false, 0}} {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.FillLinkKBPerSecond, s.WeightsAreSizes, s.ZoneDirectors = 0, c.sized, 4
			b := newTestRouter(s, 0, 1)
			b.updateEndpoints(policy.Endpoint{ID: "e0", Zone: 1, Weight: 4}, policy.Endpoint{ID: "e1", Zone: 1, Weight: 6})
			if got := b.Capacity(b.now); got != c.want || b.WarmCapacity() != c.want {
				t.Errorf("able to %v, %v when warm, want %v", got, b.WarmCapacity(), c.want)
			}
		})
	}
}
