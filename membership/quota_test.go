package membership

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"tallyproxy/policy"
)

// TestQuota guards against a wrong quota of one director of five after failures, departures,
// restarts, pauses and name conflicts.
func TestQuota(t *testing.T) {
	cases := []struct {
		name string
		// scenario acts on five directors and returns how long n0 is paused at the end.
		scenario func(c *testCluster) policy.Micros
		want     float64 // quota of n0
	}{
		{"all are there", func(c *testCluster) policy.Micros { c.advance(5*policy.Second, 0, 1, 2, 3, 4); return 0 }, 1},
		{"one has failed: not before its lease is over", func(c *testCluster) policy.Micros {
			c.setState(4, Failed)
			c.advance(700*ms, 0, 1, 2, 3)
			return 0
		}, 1},
		{"one has failed", func(c *testCluster) policy.Micros {
			c.setState(4, Failed)
			c.advance(5*policy.Second, 0, 1, 2, 3)
			return 0
		}, 1.25},
		{"one has left: the quota rises once the view is stable", func(c *testCluster) policy.Micros {
			c.setState(4, Left)
			c.advance(1200*ms, 0, 1, 2, 3)
			return 0
		}, 1.25},
		{"three have failed: no more than MaxQuotaFactor", func(c *testCluster) policy.Micros {
			c.setState(4, Failed)
			c.setState(3, Failed)
			c.setState(2, Failed)
			c.advance(60*policy.Second, 0, 1)
			return 0
		}, 2},
		{"alone", func(c *testCluster) policy.Micros {
			for i := range 4 {
				c.setState(i+1, Failed)
			}
			c.advance(60*policy.Second, 0)
			return 0
		}, 1},
		{"no peer grants a lease", func(c *testCluster) policy.Micros {
			c.setState(4, Failed)
			for j := range 5 {
				c.cutLinks[[2]int{j, 0}] = true
			}
			c.advance(60*policy.Second, 0, 1, 2, 3)
			return 0
		}, 1},
		{"a pause of half a minute", func(c *testCluster) policy.Micros {
			c.setState(4, Failed)
			c.advance(5*policy.Second, 0, 1, 2, 3)
			return 30 * policy.Second
		}, 1},
		{"it has just started, and met two of the others", func(c *testCluster) policy.Micros {
			c.views[0] = New(c.now, testSettings(0, 5))
			for _, name := range []string{"n1", "n2"} {
				c.views[0].UpdatePeer(c.now, name, 1, 0, Up)
			}
			c.advance(2*policy.Second, 0, 1, 2, 3, 4)
			return 0
		}, 1},
		{"it is back: at once", func(c *testCluster) policy.Micros {
			c.setState(4, Failed)
			c.advance(5*policy.Second, 0, 1, 2, 3)
			c.setState(4, Up)
			return 0
		}, 1},
		{"another knows that it is back", func(c *testCluster) policy.Micros {
			c.setState(4, Failed)
			c.advance(5*policy.Second, 0, 1, 2, 3)
			for i := 1; i < 4; i++ {
				c.views[i].UpdatePeer(c.now, "n4", 2, 0, Up)
			}
			c.advance(500*ms, 0, 1, 2, 3)
			return 0
		}, 1},
		{"another process under its name", func(c *testCluster) policy.Micros {
			c.setState(4, Failed)
			c.advance(5*policy.Second, 0, 1, 2, 3)
			c.views[0].SetNameConflict("127.0.0.9:1")
			return 0
		}, 1},
		{"more directors than configured", func(c *testCluster) policy.Micros {
			for i := range 5 {
				c.views[0].UpdatePeer(c.now, fmt.Sprint("x", i), 1, 0, Up)
			}
			return 0
		}, 0.5},
		{"a flapping peer delays the raised quota", func(c *testCluster) policy.Micros {
			for range 6 {
				c.setState(4, Failed)
				c.advance(policy.Second, 0, 1, 2, 3)
				c.setState(4, Up)
				c.advance(200*ms, 0, 1, 2, 3, 4)
			}
			c.setState(4, Failed)
			c.advance(2*policy.Second, 0, 1, 2, 3)
			return 0
		}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestCluster(5)
			c.now += tc.scenario(c)
			if got := c.zoneQuota(0); got != tc.want {
				t.Errorf("quota %v, want %v", got, tc.want)
			}
		})
	}
}

