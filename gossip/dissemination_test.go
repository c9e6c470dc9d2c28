package gossip

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	d "tallyproxy/policy"
)

const ms = d.Second / 1000

func settings() Settings {
	return Derive(d.Settings{ConnectTimeout: 400 * ms, PurgeRetention: 6 * d.Second, PurgePropagation: 500 * ms})
}

func list(n int) (rows []NodeState) {
	for i := range n {
		rows = append(rows, NodeState{fmt.Sprint("box-", i), 7, d.Ready})
	}
	return rows
}

func drain(i int) Update { return Update{Node: fmt.Sprint("box-", i), Started: 7} }

// What another tells binds where it is careful, once, and never at more than half of the caches.
func TestHeard(t *testing.T) {
	now := 100 * d.Second
	purge := Update{Object: "a", Group: -1, PurgedAt: 5}
	with := func(i Update, change func(*Update)) Update { change(&i); return i }
	for _, c := range []struct {
		name     string
		before   func(b *Store)
		item     Update
		bind, on bool
	}{
		{"a purge", nil, purge, true, true},
		{"a purge again", func(b *Store) { b.Received(now, "n2", purge) }, with(purge, func(i *Update) { i.Age = 900 * ms }), false, false},
		{"a purge that the own channel has told", func(b *Store) { b.RecordPurge(now, purge) }, purge, false, false},
		{"a purge of long ago", nil, with(purge, func(i *Update) { i.Age = 7 * d.Second }), false, false},
		{"one from the future", nil, with(purge, func(i *Update) { i.Age = -1 }), false, false},
		{"nothing", nil, Update{}, false, false},
		{"both at once", nil, Update{Node: "box-0", Started: 7, PurgedAt: 3}, false, false},
		{"a drain", nil, drain(0), true, true},
		{"a node that is gone", nil, with(drain(0), func(i *Update) { i.Removed = true }), true, true},
		{"a drain of an earlier start", nil, Update{Node: "box-0", Started: 6}, false, true},
		{"a drain of a node that is not listed", nil, drain(9), false, true},
		{"a drain of one that drains already", func(b *Store) { b.RecordNodes(now-1, []NodeState{{"box-0", 7, d.Draining}}, false) }, drain(0), false, false},
		{"a drain from before the list", func(b *Store) { b.RecordNodes(now-10*ms, list(4), false) }, with(drain(0), func(i *Update) { i.Age = 20 * ms }), false, true},
		{"a drain of more than half", func(b *Store) { b.Received(now, "n2", drain(1)); b.Received(now, "n2", drain(2)) }, drain(0), false, true},
		{"too many of one", func(b *Store) {
			for i := range settings().MaxUpdates {
				b.Received(now, "n1", Update{Group: i, PurgedAt: 9})
			}
		}, purge, false, false},
	} {
		b := New(now-50*d.Second, settings())
		b.RecordNodes(now-40*d.Second, list(4), true)
		if c.before != nil {
			c.before(b)
		}
		if bind, on := b.Received(now, "n1", c.item); bind != c.bind || on != c.on {
			t.Errorf("%s: %v, %v", c.name, bind, on)
		}
	}
}

// What the own channel tells is told on once, and lets go what only others said, if it was asked after that.
func TestOwn(t *testing.T) {
	now := 100 * d.Second
	b := New(now, settings())
	b.ChannelAnswered(now)
	if tell := b.RecordNodes(now, list(4), true); len(tell) > 0 {
		t.Errorf("told %v", tell)
	}
	if tell := b.RecordNodes(now, []NodeState{{"box-1", 7, d.Draining}}, false); !slices.Equal(tell, []Update{drain(1)}) {
		t.Errorf("told %v", tell)
	}
	if tell := b.RecordNodes(now, list(3), true); len(tell) != 1 || tell[0].Node != "box-3" || !tell[0].Removed {
		t.Errorf("of one that the list no longer has: %v", tell)
	}
	if tell := b.RecordNodes(now, []NodeState{{"box-1", 7, d.Draining}}, false); len(tell) != 1 {
		t.Errorf("of one that drains again: %v", tell)
	}
	b.Received(now, "n1", drain(0))
	if got := b.AvoidedNodes(); !slices.Equal(got, []string{"box-0"}) {
		t.Errorf("avoids %v", got)
	}
	if b.ShouldPoll(now+249*ms, false) || b.ShouldPoll(now+250*ms, true) || !b.ShouldPoll(now+250*ms, false) || b.ShouldPoll(now+300*ms, false) {
		t.Error("asks at another time than it should")
	}
	if b.ChannelAnswered(now-1) || len(b.AvoidedNodes()) != 1 {
		t.Error("an answer to a call from before the word lets go")
	}
	if r := b.Report(now+10, 4); r.ChannelAge != 10 || r.NewestAge != 4 || r.Received != 1 || len(r.Avoided) != 1 {
		t.Errorf("%+v", r)
	}
	if !b.ChannelAnswered(now+1) || len(b.AvoidedNodes()) != 0 || b.ShouldPoll(now+20*d.Second, false) {
		t.Error("an answer to a call after the word does not let go")
	}
	b.Received(now, "n1", Update{Group: 3, PurgedAt: 4})
	if b.RecordPurge(now, Update{Group: 3, PurgedAt: 4}) || b.ShouldPoll(now+20*d.Second, false) {
		t.Error("what the own channel tells after another is told on, or asked for")
	}
}

