package routing

import (
	"fmt"
	"testing"

	d "tallyproxy/policy"
)

func TestOrdinaryPath(t *testing.T) {
	a, b := newBed(settings(), 4, 3), newBed(settings(), 4, 3)
	times := map[string]int{}
	for i := range 400 {
		dl, ans := a.ask(fmt.Sprint(i))
		other, again := b.ask(fmt.Sprint(i))
		if ans.Endpoint.ID != again.Endpoint.ID || ans.Source.ID != again.Source.ID {
			t.Fatalf("object %d: two instances disagree: %+v and %+v", i, ans, again)
		}
		if ans.Action != d.Send || ans.CacheRank != 2 || !ans.Coalesce || ans.OnlyIfCached || ans.Timeout != 3*d.Second {
			t.Fatalf("object %d: %+v", i, ans)
		}
		times[ans.Endpoint.ID]++
		times[ans.Source.ID]++
		a.end(dl, ms, d.Succeeded, d.Hit)
		b.end(other, ms, d.Succeeded, d.Hit)
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
		change         []d.Endpoint
		verb           d.Action
		source         string
	}{
		{"no parents", 2, 0, nil, d.Send, "o"},
		{"one of each", 1, 1, nil, d.Send, "p0"},
		{"no edges yet", 0, 1, nil, d.Queue, ""},
		{"draining parent", 1, 1, []d.Endpoint{{ID: "p0", Kind: 1, State: d.Draining}}, d.Send, "o"},
		{"gone parent", 1, 1, []d.Endpoint{{ID: "p0", Kind: 1, State: d.Removed}}, d.Send, "o"},
		{"draining edge", 1, 1, []d.Endpoint{{ID: "e0", Zone: 1, State: d.Draining}}, d.Queue, ""},
		{"edge of another zone", 0, 1, []d.Endpoint{{ID: "x", Zone: 2}}, d.Queue, ""},
		{"no origin", 1, 0, []d.Endpoint{{ID: "o", Kind: 2, State: d.Removed}}, d.Send, "e0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(settings(), c.edges, c.parents)
			b.list(c.change...)
			dl, ans := b.ask("a")
			if ans.Action != c.verb || ans.Source != nil && ans.Source.ID != c.source {
				t.Fatalf("%+v", ans)
			}
			if c.verb == d.Queue {
				if wait := b.RecheckAfter(b.now, dl); wait <= 0 || wait > b.t.LatencyObjective {
					t.Errorf("held for %d", wait)
				}
				b.now += 2 * d.Second
				if ans := b.Route(b.now, dl); ans.Action != d.Reject || ans.RetryAfter <= 0 {
					t.Errorf("after its target time: %+v", ans)
				}
			}
		})
	}
	t.Run("a complete list leaves out the rest", func(t *testing.T) {
		b := newBed(settings(), 3, 1)
		b.UpdateEndpoints(b.now, []d.Endpoint{{ID: "e1", Zone: 1}}, true)
		if _, ans := b.ask("a"); ans.Endpoint.ID != "e1" || ans.Source.ID != "e1" || len(b.nodes) != 1 {
			t.Errorf("%+v", ans)
		}
	})
}

