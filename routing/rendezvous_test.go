package routing

import (
	"fmt"
	"testing"

	"tallyproxy/policy"
)

// TestWeightedHomes: where the settings vouch for the list's sizes, an endpoint is home to its share of the objects; where they don't, or
// all sizes are alike, every endpoint has an even share.
func TestWeightedHomes(t *testing.T) {
	cases := []struct {
		name    string
		sized   bool
		weights []float64
		want    []float64 // shares of the homes
	}{
		{"sizes known", true, []float64{1, 1, 2}, []float64{0.25, 0.25, 0.5}},
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
				request, decision := b.route(fmt.Sprint(i))
				homes[decision.Endpoint.ID]++
				b.finish(request, ms, policy.Succeeded, policy.Hit)
			}
			for i, want := range c.want {
				if got := float64(homes[fmt.Sprint("e", i)]) / n; got < want-0.03 || got > want+0.03 {
					t.Errorf("e%d is home to %.3f, want %.3f", i, got, want)
				}
			}
		})
	}
}
