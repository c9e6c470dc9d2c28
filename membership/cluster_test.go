package membership

import (
	"fmt"
	"maps"
	"slices"

	"tallyproxy/policy"
)

const ms = policy.Second / 1000

func testSettings(i, of int) Settings {
	s := Derive(fmt.Sprint("n", i), 1, policy.Settings{
		ZoneDirectors: of, TotalDirectors: of, ConnectTimeout: 400 * ms, EdgeSlowStart: policy.SlowStart{OverloadWindow: 3 * policy.Second},
	})
	return s
}

// testCluster is a number of directors with one clock, whose messages arrive at once except on links that are cut.
type testCluster struct {
	now   policy.Micros
	views []*View
	cut   map[[2]int]bool // from, to
}

func newTestCluster(n int) *testCluster {
	c := &testCluster{now: policy.Second, cut: map[[2]int]bool{}}
	for i := range n {
		c.views = append(c.views, New(c.now, testSettings(i, n)))
	}
	for i := range n {
		c.setState(i, Up)
	}
	c.now += 10 * policy.Second
	return c
}

// setState has the failure detectors of all others report a state of one director.
func (c *testCluster) setState(i int, s State) {
	for j, view := range c.views {
		if j != i {
			view.UpdatePeer(c.now, fmt.Sprint("n", i), c.views[i].settings.Incarnation, 0, s)
		}
	}
}

// advance lets time go by, with the lease requests of those that are alive answered.
func (c *testCluster) advance(span policy.Micros, alive ...int) {
	for until := c.now + span; c.now < until; c.now += 50 * ms {
		for _, i := range alive {
			requests := c.views[i].Tick(c.now)
			for _, name := range slices.Sorted(maps.Keys(requests)) {
				j := slices.IndexFunc(c.views, func(v *View) bool { return v.settings.Name == name })
				if !slices.Contains(alive, j) || c.cut[[2]int{i, j}] || c.cut[[2]int{j, i}] {
					continue
				}
				if grant, ok := c.views[j].HandleLeaseRequest(c.now, c.views[i].settings.Name, requests[name]); ok {
					c.views[i].HandleLeaseGrant(c.now, name, grant)
				}
			}
		}
	}
}

func (c *testCluster) zoneQuota(i int) float64 {
	quota, _ := c.views[i].Quota(c.now, ScopeZone)
	return quota
}