// Rule 2: what may follow a pull that ended badly.
func TestRepeats(t *testing.T) {
	cases := []struct {
		name   string
		repeat d.RetrySafety
		scope  d.DedupScope
		ending d.Result
		after  d.Micros
		verb   d.Action
	}{
		{"retriable may run again", d.Idempotent, d.DedupScopeAll, d.ConnectionLost, 0, d.Send},
		{"non-retriable that may have run", d.NotIdempotent, d.DedupScopeAll, d.ConnectionLost, 0, d.Fail},
		{"non-retriable, error answer", d.NotIdempotent, d.DedupScopeAll, d.Failed, 0, d.Fail},
		{"non-retriable that never ran", d.NotIdempotent, d.DedupScopeAll, d.Rejected, 0, d.Send},
		{"non-retriable, not reached", d.NotIdempotent, d.DedupScopeAll, d.ConnectFailed, 0, d.Send},
		{"deduped in its window", d.IdempotentWithKey, d.DedupScopeAll, d.ConnectionLost, d.Second, d.Send},
		{"deduped past its window", d.IdempotentWithKey, d.DedupScopeAll, d.ConnectionLost, 3 * d.Second, d.Reject},
		{"deduped, same cell", d.IdempotentWithKey, d.DedupScopeCell, d.ConnectionLost, 0, d.Send},
		{"deduped, other cell", d.IdempotentWithKey, d.DedupScopeCell, d.Failed, 0, d.Fail},
		{"deduped, same zone", d.IdempotentWithKey, d.DedupScopeZone, d.Failed, 0, d.Send},
		{"deduped, zone, past its window", d.IdempotentWithKey, d.DedupScopeZone, d.TimedOut, 3 * d.Second, d.Fail},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ContentTypes[0].RetrySafety, s.ContentTypes[0].DedupScope, s.ContentTypes[0].Uncacheable = c.repeat, c.scope, true
			b := newBed(s, 0, 1)
			b.list(d.Endpoint{ID: "e0", Zone: 1, Cell: 1}, d.Endpoint{ID: "e1", Zone: 1, Cell: 2})
			dl := b.download("a")
			dl.Deadline += 5 * d.Second
			first := b.Route(b.now, dl)
			if first.Source.ID != "o" || first.CacheRank != 0 || first.Coalesce {
				t.Errorf("a pass-through pull: %+v", first)
			}
			if ans := b.end(dl, c.after, c.ending, d.Unknown); ans.Action != c.verb ||
				ans.Action == d.Send && (ans.Endpoint == first.Endpoint) != (c.ending == d.ConnectionLost) { // a connection, not its node
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
			b := newBed(s, 5, 2)
			b.trouble = c.trouble
			dl, ans := b.ask("a")
			pulls := 0
			for ; ans.Action == d.Send; pulls++ {
				ans = b.end(dl, ms, d.Rejected, d.Unknown)
			}
			if pulls != c.pulls || ans.Action != d.Reject {
				t.Errorf("%d pulls, then %+v", pulls, ans)
			}
			if dl.Done = true; b.Route(b.now, dl).Action != d.None || b.RecheckAfter(b.now, dl) != 0 {
				t.Error("something after the final answer")
			}
			late := b.download("a")
			if late.Deadline = b.now; b.Route(b.now, late).Action != d.Reject {
				t.Error("something else than an end for a client without patience")
			}
		})
	}
}

