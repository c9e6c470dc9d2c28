// Package peers decides what a director makes of the others: who is there, where it stands among them, how much of each limit
// is its part, and which of their hints is worth a question. The detector and the network are drivers' business; nothing here
// does I/O, and the clock is given. docs/peers.md has the argument why the parts stay within bounds.
package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"

	d "tallyproxy/policy"
)

// State is what this director believes of another.
type State int

const (
	Up State = iota
	Suspected
	Failed
	Left // it said so
)

var states = [...]string{"up", "suspected", "failed", "left"}

func (s State) String() string { return states[s] }

// Scope is whom a part is shared with.
type Scope int

const (
	ScopeZone  Scope = iota // the directors of the zone: its caches and its link
	ScopeFleet              // all: the parents
)

// PartitionState is where a director stands among those that it knew.
type PartitionState int

const (
	Majority PartitionState = iota // with more than half of them
	Minority                       // with some
	Isolated                       // with none
)

var standings = [...]string{"most", "few", "alone"}

func (s PartitionState) String() string { return standings[s] }

// MaxQuotaFactor is the most that a part may be of the fixed one. The directors together use budgetPart, 0.4, of what pushes a warming
// node over; were all of them, in whatever groups they see each other, to hold the most, it would be 0.8.
const MaxQuotaFactor = 2

// Settings are a director's own, and times as ratios to the platform's settings.
type Settings struct {
	Name                string
	Zone                int
	Incarnation         uint64 // this process; a later one of the same name has a higher one
	ConfiguredDirectors [2]int // directors that the settings tell, by scope: the fixed part is one of so many

	LeaseDuration       d.Micros // how long a part above the fixed one is held without being renewed
	RenewInterval       d.Micros // how often it is
	StabilizationWindow d.Micros // a view must have stood for so long before a part is raised
	RequiredGrants      int      // others that must have made room
	FailedRetention     d.Micros // one that has failed is known for so long
	ProbeInterval       d.Micros // the detector's interval,
	ProbeTimeout        d.Micros // and how long it waits for an answer
	SuspicionMultiplier int      // of its intervals, times the common logarithm of the fleet, for which a suspect may refute

	MaxHintAge       d.Micros // an older hint is nothing
	HintInterval     d.Micros // a node is asked after, and told of, once in so long
	HintsPerInterval int      // told and heeded, of each director, in that time
	MaxEntries       int      // names and nodes remembered
}

// Derive gives the settings that follow from the platform's.
func Derive(name string, born uint64, s d.Settings) Settings {
	window := max(s.EdgeSlowStart.OverloadWindow, 4*s.ConnectTimeout)
	return Settings{
		Name: name, Zone: s.Zone, Incarnation: born, ConfiguredDirectors: [2]int{max(1, s.ZoneDirectors), max(1, s.TotalDirectors)},
		LeaseDuration: window / 4, RenewInterval: window / 12, StabilizationWindow: window / 8, RequiredGrants: 2, FailedRetention: 400 * window,
		ProbeInterval: s.ConnectTimeout / 2, ProbeTimeout: s.ConnectTimeout / 4,
		SuspicionMultiplier: 3 + bit(s.TotalDirectors < manyDirectors),
		MaxHintAge:          window, HintInterval: window, HintsPerInterval: 16, MaxEntries: 4096,
	}
}

// manyDirectors is from where on a fourth of the suspect's time is not needed: it has as long as in a small fleet by then, by the
// logarithm, and all know of a death at 300 within three seconds.
const manyDirectors = 32

// meets is how many leases a director that has started gives the others to be met.
const meets = 4

// drift is how much faster than another a clock may go: who gives room waits so much longer than who holds it.
const drift = 1.0 / 64

// peer is another director, as this one sees it.
type peer struct {
	name             string
	incarnation      uint64
	zone             int
	state            State
	stateSince       d.Micros // when that was first believed
	digest           uint64   // of its own view, when last heard
	digestReceivedAt d.Micros // when that was

	mark  uint64   // of its name
	until d.Micros // it was made room for until then
	grant grant
	asked d.Micros // when it was last asked to make room
	sent  d.Micros // when the question was sent whose answer counts
	hints int      // heeded in the window that began at
	from  d.Micros
	swing float64 // how often it came back lately
	last  d.Micros
}

