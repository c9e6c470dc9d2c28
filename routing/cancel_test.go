package routing

import (
	"fmt"
	"testing"

	"tallyproxy/policy"
)

// TestSilentEndpoint guards against requests that keep waiting for an unresponsive endpoint:
// checks that find attempts unanswered cancel them, until the endpoint answers an attempt.
func TestSilentEndpoint(t *testing.T) {
	r := newTestRouter(settings(), 3, 1)
	objects := r.objects("e1", 4)
	var requests []*policy.Request
	r.now += ms
	for _, object := range objects {
		request, _ := r.route(object)
		requests = append(requests, request)
	}
	r.now += r.RecheckAfter(r.now, requests[0])
	actions := []policy.Action{}
	for _, request := range requests {
		actions = append(actions, r.Route(r.now, request).Action)
	}
	if want := fmt.Sprint([]policy.Action{policy.None, policy.None, policy.CancelAttempt, policy.CancelAttempt}); fmt.Sprint(actions) != want {
		t.Fatalf("actions %v, want %v", actions, want)
	}
	if decision := r.finish(requests[2], ms, policy.Cancelled, policy.Unknown); decision.Action != policy.Send || decision.Endpoint.ID == "e1" {
		t.Errorf("after the cancel: %+v", decision)
	}
	r.finish(requests[3], ms, policy.Succeeded, policy.Hit)
	r.now += r.RecheckAfter(r.now, requests[0])
	if decision := r.Route(r.now, requests[0]); decision.Action != policy.None {
		t.Errorf("after the endpoint has answered: %+v", decision)
	}
}

// TestSilentSource guards against fills that keep waiting for an unresponsive source. The source
// is ejected while its edges answer other attempts, but only if answers report how fills went:
// otherwise slow fills may have many other causes.
func TestSilentSource(t *testing.T) {
	for _, reportsStatus := range []bool{true, false} {
		t.Run(fmt.Sprint("cache status reported: ", reportsStatus), func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus = reportsStatus
			r := newTestRouter(s, 1, 2)
			var requests []*policy.Request
			source := ""
			for i := 0; len(requests) < 3; i++ {
				r.now += ms
				request, decision := r.route(fmt.Sprint(i))
				if source == "" || decision.Source.ID == source {
					source, requests = decision.Source.ID, append(requests, request)
					continue
				}
				r.finish(request, ms, policy.Succeeded, policy.Filled)
			}
			r.serve(1, ms, policy.Hit)
			r.now += policy.Second
			decision := policy.Decision{}
			for _, request := range requests {
				decision = r.Route(r.now, request)
			}
			if (decision.Action == policy.CancelAttempt) != reportsStatus || (r.endpoints[source].ejectedUntil > r.now) != reportsStatus || r.endpoints["e0"].ejectedUntil > r.now {
				t.Fatalf("%+v", decision)
			}
			if !reportsStatus {
				return
			}
			if decision := r.finish(requests[2], ms, policy.Cancelled, policy.Unknown); decision.Endpoint.ID != "e0" || decision.Source.ID == source {
				t.Errorf("after the cancel: %+v", decision)
			}
		})
	}
}
