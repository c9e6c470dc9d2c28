package routing

import (
	"fmt"
	"testing"

	"tallyproxy/policy"
)

// TestSlowHitsCutConcurrency checks that slow hits reduce the concurrency limit of an edge cache
// and quick hits do not.
func TestSlowHitsCutConcurrency(t *testing.T) {
	for _, c := range []struct {
		name        string
		duration    policy.Micros
		wantReduced bool
	}{{"quick", 200 * ms, false}, {"slow", 790 * ms, true}} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRouter(settings(), 1, 1)
			for range 20 {
				var requests []*policy.Request
				for i := range 12 {
					if request, decision := r.route(fmt.Sprint(i)); decision.Action == policy.Send {
						requests = append(requests, request)
					}
				}
				r.now += c.duration
				for _, request := range requests {
					r.finish(request, 0, policy.Succeeded, policy.Hit)
				}
			}
			if e := r.endpoints["e0"]; (e.concurrency.limit < initialConcurrency) != c.wantReduced || e.concurrency.inFlight != 0 {
				t.Errorf("limit %.1f, %d in flight", e.concurrency.limit, e.concurrency.inFlight)
			}
		})
	}
}
