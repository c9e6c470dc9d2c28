package membership

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	d "tallyproxy/policy"
)

const ms = d.Second / 1000

func settings(i, of int) Settings {
	s := Derive(fmt.Sprint("n", i), 1, d.Settings{
		ZoneDirectors: of, TotalDirectors: of, ConnectTimeout: 400 * ms, EdgeSlowStart: d.SlowStart{OverloadWindow: 3 * d.Second},
	})
	return s
}

// world is some directors with one clock, that tell each other at once unless the script keeps them from it.
type world struct {
	now    d.Micros
	boards []*View
	cut    map[[2]int]bool // from, to
}

func newWorld(n int) *world {
	w := &world{now: d.Second, cut: map[[2]int]bool{}}
	for i := range n {
		w.boards = append(w.boards, New(w.now, settings(i, n)))
	}
	for i := range n {
		w.see(i, Up)
	}
	w.now += 10 * d.Second
	return w
}

// see has all others believe something of one.
func (w *world) see(i int, s State) {
	for j, b := range w.boards {
		if j != i {
			b.UpdatePeer(w.now, fmt.Sprint("n", i), w.boards[i].s.Incarnation, 0, s)
		}
	}
}

// pass lets time go by, with the asks of those that are alive answered.
func (w *world) pass(span d.Micros, alive ...int) {
	for until := w.now + span; w.now < until; w.now += 50 * ms {
		for _, i := range alive {
			asks := w.boards[i].Tick(w.now)
			for _, name := range slices.Sorted(maps.Keys(asks)) {
				j := slices.IndexFunc(w.boards, func(b *View) bool { return b.s.Name == name })
				if !slices.Contains(alive, j) || w.cut[[2]int{i, j}] || w.cut[[2]int{j, i}] {
					continue
				}
				if g, ok := w.boards[j].HandleLeaseRequest(w.now, w.boards[i].s.Name, asks[name]); ok {
					w.boards[i].HandleLeaseGrant(w.now, name, g)
				}
			}
		}
	}
}

func (w *world) part(i int) float64 {
	part, _ := w.boards[i].Quota(w.now, ScopeZone)
	return part
}

// What a director may use, case by case.
func TestParts(t *testing.T) {
	cases := []struct {
		name string
		play func(w *world) d.Micros // of five directors; gives how long n0 was paused at the end
		want float64                 // of n0
	}{
		{"all are there", func(w *world) d.Micros { w.pass(5*d.Second, 0, 1, 2, 3, 4); return 0 }, 1},
		{"one has failed: not before its lease is over", func(w *world) d.Micros {
			w.see(4, Failed)
			w.pass(700*ms, 0, 1, 2, 3)
			return 0
		}, 1},
		{"one has failed", func(w *world) d.Micros { w.see(4, Failed); w.pass(5*d.Second, 0, 1, 2, 3); return 0 }, 1.25},
		{"one has left: its part is free at once, the view must stand", func(w *world) d.Micros {
			w.see(4, Left)
			w.pass(1200*ms, 0, 1, 2, 3)
			return 0
		}, 1.25},
		{"three have failed: no more than Room", func(w *world) d.Micros {
			w.see(4, Failed)
			w.see(3, Failed)
			w.see(2, Failed)
			w.pass(60*d.Second, 0, 1)
			return 0
		}, 2},
		{"alone", func(w *world) d.Micros {
			for i := range 4 {
				w.see(i+1, Failed)
			}
			w.pass(60*d.Second, 0)
			return 0
		}, 1},
		{"nobody makes room", func(w *world) d.Micros {
			w.see(4, Failed)
			for j := range 5 {
				w.cut[[2]int{j, 0}] = true
			}
			w.pass(60*d.Second, 0, 1, 2, 3)
			return 0
		}, 1},
		{"a pause of half a minute", func(w *world) d.Micros {
			w.see(4, Failed)
			w.pass(5*d.Second, 0, 1, 2, 3)
			return 30 * d.Second
		}, 1},
		{"it has just started, and met two of the others", func(w *world) d.Micros {
			w.boards[0] = New(w.now, settings(0, 5))
			for _, name := range []string{"n1", "n2"} {
				w.boards[0].UpdatePeer(w.now, name, 1, 0, Up)
			}
			w.pass(2*d.Second, 0, 1, 2, 3, 4)
			return 0
		}, 1},
		{"it is back: at once", func(w *world) d.Micros {
			w.see(4, Failed)
			w.pass(5*d.Second, 0, 1, 2, 3)
			w.see(4, Up)
			return 0
		}, 1},
		{"another knows that it is back", func(w *world) d.Micros {
			w.see(4, Failed)
			w.pass(5*d.Second, 0, 1, 2, 3)
			for i := 1; i < 4; i++ {
				w.boards[i].UpdatePeer(w.now, "n4", 2, 0, Up)
			}
			w.pass(500*ms, 0, 1, 2, 3)
			return 0
		}, 1},
		{"another process under its name", func(w *world) d.Micros {
			w.see(4, Failed)
			w.pass(5*d.Second, 0, 1, 2, 3)
			w.boards[0].SetNameConflict("127.0.0.9:1")
			return 0
		}, 1},
		{"more than the settings tell", func(w *world) d.Micros {
			for i := range 5 {
				w.boards[0].UpdatePeer(w.now, fmt.Sprint("x", i), 1, 0, Up)
			}
			return 0
		}, 0.5},
		{"a view that swings is trusted later", func(w *world) d.Micros {
			for range 6 {
				w.see(4, Failed)
				w.pass(d.Second, 0, 1, 2, 3)
				w.see(4, Up)
				w.pass(200*ms, 0, 1, 2, 3, 4)
			}
			w.see(4, Failed)
			w.pass(2*d.Second, 0, 1, 2, 3)
			return 0
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(5)
			w.now += c.play(w)
			if got := w.part(0); got != c.want {
				t.Errorf("part %v, want %v", got, c.want)
			}
		})
	}
}