// Rule 5: the oldest copy that will do.
func TestPurges(t *testing.T) {
	cases := []struct {
		name   string
		fresh  d.Micros
		object string
		group  int
		ago    d.Micros
		oldest d.Micros
	}{
		{"none", 0, "other", 1, d.Second, 0},
		{"of the object", 0, "a", 7, d.Second, d.Second},
		{"of the group", 0, "", 7, 2 * d.Second, 2 * d.Second},
		{"of another group", 0, "", 8, d.Second, 0},
		{"of all", 0, "", d.AllGroups, 2 * d.Second, 2 * d.Second},
		{"right now", 0, "a", 7, 0, 1},
		{"all old copies are gone", 0, "a", 7, 7 * d.Second, 0},
		{"older than fresh", d.Second, "a", 7, 2 * d.Second, 0},
		{"younger than fresh", 3 * d.Second, "a", 7, 2 * d.Second, 2 * d.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ContentTypes[0].TTL = c.fresh
			b := newBed(s, 2, 1)
			dl, _ := b.ask("a")
			b.Purge(b.now, c.object, c.group, b.now-c.ago)
			if ans := b.end(dl, 0, d.Rejected, d.Unknown); ans.MaxAge != c.oldest || ans.Revalidate != (c.fresh > 0) {
				t.Errorf("later pull of a download in hand: %+v", ans)
			}
			b.now += 7 * d.Second
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
		cold           d.Endpoint
		filling        d.CacheStatus
		directors      int
	}{
		{"edge, one director", 3, 1, d.Endpoint{ID: "e9", Zone: 1}, d.Hit, 1},
		{"edge, four directors", 3, 1, d.Endpoint{ID: "e9", Zone: 1}, d.Hit, 4},
		{"only edge", 0, 1, d.Endpoint{ID: "e9", Zone: 1}, d.Hit, 2},
		{"parent", 3, 1, d.Endpoint{ID: "p9", Kind: 1}, d.Filled, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ZoneDirectors = c.directors
			var beds []*bed
			warm, capacity := s.EdgeSlowStart, 4/float64(c.edges+1)/0.5 // of the link's four transfers; half of pulls miss
			if c.cold.Kind == 1 {
				warm, capacity = s.ParentSlowStart, 4/float64(c.parents+1)
			}
			for range c.directors {
				b := newBed(s, c.edges, c.parents)
				c.cold.Started = b.now
				b.list(c.cold)
				beds = append(beds, b)
			}
			sent, other, budget := 0.0, 0, 0.0
			for i := range 2 * int(warm.OverloadWindow/ms) {
				for _, b := range beds {
					b.now += ms
					b.missing = 0.5
					dl, ans := b.ask(fmt.Sprint(i))
					switch {
					case ans.Action != d.Send:
						continue
					case ans.Endpoint.ID == c.cold.ID:
						sent += 0.2
					case ans.Source.ID == c.cold.ID:
						sent += 0.2 * b.missing // the others are hits
					default:
						other++
					}
					b.end(dl, 0, d.Succeeded, c.filling)
				}
				budget += warm.OverloadFactor * capacity * warmth(beds[0].now, beds[0].nodes[c.cold.ID], warm) / 1000
			}
			if sent == 0 || sent > budget {
				t.Errorf("sent %.1f of a budget of %.1f", sent, budget)
			}
			if c.edges > 0 && other == 0 {
				t.Error("nothing went to the others")
			}
			if w := warmth(c.cold.Started+warm.Duration, beds[0].nodes[c.cold.ID], warm); w != 1 {
				t.Errorf("still at %.2f after its time", w)
			}
		})
	}
}

