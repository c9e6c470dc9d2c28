package routing

import (
	"fmt"
	"testing"

	"tallyproxy/policy"
)

// TestEjectionAndProbe checks which results eject an endpoint or its source, that a single
// successful probe returns an ejected edge to use, and that a restart ends an ejection.
func TestEjectionAndProbe(t *testing.T) {
	cases := []struct {
		name              string
		reportsStatus     bool
		result            policy.Result
		status            policy.CacheStatus
		count             int
		wantEdgeEjected   bool // the edge cache is ejected
		wantParentEjected bool // the parent is ejected
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
			s.ReportsCacheStatus, s.MaxAttempts = c.reportsStatus, 1
			r := newTestRouter(s, 3, 2)
			r.fillLatencySamples = 1e9 // fills never count as congested
			objects := r.objects("e1", 40)
			home, source := r.endpoints["e1"], (*endpoint)(nil)
			for _, object := range objects {
				request, decision := r.route(object)
				if source == nil {
					source = r.endpoints[decision.Source.ID]
				}
				if decision.Source != &source.Endpoint && decision.Source != decision.Endpoint || c.count == 0 {
					r.finish(request, 0, policy.NotSent, policy.Unknown)
					continue
				}
				r.finish(request, ms, c.result, c.status)
				c.count--
			}
			if (home.ejectedUntil > r.now) != c.wantEdgeEjected || (source.ejectedUntil > r.now) != c.wantParentEjected {
				t.Fatalf("edge ejected until %d, parent until %d, now %d", home.ejectedUntil, source.ejectedUntil, r.now)
			}
			if c.wantParentEjected && source.ejectedUntil-r.now != 10*policy.Second {
				t.Errorf("parent ejected for %d", source.ejectedUntil-r.now)
			}
			if !c.wantEdgeEjected {
				return
			}
			if _, decision := r.route(objects[0]); decision.Endpoint.ID == "e1" {
				t.Error("sent to an ejected edge")
			}
			r.now = home.ejectedUntil
			request, probe := r.route(objects[0])
			_, second := r.route(objects[1])
			if probe.Endpoint.ID != "e1" || second.Endpoint.ID == "e1" {
				t.Errorf("probed with %s and %s", probe.Endpoint.ID, second.Endpoint.ID)
			}
			r.finish(request, ms, policy.Succeeded, policy.Hit)
			if _, decision := r.route(objects[2]); decision.Endpoint.ID != "e1" {
				t.Error("edge not in use after a successful probe")
			}
		})
	}
	t.Run("a restart ends an ejection", func(t *testing.T) {
		r := newTestRouter(settings(), 1, 1)
		r.eject(r.now, r.endpoints["e0"], &attempt{sentAt: r.now}, policy.Second)
		r.updateEndpoints(policy.Endpoint{ID: "e0", Zone: 1, Started: 1})
		if _, decision := r.route("a"); decision.Action != policy.Send {
			t.Errorf("%+v", decision)
		}
	})
}

// TestRestartBeforeListUpdate guards against overload of a cache that has restarted before the
// endpoint list reports it. A cache that accepted no connection is in slow start unless its next
// answer shows that it still holds its objects.
func TestRestartBeforeListUpdate(t *testing.T) {
	cases := []struct {
		name          string
		first         policy.Result
		answer        policy.Result
		status        policy.CacheStatus
		wantSlowStart bool
	}{
		{"empty", policy.ConnectFailed, policy.CacheMiss, policy.Unknown, true},
		{"still holds what it had", policy.ConnectFailed, policy.Succeeded, policy.Hit, false},
		{"connection lost", policy.ConnectionLost, policy.CacheMiss, policy.Unknown, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRouter(settings(), 3, 1)
			objects := r.objects("e1", 60)
			request, _ := r.route(objects[0])
			r.finish(request, ms, c.first, policy.Unknown)
			request, decision := r.route(objects[1])
			if probed := decision.Source == decision.Endpoint; decision.Endpoint.ID != "e1" || probed != (c.first == policy.ConnectFailed) {
				t.Fatalf("after the failure: %+v", decision)
			}
			if c.answer == policy.Succeeded {
				r.finish(request, ms, c.answer, c.status)
			} else if decision := r.finish(request, ms, c.answer, c.status); decision.Action != policy.Send || decision.Source == decision.Endpoint {
				t.Errorf("after the answer: %+v", decision)
			}
			if share := slowStartShare(r.now, r.endpoints["e1"], r.settings.EdgeSlowStart); (share < 1) != c.wantSlowStart {
				t.Errorf("slow-start share %.2f", share)
			}
		})
	}
}

