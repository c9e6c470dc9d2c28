package server

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tallyproxy/gossip"
	"tallyproxy/internal/config"
	"tallyproxy/internal/discovery"
	"tallyproxy/internal/gossipnet"
	"tallyproxy/internal/logevent"
	"tallyproxy/internal/upstream"
	"tallyproxy/membership"
	"tallyproxy/policy"
	"tallyproxy/relays"
	"tallyproxy/routing"
	"tallyproxy/stall"
)

// gossipDriver joins the talk among directors to the decisions: parts one way, hints both ways. Without peers it does nothing.
type gossipDriver struct {
	talk    atomic.Pointer[gossipnet.Driver]
	d       *decider
	fleet   *upstream.Pool
	every   time.Duration
	asked   chan membership.Hint
	heard   atomic.Pointer[map[string]policy.Micros] // when nodes last answered, as of the last look
	sights  map[string]membership.NodeStatus         // of nodes, at the last look
	beliefs atomic.Pointer[[]membership.Hint]        // of those that are not well, for who starts
	done    chan struct{}

	mu      sync.Mutex    // of the book, and what is avoided
	book    *gossip.Store // nil without peers
	ears    *hearing      // nil without peers
	avoided []string      // by the operator's file
	words   chan heardWord
	own     *heart
	channel *discovery.Client
	kept    policy.Micros
	doubts  atomic.Bool // what is known binds carefully
	lost    bool        // nobody whom this director reaches has heard the channel for long
}

// heardWord is what another said that the channel had told.
type heardWord struct {
	from string
	gossip.Update
	all bool // no word: all that its teller had when it was asked have come before
}

const words = 2048 // that wait to be taken; more are dropped: they come again, or by the own channel

const questions = 4 // asked at a time; what comes meanwhile beyond as many more is dropped

// held is the part that the decisions may use.
func (g *gossipDriver) held(now policy.Micros, all bool) float64 {
	scope := membership.ScopeZone
	if all {
		scope = membership.ScopeFleet
	}
	return g.talk.Load().Quota(now, scope)
}

// keep begins a book of what the channel tells, for a director that is to talk with others.
// What it knows is from files, which may be old: until its channel or another director has spoken it sends and serves nothing.
func (g *gossipDriver) keep(c config.Config, followers int, own *heart, channel *discovery.Client, known []discovery.Event) {
	s := c.Site.Settings
	w := gossip.Derive(s)
	g.own, g.channel, g.kept = own, channel, w.Retention
	g.book = gossip.New(g.clock(), w)
	own.StartSuspect(own.Now())
	g.took(known, g.clock()-2*g.kept) // what others hear of the channel is newer than a file
	g.ears = newHearing(g, relays.DeriveSettings(c.Name, followers, len(c.Site.ZoneNames), len(c.Site.KindNames), s))
	g.ears.fold(known)
	channel.SetShouldPoll(g.ears.may)
}

// clock is the director's own time.
func (g *gossipDriver) clock() policy.Micros { return g.own.Now().Monotonic }

// told puts in force what the own channel tells, and has others hear what is news.
func (g *gossipDriver) told(events []discovery.Event) {
	if g.ears != nil {
		g.ears.force.Lock()
		defer g.ears.force.Unlock()
		events = g.ears.fold(events)
	}
	g.d.apply(events)
	slog.Debug(logevent.DiscoveryEvents, "lists", lists(events), "events", len(events))
	if g.book != nil {
		g.talk.Load().BroadcastUpdates(g.took(events, g.clock()))
	}
}

// lists is how many of some events are of the list of nodes.
func lists(events []discovery.Event) (n int) {
	for _, e := range events {
		if e.HasEndpoints {
			n++
		}
	}
	return n
}

// took books what was told at a time, and gives what is news.
func (g *gossipDriver) took(events []discovery.Event, now policy.Micros) (tell []gossip.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range events {
		if i := (gossip.Update{Object: e.Object, Group: e.Group, PurgedAt: e.PurgedAt}); !e.HasEndpoints && e.PurgedAt > 0 && g.book.RecordPurge(now, i) {
			tell = append(tell, i)
		}
		var rows []gossip.NodeState
		for _, n := range e.Endpoints {
			rows = append(rows, gossip.NodeState{Node: n.ID, Started: n.Started, State: n.State})
		}
		if e.HasEndpoints {
			tell = append(tell, g.book.RecordNodes(now, rows, e.Snapshot)...)
		}
	}
	return tell
}

// hears has a word taken, where there is room.
func (g *gossipDriver) hears(w heardWord) bool {
	select {
	case g.words <- w:
		return true
	default:
		return false
	}
}

