package routing

import (
	"fmt"
	"testing"

	"tallyproxy/policy"
)

// TestSlowHitsCutConcurrency: slow hits cut an edge cache's limit, quick ones don't.
func TestSlowHitsCutConcurrency(t *testing.T) {
	for _, c := range []struct {
		name string
		took policy.Micros
		less bool
	}{{"quick", 200 * ms, false}, {"slow", 790 * ms, true}} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRouter(settings(), 1, 1)
			for range 20 {
				var requests []*policy.Request
				for i := range 12 {
					if request, decision := b.route(fmt.Sprint(i)); decision.Action == policy.Send {
						requests = append(requests, request)
					}
				}
				b.now += c.took
				for _, request := range requests {
					b.finish(request, 0, policy.Succeeded, policy.Hit)
				}
			}
			if n := b.endpoints["e0"]; (n.concurrency.limit < initialConcurrency) != c.less || n.concurrency.inFlight != 0 {
				t.Errorf("limit %.1f, %d out", n.concurrency.limit, n.concurrency.inFlight)
			}
		})
	}
}