// grant is room that another has made.
type grant struct {
	until d.Micros // by this director's clock, from before it was asked for
	count [2]int   // directors that the other counts
}

// LeaseRequest asks another to make room; a Grant answers it. Both carry the sum of their sender's view.
type LeaseRequest struct {
	RequestedAt int64  `json:"Number"` // the asker's own clock: what it gives counts from then
	Incarnation uint64 `json:"Born"`
	Zone        int    `json:"Zone"`
	Digest      uint64 `json:"Sum"`
}

// LeaseGrant says how many directors the one that was asked counts, the asker among them.
type LeaseGrant struct {
	RequestedAt int64  `json:"Number"`
	Counts      [2]int `json:"Count"`
	Digest      uint64 `json:"Sum"`
}

// View is one director's view of the others. Calls must not overlap.
type View struct {
	s       Settings
	peers   map[string]*peer // bounded by Memory
	down    map[string]*peer // those of them that are not there
	up      map[int]int      // those that are, by zone
	all     int              // and altogether
	seen    []*peer          // the witnesses of the view that had this sum; the names of those that are there may be many
	seenFor uint64
	born    d.Micros // this board
	changed d.Micros // when the view last changed
	clash   string   // another process under this name: where
	sum     uint64
	told    map[string]d.Micros // nodes that hints were told of, when
	asked   map[string]d.Micros // nodes that were asked after, when
	budget  int                 // hints told since
	since   d.Micros
}

// New makes a board that knows of nobody.
func New(now d.Micros, s Settings) *View {
	b := &View{s: s, peers: map[string]*peer{}, down: map[string]*peer{}, up: map[int]int{}, born: now, changed: now, since: now, told: map[string]d.Micros{}, asked: map[string]d.Micros{}}
	b.sum = mix(hashOf(s.Name) ^ s.Incarnation)
	return b
}

// UpdatePeer takes what the detector says of a director. An earlier process of the same name says nothing about a later one.
func (b *View) UpdatePeer(now d.Micros, name string, born uint64, zone int, state State) {
	if name == b.s.Name || name == "" {
		return
	}
	p := b.peers[name]
	switch {
	case p == nil && len(b.peers) >= b.s.MaxEntries && !b.evict(now):
		return
	case p == nil:
		p = &peer{name: name, incarnation: born, zone: zone, state: Left, stateSince: now, mark: hashOf(name)}
		b.peers[name], b.down[name] = p, p
	case born < p.incarnation && p.state <= Suspected:
		return // of two processes under one name the later one counts, while it is there
	case born != p.incarnation: // room that was made for the one before stays made; what it made is gone with it
		p.grant, p.sent = grant{}, 0
	}
	same, sum := p.incarnation == born && p.state == state, b.sum
	b.book(p, -1)
	p.incarnation, p.zone, p.state = born, zone, state
	b.book(p, 1)
	if same {
		return
	}
	if p.stateSince = now; state == Suspected || b.sum == sum {
		return // a suspicion is no news yet
	}
	if state == Up && p.last > 0 {
		p.swing = min(mostSwings, p.swings(now, b.s)+1)
	}
	p.last = now
	b.changed = now
}

// book takes one into the sums of who is there, or out of them. The sum of the view is that of all who are there, each by name and
// process: views that are alike have the same, in whatever order they came about.
func (b *View) book(p *peer, sign int) {
	if p.state > Suspected {
		b.down[p.name] = p
		return
	}
	delete(b.down, p.name)
	b.up[p.zone] += sign
	b.all += sign
	b.sum += uint64(sign) * mix(p.mark^p.incarnation)
	if b.up[p.zone] == 0 {
		delete(b.up, p.zone)
	}
}

const mostSwings = 6

// swings is how often one came back lately: half as often with each while that it did not.
func (p *peer) swings(now d.Micros, s Settings) float64 {
	return p.swing * math.Exp2(-float64(now-p.last)/float64(16*max(1, s.StabilizationWindow)))
}

// evict makes room for a name that is new: the one that failed or left longest ago goes.
func (b *View) evict(now d.Micros) bool {
	var oldest *peer
	for _, name := range slices.Sorted(maps.Keys(b.down)) {
		p := b.down[name]
		if !b.present(now, p) && (oldest == nil || p.stateSince < oldest.stateSince) {
			oldest = p
		}
	}
	if oldest != nil {
		b.drop(oldest)
	}
	return oldest != nil
}

