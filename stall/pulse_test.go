package stall

import (
	"testing"

	"pgregory.net/rapid"

	d "tallyproxy/policy"
)

const ms = d.Second / 1000

var times = Thresholds{Stall: 250 * ms, PollCycle: 2 * d.Second, SuspectTimeout: 800 * ms}

func both(t d.Micros) Reading { return Reading{t, 1_000_000*d.Second + t} }

// A pause is noticed at the first use after it; what is told from it is said case by case.
func TestPauses(t *testing.T) {
	type step struct {
		at      d.Micros
		what    string // beat, use, ok, fail: a call that began at `began`
		began   d.Micros
		sound   bool
		settled string
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"idle with beats is no pause", []step{
			{at: 100 * ms, what: "beat"}, {at: 300 * ms, what: "beat"}, {at: 500 * ms, what: "use", sound: true}}},
		{"the use comes before the beat", []step{
			{at: 100 * ms, what: "beat"}, {at: 4000 * ms, what: "use"}, {at: 4001 * ms, what: "beat"}, {at: 4002 * ms, what: "use"},
			{at: 4010 * ms, what: "ok", began: 4001 * ms, settled: "asked"}, {at: 4011 * ms, what: "use", sound: true}}},
		{"the beat comes before the use", []step{
			{at: 4000 * ms, what: "beat"}, {at: 4001 * ms, what: "use"}, {at: 4002 * ms, what: "ok", began: 4000 * ms, settled: "asked"}}},
		{"a call from before it settles nothing", []step{
			{at: 4000 * ms, what: "ok", began: 90 * ms}, {at: 4001 * ms, what: "use"},
			{at: 4010 * ms, what: "ok", began: 4002 * ms, settled: "asked"}}},
		{"a call that fails is tried again", []step{
			{at: 4000 * ms, what: "use"}, {at: 4010 * ms, what: "fail", began: 4001 * ms}, {at: 4011 * ms, what: "use"},
			{at: 4100 * ms, what: "ok", began: 4090 * ms, settled: "asked"}}},
		{"the channel was away before: all goes on", []step{
			{at: 100 * ms, what: "fail"}, {at: 4000 * ms, what: "use"}, {at: 4010 * ms, what: "fail", began: 4001 * ms, settled: "away"},
			{at: 4011 * ms, what: "use", sound: true}}},
		{"a channel that is away alone is no doubt", []step{
			{at: 100 * ms, what: "fail"}, {at: 200 * ms, what: "use", sound: true}}},
		{"nothing is heard: it ends in bounded time", []step{
			{at: 4000 * ms, what: "use"}, {at: 4200 * ms, what: "beat"}, {at: 4400 * ms, what: "beat"}, {at: 4600 * ms, what: "beat"},
			{at: 4790 * ms, what: "beat"}, {at: 4810 * ms, what: "beat", settled: "bound"}, {at: 4811 * ms, what: "use", sound: true}}},
		{"a second pause while it asks", []step{
			{at: 4000 * ms, what: "use"}, {at: 8000 * ms, what: "ok", began: 4001 * ms}, {at: 8001 * ms, what: "use"},
			{at: 8010 * ms, what: "ok", began: 8001 * ms, settled: "asked"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var settled string
			w := New(times, both(0), func(d.Micros) {}, func(how Resolution, _ d.Micros) { settled = how.String() })
			for i, s := range c.steps {
				settled = ""
				switch s.what {
				case "beat":
					w.Heartbeat(both(s.at))
				case "use":
					if got := w.Trusted(both(s.at)); got != s.sound {
						t.Fatalf("step %d: sound %v, want %v", i, got, s.sound)
					}
				default:
					w.PollDone(both(s.began), both(s.at), s.what == "ok")
				}
				if settled != s.settled {
					t.Fatalf("step %d: settled %q, want %q", i, settled, s.settled)
				}
			}
		})
	}
}

// A machine that slept: its monotonic clock stood still. And a driver that does not turn, while beats go on.
func TestOtherJumps(t *testing.T) {
	w := New(times, both(0), func(d.Micros) {}, func(Resolution, d.Micros) {})
	if w.Trusted(Reading{Monotonic: ms, Wall: both(4000 * ms).Wall}) || w.Stalls() != 1 {
		t.Error("a sleep of the machine was not noticed")
	}
	w = New(times, both(0), func(d.Micros) {}, func(Resolution, d.Micros) {})
	for at := d.Micros(0); at <= 2*d.Second; at += 100 * ms {
		if w.Heartbeat(both(at)); !w.Trusted(both(at)) {
			t.Fatalf("in doubt at %d", at)
		}
	}
	if w.Heartbeat(both(2100 * ms)); w.Trusted(both(2101 * ms)) {
		t.Error("a driver that does not turn was not noticed")
	}
}

// What is read around a jump may be as old as it was long; what was read before it, and a while later, is not.
func TestLate(t *testing.T) {
	w := New(times, both(0), func(d.Micros) {}, func(Resolution, d.Micros) {})
	w.Heartbeat(both(100 * ms))
	w.Polled(both(100 * ms))
	w.Trusted(both(4100 * ms))
	w.PollDone(both(4110*ms), both(4120*ms), true)
	for _, c := range []struct{ read, want d.Micros }{
		{90 * ms, 0}, {4090 * ms, 4000 * ms}, {4100 * ms, 4000 * ms}, {4125 * ms, 4000 * ms}, {4300 * ms, 0},
	} {
		if got := w.StaleBy(both(c.read)); got != c.want {
			t.Errorf("read at %d: may have come %d before, want %d", c.read, got, c.want)
		}
	}
}

// Over random histories: after a pause longer than the gap nothing is sound until a call that began after it has brought its
// answer or the bound is over, and a director without pauses is never in doubt.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, calls, pauses := d.Micros(0), d.Micros(-1), 0
		paused, asked := d.Micros(-1), true // the end of the last pause, and whether it was followed by a call that answered
		w := New(times, both(0), func(d.Micros) {}, func(Resolution, d.Micros) {})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				now += d.Micros(rapid.Int64Range(260, 9000).Draw(t, "pause")) * ms
				paused, asked = now, false
				pauses++
			case 1:
				now += 50 * ms
				w.Heartbeat(both(now))
			case 2:
				calls = now
				w.Polled(both(now))
			case 3:
				if calls >= 0 {
					w.PollDone(both(calls), both(now), true)
					asked = asked || calls >= paused
					calls = -1
				}
			case 4:
				sound := w.Trusted(both(now))
				if sound && !asked && now-paused <= times.SuspectTimeout {
					t.Fatalf("sound at %d, paused until %d and not asked since", now, paused)
				}
			}
			if pauses == 0 && now < times.PollCycle && w.Suspect() {
				t.Fatal("in doubt without a pause")
			}
		}
	})
}
