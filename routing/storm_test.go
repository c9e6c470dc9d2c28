package routing

import (
	"fmt"
	"testing"

	"tallyproxy/dedup"
	"tallyproxy/overload"
	d "tallyproxy/policy"
)

// A deduped download over its client's tries: what the next try gets, by how the first ended and when the next comes.
func TestKeysOverRetries(t *testing.T) {
	cases := []struct {
		name   string
		ending d.Ending // of the first try's pull
		lost   bool     // the first answer never came: the client gave up
		after  d.Micros
		scope  d.Scope
		want   d.Verb
	}{
		{"failed, inside the window", d.Failed, false, 2 * d.Second, d.ScopeAll, d.Pull},
		{"failed, past it", d.Failed, false, 3100 * ms, d.ScopeAll, d.Abandon},
		{"broken, past it", d.Broken, false, 5 * d.Second, d.ScopeAll, d.Abandon},
		{"fulfilled but the answer was lost, past it", d.Fulfilled, true, 4 * d.Second, d.ScopeAll, d.Abandon},
		{"fulfilled but the answer was lost, inside", d.Fulfilled, true, d.Second, d.ScopeAll, d.Pull},
		{"turned away: it never ran", d.TurnedAway, false, 5 * d.Second, d.ScopeAll, d.Pull},
		{"not reached: it never ran", d.Unreached, false, 5 * d.Second, d.ScopeAll, d.Pull},
		{"remembered long after", d.Broken, false, 50 * d.Second, d.ScopeAll, d.Abandon},
		{"another zone's caches", d.Broken, false, d.Second, d.ScopeZone, d.Pull},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.Types[0].Repeat, s.Types[0].Scope = d.Deduped, c.scope
			b := newBed(s, 2, 1)
			b.Use(Options{Keys: dedup.Settings{Most: 10, Remember: 20}})
			first := b.download("o")
			first.Key = "k"
			if ans := b.Where(b.now, first); ans.Verb != d.Pull {
				t.Fatalf("first: %+v", ans)
			}
			sent := b.now
			if c.lost {
				first.Over = true
			}
			b.After(b.now+100*ms, first, d.Outcome{Ending: c.ending, Last: true})
			b.now = sent + c.after
			b.list(d.Node{ID: "e0", Zone: 1}, d.Node{ID: "e1", Zone: 1}) // what was held against them is past
			next := b.download("o")
			next.Key, next.Again = "k", true
			if ans := b.Where(b.now, next); ans.Verb != c.want {
				t.Errorf("the next try: %+v, want verb %d", ans, c.want)
			}
			other := b.download("o")
			other.Key = "another"
			if ans := b.Where(b.now, other); ans.Verb != d.Pull {
				t.Errorf("another key: %+v", ans)
			}
		})
	}
	t.Run("no throttling reply that outlives the window", func(t *testing.T) {
		s := settings()
		s.Types[0].Repeat = d.Deduped
		b := newBed(s, 1, 1)
		b.Use(Options{Keys: dedup.Settings{Most: 10, Remember: 20}})
		first := b.download("o")
		first.Key = "k"
		b.Where(b.now, first)
		b.After(b.now, first, d.Outcome{Ending: d.Broken, Last: true})
		for _, x := range []struct {
			after d.Micros
			want  d.Verb
		}{{d.Second, d.Throttle}, {2900 * ms, d.Abandon}} {
			next := b.download("o")
			next.Key, next.Again = "k", true
			b.list(d.Node{ID: "e0", Zone: 1, State: d.Draining})
			next.Arrived = b.now + x.after
			next.Leaves = next.Arrived + d.Second
			b.Where(next.Arrived, next)
			if ans := b.Where(next.Leaves, next); ans.Verb != x.want {
				t.Errorf("after %d ms: %+v", x.after/ms, ans)
			}
		}
	})
	t.Run("no room for a mark: throttled unsent", func(t *testing.T) {
		s := settings()
		s.Types[0].Repeat = d.Deduped
		b := newBed(s, 2, 1)
		b.Use(Options{Keys: dedup.Settings{Most: 1, Remember: 20}})
		for i, want := range []d.Verb{d.Pull, d.Throttle} {
			dl := b.download("o")
			dl.Key, dl.Again = fmt.Sprint(i), true
			if ans := b.Where(b.now, dl); ans.Verb != want {
				t.Errorf("key %d: %+v", i, ans)
			}
		}
	})
	t.Run("a stranger's repeat", func(t *testing.T) {
		for _, abandon := range []bool{false, true} {
			s := settings()
			s.Types[0].Repeat = d.Deduped // its expiry is longer than its window
			b := newBed(s, 2, 1)
			b.Use(Options{Keys: dedup.Settings{Most: 10, Remember: 20, Abandon: abandon}})
			dl := b.download("o")
			dl.Key, dl.Again = "k", true
			if ans := b.Where(b.now, dl); (ans.Verb == d.Abandon) != abandon {
				t.Errorf("abandon %v: %+v", abandon, ans)
			}
		}
	})
}

