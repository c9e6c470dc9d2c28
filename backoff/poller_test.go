package backoff

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"tallyproxy/policy"
)

const ms = policy.Second / 1000

var testIntervals = DeriveIntervals(policy.Settings{PurgePropagation: 500 * ms, PurgeRetention: 6 * policy.Second, ConnectTimeout: 400 * ms}, policy.Timeouts{LongPoll: 1200 * ms})

// fleetPauses returns, in ascending order, the pauses that n directors take after the same sequence
// of results.
func fleetPauses(n int, overrun, retryAfter policy.Micros, results ...PollResult) (pauses []policy.Micros) {
	for i := range n {
		poller := New(testIntervals, Seed(1, fmt.Sprint("n", i)))
		pause, _ := poller.First()
		for _, result := range results {
			pause, _ = poller.Next(result, overrun, retryAfter)
		}
		pauses = append(pauses, pause)
	}
	slices.Sort(pauses)
	return pauses
}

// peakShare returns the largest share of pauses that ends within one window of 100 ms. The pauses
// must be in ascending order.
func peakShare(pauses []policy.Micros) (peak float64) {
	for i := range pauses {
		j, _ := slices.BinarySearch(pauses, pauses[i]+100*ms)
		peak = max(peak, float64(j-i)/float64(len(pauses)))
	}
	return peak
}

// TestFleetIsSpread guards against polls of 300 directors that come at the same time after all
// directors got the same result.
func TestFleetIsSpread(t *testing.T) {
	second := 1000 * ms
	cases := []struct {
		name                string
		results             []PollResult
		overrun, retryAfter policy.Micros
		maxPeak             float64       // share of the fleet that polls within 100 ms
		minPause            policy.Micros // lower bound for every director
		maxPause            policy.Micros // upper bound for every director
		minMean             policy.Micros // lower bound for the mean of the pauses
	}{
		{"start", nil, 0, 0, 0.29, 0, 450 * ms, 200 * ms},
		{"changes", []PollResult{Changed}, 0, 0, 0.4, 0, 334 * ms, 140 * ms},
		{"no changes", []PollResult{Unchanged}, 0, 0, 1, 0, 0, 0},
		{"first error", []PollResult{ConnectFailed}, 0, 0, 0.14, 0, 1500 * ms, 650 * ms},
		{"repeated errors", []PollResult{ConnectFailed, Unavailable, ConnectFailed}, 0, 0, 0.12, 400 * ms, 2 * second, 1150 * ms},
		{"truncated answer", []PollResult{Truncated}, 0, 0, 0.2, 0, 750 * ms, 300 * ms},
		{"truncated twice", []PollResult{Truncated, Truncated}, 0, 0, 0.12, 400 * ms, 2 * second, 1150 * ms},
		{"timed out late", []PollResult{TimedOut}, 800 * ms, 0, 0.2, 0, 1200 * ms, 500 * ms},
		{"timed out twice", []PollResult{TimedOut, TimedOut}, 800 * ms, 0, 0.2, 400 * ms, 1200 * ms, 700 * ms},
		{"retry after one second", []PollResult{Unavailable}, 0, second, 0.16, second, 2 * second, 1400 * ms},
		{"retry after five seconds", []PollResult{Unavailable}, 0, 5 * second, 0.16, second, 2 * second, 1400 * ms},
		{"retry after 300 ms", []PollResult{Unavailable}, 0, 300 * ms, 0.45, 300 * ms, 600 * ms, 400 * ms},
		{"changes after errors", []PollResult{ConnectFailed, ConnectFailed, Changed}, 0, 0, 0.4, 0, 334 * ms, 140 * ms},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pauses, sum := fleetPauses(300, c.overrun, c.retryAfter, c.results...), policy.Micros(0)
			for _, pause := range pauses {
				sum += pause
			}
			if peak := peakShare(pauses); peak > c.maxPeak || pauses[0] < c.minPause || pauses[299] > c.maxPause || sum/300 < c.minMean {
				t.Errorf("%.2f of the fleet within 100 ms, pauses from %d to %d, %d on average", peak, pauses[0], pauses[299], sum/300)
			}
		})
	}
}

// TestPauseBounds guards, over random results, against a pause longer than MaxPause less the
// overrun, and against a long poll longer than LongPoll.
func TestPauseBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		poller := New(testIntervals, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			result := PollResult(rapid.IntRange(0, int(Canceled)).Draw(t, "result"))
			overrun := policy.Micros(rapid.Int64Range(-1e6, 1e7).Draw(t, "overrun"))
			retryAfter := policy.Micros(rapid.Int64Range(0, 1e8).Draw(t, "retryAfter"))
			pause, longPoll := poller.Next(result, overrun, retryAfter)
			bound := max(testIntervals.MinRetry, testIntervals.MaxPause-max(0, overrun))
			if pause < 0 || pause > bound || longPoll < testIntervals.LongPoll/2 || longPoll > testIntervals.LongPoll {
				t.Fatalf("%v: pause %d, maximum %d; long poll %d", result, pause, bound, longPoll)
			}
		}
	})
}

// TestPollResultNames guards against changed names, which appear in log lines.
func TestPollResultNames(t *testing.T) {
	var got []string
	for result := Changed; result <= Canceled; result++ {
		got = append(got, result.String())
	}
	if want := []string{"changed", "unchanged", "connect_failed", "truncated", "timed_out", "unavailable", "malformed", "canceled"}; !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}