// A plain model beside random histories of beliefs, messages that come late or never, pauses and restarts: whatever each one
// believes, no part is above Room, a part above the fixed one had as many witnesses within the lease as it needs, and the sum
// stays within Room. Where all that live believe the truth, and have for a lease and the time it takes to settle, the sum is one,
// or as much of it as Room allows.
func TestSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "directors")
		w := newWorld(n)
		type note struct{ at d.Micros }
		granted := map[[2]int]note{} // to whom, by whom: when it was asked
		type letter struct {
			from, to int
			ask      LeaseRequest
			sent     d.Micros
		}
		var post []letter
		born := uint64(1)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			i, j := rapid.IntRange(0, n-1).Draw(t, "i"), rapid.IntRange(0, n-1).Draw(t, "j")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				w.boards[i].UpdatePeer(w.now, fmt.Sprint("n", j), w.boards[j].s.Incarnation, 0, State(rapid.IntRange(0, 3).Draw(t, "state")))
			case 1, 2:
				w.now += d.Micros(rapid.IntRange(1, 900).Draw(t, "ms")) * ms
			case 3:
				asks := w.boards[i].Tick(w.now)
				for _, name := range slices.Sorted(maps.Keys(asks)) {
					to := slices.IndexFunc(w.boards, func(b *View) bool { return b.s.Name == name })
					post = append(post, letter{i, to, asks[name], w.now})
				}
			case 4, 5:
				if len(post) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(post)-1).Draw(t, "letter")
				l := post[k]
				if rapid.Bool().Draw(t, "gone") {
					post = slices.Delete(post, k, k+1)
				}
				if g, ok := w.boards[l.to].HandleLeaseRequest(w.now, w.boards[l.from].s.Name, l.ask); ok {
					w.boards[l.from].HandleLeaseGrant(w.now, w.boards[l.to].s.Name, g)
					granted[[2]int{l.from, l.to}] = note{l.sent}
				}
			case 6:
				born++
				s := settings(i, n)
				s.Incarnation = born
				w.boards[i] = New(w.now, s)
				post = slices.DeleteFunc(post, func(l letter) bool { return l.from == i })
			}
			sum := 0.0
			for k, b := range w.boards {
				part, until := b.Quota(w.now, ScopeZone)
				if sum += part / float64(n); part > MaxQuotaFactor || part < 0.5 {
					t.Fatalf("n%d holds %v", k, part)
				}
				if part <= 1 {
					continue
				}
				witnesses := 0
				for by := range n {
					if g, ok := granted[[2]int{k, by}]; ok && w.now < g.at+b.s.LeaseDuration {
						witnesses++
					}
				}
				if witnesses < min(2, b.all) || until <= w.now || until > w.now+b.s.LeaseDuration {
					t.Fatalf("n%d holds %v until %d at %d with %d witnesses", k, part, until, w.now, witnesses)
				}
			}
			if sum > MaxQuotaFactor+1e-9 {
				t.Fatalf("the parts sum up to %v", sum)
			}
		}
		// It ends well: some are dead, the others know, and settle.
		dead := rapid.IntRange(0, n-1).Draw(t, "dead")
		var alive []int
		for i := range n {
			state := Up
			if i < dead {
				state = Failed
			} else {
				alive = append(alive, i)
			}
			w.see(i, state)
		}
		w.pass(60*d.Second, alive...)
		want, sum := 1.0, 0.0
		if want = min(want, MaxQuotaFactor*float64(len(alive))/float64(n)); len(alive) == 1 {
			want = 1 / float64(n)
		}
		for _, i := range alive {
			sum += w.part(i) / float64(n)
		}
		if sum < want-1e-9 || sum > want+1e-9 {
			t.Fatalf("%d of %d are left: the parts sum up to %v, want %v", len(alive), n, sum, want)
		}
	})
}

