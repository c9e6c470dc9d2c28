// Package dissemination decides what directors tell each other of the command channel's word, and what one makes of what it is told: those
// that can't reach the channel go on hearing through those that can. What binds careful (a purge, a drain, a node that is gone) may
// come from another director; what lets go comes from the channel alone. It does no I/O, and the clock is given. docs/dissemination.md has
// the argument why nothing that comes twice, late or from one that is itself behind undoes anything.
package gossip

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"

	d "tallyproxy/policy"
)

// Update is one thing that the channel told. Numbers of events are each director's own, so an item is known by what it says.
type Update struct {
	Object   string   `json:"o,omitempty"` // a purge of it, or with none, of
	Group    int      `json:"g,omitempty"` // this group;
	PurgedAt d.Micros `json:"t,omitempty"` // copies older than this are void; by the channel's clock, µs; 0: no purge
	Node     string   `json:"n,omitempty"` // a node, of this
	Started  d.Micros `json:"s,omitempty"` // start, that drains or
	Removed  bool     `json:"x,omitempty"` // is gone
	Age      d.Micros `json:"a"`           // since its teller's own channel, or who told it, told; µs
}

// key is what an item says, without when it was heard.
func (i Update) key() Update { i.Age = 0; return i }

// NodeState is what the own channel says of a node.
type NodeState struct {
	Node    string
	Started d.Micros
	State   d.EndpointState
}

// Settings are times as ratios to the platform's settings, and bounds.
type Settings struct {
	Retention       d.Micros // an older item is nothing
	ConfirmTimeout  d.Micros // what another told, and the own channel has not after so long, is a reason to ask it
	MinPollInterval d.Micros // but no sooner after the last such question
	MaxUpdates      int      // of each director in that time
	MaxEntries      int      // items and nodes
}

// Derive gives the settings that follow from the platform's.
func Derive(s d.Settings) Settings {
	kept := cmp.Or(s.PurgeRetention, 16*s.ConnectTimeout)
	return Settings{Retention: kept, ConfirmTimeout: cmp.Or(s.PurgePropagation, s.ConnectTimeout) / 2, MinPollInterval: kept / 4, MaxUpdates: 1024, MaxEntries: 8192}
}

// Store is one director's. Calls must not overlap.
type Store struct {
	s       Settings
	known   map[Update]d.Micros // when it was told, by this clock
	listed  map[string]listed
	ready   int
	held    map[string]heldNode // avoided by another's word
	open    map[Update]d.Micros // others' words that the own channel has not told yet, when they were heard; some of what is known
	asked   d.Micros
	newest  d.Micros // when the latest call of the channel that it answered began
	from    map[string]teller
	count   int      // words of others that were new
	late    []Update // the purges of late, as Recent gave them,
	lateSum uint64
	lateOf  int      // when so many had been remembered,
	lateTo  d.Micros // and good until then
	kept    int      // items that were remembered
}

// listed is a node of the own channel's list, and when it was last said to be as it is.
type listed struct {
	NodeState
	at d.Micros
}

type heldNode struct {
	item Update
	at   d.Micros
}

type teller struct {
	since d.Micros
	items int
}

// New makes a book that knows nothing but what files say: too old to vouch for.
func New(now d.Micros, s Settings) *Store {
	return &Store{s: s, known: map[Update]d.Micros{}, listed: map[string]listed{}, held: map[string]heldNode{},
		open: map[Update]d.Micros{}, asked: now - s.MinPollInterval,
		newest: now - s.Retention/2 - 1, from: map[string]teller{}}
}

// RecordNodes takes what the own channel says of nodes; a complete list names them all. It gives what others are to hear.
func (b *Store) RecordNodes(now d.Micros, rows []NodeState, complete bool) (tell []Update) {
	if complete { // who was listed and is not any more is gone
		named := map[string]bool{}
		for _, r := range rows {
			named[r.Node] = true
		}
		for _, name := range slices.Sorted(maps.Keys(b.listed)) {
			if r := b.listed[name]; !named[name] {
				rows = append(rows, NodeState{name, r.Started, d.Removed})
			}
		}
		clear(b.listed)
	}
	for _, r := range rows {
		if r.State == d.Removed {
			delete(b.listed, r.Node)
		} else if len(b.listed) < b.s.MaxEntries || b.listed[r.Node].Node != "" {
			b.listed[r.Node] = listed{r, now}
		}
		if r.State == d.Ready {
			for _, gone := range []bool{false, true} { // what was known of it before is over: if it comes again, it is news
				k := Update{Node: r.Node, Started: r.Started, Removed: gone}
				delete(b.known, k)
				delete(b.open, k)
			}
			continue
		}
		if i := (Update{Node: r.Node, Started: r.Started, Removed: r.State == d.Removed}); b.own(now, i) {
			tell = append(tell, i)
		}
	}
	b.ready = 0
	for _, r := range b.listed {
		b.ready += bit(r.State == d.Ready)
	}
	return tell
}

