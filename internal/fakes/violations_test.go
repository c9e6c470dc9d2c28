package fakes

import (
	"fmt"
	"testing"
	"time"
)

// TestViolationsAreCounted guards against violations that the fakes do not count: a test that
// relies on the counts would then pass although a rule was broken.
func TestViolationsAreCounted(t *testing.T) {
	thumb := func(i int) string { return fmt.Sprintf("sort=thumbnail,asset=%016x,slice=0,from=parent-0", i) }
	cases := []struct {
		name    string
		cold    bool
		provoke func(t *testing.T, c *Cluster)
		count   func(b Violations) int
		peak    bool
		after   time.Duration
	}{
		{"a cold cache node overloaded", true, func(t *testing.T, c *Cluster) {
			director := dial(t, c.Node("box-0"))
			for i := range 2000 {
				// The write fails after the node is down.
				_, _ = fmt.Fprintf(director, "want id%d %s 0\r\n\r\n", i, thumb(i))
			}
		}, func(b Violations) int { return b.OverloadedNodes }, true, 0},
		{"a cache node used long after it was drained", false, func(t *testing.T, c *Cluster) {
			c.Node("box-0").Announce("draining")
			time.Sleep(drainDeadline + 20*time.Millisecond)
			director := dial(t, c.Node("box-0"))
			director.request(t, "a", thumb(1))
			director.answer(t)
		}, func(b Violations) int { return b.DrainedUses }, false, 0},
		{"a source named long after it was drained", false, func(t *testing.T, c *Cluster) {
			c.Node("parent-0").Announce("draining")
			time.Sleep(drainDeadline + 20*time.Millisecond)
			director := dial(t, c.Node("box-0"))
			director.request(t, "a", thumb(1))
			director.answer(t)
		}, func(b Violations) int { return b.DrainedUses }, false, 0},
		{"one request at two cache nodes", false, func(t *testing.T, c *Cluster) {
			for _, name := range []string{"box-0", "box-1"} {
				c.Node(name).SetFault(FaultNoAnswer, 1)
				dial(t, c.Node(name)).request(t, "same", thumb(1))
			}
		}, func(b Violations) int { return b.ConcurrentAttempts }, false, 0},
		{"a request sent long after its client left", false, func(t *testing.T, c *Cluster) {
			c.recordAbandoned("late")
			time.Sleep(abandonedLimit + 20*time.Millisecond)
			director := dial(t, c.Node("box-0"))
			director.request(t, "late", thumb(1))
			director.answer(t)
		}, func(b Violations) int { return b.SentAfterLeave }, false, 0},
		{"an attempt told more time than its client has left", false, func(t *testing.T, c *Cluster) {
			c.recordClientDeadline("a", c.Now()+100*time.Millisecond)
			director := dial(t, c.Node("box-0"))
			director.request(t, "a", thumb(1)+",patience=300")
			director.answer(t)
		}, func(b Violations) int { return b.ExceededDeadlines }, false, 0},
		{"a request with a key run twice", false, func(t *testing.T, c *Cluster) {
			c.ContentTypes[2].DedupWindow = 50 * time.Millisecond
			director := dial(t, c.Node("box-0"))
			for i := range 2 {
				director.request(t, fmt.Sprint("p", i), "sort=cover-pick,asset=0000000000000001,slice=0,op=k,from=origin")
				director.answer(t)
				time.Sleep(100 * time.Millisecond)
			}
		}, func(b Violations) int { return b.RepeatedEffects }, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cluster := newTestCluster(t, func(s *Spec) { s.ColdEdges = c.cold })
			c.provoke(t, cluster)
			for until := time.Now().Add(5 * time.Second); c.count(cluster.Violations()) == 0; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(until) {
					t.Fatalf("violation not counted: %+v", cluster.Violations())
				}
			}
			if peak, overloaded := cluster.Node("box-0").PeakLoad(); c.peak != overloaded || c.peak && peak <= 1 {
				t.Errorf("peak load %.2f, overloaded %v", peak, overloaded)
			}
		})
	}
}