func TestFailedNodesAreSkippedAndTriedCarefully(t *testing.T) {
	cases := []struct {
		name   string
		told   bool
		ending d.Result
		fill   d.CacheStatus
		times  int
		edge   bool // the edge is skipped
		parent bool // the parent is
	}{
		{"not reached, asked, not reached", false, d.ConnectFailed, d.Unknown, 2, true, false},
		{"not reached once", false, d.ConnectFailed, d.Unknown, 1, false, false},
		{"broken", false, d.ConnectionLost, d.Unknown, 9, true, false},
		{"broken a few times", false, d.ConnectionLost, d.Unknown, 8, false, false},
		{"one error", false, d.Failed, d.Unknown, 1, false, false},
		{"full for a while", true, d.Rejected, d.Unknown, 8, false, false},
		{"full, again and again", true, d.Rejected, d.Unknown, 9, true, false},
		{"source lost, told", true, d.Rejected, d.SourceUnavailable, 3, false, true},
		{"source lost once", true, d.Rejected, d.SourceUnavailable, 1, false, false},
		{"origin failed behind it", true, d.Rejected, d.OriginFailed, 5, false, false},
		{"refused three times, not told why", false, d.Rejected, d.Unknown, 3, false, true},
		{"refused twice, not told why", false, d.Rejected, d.Unknown, 2, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus, s.MaxAttempts = c.told, 1
			b := newBed(s, 3, 2)
			b.jamSeen = 1e9 // the gate stays open
			objects := b.objects("e1", 40)
			home, source := b.nodes["e1"], (*node)(nil)
			for _, object := range objects {
				dl, ans := b.ask(object)
				if source == nil {
					source = b.nodes[ans.Source.ID]
				}
				if ans.Source != &source.Endpoint && ans.Source != ans.Endpoint || c.times == 0 {
					b.end(dl, 0, d.NotSent, d.Unknown)
					continue
				}
				b.end(dl, ms, c.ending, c.fill)
				c.times--
			}
			if (home.skipUntil > b.now) != c.edge || (source.skipUntil > b.now) != c.parent {
				t.Fatalf("edge until %d, parent until %d, now %d", home.skipUntil, source.skipUntil, b.now)
			}
			if c.parent && source.skipUntil-b.now != 10*d.Second {
				t.Errorf("parent skipped for %d", source.skipUntil-b.now)
			}
			if !c.edge {
				return
			}
			if _, ans := b.ask(objects[0]); ans.Endpoint.ID == "e1" {
				t.Error("sent to a skipped edge")
			}
			b.now = home.skipUntil
			dl, trial := b.ask(objects[0])
			_, second := b.ask(objects[1])
			if trial.Endpoint.ID != "e1" || second.Endpoint.ID == "e1" {
				t.Errorf("tried with %s and %s", trial.Endpoint.ID, second.Endpoint.ID)
			}
			b.end(dl, ms, d.Succeeded, d.Hit)
			if _, ans := b.ask(objects[2]); ans.Endpoint.ID != "e1" {
				t.Error("not back after a trial that went well")
			}
		})
	}
	t.Run("a restart forgets", func(t *testing.T) {
		b := newBed(settings(), 1, 1)
		b.skip(b.now, b.nodes["e0"], &pull{sent: b.now}, d.Second)
		b.list(d.Endpoint{ID: "e0", Zone: 1, Started: 1})
		if _, ans := b.ask("a"); ans.Action != d.Send {
			t.Errorf("%+v", ans)
		}
	})
}

// A cache that was not reached may have restarted before the list tells.
func TestBackBeforeTheListTells(t *testing.T) {
	cases := []struct {
		name    string
		first   d.Result
		answer  d.Result
		filling d.CacheStatus
		warming bool
	}{
		{"empty", d.ConnectFailed, d.CacheMiss, d.Unknown, true},
		{"still holds what it had", d.ConnectFailed, d.Succeeded, d.Hit, false},
		{"only a break", d.ConnectionLost, d.CacheMiss, d.Unknown, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(settings(), 3, 1)
			objects := b.objects("e1", 60)
			dl, _ := b.ask(objects[0])
			b.end(dl, ms, c.first, d.Unknown)
			dl, ans := b.ask(objects[1])
			if asked := ans.Source == ans.Endpoint; ans.Endpoint.ID != "e1" || asked != (c.first == d.ConnectFailed) {
				t.Fatalf("then %+v", ans)
			}
			if c.answer == d.Succeeded {
				b.end(dl, ms, c.answer, c.filling)
			} else if ans := b.end(dl, ms, c.answer, c.filling); ans.Action != d.Send || ans.Source == ans.Endpoint {
				t.Errorf("after its answer: %+v", ans)
			}
			if w := warmth(b.now, b.nodes["e1"], b.s.EdgeSlowStart); (w < 1) != c.warming {
				t.Errorf("taken for %.2f warm", w)
			}
		})
	}
}