// In a storm on cold caches, a throttled client gets a place, comes back to it, and is treated as a first try; one that comes
// early has the same place.
func TestPlacesInAStorm(t *testing.T) {
	b := newBed(settings(), 2, 1)
	rows := []d.Node{{ID: "e0", Zone: 1, Started: b.now}, {ID: "e1", Zone: 1, Started: b.now}}
	b.list(rows...)
	o := overload.Defaults()
	o.Mode = overload.Guards
	b.Use(Options{Storm: o})
	ask := func(i int, again bool) (*d.Download, d.Answer) {
		dl := b.download(fmt.Sprint("o", i))
		dl.Client, dl.Again = uint64(i+1), again
		return dl, b.Where(b.now, dl)
	}
	told, turned := map[int]d.Micros{}, 0
	held := map[int]*d.Download{}
	for i := range 300 {
		b.now += ms
		b.Connected(b.now)
		dl, ans := ask(i, false)
		switch ans.Verb {
		case d.Hold:
			held[i] = dl
		case d.Throttle:
			turned++
			told[i] = b.now + ans.ComeBack
		}
	}
	b.now += 400 * ms
	for i := range 300 {
		if dl := held[i]; dl != nil {
			if ans := b.Where(b.now, dl); ans.Verb == d.Throttle {
				told[i] = b.now + ans.ComeBack
			}
		}
	}
	if b.storm.State() == overload.Calm || len(told) < 50 {
		t.Fatalf("state %v, %d throttled", b.storm.State(), len(told))
	}
	times := map[d.Micros]bool{}
	for i := range 300 {
		if at := told[i]; at > b.now+100*ms {
			times[at] = true
			_, ans := ask(i, true)
			if ans.Verb != d.Throttle || b.now+ans.ComeBack != at {
				t.Fatalf("early: %+v, was told %d ms", ans, (at-b.now)/ms)
			}
		}
	}
	if len(times) < 10 {
		t.Errorf("all are told %d times", len(times))
	}
}

// What two nodes agree on names what no node knows; one that asked for such costs one pull.
func TestOfNoUse(t *testing.T) {
	s := settings()
	s.SourcesTold = true
	for _, doubted := range []bool{false, true} {
		b := newBed(s, 3, 1)
		dl := b.download("o")
		dl.Doubted = doubted
		b.Where(b.now, dl)
		pulls, ans := 1, b.end(dl, ms, d.Failed, d.Untold)
		for ans.Verb == d.Pull {
			pulls++
			ans = b.end(dl, ms, d.Failed, d.Untold)
		}
		if want := map[bool]int{false: 2, true: 1}[doubted]; pulls != want || !ans.NoUse || ans.Verb != d.Throttle {
			t.Errorf("doubted %v: %d pulls, %+v", doubted, pulls, ans)
		}
	}
}