// drop forgets one that is not there.
func (b *View) drop(p *peer) {
	delete(b.peers, p.name)
	delete(b.down, p.name)
}

// SetNameConflict says that another process goes by this director's name, at an address; empty for no longer. Neither holds more than its
// fixed part then.
func (b *View) SetNameConflict(where string) { b.clash = where }

// present says whether a director's part may be in use: it is there, or was until so lately that it may not know that it is
// out, or others may have made room for it.
func (b *View) present(now d.Micros, p *peer) bool {
	if p.until > now {
		return true
	}
	return p.state <= Suspected || p.state == Failed && now < p.stateSince+b.room()
}

// room is how long room that was made stays made, by the clock of who made it.
func (b *View) room() d.Micros {
	return b.s.LeaseDuration + d.Micros(float64(b.s.LeaseDuration)*drift) + 1
}

// Count is how many directors share in a scope, this one among them.
func (b *View) Count(now d.Micros, scope Scope) int { return b.count(now, scope, b.s.Zone) }

func (b *View) count(now d.Micros, scope Scope, zone int) int {
	n := bit(scope == ScopeFleet || zone == b.s.Zone) + b.up[zone]
	if scope == ScopeFleet {
		n = 1 + b.all
	}
	for _, p := range b.down {
		if (scope == ScopeFleet || p.zone == zone) && b.present(now, p) {
			n++
		}
	}
	return n
}

// DigestReceived takes the sum of another's view, where it came by itself.
func (b *View) DigestReceived(now d.Micros, name string, sum uint64) {
	if p := b.peers[name]; p != nil {
		p.digest, p.digestReceivedAt = sum, now
	}
}

// StableFor is for how long the view has stood.
func (b *View) StableFor(now d.Micros) d.Micros { return now - b.changed }

// Knows says whether another is known, whatever became of it.
func (b *View) Knows(name string) bool { return b.peers[name] != nil }

// State is what is believed of another; false where it is not known.
func (b *View) State(name string) (State, bool) {
	if p := b.peers[name]; p != nil {
		return p.state, true
	}
	return Left, false
}

// ZonePeers are those of this director's location that are there and answer, besides it, by name.
func (b *View) ZonePeers() (names []string) {
	for _, p := range b.peers {
		if p.state == Up && p.zone == b.s.Zone {
			names = append(names, p.name)
		}
	}
	slices.Sort(names)
	return names
}

// NumMembers is how many are there, this one among them.
func (b *View) NumMembers() int { return 1 + b.all }

// Digest is that of this director's own view.
func (b *View) Digest() uint64 { return b.sum }

// witnesses are those that are asked to make room: the same ones while the view stands, others for each director.
func (b *View) witnesses() []*peer {
	if b.seenFor == b.sum {
		return b.seen
	}
	b.seen, b.seenFor = b.seen[:0], b.sum
	me := hashOf(b.s.Name)
	for _, p := range b.peers {
		if p.state > Suspected {
			continue
		}
		at, _ := slices.BinarySearchFunc(b.seen, p, func(x, y *peer) int {
			return cmp.Or(cmp.Compare(mix(y.mark^me), mix(x.mark^me)), cmp.Compare(x.name, y.name))
		})
		if at < b.s.RequiredGrants {
			b.seen = slices.Insert(b.seen, at, p)
			b.seen = b.seen[:min(len(b.seen), b.s.RequiredGrants)]
		}
	}
	return b.seen
}

// Tick says whom to ask to make room now.
func (b *View) Tick(now d.Micros) (asks map[string]LeaseRequest) {
	for _, p := range b.down {
		if now-p.stateSince > b.s.FailedRetention {
			b.drop(p)
		}
	}
	if !b.wants(now) {
		return nil
	}
	asks = map[string]LeaseRequest{}
	for _, p := range b.witnesses() {
		if now-p.asked >= b.s.RenewInterval {
			p.asked, p.sent = now, now
			asks[p.name] = LeaseRequest{RequestedAt: int64(now), Incarnation: b.s.Incarnation, Zone: b.s.Zone, Digest: b.sum}
		}
	}
	return asks
}

