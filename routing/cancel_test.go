package routing

import (
	"fmt"
	"testing"

	"tallyproxy/policy"
)

// TestSilentEndpoint: checks that find attempts unanswered cancel them, until the endpoint answers one.
func TestSilentEndpoint(t *testing.T) {
	b := newTestRouter(settings(), 3, 1)
	objects := b.objects("e1", 4)
	var requests []*policy.Request
	b.now += ms
	for _, object := range objects {
		request, _ := b.route(object)
		requests = append(requests, request)
	}
	b.now += b.RecheckAfter(b.now, requests[0])
	actions := []policy.Action{}
	for _, request := range requests {
		actions = append(actions, b.Route(b.now, request).Action)
	}
	if want := fmt.Sprint([]policy.Action{policy.None, policy.None, policy.CancelAttempt, policy.CancelAttempt}); fmt.Sprint(actions) != want {
		t.Fatalf("actions %v, want %v", actions, want)
	}
	if decision := b.finish(requests[2], ms, policy.Cancelled, policy.Unknown); decision.Action != policy.Send || decision.Endpoint.ID == "e1" {
		t.Errorf("after the cancel: %+v", decision)
	}
	b.finish(requests[3], ms, policy.Succeeded, policy.Hit)
	b.now += b.RecheckAfter(b.now, requests[0])
	if decision := b.Route(b.now, requests[0]); decision.Action != policy.None {
		t.Errorf("an endpoint that has answered: %+v", decision)
	}
}

// TestSilentSource: a source that lets nothing through while its edges answer others is ejected where answers report how fills went. Where
// they don't, fills that take long have many reasons, and the source is left alone.
func TestSilentSource(t *testing.T) {
	for _, reported := range []bool{true, false} {
		t.Run(fmt.Sprint("cache status reported: ", reported), func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus = reported
			b := newTestRouter(s, 1, 2)
			var requests []*policy.Request
			source := ""
			for i := 0; len(requests) < 3; i++ {
				b.now += ms
				request, decision := b.route(fmt.Sprint(i))
				if source == "" || decision.Source.ID == source {
					source, requests = decision.Source.ID, append(requests, request)
					continue
				}
				b.finish(request, ms, policy.Succeeded, policy.Filled)
			}
			b.serve(1, ms, policy.Hit)
			b.now += policy.Second
			decision := policy.Decision{}
			for _, request := range requests {
				decision = b.Route(b.now, request)
			}
			if (decision.Action == policy.CancelAttempt) != reported || (b.endpoints[source].ejectedUntil > b.now) != reported || b.endpoints["e0"].ejectedUntil > b.now {
				t.Fatalf("%+v", decision)
			}
			if !reported {
				return
			}
			if decision := b.finish(requests[2], ms, policy.Cancelled, policy.Unknown); decision.Endpoint.ID != "e0" || decision.Source.ID == source {
				t.Errorf("after the cancel: %+v", decision)
			}
		})
	}
}
