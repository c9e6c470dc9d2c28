package backoff

import (
	"slices"
	"testing"

	"tallyproxy/policy"
)

// TestGoldenSeed guards against changed seeds. Seeds decide which instances of a fleet poll and in
// which order, and simulated runs are compared figure by figure. The literals were recorded before
// any rename and must not be recorded again.
func TestGoldenSeed(t *testing.T) {
	for _, c := range []struct {
		seed uint64
		name string
		want uint64
	}{
		{0, "", 17665956581633026203},
		{0, "n0", 735820747266598374},
		{1, "n0", 16592364779642962035},
		{18446744073709551615, "director-17", 12427795502663148861},
	} {
		if got := Seed(c.seed, c.name); got != c.want {
			t.Errorf("Seed(%d, %q) = %d, want %d", c.seed, c.name, got, c.want)
		}
	}
}

// TestGoldenPauses guards against changes of one poller's sequence of pauses, which depends on each
// draw of the generator and each sum.
func TestGoldenPauses(t *testing.T) {
	poller := New(testIntervals, Seed(1, "n0"))
	var got []policy.Micros
	pause, longPoll := poller.First()
	got = append(got, pause, longPoll)
	for _, result := range []PollResult{Changed, Unchanged, ConnectFailed, Truncated, TimedOut, Unavailable, Malformed, Canceled, Changed, Truncated, Changed, Unavailable, Unavailable, TimedOut, Unchanged} {
		pause, longPoll = poller.Next(result, 150*ms, 700*ms)
		got = append(got, pause, longPoll)
	}
	want := []policy.Micros{27915, 1200000, 166926, 625588, 0, 1200000, 1151873, 1200000, 758109, 1200000, 661642, 1200000, 980529, 1200000,
		1118354, 1200000, 0, 1200000, 14429, 954162, 105071, 1200000, 110763, 1115628, 1145286, 1200000, 942726, 1200000, 503243, 1200000, 0, 1200000}
	if !slices.Equal(got, want) {
		t.Errorf("pauses and long polls %v, want %v", got, want)
	}
	if delegates := testIntervals.ForDelegates(); delegates != (Intervals{LongPoll: 300000, InitialSpread: 450000, ChangeSpread: 41666, MaxPause: 2000000, FirstErrorMax: 1500000, MinRetry: 400000}) {
		t.Errorf("intervals of delegates: %+v", delegates)
	}
}
