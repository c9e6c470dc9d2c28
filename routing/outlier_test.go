package routing

import (
	"fmt"
	"testing"

	"tallyproxy/policy"
)

// TestEjectionAndProbe: which results eject an endpoint or its source, and that an ejected edge comes back by one probe.
func TestEjectionAndProbe(t *testing.T) {
	cases := []struct {
		name     string
		reported bool
		result   policy.Result
		fill     policy.CacheStatus
		times    int
		edge     bool // the edge is ejected
		parent   bool // the parent is
	}{
		{"connect failed, probed, connect failed", false, policy.ConnectFailed, policy.Unknown, 2, true, false},
		{"connect failed once", false, policy.ConnectFailed, policy.Unknown, 1, false, false},
		{"connection lost", false, policy.ConnectionLost, policy.Unknown, 9, true, false},
		{"connection lost a few times", false, policy.ConnectionLost, policy.Unknown, 8, false, false},
		{"one error", false, policy.Failed, policy.Unknown, 1, false, false},
		{"rejects for a while", true, policy.Rejected, policy.Unknown, 8, false, false},
		{"rejects again and again", true, policy.Rejected, policy.Unknown, 9, true, false},
		{"source unavailable, cause reported", true, policy.Rejected, policy.SourceUnavailable, 3, false, true},
		{"source unavailable once", true, policy.Rejected, policy.SourceUnavailable, 1, false, false},
		{"origin failed behind the source", true, policy.Rejected, policy.OriginFailed, 5, false, false},
		{"rejected three times, no cause reported", false, policy.Rejected, policy.Unknown, 3, false, true},
		{"rejected twice, no cause reported", false, policy.Rejected, policy.Unknown, 2, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus, s.MaxAttempts = c.reported, 1
			b := newTestRouter(s, 3, 2)
			b.fillLatencySamples = 1e9 // fills never count as congested
			objects := b.objects("e1", 40)
			home, source := b.endpoints["e1"], (*endpoint)(nil)
			for _, object := range objects {
				request, decision := b.route(object)
				if source == nil {
					source = b.endpoints[decision.Source.ID]
				}
				if decision.Source != &source.Endpoint && decision.Source != decision.Endpoint || c.times == 0 {
					b.finish(request, 0, policy.NotSent, policy.Unknown)
					continue
				}
				b.finish(request, ms, c.result, c.fill)
				c.times--
			}
			if (home.ejectedUntil > b.now) != c.edge || (source.ejectedUntil > b.now) != c.parent {
				t.Fatalf("edge until %d, parent until %d, now %d", home.ejectedUntil, source.ejectedUntil, b.now)
			}
			if c.parent && source.ejectedUntil-b.now != 10*policy.Second {
				t.Errorf("parent ejected for %d", source.ejectedUntil-b.now)
			}
			if !c.edge {
				return
			}
			if _, decision := b.route(objects[0]); decision.Endpoint.ID == "e1" {
				t.Error("sent to an ejected edge")
			}
			b.now = home.ejectedUntil
			request, probe := b.route(objects[0])
			_, second := b.route(objects[1])
			if probe.Endpoint.ID != "e1" || second.Endpoint.ID == "e1" {
				t.Errorf("probed with %s and %s", probe.Endpoint.ID, second.Endpoint.ID)
			}
			b.finish(request, ms, policy.Succeeded, policy.Hit)
			if _, decision := b.route(objects[2]); decision.Endpoint.ID != "e1" {
				t.Error("not back after a probe that succeeded")
			}
		})
	}
	t.Run("a restart forgets", func(t *testing.T) {
		b := newTestRouter(settings(), 1, 1)
		b.eject(b.now, b.endpoints["e0"], &attempt{sentAt: b.now}, policy.Second)
		b.updateEndpoints(policy.Endpoint{ID: "e0", Zone: 1, Started: 1})
		if _, decision := b.route("a"); decision.Action != policy.Send {
			t.Errorf("%+v", decision)
		}
	})
}