// One that has just come hears what is in force, and what is not goes round no more.
func TestInForce(t *testing.T) {
	now := 100 * d.Second
	b := New(now, settings())
	b.RecordNodes(now, list(4), true)
	b.RecordNodes(now, []NodeState{{"box-1", 7, d.Draining}, {"box-2", 7, d.Draining}}, false)
	b.RecordPurge(now, Update{Object: "old", Group: -1, PurgedAt: 1})
	now += 7 * d.Second
	b.RecordPurge(now-d.Second, Update{Group: 3, PurgedAt: 2})
	b.RecordNodes(now, []NodeState{{"box-2", 7, d.Ready}}, false)
	want := []Update{drain(1), {Group: 3, PurgedAt: 2, Age: d.Second}}
	got := b.Snapshot(now)
	if !slices.Equal(got, want) {
		t.Errorf("in force: %+v", got)
	}
	late := New(now, settings())
	if late.Confirms(late.ChannelAge(now)) {
		t.Error("one that has just come vouches for what its files say")
	}
	late.RecordNodes(now-d.Second, list(4), true)
	for _, i := range got {
		if bind, _ := late.Received(now, "n1", i); !bind {
			t.Errorf("%+v does not bind at one that has just come", i)
		}
	}
	if !b.Confirms(3*d.Second) || b.Confirms(3*d.Second+1) || b.Confirms(-1) {
		t.Error("another age vouches")
	}
	for _, x := range []struct {
		took, age d.Micros
		want      bool
	}{{0, 0, true}, {settings().ConfirmTimeout, 3 * d.Second, true}, {settings().ConfirmTimeout + 1, 0, false}, {-1, 0, false}, {0, 3*d.Second + 1, false}, {0, -1, false}} {
		if b.ConfirmsReply(x.took, x.age) != x.want {
			t.Errorf("an answer after %d of age %d: want %v", x.took, x.age, x.want)
		}
	}
}

// Whatever comes in whatever order, twice or late: what binds is careful, no more than half of the caches are avoided by others'
// word, a node that the own channel has as draining is never let go by another's, and all is bounded.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := settings()
		s.MaxEntries, s.MaxUpdates = 40, 60
		now := 100 * d.Second
		b := New(now, s)
		b.RecordNodes(now, list(6), true)
		own := map[string]d.EndpointState{}
		for _, r := range list(6) {
			own[r.Node] = r.State
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += d.Micros(rapid.IntRange(0, 900).Draw(t, "ms")) * ms
			n := rapid.IntRange(0, 5).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				state := rapid.SampledFrom([]d.EndpointState{d.Ready, d.Draining}).Draw(t, "state")
				b.RecordNodes(now, []NodeState{{fmt.Sprint("box-", n), 7, state}}, false)
				own[fmt.Sprint("box-", n)] = state
			case 1, 2:
				i := drain(n)
				i.Age = d.Micros(rapid.IntRange(0, 7000).Draw(t, "age")) * ms
				if bind, _ := b.Received(now, fmt.Sprint("n", n%3), i); bind && own[i.Node] != d.Ready {
					t.Fatalf("%v binds at a node that drains", i)
				}
			case 3:
				b.Received(now, "n1", Update{Group: rapid.IntRange(0, 99).Draw(t, "group"), PurgedAt: 1})
			case 4:
				began := now - d.Micros(rapid.IntRange(0, 1500).Draw(t, "ago"))*ms
				b.ChannelAnswered(began)
				for _, h := range b.held {
					if h.at <= began {
						t.Fatalf("%+v is held after an answer that was asked for later", h)
					}
				}
			}
			if 2*len(b.AvoidedNodes()) > 6 {
				t.Fatalf("avoids %v of 6", b.AvoidedNodes())
			}
			if len(b.known) > s.MaxEntries || len(b.open) > s.MaxEntries || len(b.from) > s.MaxEntries {
				t.Fatalf("%d known, %d open, %d tellers", len(b.known), len(b.open), len(b.from))
			}
		}
	})
}

// The sum of the purges of late is the same for who has heard all, in whatever order, and shows who has not; what was told long ago is
// none of it: one that starts later is not to be told of it for ever.
func TestRecent(t *testing.T) {
	s := Settings{Retention: 600, MaxUpdates: 10, MaxEntries: 100}
	a, b := New(0, s), New(0, s)
	first, second := Update{Object: "x", Group: -1, PurgedAt: 5}, Update{Group: 3, PurgedAt: 6}
	a.RecordPurge(100, first)
	a.RecordPurge(110, second)
	if _, sum := a.RecentPurges(120); sum == 0 {
		t.Error("no sum")
	}
	sums := func(now d.Micros) bool {
		_, x := a.RecentPurges(now)
		_, y := b.RecentPurges(now)
		return x == y
	}
	if sums(120) {
		t.Error("one that has heard nothing has the same sum")
	}
	items, _ := a.RecentPurges(130)
	if len(a.RepairPurges(112)) != 1 || len(a.RepairPurges(240)) != 0 {
		t.Errorf("%v just now, %v a while ago", a.RepairPurges(112), a.RepairPurges(240))
	}
	for _, i := range a.RepairPurges(130) {
		if b.Received(130, "a", i); i.Age != 30 && i.Age != 20 {
			t.Errorf("%+v", i)
		}
	}
	if !sums(130) || len(items) != 2 {
		t.Errorf("%v", items)
	}
	if items, _ := a.RecentPurges(305); len(items) != 1 {
		t.Errorf("%v of late", items)
	}
	late := New(400, s)
	if _, x := a.RecentPurges(400); true {
		if _, y := late.RecentPurges(400); x != y {
			t.Error("one that started long after lacks something")
		}
	}
}
