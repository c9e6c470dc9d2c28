package relays

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	d "tallyproxy/policy"
)

const ms = d.Second / 1000

func settings(name string) Settings {
	return DeriveSettings(name, 3, 2, 3, d.Settings{PurgePropagation: 500 * ms, ConnectTimeout: 400 * ms})
}

func names(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprint("n", i))
	}
	return all
}

// fleet has books ask each other in simulated time, the channel being one number that grows.
type fleet struct {
	now    d.Micros
	books  map[string]*Relay
	down   map[string]bool // don't answer, nor call
	cut    map[string]bool // can't reach the channel
	called map[string]d.Micros
	calls  int
}

func newFleet(n int) *fleet {
	f := &fleet{now: d.Second, books: map[string]*Relay{}, down: map[string]bool{}, cut: map[string]bool{}, called: map[string]d.Micros{}}
	for _, name := range names(n) {
		f.books[name] = New(f.now, settings(name))
	}
	f.there()
	return f
}

func (f *fleet) there() {
	for name, b := range f.books {
		b.SetMembers(slices.DeleteFunc(names(len(f.books)), func(o string) bool { return o == name }))
	}
}

func (f *fleet) run(span d.Micros) {
	for until := f.now + span; f.now < until; f.now += 10 * ms {
		for _, name := range names(len(f.books)) {
			if f.down[name] {
				continue
			}
			b := f.books[name]
			for _, to := range b.Tick(f.now) {
				if !f.down[to] && to != name {
					b.HandleResponse(f.now, to, f.books[to].HandleQuery(f.now, Query{SentAt: f.now}))
				}
			}
			if b.ShouldPoll(f.now) && f.now-f.called[name] >= 300*ms {
				f.called[name] = f.now
				if f.calls++; !f.cut[name] {
					b.PollSucceeded(f.now, "list", f.now, false)
				}
			}
		}
	}
}

// callers are those who ask the channel.
func (f *fleet) callers() (n int) {
	for name, b := range f.books {
		n += bit(!f.down[name] && b.ShouldPoll(f.now))
	}
	return n
}

// As many follow as are to, however many there are; when they die others do before long; while the channel is away for all, no more
// than a few see for themselves; and where it is away for those that follow alone, somebody finds it.
func TestWhoFollows(t *testing.T) {
	for _, n := range []int{4, 40, 150} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(n)
			if f.run(3 * d.Second); f.callers() != 3 {
				t.Errorf("%d ask the channel", f.callers())
			}
			chosen := f.books["n0"].order[:3]
			for _, name := range chosen {
				f.down[name] = true
			}
			if f.run(f.books["n0"].every() * 5); f.callers() == 0 || n > 6 && f.callers() > 6 {
				t.Errorf("%d ask the channel soon after all who did have died", f.callers())
			}
			clear(f.down)
			f.run(3 * d.Second)
			calm := f.calls
			if f.run(3 * d.Second); f.callers() != 3 {
				t.Errorf("%d ask the channel when they are back", f.callers())
			}
			calm = f.calls - calm
			for name := range f.books {
				f.cut[name] = true
			}
			f.run(4 * d.Second)
			away := f.calls
			if f.run(3 * d.Second); f.calls-away > 5*calm {
				t.Errorf("%d calls while the channel is away for all, %d before", f.calls-away, calm)
			}
			for name, b := range f.books {
				f.cut[name] = b.mine < deputies*3
			}
			found := false
			for range 20 {
				f.run(d.Second)
				for name, b := range f.books {
					found = found || !f.cut[name] && f.now-b.own < d.Second
				}
			}
			if n > 6 && !found {
				t.Error("nobody who could ask the channel did")
			}
		})
	}
}

// One who hears nobody asks the channel before a purge's grace is over, and one who has just started waits for the others a little.
func TestHearsNobody(t *testing.T) {
	f := newFleet(10)
	f.run(2 * d.Second)
	last := f.books["n0"].order[9]
	for name := range f.books {
		f.down[name] = name != last
	}
	if f.run(2 * f.books[last].every()); f.books[last].ShouldPoll(f.now) {
		t.Error("at once")
	}
	if f.run(400*ms - 2*f.books[last].every() + f.books[last].every()); !f.books[last].ShouldPoll(f.now) {
		t.Error("not before the grace is over")
	}
	b := New(d.Second, settings("x"))
	if b.ShouldPoll(d.Second+399*ms) || !b.ShouldPoll(d.Second+400*ms) {
		t.Error("one that has started and met nobody")
	}
	s := settings("x")
	s.Delegates = 0
	if b := New(0, s); !b.ShouldPoll(0) || b.Tick(0) != nil {
		t.Error("each follows for itself")
	}
}

