// Package peering has directors know each other: memberlist finds out who is there and carries what they say, peers decides what
// follows. It is a thin driver: it opens the sockets, keeps the clock, and publishes the parts that the decisions use.
package gossipnet

import (
	"context"
	"encoding/json"
	"fmt"
	"log"
	"log/slog"
	"maps"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"tallyproxy/backoff"
	"tallyproxy/gossip"
	"tallyproxy/internal/config"
	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
	"tallyproxy/policy"
	"tallyproxy/relays"
)

// message is what one director says to another; one of the seven is there.
type message struct {
	From            string                   `json:"f"`
	LeaseRequest    *membership.LeaseRequest `json:"a,omitempty"`
	LeaseGrant      *membership.LeaseGrant   `json:"g,omitempty"`
	Hint            *membership.Hint         `json:"h,omitempty"`
	Updates         []gossip.Update          `json:"w,omitempty"`
	Relay           *relays.Message          `json:"o,omitempty"`
	SnapshotRequest policy.Micros            `json:"q,omitempty"` // what is in force? The asker's time, which the answer gives back
	SnapshotReply   *snapshotReply           `json:"r,omitempty"`
}

// snapshotReply tells what was in force after a query had been put.
type snapshotReply struct {
	RequestedAt policy.Micros `json:"q"`
	Snapshot
}

// nodeMeta is what each tells of itself.
type nodeMeta struct {
	Incarnation uint64 `json:"b"`
	Zone        int    `json:"z"`
	Leaving     bool   `json:"l,omitempty"` // it sends nothing any more, and is about to go
}

// part is one that may be used until a time.
type part struct {
	value float64
	until policy.Micros
}

// Driver is a director among the others. Parts and Report may be used from any goroutine.
type Driver struct {
	s     membership.Settings
	now   func() policy.Micros
	seeds []string
	ears  Handlers

	mu     sync.Mutex // never held while memberlist is called
	board  *membership.View
	clash  time.Time
	doubts map[string]policy.Micros // others that did not answer this director's probe, until they do or must have said that they are well; bounded by the members
	leaves bool
	other  string // the address of one that was last heard to have another view; empty for none
	last   string // view that was logged last
	shown  map[string]string
	known  map[string]string          // addresses of others that were there; bounded by the board
	ages   map[string]aged            // of the channel's word, of those that are there
	there  map[string]memberlist.Node // those that are, as memberlist told: what it gives out otherwise, it goes on changing
	parts  [2]atomic.Pointer[part]
	count  atomic.Int64 // directors, this one among them
	list   *memberlist.Memberlist
	hints  memberlist.TransmitLimitedQueue
	outbox chan envelope
	large  chan struct{} // messages over connections that are on their way
	tried  int
	met    atomic.Bool // one has told what is in force
	passed int         // words so far,
	asks   int         // and rounds of queries
	self   string      // the address at which others reach this one
	noise  *noise
	done   chan struct{}
	ended  sync.WaitGroup
}

// Handlers are who hears what others say, and tells what they ask for. None may wait; any may be nil, but
// Question goes with Heard, and InForce with Age.
type Handlers struct {
	ProbeNode     func(membership.Hint)                                   // a hint is worth a question to its node
	LastAnswer    func(node string) policy.Micros                         // when a node last answered here
	Update        func(from string, i gossip.Update)                      // what the channel told another
	Snapshot      func() (m Snapshot, vouches bool)                       // what one that has just come should hear, and whether it can go by that
	MergeSnapshot func(from string, m Snapshot)                           // one told what was in force at some time: it may have lain in a socket since
	NeedsSnapshot func() bool                                             // whether one is wanted who tells what is in force
	SnapshotReply func(from string, asked policy.Micros, m Snapshot) bool // one did, after it was asked at a time; true where that will do
	ChannelAge    func() policy.Micros                                    // how old the newest word of the own channel is
	Relay         func(from string, m relays.Message)                     // who follows the channel, and what those tell
}

// aged is how old another's newest word of the channel was, when it said so.
type aged struct{ age, at policy.Micros }

