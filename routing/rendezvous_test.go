package routing

import (
	"fmt"
	"testing"

	"tallyproxy/policy"
)

// TestWeightedHomes checks that, if the settings declare weights as sizes, each endpoint is home
// to a proportional share of the objects, and that otherwise, or with equal sizes, all shares are
// equal.
func TestWeightedHomes(t *testing.T) {
	cases := []struct {
		name            string
		weightsAreSizes bool
		weights         []float64
		want            []float64 // share of the objects by endpoint
	}{
		{"sizes known", true, []float64{1, 1, 2}, []float64{0.25, 0.25, 0.5}},
		{"sizes alike", true, []float64{4, 4, 4}, []float64{1.0 / 3, 1.0 / 3, 1.0 / 3}},
		{"sizes not known", false, []float64{1, 1, 2}, []float64{1.0 / 3, 1.0 / 3, 1.0 / 3}},
		{"a size of none", true, []float64{0, 1, 1}, []float64{0, 0.5, 0.5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.WeightsAreSizes = c.weightsAreSizes
			r := newTestRouter(s, 0, 1)
			var entries []policy.Endpoint
			for i, w := range c.weights {
				entries = append(entries, policy.Endpoint{ID: fmt.Sprint("e", i), Zone: 1, Weight: w})
			}
			r.updateEndpoints(entries...)
			homes := map[string]int{}
			const n = 3000
			for i := range n {
				request, decision := r.route(fmt.Sprint(i))
				homes[decision.Endpoint.ID]++
				r.finish(request, ms, policy.Succeeded, policy.Hit)
			}
			for i, want := range c.want {
				if got := float64(homes[fmt.Sprint("e", i)]) / n; got < want-0.03 || got > want+0.03 {
					t.Errorf("e%d is home to %.3f, want %.3f", i, got, want)
				}
			}
		})
	}
}