// RecordPurge takes a purge from the own channel, and says whether others are to hear of it.
func (b *Store) RecordPurge(now d.Micros, i Update) bool { return b.own(now, i.key()) }

// own remembers what the own channel has told.
func (b *Store) own(now d.Micros, k Update) bool {
	delete(b.open, k)
	return b.remember(now, k)
}

// Received takes another's word. Bind says that it binds from now on, on that it is news that others are to hear too, with the age that
// it has by then. A drain by another's word alone binds at a node that the own list has as ready, of the same start, and never at more
// than half of the ready ones: a director that is mad can't drain them all.
func (b *Store) Received(now d.Micros, from string, i Update) (bind, on bool) {
	if i.Age < 0 || i.Age > b.s.Retention || (i.PurgedAt > 0) == (i.Node != "") {
		return false, false
	}
	k := i.key()
	if _, known := b.known[k]; known || !b.budget(now, from) || !b.remember(now-i.Age, k) {
		return false, false
	}
	b.count++
	b.open[k] = now
	if i.PurgedAt > 0 {
		return true, true
	}
	r, ok := b.listed[i.Node]
	if !ok || r.Started != i.Started || r.State != d.Ready || now-i.Age < r.at { // or the list was told later
		return false, true
	}
	if _, already := b.held[i.Node]; !already && 2*(len(b.held)+1) > b.ready {
		return false, true
	}
	b.held[i.Node] = heldNode{k, now}
	return true, true
}

// Snapshot is what one that has just come should hear: what the own channel or others have told and is still going round, and which
// nodes of the own list drain, however long they have.
func (b *Store) Snapshot(now d.Micros) (items []Update) {
	for k, at := range b.known {
		if now-at <= b.s.Retention && at <= now {
			k.Age = now - at
			items = append(items, k)
		}
	}
	for _, r := range b.listed {
		if k := (Update{Node: r.Node, Started: r.Started}); r.State == d.Draining && now-b.known[k] > b.s.Retention {
			items = append(items, k)
		}
	}
	slices.SortFunc(items, func(x, y Update) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Node, y.Node), cmp.Compare(x.Object, y.Object), cmp.Compare(x.Group, y.Group))
	})
	return items[:min(len(items), b.s.MaxUpdates)]
}

// Confirms says whether what this director has is new enough for one that has just come to go by.
func (b *Store) Confirms(age d.Micros) bool { return age >= 0 && age <= b.s.Retention/2 }

// ConfirmsReply says whether what another told is enough to go by, so long after it was asked: an answer that took longer may have lain
// somewhere while more was told.
func (b *Store) ConfirmsReply(took, age d.Micros) bool {
	return took >= 0 && took <= b.s.ConfirmTimeout && b.Confirms(age)
}

// budget says whether a director may tell one more, and books it.
func (b *Store) budget(now d.Micros, from string) bool {
	t, ok := b.from[from]
	if !ok && len(b.from) >= b.s.MaxEntries {
		maps.DeleteFunc(b.from, func(_ string, t teller) bool { return now-t.since >= b.s.MinPollInterval })
		if len(b.from) >= b.s.MaxEntries {
			return false
		}
	}
	if now-t.since >= b.s.MinPollInterval || !ok {
		t = teller{since: now}
	}
	t.items++
	b.from[from] = t
	return t.items <= b.s.MaxUpdates
}