// TestQuotaSum checks the quotas in random histories of peer states, late and lost messages, pauses
// and restarts. Regardless of what each director believes, no quota exceeds MaxQuotaFactor, each
// quota above the fixed one has the required grants within the lease duration, and the sum of all
// quotas stays within MaxQuotaFactor. Once all live directors have had the correct view for a lease
// and the stabilization time, the sum is 1, or as close to 1 as MaxQuotaFactor allows.
func TestQuotaSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "directors")
		c := newTestCluster(n)
		// The time at which the latest lease was requested, by holder and grantor.
		requestedAt := map[[2]int]policy.Micros{}
		type message struct {
			from, to int
			request  LeaseRequest
			sentAt   policy.Micros
		}
		var inFlight []message
		incarnation := uint64(1)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			i, j := rapid.IntRange(0, n-1).Draw(t, "i"), rapid.IntRange(0, n-1).Draw(t, "j")
			switch rapid.IntRange(0, 6).Draw(t, "operation") {
			case 0:
				c.views[i].UpdatePeer(c.now, fmt.Sprint("n", j), c.views[j].settings.Incarnation, 0, State(rapid.IntRange(0, 3).Draw(t, "state")))
			case 1, 2:
				c.now += policy.Micros(rapid.IntRange(1, 900).Draw(t, "ms")) * ms
			case 3:
				requests := c.views[i].Tick(c.now)
				for _, name := range slices.Sorted(maps.Keys(requests)) {
					to := slices.IndexFunc(c.views, func(v *View) bool { return v.settings.Name == name })
					inFlight = append(inFlight, message{i, to, requests[name], c.now})
				}
			case 4, 5:
				if len(inFlight) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
				m := inFlight[k]
				if rapid.Bool().Draw(t, "last delivery") {
					inFlight = slices.Delete(inFlight, k, k+1)
				}
				if grant, ok := c.views[m.to].HandleLeaseRequest(c.now, c.views[m.from].settings.Name, m.request); ok {
					c.views[m.from].HandleLeaseGrant(c.now, c.views[m.to].settings.Name, grant)
					requestedAt[[2]int{m.from, m.to}] = m.sentAt
				}
			case 6:
				incarnation++
				s := testSettings(i, n)
				s.Incarnation = incarnation
				c.views[i] = New(c.now, s)
				inFlight = slices.DeleteFunc(inFlight, func(m message) bool { return m.from == i })
			}
			checkQuotas(t, c, requestedAt)
		}
		checkConvergedQuotas(t, c, rapid.IntRange(0, n-1).Draw(t, "dead"))
	})
}

// checkQuotas checks the bounds of all quotas at the current time. requestedAt holds the time at
// which each lease was requested, by holder and grantor.
func checkQuotas(t *rapid.T, c *testCluster, requestedAt map[[2]int]policy.Micros) {
	t.Helper()
	n := len(c.views)
	sum := 0.0
	for k, view := range c.views {
		quota, until := view.Quota(c.now, ScopeZone)
		if sum += quota / float64(n); quota > MaxQuotaFactor || quota < 0.5 {
			t.Fatalf("quota of n%d is %v", k, quota)
		}
		if quota <= 1 {
			continue
		}
		grants := 0
		for grantor := range n {
			if at, ok := requestedAt[[2]int{k, grantor}]; ok && c.now < at+view.settings.LeaseDuration {
				grants++
			}
		}
		if grants < min(2, view.presentPeers) || until <= c.now || until > c.now+view.settings.LeaseDuration {
			t.Fatalf("quota of n%d is %v until %d, at time %d with %d valid grants", k, quota, until, c.now, grants)
		}
	}
	if sum > MaxQuotaFactor+1e-9 {
		t.Fatalf("sum of the quotas is %v", sum)
	}
}

// checkConvergedQuotas makes the first directors fail, lets the views of the others converge, and
// checks the sum of their quotas.
func checkConvergedQuotas(t *rapid.T, c *testCluster, dead int) {
	t.Helper()
	n := len(c.views)
	var alive []int
	for i := range n {
		state := Up
		if i < dead {
			state = Failed
		} else {
			alive = append(alive, i)
		}
		c.setState(i, state)
	}
	c.advance(60*policy.Second, alive...)
	want, sum := 1.0, 0.0
	if want = min(want, MaxQuotaFactor*float64(len(alive))/float64(n)); len(alive) == 1 {
		want = 1 / float64(n)
	}
	for _, i := range alive {
		sum += c.zoneQuota(i) / float64(n)
	}
	if sum < want-1e-9 || sum > want+1e-9 {
		t.Fatalf("%d of %d directors are alive: sum of the quotas is %v, want %v", len(alive), n, sum, want)
	}
}