// What ends with one connection is one sign against its node, and may go there once more; some in a row are a failure.
func TestBrokenConnections(t *testing.T) {
	t.Run("together", func(t *testing.T) {
		b := newBed(settings(), 3, 2)
		var together []*d.Request
		for _, o := range b.objects("e1", 2*strikes) {
			dl, _ := b.ask(o)
			together = append(together, dl)
		}
		b.now += ms
		for i, dl := range together {
			if ans := b.end(dl, 0, d.ConnectionLost, d.Unknown); ans.Action != d.Send || ans.Endpoint.ID != "e1" {
				t.Fatalf("download %d: %+v", i, ans)
			}
		}
		if ans := b.end(together[0], 0, d.ConnectionLost, d.Unknown); ans.Action != d.Send || ans.Endpoint.ID == "e1" {
			t.Errorf("a third time there: %+v", ans)
		}
	})
	t.Run("one after another", func(t *testing.T) {
		b := newBed(settings(), 3, 2)
		for i, o := range b.objects("e1", strikes*strikes) {
			dl, _ := b.ask(o)
			ans := b.end(dl, ms, d.ConnectionLost, d.Unknown)
			skipped := b.nodes["e1"].skipUntil > b.now
			if skipped != (i+1 == strikes*strikes) || ans.Action != d.Send || (ans.Endpoint.ID == "e1") == skipped {
				t.Errorf("%d in a row: skipped %v, %+v", i+1, skipped, ans)
			}
			dl.Done = true
			b.end(dl, 0, d.Cancelled, d.Unknown)
		}
	})
}

// Errors that name no cause are the client's where two nodes agree, a node's where another does what was asked.
func TestErrorsWithoutACause(t *testing.T) {
	cases := []struct {
		name  string
		then  d.Result
		verb  d.Action // of the answer to it
		skips bool
	}{
		{"another node errs too", d.Failed, d.Reject, false},
		{"another node fulfils", d.Succeeded, d.None, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus = true
			b := newBed(s, 3, 2)
			for _, o := range b.objects("e1", 2*strikes) {
				dl, ans := b.ask(o)
				if ans.Endpoint.ID != "e1" {
					break // it is skipped
				}
				if ans := b.end(dl, ms, d.Failed, d.Unknown); ans.Action != d.Send || ans.Endpoint.ID == "e1" {
					t.Fatalf("after the first error: %+v", ans)
				}
				if ans := b.end(dl, ms, c.then, d.Unknown); ans.Action != c.verb {
					t.Fatalf("after the second node: %+v", ans)
				}
			}
			if skipped := b.nodes["e1"].skipUntil > b.now; skipped != c.skips {
				t.Errorf("skipped: %v", skipped)
			}
			if b.jam > 0 && !c.skips {
				t.Errorf("an error at once counts as a slow fill: %v", b.jam)
			}
		})
	}
}

func TestSilentNode(t *testing.T) {
	b := newBed(settings(), 3, 1)
	objects := b.objects("e1", 4)
	var dls []*d.Request
	b.now += ms
	for _, object := range objects {
		dl, _ := b.ask(object)
		dls = append(dls, dl)
	}
	b.now += b.RecheckAfter(b.now, dls[0])
	verbs := []d.Action{}
	for _, dl := range dls {
		verbs = append(verbs, b.Route(b.now, dl).Action)
	}
	if want := fmt.Sprint([]d.Action{d.None, d.None, d.CancelAttempt, d.CancelAttempt}); fmt.Sprint(verbs) != want {
		t.Fatalf("verbs %v, want %v", verbs, want)
	}
	if ans := b.end(dls[2], ms, d.Cancelled, d.Unknown); ans.Action != d.Send || ans.Endpoint.ID == "e1" {
		t.Errorf("after the cancel: %+v", ans)
	}
	b.end(dls[3], ms, d.Succeeded, d.Hit)
	b.now += b.RecheckAfter(b.now, dls[0])
	if ans := b.Route(b.now, dls[0]); ans.Action != d.None {
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
			b := newBed(s, 1, 2)
			var dls []*d.Request
			source := ""
			for i := 0; len(dls) < 3; i++ {
				b.now += ms
				dl, ans := b.ask(fmt.Sprint(i))
				if source == "" || ans.Source.ID == source {
					source, dls = ans.Source.ID, append(dls, dl)
					continue
				}
				b.end(dl, ms, d.Succeeded, d.Filled)
			}
			b.serve(1, ms, d.Hit)
			b.now += d.Second
			ans := d.Decision{}
			for _, dl := range dls {
				ans = b.Route(b.now, dl)
			}
			if (ans.Action == d.CancelAttempt) != told || (b.nodes[source].skipUntil > b.now) != told || b.nodes["e0"].skipUntil > b.now {
				t.Fatalf("%+v", ans)
			}
			if !told {
				return
			}
			if ans := b.end(dls[2], ms, d.Cancelled, d.Unknown); ans.Endpoint.ID != "e0" || ans.Source.ID == source {
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
			b := newBed(s, 2, 2)
			b.jamSeen = 1e9
			for i := range 60 {
				if dl, ans := b.ask(fmt.Sprint(i)); ans.Source.ID != "o" {
					b.end(dl, ms, d.Rejected, d.SourceUnavailable)
				} else {
					b.end(dl, ms, d.Succeeded, d.Filled)
				}
			}
			if _, ans := b.ask("a"); (ans.Source.ID == "o") != told {
				t.Errorf("filled from %s", ans.Source.ID)
			}
		})
	}
}

