package stall

import (
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"tallyproxy/policy"
)

const ms = policy.Second / 1000

var testThresholds = Thresholds{Stall: 250 * ms, PollCycle: 2 * policy.Second, SuspectTimeout: 800 * ms}

// readingAt returns a reading of two clocks that have advanced equally.
func readingAt(t policy.Micros) Reading {
	return Reading{Monotonic: t, Wall: 1_000_000*policy.Second + t}
}

// TestTrustedWhileAnotherNotices guards against a call that trusts the state while another
// goroutine notices the stall.
func TestTrustedWhileAnotherNotices(t *testing.T) {
	const rounds, callers = 3000, 8
	for round := range rounds {
		d := New(testThresholds, readingAt(0), func(policy.Micros) {}, func(Resolution, policy.Micros) {})
		var trusted atomic.Int64
		var wg sync.WaitGroup
		start := make(chan struct{})
		for range callers {
			wg.Go(func() {
				<-start
				if d.Trusted(readingAt(4000 * ms)) {
					trusted.Add(1)
				}
			})
		}
		close(start)
		wg.Wait()
		if n := trusted.Load(); n > 0 {
			t.Fatalf("round %d: %d of %d calls after a stall trusted the state", round, n, callers)
		}
	}
}

// TestStalls guards against a stall that is not noticed at the first use after it, and against a
// wrong resolution.
func TestStalls(t *testing.T) {
	type step struct {
		at       policy.Micros
		action   string        // heartbeat, use, or the end of a poll: answered, failed
		began    policy.Micros // start of the poll
		trusted  bool          // wanted result of a use
		resolved string        // wanted resolution after any step, empty for none
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"idle with heartbeats is no stall", []step{
			{at: 100 * ms, action: "heartbeat"}, {at: 300 * ms, action: "heartbeat"}, {at: 500 * ms, action: "use", trusted: true}}},
		{"the use comes before the heartbeat", []step{
			{at: 100 * ms, action: "heartbeat"}, {at: 4000 * ms, action: "use"}, {at: 4001 * ms, action: "heartbeat"}, {at: 4002 * ms, action: "use"},
			{at: 4010 * ms, action: "answered", began: 4001 * ms, resolved: "asked"}, {at: 4011 * ms, action: "use", trusted: true}}},
		{"the heartbeat comes before the use", []step{
			{at: 4000 * ms, action: "heartbeat"}, {at: 4001 * ms, action: "use"}, {at: 4002 * ms, action: "answered", began: 4000 * ms, resolved: "asked"}}},
		{"a poll from before the stall resolves nothing", []step{
			{at: 4000 * ms, action: "answered", began: 90 * ms}, {at: 4001 * ms, action: "use"},
			{at: 4010 * ms, action: "answered", began: 4002 * ms, resolved: "asked"}}},
		{"a failed poll is retried", []step{
			{at: 4000 * ms, action: "use"}, {at: 4010 * ms, action: "failed", began: 4001 * ms}, {at: 4011 * ms, action: "use"},
			{at: 4100 * ms, action: "answered", began: 4090 * ms, resolved: "asked"}}},
		{"the channel was down before the stall", []step{
			{at: 100 * ms, action: "failed"}, {at: 4000 * ms, action: "use"}, {at: 4010 * ms, action: "failed", began: 4001 * ms, resolved: "away"},
			{at: 4011 * ms, action: "use", trusted: true}}},
		{"a channel that is down is no stall", []step{
			{at: 100 * ms, action: "failed"}, {at: 200 * ms, action: "use", trusted: true}}},
		{"nothing is heard before the timeout", []step{
			{at: 4000 * ms, action: "use"}, {at: 4200 * ms, action: "heartbeat"}, {at: 4400 * ms, action: "heartbeat"}, {at: 4600 * ms, action: "heartbeat"},
			{at: 4790 * ms, action: "heartbeat"}, {at: 4810 * ms, action: "heartbeat", resolved: "bound"}, {at: 4811 * ms, action: "use", trusted: true}}},
		{"a second stall during the poll", []step{
			{at: 4000 * ms, action: "use"}, {at: 8000 * ms, action: "answered", began: 4001 * ms}, {at: 8001 * ms, action: "use"},
			{at: 8010 * ms, action: "answered", began: 8001 * ms, resolved: "asked"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var resolved string
			detector := New(testThresholds, readingAt(0), func(policy.Micros) {}, func(how Resolution, _ policy.Micros) { resolved = how.String() })
			for i, s := range c.steps {
				resolved = ""
				switch s.action {
				case "heartbeat":
					detector.Heartbeat(readingAt(s.at))
				case "use":
					if got := detector.Trusted(readingAt(s.at)); got != s.trusted {
						t.Fatalf("step %d: trusted %v, want %v", i, got, s.trusted)
					}
				default:
					detector.PollDone(readingAt(s.began), readingAt(s.at), s.action == "answered")
				}
				if resolved != s.resolved {
					t.Fatalf("step %d: resolved %q, want %q", i, resolved, s.resolved)
				}
			}
		})
	}
}

