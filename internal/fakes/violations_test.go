package fakes

import (
	"fmt"
	"testing"
	"time"
)

// What breaks a rule is counted: a test that goes by the counts fails where it must.
func TestViolationsAreCounted(t *testing.T) {
	thumb := func(i int) string { return fmt.Sprintf("sort=thumbnail,asset=%016x,slice=0,from=parent-0", i) }
	cases := []struct {
		name  string
		cold  bool
		play  func(t *testing.T, c *Cluster)
		seen  func(b Violations) int
		peak  bool
		after time.Duration
	}{
		{"a cold box pushed over", true, func(t *testing.T, c *Cluster) {
			director := dial(t, c.Node("box-0"))
			for i := range 2000 {
				_, _ = fmt.Fprintf(director, "want id%d %s 0\r\n\r\n", i, thumb(i)) // fails once the node is down
			}
		}, func(b Violations) int { return b.OverloadedNodes }, true, 0},
		{"a box used long after it was drained", false, func(t *testing.T, c *Cluster) {
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
		{"one download at two boxes", false, func(t *testing.T, c *Cluster) {
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
		{"a pick run twice", false, func(t *testing.T, c *Cluster) {
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
			c.play(t, cluster)
			for until := time.Now().Add(5 * time.Second); c.seen(cluster.Violations()) == 0; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(until) {
					t.Fatalf("not seen: %+v", cluster.Violations())
				}
			}
			if peak, fallen := cluster.Node("box-0").PeakLoad(); c.peak != fallen || c.peak && peak <= 1 {
				t.Errorf("peak %.2f, fallen %v", peak, fallen)
			}
		})
	}
}