// Whatever comes twice, late, out of order, from one that is behind or from one that lies: what is in force was the channel's list at
// the time that the book says, or later, and that time never goes back.
func TestNothingGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := func(version int) []Endpoint { return []Endpoint{{ID: fmt.Sprint("box-", version)}} }
		b := New(1, settings("me"))
		others := []string{"a", "b", "c", "liar"}
		b.SetMembers(others)
		if b.isDelegate() { // the name decides; it is to be one that hears
			t.Fatal("the test's names")
		}
		now, since := d.Second, []d.Micros{0} // when each version came into force
		type source struct {
			began   d.Micros
			version int
		}
		said := map[string]source{}
		type letter struct {
			from string
			Response
		}
		var post []letter
		asked := map[string]d.Micros{}
		until := d.Micros(0)
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			now += d.Micros(rapid.IntRange(1, 200_000).Draw(t, "later"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				since = append(since, now)
			case 1:
				name := rapid.SampledFrom(others).Draw(t, "calls")
				said[name] = source{now, len(since) - 1}
			case 2:
				for _, name := range b.Tick(now) {
					asked[name] = now
				}
			case 3: // an answer leaves, to a question that may be old
				name := rapid.SampledFrom(others).Draw(t, "answers")
				s, ok := said[name]
				if number := asked[name]; number > 0 && ok {
					a := Response{SentAt: number, Age: now - s.began, ListSum: Sum(list(s.version))}
					if name == "liar" {
						a.Age, a.ListSum = 0, Sum(list(rapid.IntRange(0, len(since)).Draw(t, "lie")))
					}
					post = append(post, letter{name, a})
				}
			case 4, 5:
				if len(post) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(post)-1).Draw(t, "which")
				l := post[i]
				if rapid.Bool().Draw(t, "once") {
					post = slices.Delete(post, i, i+1)
				}
				if want := b.HandleResponse(now, l.from, l.Response); want != "" {
					for version := range since {
						if Sum(list(version)) == want {
							b.AcceptList(list(version))
						}
					}
				}
			}
			at, sum := b.InForce()
			if at < until {
				t.Fatalf("known until %d, before until %d", at, until)
			}
			if until = at; sum == "" {
				continue
			}
			version := slices.IndexFunc(since, func(d.Micros) bool { return true })
			for version < len(since) && Sum(list(version)) != sum {
				version++
			}
			if version == len(since) || version+1 < len(since) && since[version+1] <= at {
				t.Fatalf("version %d of %v is said to hold at %d", version, since, at)
			}
		}
	})
}

func TestLists(t *testing.T) {
	list := map[string]Endpoint{}
	Merge(list, []Endpoint{{ID: "a", Started: 1}, {ID: "b"}}, true)
	Merge(list, []Endpoint{{ID: "a", Started: 2, State: d.Draining}, {ID: "b", State: d.Removed}, {ID: "c"}}, false)
	if rows := SortedEndpoints(list); len(rows) != 2 || rows[0].Started != 2 || rows[0].State != d.Draining || rows[1].ID != "c" {
		t.Errorf("%+v", rows)
	}
	if Sum(SortedEndpoints(list)) == Sum([]Endpoint{{ID: "a", Started: 2}, {ID: "c"}}) {
		t.Error("two lists have one sum")
	}
	other := map[string]Endpoint{"a": {ID: "a", Started: 1}, "b": {ID: "b"}}
	diff := Diff(other, SortedEndpoints(list))
	if len(diff) != 3 || diff[2].ID != "b" || diff[2].State != d.Removed {
		t.Errorf("%+v", diff)
	}
	if Merge(other, diff, false); Sum(SortedEndpoints(other)) != Sum(SortedEndpoints(list)) || Diff(other, SortedEndpoints(list)) != nil {
		t.Errorf("%+v", other)
	}
	b := New(0, settings("x"))
	for _, c := range []struct {
		row  Endpoint
		good bool
	}{
		{Endpoint{ID: "a", Zone: 1, Kind: 2}, true}, {Endpoint{ID: "a", Zone: 2}, false}, {Endpoint{ID: "a", Kind: 3}, false}, {Endpoint{ID: "a", Zone: -1}, false},
		{Endpoint{}, false}, {Endpoint{ID: "a", State: d.Removed}, false}, {Endpoint{ID: "a", Weight: -1}, false}, {Endpoint{ID: "a", State: 7}, false},
	} {
		if b.sound([]Endpoint{c.row}) != c.good {
			t.Errorf("%+v", c.row)
		}
	}
	if b.sound(make([]Endpoint, longest+1)) {
		t.Error("a list that is too long")
	}
}

// A director that had no processor for a while has not looked whom it hears: it holds that time against nobody, and goes on asking
// others as before. One whose sources are silent while it looks calls the channel as soon as ever.
func TestLateItself(t *testing.T) {
	for _, c := range []struct {
		name  string
		looks d.Micros // how often
		calls bool
	}{{"looks all the time", 50 * ms, true}, {"has no processor", 600 * ms, false}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(40)
			f.run(3 * d.Second)
			b := f.books[f.books["n0"].order[39]]
			asked := b.Tick(f.now + 130*ms)
			if len(asked) != sources || b.ShouldPoll(f.now) {
				t.Fatalf("asks %v, calls %v", asked, b.ShouldPoll(f.now))
			}
			last := f.now + 130*ms
			for now := last + c.looks; now <= last+600*ms; now += c.looks {
				if b.ShouldPoll(now) && !c.calls {
					t.Error("it calls before it has looked")
				}
				b.Tick(now)
			}
			if b.ShouldPoll(last+600*ms) != c.calls {
				t.Errorf("calls: %v", !c.calls)
			}
			for _, to := range asked { // what lay unread
				if b.HandleResponse(last+600*ms, to, Response{SentAt: last, Age: 0, ListSum: "list"}); !c.calls && b.asked[to].heard != last+600*ms {
					t.Errorf("the answer of %s is not taken", to)
				}
			}
		})
	}
}