// listen takes what others say that the channel told them.
func (g *gossipDriver) listen() {
	var onward []gossip.Update
	for {
		if len(g.words) == 0 || len(onward) == words { // many come together, and go on together
			g.talk.Load().BroadcastUpdates(onward)
			onward = nil
		}
		select {
		case <-g.done:
			return
		case w := <-g.words:
			if w.all {
				g.vouched()
				continue
			}
			g.mu.Lock()
			bind, on := g.book.Received(g.clock(), w.from, w.Update)
			g.mu.Unlock()
			if bind && w.PurgedAt > 0 {
				g.d.apply([]discovery.Event{{Object: w.Object, Group: w.Group, PurgedAt: w.PurgedAt}})
			} else if bind {
				g.avoid(nil)
			}
			if bind {
				slog.Info(logevent.GossipReceived, "from", w.from, "endpoint", w.Node, "object", w.Object, "group", w.Group, "age", span(w.Age))
			}
			if on {
				onward = append(onward, w.Update)
			}
		}
	}
}

// answered hears that the own channel has answered a call that began at a time.
func (g *gossipDriver) answered(began policy.Micros) {
	if g.book != nil {
		g.ears.answered(began)
		g.hold(began)
		g.doubt(false)
	}
}

// hold hears until when all that the channel had to tell is known.
func (g *gossipDriver) hold(began policy.Micros) {
	g.mu.Lock()
	changed := g.book.ChannelAnswered(began)
	g.mu.Unlock()
	if changed {
		g.avoid(nil)
	}
}

// settled hears how a doubt of what is known ended. Where nobody has told what is in force, what is known binds carefully from then
// on, until the channel has answered or another has told: no copy is asked for that is older than now, and a node is cold until it
// shows that it holds what it is asked for. Guards against what was told while this director was not there to hear it.
func (g *gossipDriver) settled(how stall.Resolution) {
	if g.book != nil && how == stall.ByTimeout {
		g.doubt(true)
	}
}

// vouched hears that another has told what is in force, and that it is in force here. After a jump of this one's time that is nothing:
// it may have lain there meanwhile.
func (g *gossipDriver) vouched() {
	if g.own.Stalls() == 0 {
		g.own.Confirmed(g.own.Now())
		g.doubt(false)
	}
}

// doubt has what is known bind carefully, or no longer.
func (g *gossipDriver) doubt(on bool) {
	if g.doubts.Swap(on) == on {
		return
	}
	slog.Info(logevent.ViewUnconfirmed, "active", on)
	for i, r := range g.d.routers {
		at := policy.Micros(0)
		if on {
			at = r.Now()
			r.WithPolicy(func() {
				for _, v := range g.d.modules[i].Endpoints(at) {
					g.d.modules[i].ProbeDone(at, v.ID, false, false)
				}
			})
		}
		r.PurgeOlderThan(at)
	}
}

// avoid has nodes avoided that the operator's file names, if it is given, and those that another's word does.
func (g *gossipDriver) avoid(operator []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if operator != nil {
		g.avoided = operator
	}
	all := g.avoided
	if g.book != nil {
		all = append(slices.Clone(all), g.book.AvoidedNodes()...)
	}
	g.d.avoid(all)
}

// report is how old the channel's word is; nil without peers.
func (g *gossipDriver) report() *gossip.Report {
	if g.book == nil {
		return nil
	}
	others := g.talk.Load().NewestChannelAge()
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.book.Report(g.clock(), others)
	return &r
}

// hear asks the own channel where others know more, and says once when nobody knows any more.
func (g *gossipDriver) hear() {
	fails, others := g.channel.Failing(), g.talk.Load().NewestChannelAge()
	g.mu.Lock()
	now := g.clock()
	ask, r := g.book.ShouldPoll(now, fails), g.book.Report(now, others)
	g.mu.Unlock()
	if ask && g.ears.may() {
		g.channel.Refresh()
	}
	if lost := r.NewestAge > int64(g.kept); lost != g.lost {
		if g.lost = lost; lost {
			slog.Warn(logevent.DiscoveryUnreachable, "newest", time.Duration(r.NewestAge)*time.Microsecond)
		} else {
			slog.Info(logevent.DiscoveryReachable, "newest", time.Duration(r.NewestAge)*time.Microsecond)
		}
	}
}

func (g *gossipDriver) start(o config.Peers, c config.Config, fleet *upstream.Pool) error {
	s := membership.Derive(c.Name, uint64(time.Now().UnixMicro()), c.Site.Settings)
	g.fleet, g.every = fleet, span(s.HintInterval)/8
	g.asked, g.done, g.sights = make(chan membership.Hint, questions), make(chan struct{}), map[string]membership.NodeStatus{}
	g.words = make(chan heardWord, words)
	talk, err := gossipnet.Start(o, s, g.d.routers[0].Now, gossipnet.Handlers{ProbeNode: func(h membership.Hint) {
		select {
		case g.asked <- h:
		default:
		}
	}, LastAnswer: g.lastHeard, Update: func(from string, i gossip.Update) {
		g.hears(heardWord{from, i, false})
	}, Snapshot: g.inForce, MergeSnapshot: g.met, NeedsSnapshot: g.doubting, SnapshotReply: g.toldAll, ChannelAge: func() policy.Micros {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.book.ChannelAge(g.clock())
	}, Relay: g.ears.hear})
	if err != nil {
		return err
	}
	g.talk.Store(talk)
	go g.look()
	go g.listen()
	go g.ears.run(talk, g.done)
	for range questions {
		go g.ask()
	}
	return nil
}

