package faulttest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestColdCacheUnder24Directors guards against directors that together overload a cold cache. 24
// directors that do not know each other have the same seed and start to send at once, with more
// requests than the cache can serve. In no window may the cache receive more than its capacity plus
// a margin for random variation.
func TestColdCacheUnder24Directors(t *testing.T) {
	const directors = 24
	parallel(t)
	startedAt := time.Now()
	cold := startCountingNode(t, "pulled", 0)
	nodes := []string{listedNode("e9", "town", "edge", cold, startedAt),
		listedNode("p0", "hub", "parent", startCountingNode(t, "pulled", 0), time.Time{}),
		listedNode("o", "hub", "origin", startCountingNode(t, "pulled", 0), time.Time{})}
	for i := range 3 {
		nodes = append(nodes, listedNode(fmt.Sprint("e", i), "town", "edge", startCountingNode(t, "pulled", 0), time.Time{}))
	}
	all := startColdCacheFleet(t, startNodeListChannel(t, nodes), directors)
	ctx, stop := context.WithTimeout(t.Context(), 3*coldWindow+coldWindow/2)
	defer stop()
	barrier := make(chan struct{})
	var floods sync.WaitGroup
	for i, d := range all {
		floods.Go(func() {
			<-barrier
			if err := flood(ctx, d.Addr, i, func(request int) string { return fmt.Sprintf("%08x%08x", i, request) }); err != nil {
				t.Error(err)
			}
		})
	}
	close(barrier)
	floods.Wait()
	arrivals, peak := cold.peakLoad(startedAt)
	t.Logf("%d requests, peak load %.2f of the limit", arrivals, peak)
	if peak > 1 || arrivals == 0 { // the sum of the budgets would allow a peak of eleven
		t.Errorf("%d requests reached the cold cache, peak load %.2f of its capacity plus the margin", arrivals, peak)
	}
}

// TestColdCacheAfterHitsUnder24Directors guards against overload of a cold cache by directors whose
// budgets for it grew with the hits that they had seen at warm caches. Two of them are killed right
// after the cache's start and started again.
func TestColdCacheAfterHitsUnder24Directors(t *testing.T) {
	const directors, hotObjects = 24, 400
	const hitsFor, killAfter, startAfter, loadFor = 5 * time.Second, 500 * time.Millisecond, 250 * time.Millisecond, 3 * coldWindow
	parallel(t)
	nodes := []string{listedNode("p0", "hub", "parent", startCountingNode(t, "pulled", coldTransfer), time.Time{}),
		listedNode("o", "hub", "origin", startCountingNode(t, "pulled", coldTransfer), time.Time{})}
	for i := range 3 {
		nodes = append(nodes, listedNode(fmt.Sprint("e", i), "town", "edge", startCountingNode(t, "local", coldTransfer), time.Time{}))
	}
	channel := startNodeListChannel(t, nodes)
	all := startColdCacheFleet(t, channel, directors)
	ctx, stop := context.WithTimeout(t.Context(), hitsFor+loadFor)
	defer stop()
	var floods sync.WaitGroup
	for i, d := range all {
		floods.Go(func() {
			for ctx.Err() == nil { // until the director's restart has ended
				_ = flood(ctx, d.Addr, i, func(request int) string { return fmt.Sprintf("%016x", (i+request)%hotObjects) })
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(hitsFor)
	cold, startedAt := startCountingNode(t, "pulled", coldTransfer), time.Now()
	channel.publish(false, []string{listedNode("e9", "town", "edge", cold, startedAt)})
	time.Sleep(killAfter)
	all[0].Kill()
	all[1].Kill()
	time.Sleep(startAfter)
	for _, d := range all[:2] {
		if err := d.Start(t.Context()); err != nil {
			t.Error(err)
		}
	}
	floods.Wait()
	arrivals, peak := cold.peakLoad(startedAt)
	t.Logf("%d requests, peak load %.2f of the limit", arrivals, peak)
	if peak > 1 || arrivals == 0 {
		t.Errorf("%d requests reached the cold cache, peak load %.2f of its capacity plus the margin", arrivals, peak)
	}
}