type envelope struct {
	to    string
	m     message
	whole bool // over a connection: it may be large
}

const (
	quiet         = 30 * time.Second // without another of its name, a director has it for itself again
	outbox        = 1024             // messages that wait to be sent; more are dropped, and said again
	suspicionMost = 2                // times the least that a suspect has, where nobody else suspects it
	larges        = 16               // large ones sent at a time; no more than that
	leaveTime     = 500 * time.Millisecond
	readBuffer    = 1400 // bytes of a packet
)

// Start opens the sockets and begins to look for others; that nobody is there yet is no error.
func Start(o config.Peers, s membership.Settings, now func() policy.Micros, ears Handlers) (*Driver, error) {
	t := &Driver{
		s: s, now: now, seeds: o.Seeds, board: membership.New(now(), s), shown: map[string]string{}, known: map[string]string{}, doubts: map[string]policy.Micros{}, there: map[string]memberlist.Node{},
		outbox: make(chan envelope, outbox), large: make(chan struct{}, larges),
		done: make(chan struct{}), ears: ears, noise: &noise{}, ages: map[string]aged{},
	}
	for i := range t.parts {
		t.parts[i].Store(&part{1, math.MaxInt64})
	}
	t.noise.suspect = t.suspect
	host, port, err := address(o.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	logger := log.New(t.noise, "", 0)
	transport, err := newTransport(host, port, logger)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Label, c.SecretKey, c.Logger = s.Name, transport, o.Fleet, o.SharedKey, logger
	c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = host, port, host, port
	if o.Advertise != "" {
		if c.AdvertiseAddr, c.AdvertisePort, err = address(o.Advertise); err != nil {
			transport.Shutdown()
			return nil, fmt.Errorf("peers.advertise: %w", err)
		}
	}
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval = span(s.ProbeInterval), span(s.ProbeTimeout), span(s.ProbeTimeout)
	c.SuspicionMult, c.SuspicionMaxTimeoutMult, c.AwarenessMaxMultiplier = s.SuspicionMultiplier, suspicionMost, 2
	c.PushPullInterval, c.TCPTimeout, c.GossipToTheDeadTime = 60*span(s.ProbeInterval), 4*span(s.ProbeInterval), 60*span(s.ProbeInterval)
	c.DeadNodeReclaimTime = span(s.ProbeInterval) // a restart may come from another address
	c.EnableCompression = false                   // messages are short, and each would cost a compressor of 100 kB
	c.DNSConfigPath, c.UDPBufferSize = "", readBuffer
	c.Delegate, c.Events, c.Conflict, c.Ping = t, t, t, t
	t.hints = memberlist.TransmitLimitedQueue{NumNodes: func() int { return max(1, int(t.count.Load())) }, RetransmitMult: c.RetransmitMult}
	list, err := memberlist.Create(c)
	if err != nil {
		transport.Shutdown()
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	t.mu.Lock()
	t.list, t.self = list, net.JoinHostPort(c.AdvertiseAddr, strconv.Itoa(c.AdvertisePort))
	t.mu.Unlock()
	t.ended.Go(t.tick)
	t.ended.Go(t.send)
	t.ended.Go(t.join)
	slog.Info(logevent.GossipStarted, "listen", o.Listen, "advertise", net.JoinHostPort(c.AdvertiseAddr, strconv.Itoa(c.AdvertisePort)),
		"seeds", len(o.Seeds), "born", s.Incarnation)
	return t, nil
}

func address(text string) (host string, port int, err error) {
	host, digits, err := net.SplitHostPort(text)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(digits)
	return host, port, err
}

func span(t policy.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// Quota is what may be used of a scope's limits at a moment, over the fixed part.
func (t *Driver) Quota(now policy.Micros, scope membership.Scope) float64 {
	if t == nil {
		return 1
	}
	if p := t.parts[scope].Load(); now < p.until {
		return p.value
	}
	return 1
}

// Report tells what is believed.
func (t *Driver) Report() *membership.Report {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.board.Report(t.now())
	return &r
}

// Shutdown ends it without a word, as a death does.
func (t *Driver) Shutdown() {
	close(t.done)
	t.ended.Wait()
	t.list.Shutdown()
}

// State is what is believed of another; false where it is not known.
func (t *Driver) State(name string) (membership.State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.board.State(name)
}

// ViewDigest is the sum of what is believed, and of how many that are there, this one among them.
func (t *Driver) ViewDigest() (sum string, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strconv.FormatUint(t.board.Digest(), 16), t.board.NumMembers()
}

// Leave tells the others, and ends it.
func (t *Driver) Leave() {
	if t == nil {
		return
	}
	close(t.done)
	t.ended.Wait()
	t.mu.Lock()
	t.leaves = true
	t.mu.Unlock()
	t.list.UpdateNode(leaveTime) // memberlist does not tell one that leaves from one that has failed
	t.list.Leave(leaveTime)
	t.list.Shutdown()
}

// with makes a call of the board, and says afterwards what has changed. Messages go out on the side: many calls come from within
// memberlist, which must not be called back.
func (t *Driver) with(call func(now policy.Micros, b *membership.View) map[string]message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for to, m := range call(now, t.board) {
		m.From = t.s.Name
		t.put(envelope{to: to, m: m}) // what is dropped is said again
	}
	t.publish(now)
}

// publish puts the parts in force that hold now. What falls is taken back before it is told, what rises is told before it is
// given, so that a log never shows less than was used.
func (t *Driver) publish(now policy.Micros) {
	var held [2]part
	changed, raised := false, false // a renewal is a change, and no other part
	for scope := range held {
		value, until := t.board.Quota(now, membership.Scope(scope))
		held[scope] = part{value, until}
		was := t.parts[scope].Load()
		changed = changed || value != was.value || until != was.until
		raised = raised || value != was.value
	}
	if !changed {
		return
	}
	for scope := range held {
		if held[scope].value < t.parts[scope].Load().value {
			t.parts[scope].Store(&held[scope])
		}
	}
	level := slog.LevelDebug
	if raised {
		level = slog.LevelInfo
	}
	left := func(p part) time.Duration {
		if p.until == math.MaxInt64 {
			return -1
		}
		return span(p.until - now)
	}
	slog.Log(context.Background(), level, logevent.Quota, "zone", held[0].value, "zone_for", left(held[0]), "fleet", held[1].value,
		"fleet_for", left(held[1]))
	for scope := range held {
		t.parts[scope].Store(&held[scope])
	}
}

// tick renews leases, looks who is suspected, and asks what is in force where that is in doubt.
func (t *Driver) tick() {
	tick := time.NewTicker(span(t.s.RenewInterval) / 4)
	defer tick.Stop()
	for {
		select {
		case <-t.done:
			return
		case <-tick.C:
		}
		t.with(func(now policy.Micros, b *membership.View) map[string]message {
			for name, n := range t.there { // the others are many, and few of them are news
				s := membership.Up
				if until, doubted := t.doubts[name]; doubted && now < until {
					s = membership.Suspected
				}
				if is, known := b.State(name); !known || is != s {
					t.seen(now, &n, s)
				}
			}
			if !t.clash.IsZero() && time.Since(t.clash) > quiet {
				t.clash = time.Time{}
				b.SetNameConflict("")
				slog.Info(logevent.PeerNameReleased, "name", t.s.Name)
			}
			out := map[string]message{}
			for to, ask := range b.Tick(now) {
				out[to] = message{LeaseRequest: &ask}
			}
			return out
		})
		t.noise.flush()
		t.query()
	}
}

// queries are put at a time.
const queries = 2

// query asks some others what is in force, others each time, while this director doubts what it knows. What one says of itself as they
// meet tells only what was so when it said it: a connection may hold that back for as long as the two are cut off from each other.
func (t *Driver) query() {
	if t.ears.NeedsSnapshot == nil || !t.ears.NeedsSnapshot() {
		return
	}
	t.mu.Lock()
	names := slices.Sorted(maps.Keys(t.there))
	t.asks++
	first := t.asks * queries
	t.mu.Unlock()
	for k := range min(queries, len(names)) {
		t.ask(names[(first+k)%len(names)])
	}
}

func (t *Driver) ask(name string) {
	t.put(envelope{to: name, m: message{From: t.s.Name, SnapshotRequest: t.now()}})
}

// suspect takes memberlist's word that one did not answer: it has no other way to say so than its log.
func (t *Driver) suspect(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.board.Knows(name) && len(t.doubts) < t.s.MaxEntries {
		t.doubts[name] = t.now() + t.suspicion()
	}
}

// suspicion is how long memberlist lets a suspect refute at the most. One that has not failed by then has: it is not told of that, and the
// next probe of this director may be as many probes away as there are members.
func (t *Driver) suspicion() policy.Micros {
	nodes := math.Max(1, math.Log10(float64(max(1, t.count.Load()))))
	return t.s.ProbeInterval + policy.Micros(float64(t.s.ProbeInterval)*float64(t.s.SuspicionMultiplier)*nodes*suspicionMost)
}

// seen takes what memberlist says of a director, and logs what is new. The caller holds the lock.
func (t *Driver) seen(now policy.Micros, n *memberlist.Node, s membership.State) {
	var m nodeMeta
	if json.Unmarshal(n.Meta, &m) != nil || n.Name == t.s.Name {
		return
	}
	if s >= membership.Failed {
		delete(t.doubts, n.Name)
	}
	if m.Leaving {
		s = membership.Left
	}
	t.board.UpdatePeer(now, n.Name, m.Incarnation, m.Zone, s)
	if t.known[n.Name] = n.Address(); s == membership.Left {
		delete(t.known, n.Name)
	}
	t.count.Store(int64(t.board.Count(now, membership.ScopeFleet)))
	if text := fmt.Sprint(m.Incarnation, s); t.shown[n.Name] != text && (s != membership.Suspected || t.shown[n.Name] != "") {
		if t.shown[n.Name] = text; len(t.shown) > 2*t.s.MaxEntries {
			clear(t.shown)
		}
		slog.Info(logevent.PeerState, "name", n.Name, "incarnation", m.Incarnation, "state", s.String())
	}
	if sum := fmt.Sprintf("%016x %s", t.board.Digest(), t.board.PartitionState()); sum != t.last {
		t.last = sum
		slog.Info(logevent.MembershipView, "digest", strings.Fields(sum)[0], "quorum", t.board.PartitionState().String(), "zone_count", t.board.Count(now, membership.ScopeZone),
			"fleet_count", t.board.Count(now, membership.ScopeFleet))
	}
}

// send sends what waits.
func (t *Driver) send() {
	for {
		select {
		case <-t.done:
			return
		case e := <-t.outbox:
			raw, err := json.Marshal(e.m)
			if err != nil {
				continue
			}
			t.mu.Lock()
			n, there := t.there[e.to]
			t.mu.Unlock()
			switch {
			case there && e.whole: // it may take its time, which others don't wait for
				select {
				case t.large <- struct{}{}:
					t.ended.Go(func() {
						defer func() { <-t.large }()
						if err := t.list.SendReliable(&n, raw); err != nil {
							slog.Debug(logevent.PeerListFailed, "to", e.to, "err", err)
						}
					})
				default: // it is asked for again
				}
			case there:
				t.list.SendBestEffort(&n, raw)
			}
		}
	}
}

const (
	meets  = 2 // others that one that starts asks at a time what is in force,
	rounds = 4 // and so often, until one has told
)

// meet has one that starts meet others, some at a time, until one tells what is in force. One that starts itself knows no more, and
// one that can't be reached would have it wait for as long as it may: so it is never one after the other.
func (t *Driver) meet() {
	if t.ears.MergeSnapshot == nil {
		return
	}
	var asked []string
	for range rounds {
		for _, to := range t.strangers(asked) {
			asked = append(asked, to)
			t.ended.Go(func() {
				if _, err := t.list.Join([]string{to}); err != nil {
					slog.Debug(logevent.PeerJoinFailed, "address", to, "err", err)
				}
			})
		}
		for range 8 {
			select {
			case <-t.done:
				return
			case <-time.After(span(t.s.ProbeInterval) / 16):
			}
			if t.met.Load() {
				return
			}
		}
	}
}

// strangers are the next to be met: seeds, each director beginning elsewhere among them, then who has come to be known.
func (t *Driver) strangers(asked []string) (to []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := slices.Clone(t.seeds)
	if len(all) > 0 {
		at := int(backoff.Seed(0, t.s.Name) % uint64(len(all)))
		all = append(all[at:], all[:at]...)
	}
	for _, name := range slices.Sorted(maps.Keys(t.there)) {
		n := t.there[name]
		all = append(all, n.Address())
	}
	for _, addr := range all {
		if len(to) < meets && addr != t.self && !slices.Contains(asked, addr) && !slices.Contains(to, addr) {
			to = append(to, addr)
		}
	}
	return to
}

// join looks for those that are not there: the seeds, and others that were there before. memberlist itself gives up on both.
func (t *Driver) join() {
	t.meet()
	wait := span(t.s.ProbeInterval)
	for {
		if to := t.lost(); to != "" {
			if _, err := t.list.Join([]string{to}); err != nil {
				slog.Debug(logevent.PeerJoinFailed, "address", to, "err", err)
				wait = min(2*wait, 16*span(t.s.ProbeInterval))
			} else {
				wait = 4 * span(t.s.ProbeInterval)
			}
		}
		select {
		case <-t.done:
			return
		case <-time.After(wait):
		}
	}
}

// lost is the next address to try: of one that is missing, or of one that sees others than this director does, and has for a
// while, whose whole list makes the two alike. Empty where there is none. So what gossip has missed is mended at once, while
// whole lists go round seldom otherwise.
func (t *Driver) lost() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	there := map[string]bool{t.self: true}
	for _, n := range t.there {
		there[n.Address()] = true
	}
	var missing []string
	for _, seed := range t.seeds {
		if !there[seed] {
			missing = append(missing, seed)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.known)) {
		if addr := t.known[name]; !t.board.Knows(name) {
			delete(t.known, name)
		} else if !there[addr] && !slices.Contains(missing, addr) {
			missing = append(missing, addr)
		}
	}
	if other := t.other; other != "" && t.board.StableFor(t.now()) > 5*t.s.ProbeInterval {
		t.other = "" // before those that are missing, of whom there may be many
		return other
	}
	if len(missing) == 0 {
		return ""
	}
	t.tried++
	return missing[t.tried%len(missing)]
}

// BroadcastHint has the others hear of a node, where it is worth it.
func (t *Driver) BroadcastHint(h membership.Hint) {
	if t == nil {
		return
	}
	t.mu.Lock()
	worth := t.board.ShouldSendHint(t.now(), h)
	t.mu.Unlock()
	if !worth {
		return
	}
	if raw, err := json.Marshal(message{From: t.s.Name, Hint: &h}); err == nil {
		t.hints.QueueBroadcast(hint{h, raw})
	}
}

// SendRelay says something to one other; a list goes over a connection. What finds no room is dropped, and asked for again.
func (t *Driver) SendRelay(to string, m relays.Message) {
	t.put(envelope{to, message{From: t.s.Name, Relay: &m}, m.List != nil})
}

// SendUpdates tells one other what the channel told.
func (t *Driver) SendUpdates(to string, all []gossip.Update) {
	for some := range slices.Chunk(all, inPacket) {
		t.put(envelope{to: to, m: message{From: t.s.Name, Updates: some}})
	}
}

func (t *Driver) put(e envelope) {
	select {
	case t.outbox <- e:
	default:
	}
}

// ZonePeers are those of the location that are there, besides this one.
func (t *Driver) ZonePeers() []string {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.board.ZonePeers()
}

// atOnce is to how many a word goes at once by each that hears it first; it reaches a thousand in five steps.
const atOnce = 4

const inPacket = 12 // words; a purge of many groups is told as many words at once

// BroadcastUpdates has the others hear what the channel told: some of them at once, others each time, and all with what goes round anyway.
func (t *Driver) BroadcastUpdates(all []gossip.Update) {
	if t == nil {
		return
	}
	for some := range slices.Chunk(all, inPacket) {
		t.pass(some)
	}
}

func (t *Driver) pass(some []gossip.Update) {
	raw, err := json.Marshal(message{From: t.s.Name, Updates: some})
	if err != nil {
		return
	}
	t.mu.Lock()
	names := slices.Sorted(maps.Keys(t.there))
	t.passed++
	var to []memberlist.Node
	for k := range min(atOnce, len(names)) {
		to = append(to, t.there[names[(t.passed*atOnce+k)%len(names)]])
	}
	t.mu.Unlock()
	for k := range to {
		t.list.SendBestEffort(&to[k], raw)
	}
	t.hints.QueueBroadcast(passed{raw})
}

// passed is a word on its way through the fleet.
type passed struct{ raw []byte }

func (p passed) Invalidates(memberlist.Broadcast) bool { return false }
func (p passed) Message() []byte                       { return p.raw }
func (p passed) Finished()                             {}

// NewestChannelAge is the least age of the channel's word that any of the others has told, as it is by now; negative where none has.
func (t *Driver) NewestChannelAge() policy.Micros {
	if t == nil {
		return -1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now, least := t.now(), policy.Micros(-1)
	for _, a := range t.ages {
		if age := a.age + now - a.at; least < 0 || age < least {
			least = age
		}
	}
	return least
}

// hint is one on its way through the fleet; a later one about the same node takes its place, whatever it tells.
type hint struct {
	of  membership.Hint
	raw []byte
}

func (h hint) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(hint)
	return ok && other.of.Node == h.of.Node
}
func (h hint) Message() []byte { return h.raw }
func (h hint) Finished()       {}

// NodeMeta is memberlist's question for what is told of this director.
func (t *Driver) NodeMeta(int) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	raw, _ := json.Marshal(nodeMeta{t.s.Incarnation, t.s.Zone, t.leaves})
	return raw
}

// NotifyMsg takes what another says.
func (t *Driver) NotifyMsg(raw []byte) {
	var m message
	if json.Unmarshal(raw, &m) != nil {
		slog.Debug(logevent.PeerMessageMalformed, "bytes", len(raw))
		return
	}
	if len(m.Updates) > 0 && t.ears.Update != nil {
		for _, i := range m.Updates {
			t.ears.Update(m.From, i)
		}
		return
	}
	if m.Relay != nil && t.ears.Relay != nil {
		t.ears.Relay(m.From, *m.Relay)
		return
	}
	if m.SnapshotRequest > 0 && t.ears.Snapshot != nil {
		if told, vouches := t.ears.Snapshot(); vouches { // who can't is silent: while nobody can, many ask
			told.From = t.s.Name
			t.put(envelope{m.From, message{From: t.s.Name, SnapshotReply: &snapshotReply{m.SnapshotRequest, told}}, true})
		}
		return
	}
	if m.SnapshotReply != nil && t.ears.SnapshotReply != nil {
		if t.ears.SnapshotReply(m.From, m.SnapshotReply.RequestedAt, m.SnapshotReply.Snapshot) {
			t.met.Store(true)
		}
		return
	}
	t.with(func(now policy.Micros, b *membership.View) map[string]message {
		switch {
		case m.LeaseRequest != nil:
			if g, ok := b.HandleLeaseRequest(now, m.From, *m.LeaseRequest); ok {
				return map[string]message{m.From: {LeaseGrant: &g}}
			}
		case m.LeaseGrant != nil:
			b.HandleLeaseGrant(now, m.From, *m.LeaseGrant)
		case m.Hint != nil && t.ears.ProbeNode != nil:
			if b.ShouldProbe(now, m.From, *m.Hint, t.ears.LastAnswer(m.Hint.Node)) {
				t.ears.ProbeNode(*m.Hint)
				if b.ShouldSendHint(now, *m.Hint) { // who has a question passes it on; who has none does not
					t.hints.QueueBroadcast(hint{*m.Hint, slices.Clone(raw)})
				}
			}
		}
		return nil
	})
}

// GetBroadcasts gives hints that go along with what memberlist sends anyway.
func (t *Driver) GetBroadcasts(overhead, limit int) [][]byte {
	return t.hints.GetBroadcasts(overhead, limit)
}

// Snapshot is what two tell each other when one of them joins.
type Snapshot struct {
	From           string            `json:"f"`
	ChannelAge     policy.Micros     `json:"a"` // of the newest word of the channel
	Updates        []gossip.Update   `json:"w"`
	UnhealthyNodes []membership.Hint `json:"b,omitempty"` // of nodes that are not well
}

// LocalState is what goes along with whole lists: where one joins, what is in force.
func (t *Driver) LocalState(join bool) []byte {
	if !join || t.ears.Snapshot == nil {
		return nil
	}
	m, _ := t.ears.Snapshot()
	m.From = t.s.Name
	raw, _ := json.Marshal(m)
	return raw
}

// MergeRemoteState takes it.
func (t *Driver) MergeRemoteState(raw []byte, join bool) {
	var m Snapshot
	if !join || t.ears.MergeSnapshot == nil || len(raw) == 0 || json.Unmarshal(raw, &m) != nil {
		return
	}
	if t.ears.MergeSnapshot(m.From, m); t.ears.NeedsSnapshot != nil && t.ears.NeedsSnapshot() {
		t.ask(m.From)
	}
}

// NotifyJoin, NotifyLeave and NotifyUpdate are what memberlist finds out.
func (t *Driver) NotifyJoin(n *memberlist.Node) { t.event(n, membership.Up) }

// NotifyLeave hears of one that has failed, or said that it leaves.
func (t *Driver) NotifyLeave(n *memberlist.Node) { t.event(n, membership.Failed) }

// NotifyUpdate hears of one that tells something else of itself.
func (t *Driver) NotifyUpdate(n *memberlist.Node) { t.event(n, membership.Up) }

func (t *Driver) event(n *memberlist.Node, s membership.State) {
	t.with(func(now policy.Micros, _ *membership.View) map[string]message {
		if s == membership.Failed {
			delete(t.there, n.Name)
			delete(t.ages, n.Name)
		} else if n.Name != t.s.Name {
			t.there[n.Name] = *n
		}
		t.seen(now, n, s)
		return nil
	})
}

// NotifyConflict hears that two go by one name. Where it is this director's own, one line says so.
func (t *Driver) NotifyConflict(existing, other *memberlist.Node) {
	if existing.Name != t.s.Name {
		return
	}
	t.with(func(_ policy.Micros, b *membership.View) map[string]message {
		if t.clash.IsZero() {
			slog.Warn(logevent.PeerNameConflict, "name", t.s.Name, "holder", other.Address())
		}
		t.clash = time.Now()
		b.SetNameConflict(other.Address())
		return nil
	})
}

// AckPayload goes with each answer to a probe: the sum of this director's view, and how old its newest word of the channel is.
func (t *Driver) AckPayload() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := strconv.AppendUint(nil, t.board.Digest(), 16)
	if t.ears.ChannelAge != nil {
		out = strconv.AppendInt(append(out, ' '), int64(max(0, t.ears.ChannelAge())), 16)
	}
	return out
}

// NotifyPingComplete takes another's.
func (t *Driver) NotifyPingComplete(other *memberlist.Node, _ time.Duration, payload []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.doubts, other.Name)
	text, old, told := strings.Cut(string(payload), " ")
	if age, err := strconv.ParseInt(old, 16, 64); told && err == nil && age >= 0 {
		if _, there := t.there[other.Name]; there {
			t.ages[other.Name] = aged{policy.Micros(age), t.now()}
		}
	}
	if sum, err := strconv.ParseUint(text, 16, 64); err == nil {
		if t.board.DigestReceived(t.now(), other.Name, sum); sum != t.board.Digest() {
			if n, there := t.there[other.Name]; there {
				t.other = n.Address()
			}
		}
	}
}