// inForce is what one that has just come should hear, and whether it can go by that.
func (g *gossipDriver) inForce() (m gossipnet.Snapshot, vouches bool) {
	if told := g.beliefs.Load(); told != nil {
		m.UnhealthyNodes = *told
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m.ChannelAge, m.Updates = g.book.ChannelAge(g.clock()), g.book.Snapshot(g.clock())
	return m, g.book.Confirms(m.ChannelAge)
}

// met takes what another told as the two met. What makes careful binds, but it is no reason to be careful no longer.
func (g *gossipDriver) met(from string, m gossipnet.Snapshot) { g.heed(from, m) }

// heed has what another told bind careful; false where there was no room for all of it.
func (g *gossipDriver) heed(from string, m gossipnet.Snapshot) bool {
	all := true
	for _, i := range m.Updates {
		all = g.hears(heardWord{from, i, false}) && all
	}
	if g.own.Suspect() { // it has just started
		g.warm(from, m.UnhealthyNodes)
	}
	return all
}

// doubting says whether another is wanted who tells what is in force. After a jump of this one's time that would be nothing.
func (g *gossipDriver) doubting() bool {
	return g.own.Stalls() == 0 && (g.own.Suspect() || g.doubts.Load())
}

// toldAll takes what another told when it was asked, at a time, what is in force. It settles a doubt, once all of it has been taken.
func (g *gossipDriver) toldAll(from string, asked policy.Micros, m gossipnet.Snapshot) bool {
	took := g.d.routers[0].Now() - asked
	g.mu.Lock()
	vouched := g.book.ConfirmsReply(took, m.ChannelAge)
	g.mu.Unlock()
	return vouched && g.heed(from, m) && g.hears(heardWord{from, gossip.Update{}, true})
}

// mostBeliefs are handed to one that starts.
const mostBeliefs = 64

// warm takes what another believes of nodes that are not well, at a start: such a node is tried with a pull at a time, and counts as cold
// until it shows that it holds what it is asked for. It is a reason for care, never a verdict, and over with the first pull.
func (g *gossipDriver) warm(from string, beliefs []membership.Hint) {
	for _, h := range beliefs[:min(len(beliefs), mostBeliefs)] {
		_, full := h.UnresolvedByProbe()
		for i, r := range g.d.routers {
			go r.WithPolicy(func() { g.d.modules[i].ProbeDone(r.Now(), h.Node, full, full) }) // this is a call from within the talk
		}
	}
	if len(beliefs) > 0 {
		slog.Info(logevent.WarmStart, "from", from, "endpoints", len(beliefs))
	}
}

func (g *gossipDriver) stop() {
	if talk := g.talk.Load(); talk != nil {
		close(g.done)
		talk.Leave()
	}
}

// lastHeard is when a node last answered, as of the last look: it is asked from within the talk, which must not wait for the
// module.
func (g *gossipDriver) lastHeard(node string) policy.Micros {
	if heard := g.heard.Load(); heard != nil {
		return (*heard)[node]
	}
	return 0
}

// look tells the others which nodes this director has found out about.
func (g *gossipDriver) look() {
	tick := time.NewTicker(g.every)
	defer tick.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-tick.C:
		}
		g.hear()
		var views []routing.EndpointView
		var now policy.Micros
		g.d.routers[0].WithPolicy(func() {
			now = g.d.routers[0].Now()
			views = g.d.modules[0].Endpoints(now)
		})
		heard, sights, beliefs := map[string]policy.Micros{}, map[string]membership.NodeStatus{}, []membership.Hint{}
		for _, v := range views {
			heard[v.ID] = now - policy.Micros(v.LastAnswer*float64(policy.Second))
			now := membership.NodeStatus{Ejected: v.EjectedFor > 0, HalfOpen: v.HalfOpen, SlowStartShare: v.SlowStartShare, Limit: v.Limit}
			before, seen := g.sights[v.ID]
			if what, news := membership.ConditionChange(before, now); seen && news {
				g.talk.Load().BroadcastHint(membership.Hint{Node: v.ID, Condition: what})
			}
			sights[v.ID] = now
			if what, unwell := membership.UnhealthyCondition(now); unwell && len(beliefs) < mostBeliefs {
				beliefs = append(beliefs, membership.Hint{Node: v.ID, Condition: what})
			}
		}
		g.sights = sights
		g.beliefs.Store(&beliefs)
		g.heard.Store(&heard)
	}
}

// ask puts the question that a hint was the reason for, and has the module hear what came of it.
func (g *gossipDriver) ask() {
	for {
		select {
		case <-g.done:
			return
		case h := <-g.asked:
			addr := g.d.routers[0].Address(h.Node)
			if addr == "" {
				continue
			}
			err := g.fleet.Probe(addr)
			anew, full := h.UnresolvedByProbe()
			slog.Info(logevent.HintProbed, "endpoint", h.Node, "kind", h.Condition, "reachable", err == nil)
			for i, r := range g.d.routers {
				r.WithPolicy(func() { g.d.modules[i].ProbeDone(r.Now(), h.Node, err == nil && !anew, err == nil && full) })
			}
		}
	}
}