func TestSlowParent(t *testing.T) {
	cases := []struct {
		name    string
		other   d.Micros // what fills through the other parent take
		trial   bool     // the other is back from a skip and not yet tried
		skipped bool
	}{{"alone", 100 * ms, false, true}, {"both slow", 900 * ms, false, false}, {"the other gone", 0, true, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(settings(), 2, 2)
			b.jamSeen = 1e9 // the gate stays open
			for i := range 60 {
				b.nodes["p1"].trial, b.nodes["p1"].trying = c.trial, c.trial
				if dl, ans := b.ask(fmt.Sprint(i)); ans.Source.ID == "p0" {
					b.end(dl, 900*ms, d.Succeeded, d.Filled)
				} else {
					b.end(dl, c.other, d.Succeeded, d.Filled)
				}
			}
			if n := b.nodes["p0"]; (n.skipUntil > 0) != c.skipped || b.nodes["p1"].skipUntil > 0 {
				t.Errorf("skipped until %d and %d", n.skipUntil, b.nodes["p1"].skipUntil)
			}
		})
	}
}

func TestStraightToAParent(t *testing.T) {
	cases := []struct {
		name   string
		direct bool
		change d.Endpoint
		node   string
	}{
		{"no cache left", true, d.Endpoint{ID: "e0", Zone: 1, State: d.Removed}, "p0"},
		{"not allowed", false, d.Endpoint{ID: "e0", Zone: 1, State: d.Removed}, ""},
		{"one cache", true, d.Endpoint{ID: "e0", Zone: 1}, "e0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.AllowDirect = c.direct
			b := newBed(s, 1, 1)
			b.list(c.change)
			dl, ans := b.ask("a")
			if ans.Endpoint == nil != (c.node == "") || ans.Endpoint != nil && ans.Endpoint.ID != c.node {
				t.Fatalf("%+v", ans)
			}
			if c.node != "p0" {
				return
			}
			if ans.Source.ID != "o" || b.gate.out != 1 {
				t.Errorf("%+v, %d at the gate", ans, b.gate.out)
			}
			b.gate.most = 1
			if _, ans := b.ask("b"); ans.Action != d.Queue {
				t.Errorf("past what the link carries: %+v", ans)
			}
			b.end(dl, ms, d.Succeeded, d.Filled)
			if b.gate.out != 0 {
				t.Error("still counted")
			}
		})
	}
}

func TestSlowHitsLimitAnEdge(t *testing.T) {
	for _, c := range []struct {
		name string
		took d.Micros
		less bool
	}{{"quick", 200 * ms, false}, {"slow", 790 * ms, true}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(settings(), 1, 1)
			for range 20 {
				var dls []*d.Request
				for i := range 12 {
					if dl, ans := b.ask(fmt.Sprint(i)); ans.Action == d.Send {
						dls = append(dls, dl)
					}
				}
				b.now += c.took
				for _, dl := range dls {
					b.end(dl, 0, d.Succeeded, d.Hit)
				}
			}
			if n := b.nodes["e0"]; (n.limit.most < firstLimit) != c.less || n.limit.out != 0 {
				t.Errorf("limit %.1f, %d out", n.limit.most, n.limit.out)
			}
		})
	}
}