// A hint is a reason for one question; a director that claims that all caches are dead has a few of them asked, and no more.
func TestHints(t *testing.T) {
	w := newWorld(3)
	b := w.boards[0]
	old := -10 * d.Second
	cases := []struct {
		name  string
		from  string
		h     Hint
		heard d.Micros
		want  bool
	}{
		{"of a cache not heard from lately", "n1", Hint{Node: "a", Condition: Unreachable}, old, true},
		{"the same again", "n2", Hint{Node: "a", Condition: Unreachable}, old, false},
		{"too old", "n1", Hint{Node: "b", Condition: Unreachable, Age: 4 * d.Second}, old, false},
		{"from the future", "n1", Hint{Node: "b", Condition: Unreachable, Age: -1}, old, false},
		{"of one that has just answered here", "n1", Hint{Node: "b", Condition: Restarted}, w.now - 100*ms, false},
		{"that it is back", "n1", Hint{Node: "b", Condition: Recovered}, w.now - 100*ms, true},
		{"what a later version may tell", "n1", Hint{Node: "c", Condition: "glad"}, old, false},
		{"from a stranger", "x", Hint{Node: "c", Condition: Unreachable}, old, false},
	}
	for _, c := range cases {
		if got := b.ShouldProbe(w.now, c.from, c.h, c.heard); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	asked, told := 0, 0
	for i := range 1000 {
		asked += bit(b.ShouldProbe(w.now, "n2", Hint{Node: fmt.Sprint("box-", i), Condition: Unreachable}, old))
		told += bit(b.ShouldSendHint(w.now, Hint{Node: fmt.Sprint("box-", i), Condition: Overloaded}))
	}
	if asked != b.s.HintsPerInterval || told != b.s.HintsPerInterval {
		t.Errorf("%d asked, %d told of", asked, told)
	}
	if w.now += b.s.HintInterval; !b.ShouldProbe(w.now, "n2", Hint{Node: "box-999", Condition: Unreachable}, old) || !b.ShouldSendHint(w.now, Hint{Node: "box-999", Condition: Restarted}) {
		t.Error("nothing is heeded a while later")
	}
}

// What is told of a node follows from two sights of it, one after the other.
func TestNews(t *testing.T) {
	well := NodeStatus{SlowStartShare: 1, Limit: 10}
	for _, c := range []struct {
		name        string
		before, now NodeStatus
		want        Condition
	}{
		{"nothing new", well, well, ""},
		{"a little colder, a little less", well, NodeStatus{SlowStartShare: 0.8, Limit: 7}, ""},
		{"gone", well, NodeStatus{Ejected: true, HalfOpen: true, SlowStartShare: 1, Limit: 10}, Unreachable},
		{"tried after a skip", NodeStatus{Ejected: true, SlowStartShare: 1}, NodeStatus{HalfOpen: true, SlowStartShare: 1}, ""},
		{"back", NodeStatus{Ejected: true, SlowStartShare: 1}, well, Recovered},
		{"started anew", well, NodeStatus{SlowStartShare: 0.2, Limit: 10}, Restarted},
		{"turns away", well, NodeStatus{SlowStartShare: 1, Limit: 4}, Overloaded},
		{"one without a limit", NodeStatus{SlowStartShare: 1}, NodeStatus{SlowStartShare: 1}, ""},
	} {
		if got, news := ConditionChange(c.before, c.now); news != (c.want != "") || news && got != c.want {
			t.Errorf("%s: %q, %v", c.name, got, news)
		}
	}
}

func TestStanding(t *testing.T) {
	w := newWorld(5)
	for i, want := range []PartitionState{Majority, Majority, Majority, Minority, Isolated} {
		if i > 0 {
			w.see(i, Failed)
		}
		if got := w.boards[0].PartitionState(); got != want {
			t.Errorf("%d failed: %v, want %v", i, got, want)
		}
	}
	if r := w.boards[0].Report(w.now); len(r.Peers) != 4 || r.PartitionState != "alone" || r.ZoneQuota != 1 {
		t.Errorf("%+v", r)
	}
}