// wants says whether there is anything to be had by asking: fewer directors than the settings tell.
func (b *View) wants(now d.Micros) bool {
	return b.clash == "" && (b.Count(now, ScopeZone) < b.s.ConfiguredDirectors[ScopeZone] || b.Count(now, ScopeFleet) < b.s.ConfiguredDirectors[ScopeFleet])
}

// HandleLeaseRequest answers another's ask. Room is made for whoever is there, for as long as its lease may run by any clock: meanwhile it is
// counted, whatever becomes of it. One that is not known here gets none.
func (b *View) HandleLeaseRequest(now d.Micros, from string, a LeaseRequest) (LeaseGrant, bool) {
	p := b.peers[from]
	if p == nil || p.incarnation != a.Incarnation || p.state > Suspected || b.clash != "" {
		return LeaseGrant{}, false
	}
	p.until, p.digest, p.digestReceivedAt = now+b.room(), a.Digest, now
	return LeaseGrant{
		RequestedAt: a.RequestedAt, Counts: [2]int{b.count(now, ScopeZone, a.Zone), b.count(now, ScopeFleet, a.Zone)}, Digest: b.sum,
	}, true
}

// HandleLeaseGrant takes the answer to an ask. The lease counts from before the ask was sent, so it ends here before it does there.
func (b *View) HandleLeaseGrant(now d.Micros, from string, g LeaseGrant) {
	p := b.peers[from]
	if p == nil || p.state > Suspected || g.RequestedAt > int64(now) || g.RequestedAt < int64(b.born) || int64(p.sent) != g.RequestedAt {
		return // late, or an answer to an earlier process of this name
	}
	p.grant = grant{until: d.Micros(g.RequestedAt) + b.s.LeaseDuration, count: g.Counts}
	p.digest, p.digestReceivedAt = g.Digest, now
}

// Quota is the part that this director may use at a moment, over the fixed one, and until when it holds without a renewal: the
// fixed part holds for ever. It is asked at the moment of each send, so a lease that has run out meanwhile is not used.
//
// Above the fixed part it is one of as many as are there, by the count of this director and of each witness, whichever is
// most; up to Room. With more directors than the settings tell it is under the fixed one.
func (b *View) Quota(now d.Micros, scope Scope) (part float64, until d.Micros) {
	count, roster := b.Count(now, scope), float64(b.s.ConfiguredDirectors[scope])
	if part = min(1, max(1/float64(MaxQuotaFactor), roster/float64(count))); part < 1 || b.clash != "" || float64(count) >= roster {
		return part, math.MaxInt64
	}
	if now-b.changed < b.patience(now) || now-b.born < meets*b.s.LeaseDuration { // those that it has not met yet may be there
		return 1, math.MaxInt64
	}
	until = math.MaxInt64
	held := 0
	for _, p := range b.witnesses() {
		if g := p.grant; g.until > now {
			held++
			until, count = min(until, g.until), max(count, g.count[scope])
		}
	}
	if held == 0 || held < min(b.s.RequiredGrants, b.all) || float64(count) >= roster {
		return 1, math.MaxInt64
	}
	return min(MaxQuotaFactor, roster/float64(count)), until
}

// patience is how long a view must have stood before a part is raised on it: twice as long for each time that one of the others
// came back lately, so that views that swing make parts swing less.
func (b *View) patience(now d.Micros) d.Micros {
	most := 0.0
	for _, p := range b.peers {
		most = max(most, p.swings(now, b.s))
	}
	return d.Micros(float64(b.s.StabilizationWindow) * math.Exp2(most))
}

// PartitionState says where this director stands among those that it knew.
func (b *View) PartitionState() PartitionState {
	up, known := 1+b.all, 1
	for _, p := range b.peers {
		known += bit(p.state != Left)
	}
	switch known = max(known, b.s.ConfiguredDirectors[ScopeFleet]); {
	case up == 1 && known > 1:
		return Isolated
	case 2*up <= known:
		return Minority
	}
	return Majority
}

func bit(on bool) int {
	if on {
		return 1
	}
	return 0
}

// hashOf is FNV-1a, well mixed: the same in every process.
func hashOf(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h)
}

// mix is the finisher of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