func TestJammedFills(t *testing.T) {
	b := newBed(settings(), 1, 1)
	b.serve(10, 900*ms, d.Filled)
	if b.gated == 0 {
		t.Fatal("the gate stayed open")
	}
	dl, look := b.ask("a")
	if look.Source != look.Endpoint {
		t.Fatalf("not asked first: %+v", look)
	}
	held := b.end(dl, ms, d.CacheMiss, d.Unknown)
	if held.Action != d.Send || held.Endpoint != look.Endpoint || held.Source.ID != "p0" || !held.OnlyIfCached {
		t.Fatalf("a miss: %+v", held)
	}
	if fill := b.end(dl, ms, d.CacheMiss, d.Unknown); fill.Action != d.Send || fill.Source.ID != "p0" || fill.OnlyIfCached {
		t.Fatalf("a miss there too: %+v", fill)
	}
	b.gate.most = 1
	other, _ := b.ask("b")
	if ans := b.end(other, ms, d.CacheMiss, d.Unknown); ans.Action != d.Queue {
		t.Errorf("a miss before a full gate: %+v", ans)
	}
	b.end(dl, ms, d.Succeeded, d.Filled)
	if ans := b.Route(b.now, other); ans.Action != d.Send || !ans.OnlyIfCached {
		t.Errorf("once there is room: %+v", ans)
	}
	if b.gate.most, b.deep.most = 4, 2; b.deep.out != 0 || b.gate.out != 1 {
		t.Errorf("%d at the gate, %d of them deep", b.gate.out, b.deep.out)
	}
	for i := range 3 {
		dl, _ := b.ask(fmt.Sprint("c", i))
		b.end(dl, ms, d.CacheMiss, d.Unknown)
		if ans := b.end(dl, ms, d.CacheMiss, d.Unknown); (ans.Action == d.Send) != (i < 2) {
			t.Errorf("fill %d from the origin: %+v", i, ans)
		}
	}
	b.gate.out, b.deep.out = 1, 0
	b.end(other, ms, d.Succeeded, d.Filled)
	b.now += 11 * d.Second
	b.serve(1, ms, d.Hit)
	if _, ans := b.ask("c"); ans.Source == ans.Endpoint || b.gate.out != 0 {
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
			b := newBed(s, 0, 1)
			var rows []d.Endpoint
			for i, w := range c.weights {
				rows = append(rows, d.Endpoint{ID: fmt.Sprint("e", i), Zone: 1, Weight: w})
			}
			b.list(rows...)
			homes := map[string]int{}
			const n = 3000
			for i := range n {
				dl, ans := b.ask(fmt.Sprint(i))
				homes[ans.Endpoint.ID]++
				b.end(dl, ms, d.Succeeded, d.Hit)
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
		took   d.Micros
		jammed bool
	}{{"quick", 50 * ms, false}, {"slow", 900 * ms, true}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(settings(), 2, 2)
			b.jam, b.gated = 2, b.now
			b.nodes["p0"].bad, b.nodes["p1"].bad = 5, 5
			for i := range 60 {
				b.now += 100 * ms
				dl, ans := b.ask(fmt.Sprint(i))
				for ans.Action == d.Send && ans.Source == ans.Endpoint { // asked first while jammed
					ans = b.end(dl, ms, d.CacheMiss, d.Unknown)
				}
				if ans.Action == d.Send {
					b.end(dl, c.took, d.Succeeded, d.Unknown)
				}
			}
			if jammed := b.jam > jamPart; jammed != c.jammed || b.missing != 0.5 {
				t.Errorf("jam %.2f, misses %.2f", b.jam, b.missing)
			}
			if !c.jammed && (b.nodes["p0"].bad != 0 || b.nodes["p1"].bad != 0) {
				t.Errorf("parents still marked: %d, %d", b.nodes["p0"].bad, b.nodes["p1"].bad)
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
			b := newBed(settings(), 1, 2)
			went := 0
			const asked = 1000
			for i := range asked {
				b.gated, b.gate.out, b.deep.out, b.deep.most, b.costs = b.now, 0, 0, 0.5, mean{200_000, memory}
				dl := b.download(fmt.Sprint("x", i))
				dl.SizeKB = c.size
				b.Route(b.now, dl)
				b.end(dl, 0, d.CacheMiss, d.Unknown)
				ans := b.end(dl, 0, d.CacheMiss, d.Unknown)
				went += bit(ans.Action == d.Send)
				dl.Done = true
				if ans.Action == d.Send {
					b.end(dl, 0, d.Succeeded, d.Filled)
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
	}{{true, growBy}, {false, 2 * growBy}} {
		t.Run(fmt.Sprint("told ", c.told), func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus = c.told
			b := newBed(s, 1, 1)
			p := &pull{edge: b.nodes["e0"], source: b.nodes["p0"], fill: true, deep: true}
			gate, deep := b.gate.most, b.deep.most
			b.gate.out, b.deep.out = int(gate), int(deep)
			b.filled(b.now, p, 0, true)
			if got := b.deep.most - deep; got != c.want || b.gate.most-gate != c.want {
				t.Errorf("gains of %v and %v, want %v", got, b.gate.most-gate, c.want)
			}
		})
	}
}

// With no parent left to ask for what it holds, a fill goes to the origin, for the part of the objects that its limit leaves.
func TestNoParentLeft(t *testing.T) {
	b := newBed(settings(), 1, 1)
	b.nodes["p0"].skipUntil = b.now + 100*d.Second
	went := 0
	const asked = 2000
	for i := range asked {
		b.gated, b.gate.out, b.deep.out, b.deep.most = b.now, 0, 0, 0.25
		dl, _ := b.ask(fmt.Sprint("x", i))
		ans := b.end(dl, 0, d.CacheMiss, d.Unknown)
		if went += bit(ans.Action == d.Send); ans.Action == d.Send && (ans.Source.ID != "o" || ans.OnlyIfCached || b.deep.out != 1) {
			t.Fatalf("%+v, %d counted", ans, b.deep.out)
		}
		dl.Done = true
		if ans.Action == d.Send {
			b.end(dl, 0, d.Succeeded, d.FilledByOrigin)
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
		second d.Result
	}{
		{"it holds it", 3, true, d.Succeeded},
		{"it lacks it too", 3, true, d.CacheMiss},
		{"there is none", 1, true, d.CacheMiss},
		{"nothing is jammed", 3, false, d.CacheMiss},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(settings(), c.edges, 1)
			dl, ans := b.ask("x")
			home := ans.Endpoint.ID
			b.end(dl, ms, d.Succeeded, d.Hit)
			if !c.gated {
				b.nodes[home].trial = true // then the home alone is asked
			} else {
				b.gated = b.now
			}
			dl, ans = b.ask("x")
			if ans.Endpoint.ID != home || ans.Source != ans.Endpoint {
				t.Fatalf("the home was not asked: %+v", ans)
			}
			ans = b.end(dl, ms, d.CacheMiss, d.Unknown)
			if another := c.edges > 1 && c.gated; another != (ans.Endpoint.ID != home && ans.Source == ans.Endpoint) {
				t.Fatalf("after the home: %+v", ans)
			} else if another {
				ans = b.end(dl, ms, c.second, d.Hit)
			}
			if c.second == d.Succeeded {
				return
			}
			if ans.Action != d.Send || ans.Endpoint.ID != home || ans.Source.ID != "p0" {
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
			b := newBed(s, 0, 1)
			b.list(d.Endpoint{ID: "e0", Zone: 1, Weight: 4}, d.Endpoint{ID: "e1", Zone: 1, Weight: 6})
			if got := b.Capacity(b.now); got != c.want || b.WarmCapacity() != c.want {
				t.Errorf("able to %v, %v when warm, want %v", got, b.WarmCapacity(), c.want)
			}
		})
	}
}