// TestSleepAndOverduePoller guards against a missed stall in two cases: the machine slept, so that
// the monotonic clock stood still, or the poller shows no activity although heartbeats continue.
func TestSleepAndOverduePoller(t *testing.T) {
	detector := New(testThresholds, readingAt(0), func(policy.Micros) {}, func(Resolution, policy.Micros) {})
	if detector.Trusted(Reading{Monotonic: ms, Wall: readingAt(4000 * ms).Wall}) || detector.Stalls() != 1 {
		t.Error("a sleep of the machine was not noticed")
	}
	detector = New(testThresholds, readingAt(0), func(policy.Micros) {}, func(Resolution, policy.Micros) {})
	for at := policy.Micros(0); at <= 2*policy.Second; at += 100 * ms {
		if detector.Heartbeat(readingAt(at)); !detector.Trusted(readingAt(at)) {
			t.Fatalf("suspect at %d", at)
		}
	}
	if detector.Heartbeat(readingAt(2100 * ms)); detector.Trusted(readingAt(2101 * ms)) {
		t.Error("an overdue poller was not noticed")
	}
}

// TestStaleBy guards against data read around a stall that counts as fresh, and against data read
// before the stall, or a while after it, that counts as stale.
func TestStaleBy(t *testing.T) {
	detector := New(testThresholds, readingAt(0), func(policy.Micros) {}, func(Resolution, policy.Micros) {})
	detector.Heartbeat(readingAt(100 * ms))
	detector.Polled(readingAt(100 * ms))
	detector.Trusted(readingAt(4100 * ms))
	detector.PollDone(readingAt(4110*ms), readingAt(4120*ms), true)
	for _, c := range []struct{ read, want policy.Micros }{
		{90 * ms, 0}, {4090 * ms, 4000 * ms}, {4100 * ms, 4000 * ms}, {4125 * ms, 4000 * ms}, {4300 * ms, 0},
	} {
		if got := detector.StaleBy(readingAt(c.read)); got != c.want {
			t.Errorf("read at %d: stale by %d, want %d", c.read, got, c.want)
		}
	}
}

// TestRandomHistories guards, over random histories, against a state that is trusted after a stall
// before a later poll was answered or SuspectTimeout has passed, and against a suspect state
// without a stall.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, pollBegan, stalls := policy.Micros(0), policy.Micros(-1), 0
		// The end of the last stall, and whether a poll that began after it was answered.
		stallEnd, answered := policy.Micros(-1), true
		detector := New(testThresholds, readingAt(0), func(policy.Micros) {}, func(Resolution, policy.Micros) {})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				now += policy.Micros(rapid.Int64Range(260, 9000).Draw(t, "stall")) * ms
				stallEnd, answered = now, false
				stalls++
			case 1:
				now += 50 * ms
				detector.Heartbeat(readingAt(now))
			case 2:
				pollBegan = now
				detector.Polled(readingAt(now))
			case 3:
				if pollBegan >= 0 {
					detector.PollDone(readingAt(pollBegan), readingAt(now), true)
					answered = answered || pollBegan >= stallEnd
					pollBegan = -1
				}
			case 4:
				trusted := detector.Trusted(readingAt(now))
				if trusted && !answered && now-stallEnd <= testThresholds.SuspectTimeout {
					t.Fatalf("trusted at %d, stalled until %d and not polled since", now, stallEnd)
				}
			}
			if stalls == 0 && now < testThresholds.PollCycle && detector.Suspect() {
				t.Fatal("suspect without a stall")
			}
		}
	})
}
