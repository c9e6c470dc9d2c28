package membership

import (
	"fmt"
	"maps"
	"slices"

	"tallyproxy/policy"
)

const ms = policy.Second / 1000

// testSettings returns the settings of director i in a zone of total directors.
func testSettings(i, total int) Settings {
	s := Derive(fmt.Sprint("n", i), 1, policy.Settings{
		ZoneDirectors: total, TotalDirectors: total, ConnectTimeout: 400 * ms, EdgeSlowStart: policy.SlowStart{OverloadWindow: 3 * policy.Second},
	})
	return s
}

// testCluster simulates directors with a common clock. Messages arrive immediately, except on cut
// links.
type testCluster struct {
	now      policy.Micros
	views    []*View
	cutLinks map[[2]int]bool // by sender and receiver
}

// newTestCluster returns n directors that consider each other up and have run for 10 seconds.
func newTestCluster(n int) *testCluster {
	c := &testCluster{now: policy.Second, cutLinks: map[[2]int]bool{}}
	for i := range n {
		c.views = append(c.views, New(c.now, testSettings(i, n)))
	}
	for i := range n {
		c.setState(i, Up)
	}
	c.now += 10 * policy.Second
	return c
}

// setState makes the failure detectors of all other directors report a state of director i.
func (c *testCluster) setState(i int, s State) {
	for j, view := range c.views {
		if j != i {
			view.UpdatePeer(c.now, fmt.Sprint("n", i), c.views[i].settings.Incarnation, 0, s)
		}
	}
}

// advance moves the clock forward while the live directors request and grant leases.
func (c *testCluster) advance(duration policy.Micros, alive ...int) {
	for until := c.now + duration; c.now < until; c.now += 50 * ms {
		for _, i := range alive {
			requests := c.views[i].Tick(c.now)
			for _, name := range slices.Sorted(maps.Keys(requests)) {
				j := slices.IndexFunc(c.views, func(v *View) bool { return v.settings.Name == name })
				if !slices.Contains(alive, j) || c.cutLinks[[2]int{i, j}] || c.cutLinks[[2]int{j, i}] {
					continue
				}
				if grant, ok := c.views[j].HandleLeaseRequest(c.now, c.views[i].settings.Name, requests[name]); ok {
					c.views[i].HandleLeaseGrant(c.now, name, grant)
				}
			}
		}
	}
}

// zoneQuota returns the current zone quota of director i.
func (c *testCluster) zoneQuota(i int) float64 {
	quota, _ := c.views[i].Quota(c.now, ScopeZone)
	return quota
}