// TestRestartBeforeListUpdate: a cache that took no connection may have restarted before the endpoint list says so.
func TestRestartBeforeListUpdate(t *testing.T) {
	cases := []struct {
		name    string
		first   policy.Result
		answer  policy.Result
		status  policy.CacheStatus
		warming bool
	}{
		{"empty", policy.ConnectFailed, policy.CacheMiss, policy.Unknown, true},
		{"still holds what it had", policy.ConnectFailed, policy.Succeeded, policy.Hit, false},
		{"connection lost", policy.ConnectionLost, policy.CacheMiss, policy.Unknown, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRouter(settings(), 3, 1)
			objects := b.objects("e1", 60)
			request, _ := b.route(objects[0])
			b.finish(request, ms, c.first, policy.Unknown)
			request, decision := b.route(objects[1])
			if probed := decision.Source == decision.Endpoint; decision.Endpoint.ID != "e1" || probed != (c.first == policy.ConnectFailed) {
				t.Fatalf("then %+v", decision)
			}
			if c.answer == policy.Succeeded {
				b.finish(request, ms, c.answer, c.status)
			} else if decision := b.finish(request, ms, c.answer, c.status); decision.Action != policy.Send || decision.Source == decision.Endpoint {
				t.Errorf("after its answer: %+v", decision)
			}
			if w := slowStartShare(b.now, b.endpoints["e1"], b.settings.EdgeSlowStart); (w < 1) != c.warming {
				t.Errorf("taken for %.2f warm", w)
			}
		})
	}
}

// TestLostConnections: attempts that end with one connection are one failure of their endpoint and may go there once more; some in a row
// eject it.
func TestLostConnections(t *testing.T) {
	t.Run("together", func(t *testing.T) {
		b := newTestRouter(settings(), 3, 2)
		var together []*policy.Request
		for _, o := range b.objects("e1", 2*failureThreshold) {
			request, _ := b.route(o)
			together = append(together, request)
		}
		b.now += ms
		for i, request := range together {
			if decision := b.finish(request, 0, policy.ConnectionLost, policy.Unknown); decision.Action != policy.Send || decision.Endpoint.ID != "e1" {
				t.Fatalf("request %d: %+v", i, decision)
			}
		}
		if decision := b.finish(together[0], 0, policy.ConnectionLost, policy.Unknown); decision.Action != policy.Send || decision.Endpoint.ID == "e1" {
			t.Errorf("a third time there: %+v", decision)
		}
	})
	t.Run("one after another", func(t *testing.T) {
		b := newTestRouter(settings(), 3, 2)
		for i, o := range b.objects("e1", failureThreshold*failureThreshold) {
			request, _ := b.route(o)
			decision := b.finish(request, ms, policy.ConnectionLost, policy.Unknown)
			ejected := b.endpoints["e1"].ejectedUntil > b.now
			if ejected != (i+1 == failureThreshold*failureThreshold) || decision.Action != policy.Send || (decision.Endpoint.ID == "e1") == ejected {
				t.Errorf("%d in a row: ejected %v, %+v", i+1, ejected, decision)
			}
			request.Done = true
			b.finish(request, 0, policy.Cancelled, policy.Unknown)
		}
	})
}

// TestAllParentsFailing: where answers don't report the cause, the fault lies behind the parents and they stay in use.
func TestAllParentsFailing(t *testing.T) {
	for _, reported := range []bool{false, true} {
		t.Run(fmt.Sprint("cache status reported: ", reported), func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus, s.MaxAttempts = reported, 1
			b := newTestRouter(s, 2, 2)
			b.fillLatencySamples = 1e9
			for i := range 60 {
				if request, decision := b.route(fmt.Sprint(i)); decision.Source.ID != "o" {
					b.finish(request, ms, policy.Rejected, policy.SourceUnavailable)
				} else {
					b.finish(request, ms, policy.Succeeded, policy.Filled)
				}
			}
			if _, decision := b.route("a"); (decision.Source.ID == "o") != reported {
				t.Errorf("filled from %s", decision.Source.ID)
			}
		})
	}
}

// TestSlowParent: a slow parent is ejected only while another is faster.
func TestSlowParent(t *testing.T) {
	cases := []struct {
		name     string
		other    policy.Micros // what fills through the other parent take
		halfOpen bool          // the other is back from an ejection and not yet probed
		ejected  bool
	}{{"alone", 100 * ms, false, true}, {"both slow", 900 * ms, false, false}, {"the other gone", 0, true, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRouter(settings(), 2, 2)
			b.fillLatencySamples = 1e9 // fills never count as congested
			for i := range 60 {
				b.endpoints["p1"].halfOpen, b.endpoints["p1"].probing = c.halfOpen, c.halfOpen
				if request, decision := b.route(fmt.Sprint(i)); decision.Source.ID == "p0" {
					b.finish(request, 900*ms, policy.Succeeded, policy.Filled)
				} else {
					b.finish(request, c.other, policy.Succeeded, policy.Filled)
				}
			}
			if n := b.endpoints["p0"]; (n.ejectedUntil > 0) != c.ejected || b.endpoints["p1"].ejectedUntil > 0 {
				t.Errorf("ejected until %d and %d", n.ejectedUntil, b.endpoints["p1"].ejectedUntil)
			}
		})
	}
}
