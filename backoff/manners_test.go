package backoff

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	d "tallyproxy/policy"
)

const ms = d.Second / 1000

var times = DeriveIntervals(d.Settings{PurgePropagation: 500 * ms, PurgeRetention: 6 * d.Second, ConnectTimeout: 400 * ms}, d.Timeouts{LongPoll: 1200 * ms})

// fleet is the pauses that so many directors take, each after the same ends, and what is said of the last one.
func fleet(n int, late, back d.Micros, ends ...PollResult) (pauses []d.Micros) {
	for i := range n {
		c := New(times, Seed(1, fmt.Sprint("n", i)))
		pause, _ := c.First()
		for _, e := range ends {
			pause, _ = c.Next(e, late, back)
		}
		pauses = append(pauses, pause)
	}
	slices.Sort(pauses)
	return pauses
}

// peak is the largest share of them within 100 ms.
func peak(pauses []d.Micros) (most float64) {
	for i := range pauses {
		j, _ := slices.BinarySearch(pauses, pauses[i]+100*ms)
		most = max(most, float64(j-i)/float64(len(pauses)))
	}
	return most
}

// What 300 directors do together after the same thing has happened to all of them at once.
func TestTogether(t *testing.T) {
	second := 1000 * ms
	cases := []struct {
		name       string
		ends       []PollResult
		late, back d.Micros
		peak       float64  // at the most, over the fleet in 100 ms
		least      d.Micros // pauses
		most       d.Micros
		mean       d.Micros // at the least
	}{
		{"the start", nil, 0, 0, 0.29, 0, 450 * ms, 200 * ms},
		{"news", []PollResult{Changed}, 0, 0, 0.4, 0, 334 * ms, 140 * ms},
		{"no news", []PollResult{Unchanged}, 0, 0, 1, 0, 0, 0},
		{"the first error", []PollResult{ConnectFailed}, 0, 0, 0.14, 0, 1500 * ms, 650 * ms},
		{"errors that go on", []PollResult{ConnectFailed, Unavailable, ConnectFailed}, 0, 0, 0.12, 400 * ms, 2 * second, 1150 * ms},
		{"broken within an answer", []PollResult{Truncated}, 0, 0, 0.2, 0, 750 * ms, 300 * ms},
		{"broken again", []PollResult{Truncated, Truncated}, 0, 0, 0.12, 400 * ms, 2 * second, 1150 * ms},
		{"hung, heard late", []PollResult{TimedOut}, 800 * ms, 0, 0.2, 0, 1200 * ms, 500 * ms},
		{"hung again", []PollResult{TimedOut, TimedOut}, 800 * ms, 0, 0.2, 400 * ms, 1200 * ms, 700 * ms},
		{"told to come in one second", []PollResult{Unavailable}, 0, second, 0.16, second, 2 * second, 1400 * ms},
		{"told to come in five", []PollResult{Unavailable}, 0, 5 * second, 0.16, second, 2 * second, 1400 * ms},
		{"told to come in 300 ms", []PollResult{Unavailable}, 0, 300 * ms, 0.45, 300 * ms, 600 * ms, 400 * ms},
		{"news after errors", []PollResult{ConnectFailed, ConnectFailed, Changed}, 0, 0, 0.4, 0, 334 * ms, 140 * ms},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pauses, sum := fleet(300, c.late, c.back, c.ends...), d.Micros(0)
			for _, p := range pauses {
				sum += p
			}
			if p := peak(pauses); p > c.peak || pauses[0] < c.least || pauses[299] > c.most || sum/300 < c.mean {
				t.Errorf("%.2f in 100 ms, pauses from %d to %d, %d on average", p, pauses[0], pauses[299], sum/300)
			}
		})
	}
}

// Whatever happens, no pause is longer than what is told may wait, and a wait for news is never longer than it may be.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(times, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			e := PollResult(rapid.IntRange(0, int(Canceled)).Draw(t, "ending"))
			late, back := d.Micros(rapid.Int64Range(-1e6, 1e7).Draw(t, "late")), d.Micros(rapid.Int64Range(0, 1e8).Draw(t, "back"))
			pause, poll := c.Next(e, late, back)
			bound := max(times.MinRetry, times.MaxPause-max(0, late))
			if pause < 0 || pause > bound || poll < times.LongPoll/2 || poll > times.LongPoll {
				t.Fatalf("%v: a pause of %d, with %d at the most; a wait of %d", e, pause, bound, poll)
			}
		}
	})
}

// What is told right after other news is asked for before the shorter of the two graces is over, whatever a customer's are.
func TestDerive(t *testing.T) {
	for _, c := range []struct{ purge, drain, first, spread d.Micros }{
		{500 * ms, 1000 * ms, 450 * ms, 333_333},
		{500 * ms, 250 * ms, 225 * ms, 166_666},
		{500 * ms, 0, 450 * ms, 333_333},
		{0, 2000 * ms, 360 * ms, 266_666},
		{0, 200 * ms, 180 * ms, 133_333},
	} {
		got := DeriveIntervals(d.Settings{PurgePropagation: c.purge, DrainPropagation: c.drain, PurgeRetention: 6 * d.Second, ConnectTimeout: 400 * ms}, d.Timeouts{LongPoll: 1200 * ms})
		if got.InitialSpread != c.first || got.ChangeSpread != c.spread {
			t.Errorf("purges within %d, drains within %d: first %d, spread %d", c.purge, c.drain, got.InitialSpread, got.ChangeSpread)
		}
	}
}