// TestLostConnections checks that attempts lost with one connection count as one failure of their
// endpoint and may be sent there once more, and that repeated losses eject the endpoint.
func TestLostConnections(t *testing.T) {
	t.Run("together", func(t *testing.T) {
		r := newTestRouter(settings(), 3, 2)
		var requests []*policy.Request
		for _, object := range r.objects("e1", 2*failureThreshold) {
			request, _ := r.route(object)
			requests = append(requests, request)
		}
		r.now += ms
		for i, request := range requests {
			if decision := r.finish(request, 0, policy.ConnectionLost, policy.Unknown); decision.Action != policy.Send || decision.Endpoint.ID != "e1" {
				t.Fatalf("request %d: %+v", i, decision)
			}
		}
		if decision := r.finish(requests[0], 0, policy.ConnectionLost, policy.Unknown); decision.Action != policy.Send || decision.Endpoint.ID == "e1" {
			t.Errorf("after a second loss at the same endpoint: %+v", decision)
		}
	})
	t.Run("one after another", func(t *testing.T) {
		r := newTestRouter(settings(), 3, 2)
		for i, object := range r.objects("e1", failureThreshold*failureThreshold) {
			request, _ := r.route(object)
			decision := r.finish(request, ms, policy.ConnectionLost, policy.Unknown)
			ejected := r.endpoints["e1"].ejectedUntil > r.now
			if ejected != (i+1 == failureThreshold*failureThreshold) || decision.Action != policy.Send || (decision.Endpoint.ID == "e1") == ejected {
				t.Errorf("%d in a row: ejected %v, %+v", i+1, ejected, decision)
			}
			request.Done = true
			r.finish(request, 0, policy.Cancelled, policy.Unknown)
		}
	})
}

// TestAllParentsFailing checks that, if all parents fail and answers do not report the cause, the
// fault is assumed to be behind the parents and they stay in use.
func TestAllParentsFailing(t *testing.T) {
	for _, reportsStatus := range []bool{false, true} {
		t.Run(fmt.Sprint("cache status reported: ", reportsStatus), func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus, s.MaxAttempts = reportsStatus, 1
			r := newTestRouter(s, 2, 2)
			r.fillLatencySamples = 1e9
			for i := range 60 {
				if request, decision := r.route(fmt.Sprint(i)); decision.Source.ID != "o" {
					r.finish(request, ms, policy.Rejected, policy.SourceUnavailable)
				} else {
					r.finish(request, ms, policy.Succeeded, policy.Filled)
				}
			}
			if _, decision := r.route("a"); (decision.Source.ID == "o") != reportsStatus {
				t.Errorf("filled from %s", decision.Source.ID)
			}
		})
	}
}

// TestSlowParent checks that a slow parent is ejected only while another parent is usable and
// faster.
func TestSlowParent(t *testing.T) {
	cases := []struct {
		name          string
		otherDuration policy.Micros // duration of fills through the other parent
		halfOpen      bool          // the other parent is half-open and its probe is in flight
		wantEjected   bool
	}{{"alone", 100 * ms, false, true}, {"both slow", 900 * ms, false, false}, {"the other gone", 0, true, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRouter(settings(), 2, 2)
			r.fillLatencySamples = 1e9 // fills never count as congested
			for i := range 60 {
				r.endpoints["p1"].halfOpen, r.endpoints["p1"].probing = c.halfOpen, c.halfOpen
				if request, decision := r.route(fmt.Sprint(i)); decision.Source.ID == "p0" {
					r.finish(request, 900*ms, policy.Succeeded, policy.Filled)
				} else {
					r.finish(request, c.otherDuration, policy.Succeeded, policy.Filled)
				}
			}
			if p0 := r.endpoints["p0"]; (p0.ejectedUntil > 0) != c.wantEjected || r.endpoints["p1"].ejectedUntil > 0 {
				t.Errorf("ejected until %d and %d", p0.ejectedUntil, r.endpoints["p1"].ejectedUntil)
			}
		})
	}
}