// remember keeps an item by when it was told; false where it was known, or no more can be kept. Purges go when no older copy is left
// anywhere, nodes when the same can't be going round any more.
func (b *Store) remember(told d.Micros, k Update) bool {
	if _, known := b.known[k]; known {
		return false
	}
	if len(b.known) >= b.s.MaxEntries {
		maps.DeleteFunc(b.known, func(_ Update, at d.Micros) bool { return told-at > b.s.Retention })
		maps.DeleteFunc(b.open, func(k Update, _ d.Micros) bool { _, known := b.known[k]; return !known })
		if len(b.known) >= b.s.MaxEntries {
			return false
		}
	}
	b.known[k] = told
	b.kept++
	return true
}

// RecentPurges are the purges that were told within the last third of Kept: about the same ones at all who have heard all, so that their sum
// shows who has not. Those that were told longer ago are left out, since one that has started meanwhile need not know them. Ages are
// left out too.
func (b *Store) RecentPurges(now d.Micros) (items []Update, sum uint64) {
	if b.lateOf == b.kept && now <= b.lateTo {
		return b.late, b.lateSum
	}
	b.late, b.lateOf, b.lateTo = nil, b.kept, math.MaxInt64
	for k, told := range b.known {
		if k.PurgedAt > 0 && now-told <= b.s.Retention/3 {
			b.late, b.lateTo = append(b.late, k), min(b.lateTo, told+b.s.Retention/3)
		}
	}
	slices.SortFunc(b.late, func(x, y Update) int {
		return cmp.Or(cmp.Compare(y.PurgedAt, x.PurgedAt), cmp.Compare(x.Object, y.Object), cmp.Compare(x.Group, y.Group))
	})
	b.late = b.late[:min(len(b.late), b.s.MaxUpdates)]
	h := fnv.New64a()
	for _, k := range b.late {
		fmt.Fprintln(h, k.Object, k.Group, k.PurgedAt)
	}
	b.lateSum = h.Sum64()
	return b.late, b.lateSum
}

// RepairPurges are the purges that one who knows others may lack, with their ages: told within half the time that Recent goes back (what
// both leave out a moment later is nothing that either lacks), and long enough ago that they are not still on their way to all.
func (b *Store) RepairPurges(now d.Micros) (items []Update) {
	all, _ := b.RecentPurges(now)
	for _, k := range all {
		if age := now - b.known[k]; age >= b.s.Retention/96 && age <= b.s.Retention/6 {
			k.Age = age
			items = append(items, k)
		}
	}
	return items
}

// ChannelAnswered says that the own channel has answered a call that began at a time: what was told before then it has told now. True
// where nodes are avoided no longer that were.
func (b *Store) ChannelAnswered(began d.Micros) (changed bool) {
	b.newest = max(b.newest, began)
	maps.DeleteFunc(b.open, func(_ Update, at d.Micros) bool { return at <= began })
	for node, h := range b.held {
		if h.at <= began {
			delete(b.held, node)
			changed = true
		}
	}
	return changed
}

// ShouldPoll says whether to ask the own channel now, because another knows what it has not told. One that fails is asked by its own
// manners, whatever others know.
func (b *Store) ShouldPoll(now d.Micros, fails bool) bool {
	if fails || now-b.asked < b.s.MinPollInterval {
		return false
	}
	for _, at := range b.open {
		if now-at >= b.s.ConfirmTimeout {
			b.asked = now
			return true
		}
	}
	return false
}

// AvoidedNodes are the nodes that are not sent to by another's word alone.
func (b *Store) AvoidedNodes() []string { return slices.Sorted(maps.Keys(b.held)) }

// ChannelAge is how old the newest word is that this director has from its own channel.
func (b *Store) ChannelAge(now d.Micros) d.Micros { return now - b.newest }

// Report is what is told of it.
type Report struct {
	ChannelAge int64    `json:"own_age_us"`    // since the own channel was last heard
	NewestAge  int64    `json:"newest_age_us"` // since anyone's was whom this director reaches
	Avoided    []string `json:"avoided"`       // by another's word
	Received   int      `json:"heard"`         // words of others that were new
}

// Report tells of it. Others is the least age that another director has told, negative for none.
func (b *Store) Report(now, others d.Micros) Report {
	best := b.ChannelAge(now)
	if others >= 0 {
		best = min(best, others)
	}
	return Report{int64(b.ChannelAge(now)), int64(best), b.AvoidedNodes(), b.count}
}

func bit(on bool) int {
	if on {
		return 1
	}
	return 0
}
