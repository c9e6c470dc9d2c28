// Package logic decides where downloads go in a two-tier cache: every decision, table and tuned value of
// tallyproxy is in this file. Its interface is director.Director, in policy/director.go.
//
// How to call it: New makes one instance from the settings. Tell it the list of nodes (Listed) and the
// purges (Purged) as they come. Ask Where for each download, do what the answer says, and report each
// pull's end to After. After every Pull or Hold ask Wait; when that time is over ask Where again, which
// may then say Cancel. A download that is Over is only reported on. Calls must not overlap.
//
// The ordinary path: one hash of object and node picks the home edge cache among the location's ready
// caches, another the home parent among all ready parents; a miss is filled through that parent and kept
// at the middle rank. The exceptions to it are named where they stand, and in docs/design.md.
package routing

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"tallyproxy/dedup"
	"tallyproxy/overload"
	d "tallyproxy/policy"
)

const (
	middleRank    = 2
	skipParent    = 10 * d.Second // the design page's figure
	furtherPulls  = 2             // beyond the first, while no overload is seen
	strikes       = 3             // bad ends in a row that count as a node's failure
	overloadShare = 0.1           // share of pulls turned away or late from which overload is seen
	budgetPart    = 0.4           // part of a warming node's budget that the directors together use
	checks        = 2             // how often within its target time an unanswered pull is looked at
	asksAtMost    = 2             // edges asked for what they hold before a fill
	askEdge       = 0             // while fills are jammed, first ask the edge for what it holds,
	fillHeld      = 1             // then let it fill from what the parent holds,
	fillAll       = 2             // then from the origin too
	memory        = 100           // pulls over which running means look back, about
	slowPart      = 0.75          // a hit that takes more of its target time is slow
	firstLimit    = 8             // pulls out at an edge before anything is known of it
	leastLimit    = 0.1           // what limits fall to at the least
	cut           = 0.3           // what a slow pull takes off a limit,
	deepCut       = 0.5           // a late fill off the origin's
	lateFill      = 2             // what a fill counts for, in target times, that was late or refused
	growBy        = 0.25          // what a limit gains by a pull that took no time
	holdPart      = 0.3           // a held download should need no more than this of what time it has left
	jamPart       = 0.7           // fills that take more of their target times on average are jammed
	slowParent    = 0.9           // and a parent whose fills take so much is slow
	slowMemory    = 16            // fills over which that looks back, about

	stillComing = 6 * d.Second / 10 // the protocol's figures: clients go on coming after the signal to stop,
	stopWithin  = 3 * d.Second      // which ends the process after this, or the longest expiry if that is less,
	stopSlack   = 7 * d.Second / 10 // and so long more at the soonest;
	leftBehind  = d.Second / 10     // no pull begins so long after its client has left;
	owedWithin  = 3 * d.Second      // and whoever sends what is no message is owed an end within this
)

// mean is a running mean that starts with what it sees first.
type mean struct{ value, seen float64 }

func (m *mean) learn(value float64) {
	m.seen = min(m.seen+1, memory)
	m.value += (value - m.value) / m.seen
}

// node is one entry of the list, kept until the list says it is gone.
type node struct {
	d.Endpoint
	hash      uint64
	since     d.Micros // its start, as far as known; 0 for long ago
	down      d.Micros // when it was last found not to take connections; 0 once it is known what came of it
	bad       int      // bad ends in a row
	skipped   d.Micros // when the last skip began, or a connection broke: what was sent before tells nothing new
	skipUntil d.Micros // not used before this
	skipFor   d.Micros // how long the last skip was
	trial     bool     // back from a skip: one pull at a time until one ends well
	trying    bool     // that pull is out
	heard     d.Micros // when the last answer came
	unheard   int      // pulls found unanswered since then
	limit     limit    // for pulls to it
	slow      float64  // what fills through it take of their target times, lately
	level     float64  // cold work sent in this half of the window that counts
	turn      d.Micros // which half
}

// limit says how many pulls may be out somewhere. A slow one cuts it, a quick one raises it while it is in
// use, so it settles where few are slow, however little a director sees. Below one pull it is the part of the
// objects that may go, by a hash that all share.
type limit struct {
	most, least float64
	out         int
}

// lets says whether one more may go out that may use a part of the limit.
func (m *limit) lets(part, object float64) bool {
	return float64(m.out) < max(1, m.most)*part && object < m.most
}

// ended takes a pull that took a part of its target time: over slow it cuts the limit, by one pull at most.
func (m *limit) ended(part, slow, cut, grow float64) {
	if part > slow {
		m.most = max(leastLimit, m.least, m.most-min(1, m.most*cut))
	} else if float64(m.out+1) > m.most*(1-cut) {
		m.most += grow * (1 - part/slow)
	}
}

// pull is one try of a download.
type pull struct {
	edge, source *node
	sent, target d.Micros
	work         float64
	light        bool // the edge was far from its limit
	ask          bool // for what the edge holds, no more
	held         bool // filled from what the source holds, no more
	fill         bool // counted at the gate for fills
	deep         bool // and among those that may reach the origin
	straight     bool // to a parent, past the caches
	slow         bool // counted as a late fill
	blameless    bool // the edge: the source failed it
	over         bool
	cancelled    bool
	trial        *node
}

type tier struct {
	ready  []*node // by id
	warm   d.SlowStart
	weight float64 // of the ready nodes, together
}

type notes struct { // what the module keeps of a download; they go with it
	hash            uint64
	pulls           []*pull
	ran             *pull    // the first pull that may have run, also of the client's earlier tries
	errs            []*pull  // ended with an error that names no cause
	looked          d.Micros // when the last pull was looked at, or sent
	tries, recalled int      // pulls that were more than a question for what is held; that were never written
	asked           int      // edges that lack it
	stage           int      // while fills are jammed: askEdge, fillHeld, fillAll
	ask             overload.Admission
}

// Router is one instance.
type Router struct {
	s       d.Settings
	part    float64                  // of the location's link in, in transfers at full pace
	works   map[*d.ContentType]*mean // sending time, µs; a row a type: told by sizes, else learned from hits
	nodes   map[string]*node         // emptied by the list
	edges   tier                     // the location's ready caches
	parents tier                     // all ready parents
	origin  *node
	purges  map[purgeKey]d.Micros // when; emptied once no older copy can be left
	costs   mean                  // of downloads
	missing float64               // share of pulls that were not hits
	jam     float64               // part of target times that fills take, lately
	jamSeen float64               // over how many fills, about: fewer where several directors see a part each
	gate    limit                 // for fills, while they are jammed
	deep    limit                 // for those of them that may reach the origin
	grow    float64               // what these two gain by a fill that took no time
	gated   d.Micros              // when a fill was last late, or held back by the gate; 0 while it is open
	trouble float64               // share of pulls turned away or late
	storm   *overload.Controller
	keys    *dedup.Table
	held    func(now d.Micros, all bool) float64
}

type Options struct { // the operator's, for the modules that this one asks
	Overload         overload.Settings
	Dedup            dedup.Settings
	OnOverloadReport func(now d.Micros, r overload.Report) // hears how storms go, where given
	// Held is the part of what its zone's directors share, or all do, that it may use now, over the settings'.
	QuotaShare func(now d.Micros, all bool) float64
}

type purgeKey struct {
	object string
	group  int
}

// New makes an instance.
func New(s d.Settings, o Options) *Router {
	l := &Router{
		s: s, works: map[*d.ContentType]*mean{}, nodes: map[string]*node{},
		purges: map[purgeKey]d.Micros{}, missing: 0.5, keys: dedup.New(dedup.Settings{}),
	}
	l.SetOptions(o)
	l.edges.warm, l.parents.warm = s.EdgeSlowStart, s.ParentSlowStart
	l.part = s.FillLinkKBPerSecond / max(s.TransferKBPerSecond, 1) / float64(max(1, s.ZoneDirectors))
	l.jamSeen = max(4, firstLimit/float64(max(1, s.ZoneDirectors)))
	l.gate.most = max(1, l.part+2*math.Sqrt(l.part)) // its part of the link, with room for chance
	l.deep.most = max(1, l.part)
	l.deep.least = math.Floor(l.part / 4)
	if l.grow = growBy; !s.ReportsCacheStatus { // what had other causes cuts them too, a dead parent's refusals for one
		l.grow *= 2
	}
	for _, t := range s.ContentTypes {
		l.works[t] = &mean{value: float64(t.LatencyObjective) / (1 + t.TransferFactor)}
	}
	return l
}

// SetOptions takes the operator's options anew. A storm under way is noticed anew; marks of keys stay.
func (l *Router) SetOptions(o Options) {
	l.storm = overload.New(o.Overload, l.s.MaxRetryAfter, l.s.Seed, l, o.OnOverloadReport)
	l.keys.SetSettings(o.Dedup)
	if l.held = o.QuotaShare; o.QuotaShare == nil {
		l.held = func(d.Micros, bool) float64 { return 1 }
	}
}

// Timeouts are what sockets call for, from the settings. Where few share a connection, few end with it.
func Timeouts(s d.Settings) d.Timeouts {
	m := d.Timeouts{
		AnswerReserve: 2 * s.AnswerGrace, Connect: s.ConnectTimeout, Idle: s.KeepAliveTimeout / 16, ReadStall: s.ConnectTimeout / 2,
		PreferredStreams: max(1, s.MaxConcurrentStreams/100), MaxStreams: max(1, s.MaxConcurrentStreams), DrainAccept: stillComing + stillComing/3,
		LongPoll: s.PurgeRetention / 5, PollRetry: s.ConnectTimeout / 4, CancelConfirm: s.ConnectTimeout / 4,
		MaxDecisionAge: min(s.ConnectTimeout/8, leftBehind/2), RequestRead: 2 * owedWithin / 3, DownstreamIdle: s.KeepAliveTimeout / 6,
		DefaultRetryAfter: min(s.MaxRetryAfter, s.ConnectTimeout),
	}
	long := s.ConnectTimeout // and what a jump that goes unnoticed may cost
	m.StallThreshold = min(long, cmp.Or(s.PurgePropagation, long), cmp.Or(s.DrainPropagation, long)) / 2
	m.Heartbeat, m.SuspectTimeout = m.StallThreshold/5, 2*s.ConnectTimeout
	for _, t := range s.ContentTypes {
		m.WriteFlush = max(m.WriteFlush, t.Timeout)
	}
	m.DrainDeadline = min(m.WriteFlush, stopWithin) + stopSlack/2
	return m
}

// UpdateEndpoints takes the list of nodes. One that started anew is a new node; what is out there stays with the old.
func (l *Router) UpdateEndpoints(now d.Micros, rows []d.Endpoint, complete bool) {
	old := l.nodes
	if complete {
		l.nodes = make(map[string]*node, len(rows))
	}
	for _, row := range rows {
		if row.State == d.Removed {
			delete(l.nodes, row.ID)
			continue
		}
		n := old[row.ID]
		if n == nil || n.Started != row.Started {
			n = &node{hash: hashOf(row.ID), since: row.Started, heard: now}
			n.limit.most = max(2, firstLimit/float64(max(1, l.s.ZoneDirectors)))
		}
		n.Endpoint, l.nodes[row.ID] = row, n
		if n.Weight = max(n.Weight, 1e-3); !l.s.WeightsAreSizes { // a size of none would divide by zero
			n.Weight = 1 // and one that the settings don't vouch for is not used
		}
	}
	l.edges.ready, l.parents.ready, l.origin = nil, nil, nil
	l.edges.weight, l.parents.weight = 0, 0
	for _, id := range slices.Sorted(maps.Keys(l.nodes)) {
		switch n := l.nodes[id]; {
		case n.State != d.Ready:
		case n.Kind == l.s.OriginKind:
			l.origin = n
		case n.Kind == l.s.ParentKind:
			l.parents.ready, l.parents.weight = append(l.parents.ready, n), l.parents.weight+n.Weight
		case n.Zone == l.s.Zone:
			l.edges.ready, l.edges.weight = append(l.edges.ready, n), l.edges.weight+n.Weight
		}
	}
}

// Purge takes a purge. It binds from now on, for later pulls of downloads in hand too.
func (l *Router) Purge(now d.Micros, object string, group int, at d.Micros) {
	maps.DeleteFunc(l.purges, func(_ purgeKey, t d.Micros) bool { return t+l.s.PurgeRetention < now })
	key := purgeKey{object, group}
	if object != "" {
		key.group = d.AllGroups
	}
	if l.purges[key] = max(l.purges[key], at); at == 0 {
		delete(l.purges, key)
	}
}

// Route says where to send a download, or not yet, or never.
func (l *Router) Route(now d.Micros, dl *d.Request) d.Decision {
	if dl.Done {
		return d.Decision{}
	}
	nt, _ := dl.PolicyState.(*notes)
	if nt == nil {
		nt = &notes{hash: mix(hashOf(dl.Object) + uint64(dl.Part))} // each part is kept and filled on its own
		dl.PolicyState = nt
		l.costs.learn(l.cost(dl))
		if row := l.works[dl.Type]; dl.SizeKB > 0 && l.s.TransferKBPerSecond > 0 {
			row.learn(l.work(dl))
		}
		nt.ask = overload.Admission{
			ClientHash: dl.ClientHash, ObjectHash: nt.hash, Work: l.work(dl), RelativeCost: 1 / l.room(dl), IsRetry: dl.IsRetry,
		}
		stranger := dl.IsRetry && dl.IdempotencyKey != "" && l.keys.RejectsUnknownKey(dl.Type.Timeout, dl.Type.DedupWindow)
		if m := l.keys.Lookup(now, dl.IdempotencyKey, dl.Type.DedupWindow); m != nil {
			nt.ran = &pull{edge: &node{Endpoint: d.Endpoint{Zone: m.Zone, Cell: m.Cell}}, sent: m.FirstAttemptAt, over: true}
		} else if stranger {
			return d.Decision{Action: d.Fail}
		}
		if !l.storm.Admit(now, &nt.ask) {
			return l.giveUp(now, dl, nt)
		}
	}
	if p := nt.last(); p != nil && !p.over {
		return l.look(now, dl, nt, p)
	}
	return l.place(now, dl, nt)
}

// RecheckAfter says when to ask Where again: for a pull that is out, to see whether its node is silent; held, soon.
func (l *Router) RecheckAfter(now d.Micros, dl *d.Request) d.Micros {
	nt, _ := dl.PolicyState.(*notes)
	if nt == nil || dl.Done {
		return 0
	}
	if p := nt.last(); p != nil && !p.over {
		if p.cancelled || !l.s.CanCancel || dl.Type.RetrySafety == d.NotIdempotent {
			return 0
		}
		return max(1, nt.looked+p.target/checks-now)
	}
	return max(1, min(l.poll(dl), dl.Deadline-now))
}

// poll is how often a held download is looked at.
func (l *Router) poll(dl *d.Request) d.Micros { return dl.Type.LatencyObjective / 20 }

// AttemptDone says what to do after a pull's end.
func (l *Router) AttemptDone(now d.Micros, dl *d.Request, out d.Outcome) d.Decision {
	nt, _ := dl.PolicyState.(*notes)
	if nt == nil || out.Attempt >= len(nt.pulls) {
		return d.Decision{}
	}
	p := nt.pulls[out.Attempt]
	p.over = true
	l.learn(now, dl, nt, p, out)
	ran := out.Result != d.Rejected && out.Result != d.ConnectFailed && out.Result != d.NotSent &&
		out.Result != d.CacheMiss && out.Result != d.Withdrawn
	if out.Result == d.Withdrawn { // as if it had not been decided
		p.blameless = true
		nt.tries -= bit(!p.ask && !p.held)
		nt.recalled++
	}
	if !ran && dl.IdempotencyKey != "" {
		l.keys.AttemptNotRun(dl.IdempotencyKey, p.sent)
	}
	if out.Result == d.Succeeded {
		l.storm.Completed(now, &nt.ask, now > dl.ArrivedAt+p.target)
	}
	if dl.Done || out.Final {
		return d.Decision{}
	}
	if ran && nt.ran == nil {
		nt.ran = p
	}
	if out.Result == d.CacheMiss && (p.ask || p.held) {
		if nt.asked += bit(p.ask); !p.ask || nt.asked >= asksAtMost || l.gated == 0 || nt.stage != askEdge {
			nt.stage++
		}
		return l.place(now, dl, nt)
	}
	overloaded := l.trouble > overloadShare && !p.cancelled && out.Result != d.Withdrawn
	agreed := len(nt.errs) > bit(!dl.ClientSuspect)
	if nt.tries > furtherPulls || agreed || len(nt.pulls)-nt.recalled >= l.s.MaxAttempts || overloaded {
		ans := l.giveUp(now, dl, nt)
		ans.Unprocessable = agreed
		return ans
	}
	return l.place(now, dl, nt)
}

// place chooses edge and source and words the pull.
func (l *Router) place(now d.Micros, dl *d.Request, nt *notes) d.Decision {
	if dl.Deadline <= now || !l.keys.CanRecord(dl.IdempotencyKey) {
		return l.giveUp(now, dl, nt)
	}
	p := &pull{sent: now, target: l.target(dl), work: l.work(dl)}
	load, room := l.works[dl.Type].value, l.room(dl)
	// while less than a fill may reach the origin, a part of the objects may, the less of those that cost much
	deep := unit(nt.hash) / (room * room * room)
	allowed := func(n *node) bool { return !nt.tried(n) && mayRun(now, dl, nt, n) }
	takes := func(n *node) bool { return n.limit.lets((1+room)/2, unit(mix(nt.hash^n.hash))) && allowed(n) }
	if nt.asked > 0 && nt.stage == askEdge {
		p.edge = l.pick(now, &l.edges, nt, load, func(n *node) bool { return takes(n) && !nt.lacks(n) })
		if p.edge == nil {
			nt.stage++
		}
	}
	if p.edge == nil {
		p.edge = l.pick(now, &l.edges, nt, load, takes)
	}
	if p.edge == nil && l.s.AllowDirect && l.pick(now, &l.edges, nt, load, allowed) == nil {
		p.edge = l.pick(now, &l.parents, nt, load, allowed) // no cache here can take it, full or not
		p.straight = p.edge != nil
	}
	if p.edge != nil && (p.straight || l.gated > 0 && !dl.Type.Uncacheable) {
		if p.straight {
			nt.stage = fillAll
		} else if warmth(now, p.edge, l.s.EdgeSlowStart) < 1 {
			nt.stage = max(nt.stage, fillHeld)
		}
		full := !l.gate.lets(room, 0) || nt.stage == fillAll && !l.deep.lets(1, deep)
		if full && nt.stage != askEdge && l.gated > 0 {
			l.gated = now
		}
		switch {
		case nt.stage == askEdge:
			p.ask = true
		case full:
			p.edge = nil
		default:
			p.fill, p.held, p.deep = true, nt.stage == fillHeld, nt.stage == fillAll
		}
	}
	if p.edge != nil && p.edge.trial && !p.fill && !p.straight && !dl.Type.Uncacheable {
		p.ask = true // a question tells soonest whether the node is back
	}
	if p.edge == nil {
		return l.hold(now, dl, nt, p, allowed)
	}
	ans := d.Decision{
		Action: d.Send, CacheRank: middleRank, MaxAge: l.oldest(now, dl), Coalesce: l.s.CoalesceFills,
		OnlyIfCached: p.held, Revalidate: dl.Type.TTL > 0, Timeout: dl.Deadline - now, NotAfter: dl.Deadline,
	}
	if nt.ran != nil && dl.Type.RetrySafety == d.IdempotentWithKey { // its mark may be gone before this is written
		ans.NotAfter = min(ans.NotAfter, nt.ran.sent+dl.Type.DedupWindow)
	}
	switch {
	case dl.Type.Uncacheable:
		p.source, ans.CacheRank, ans.Coalesce, ans.Revalidate, ans.MaxAge = l.origin, 0, false, false, 0
	case p.straight:
		p.source = l.origin
	case !p.ask:
		if !p.fill && warmth(now, p.edge, l.s.EdgeSlowStart) >= 1 {
			load *= l.missing
		}
		p.source = l.pick(now, &l.parents, nt, load, func(n *node) bool { return !nt.failed(n) })
		if p.source == nil && p.held { // no parent is left to ask: a fill from the origin
			if p.held, p.deep, nt.stage = false, true, fillAll; !l.deep.lets(math.Inf(1), deep) {
				return l.hold(now, dl, nt, p, allowed)
			}
		}
		if p.source == nil {
			p.source, ans.OnlyIfCached = l.origin, false
		}
	}
	if p.source == nil {
		p.source = p.edge
	}
	l.send(now, nt, p, load)
	l.keys.RecordAttempt(now, dl.IdempotencyKey, dl.Type.DedupWindow, p.edge.Zone, p.edge.Cell)
	ans.Endpoint, ans.Source = &p.edge.Endpoint, &p.source.Endpoint
	return ans
}

// hold has a download wait that finds no room, as long as it can still be in time.
func (l *Router) hold(now d.Micros, dl *d.Request, nt *notes, p *pull, allowed func(*node) bool) d.Decision {
	soon := len(l.edges.ready) == 0 || slices.ContainsFunc(l.edges.ready, allowed)
	late := now-dl.ArrivedAt+d.Micros(p.work/holdPart) >= p.target || now+l.poll(dl) >= dl.Deadline
	if soon && (!dl.IsRetry || nt.ask.OnTime()) && !late {
		return d.Decision{Action: d.Queue}
	}
	return l.giveUp(now, dl, nt)
}

// send counts a pull that goes out.
func (l *Router) send(now d.Micros, nt *notes, p *pull, load float64) {
	for _, n := range []*node{p.edge, p.source} {
		if n.trial && !n.trying && p.trial == nil {
			n.trying, p.trial = true, n
		}
		n.level += load
	}
	l.gate.out += bit(p.fill)
	l.deep.out += bit(p.deep)
	nt.tries += bit(!p.ask && !p.held)
	p.light = float64(p.edge.limit.out) < p.edge.limit.most/2
	p.edge.limit.out++
	nt.pulls, nt.looked = append(nt.pulls, p), now
}

// pick takes the ready node that ranks first for the object: the rendezvous hash of object and node, weighted
// by the node's size where the list tells it, so that each is home to its share; with sizes alike it is the
// highest hash. It passes over, for the next one in that order: nodes in a skip; nodes back from one, but for
// one pull at a time; and a warming node for the objects that are not yet its own, or beyond its budget.
//
// A warming node takes the share of its objects that it can do, chosen by a hash that all directors
// share, so they agree without a message. Guards against a cold node pushed over, and spreads the misses
// of an empty one. Could harm where one object is most of a node's load.
func (l *Router) pick(now d.Micros, t *tier, nt *notes, work float64, allowed func(*node) bool) *node {
	var best *node
	bestRank := math.Inf(1)
	for _, n := range t.ready {
		h := mix(nt.hash ^ n.hash)
		rank := -math.Log(float64(h>>11+1)/(1<<53)) / n.Weight // the lower the better; by h where sizes are alike
		if rank > bestRank || !allowed(n) || n.skipUntil > now || n.trial && n.trying {
			continue
		}
		if w := warmth(now, n, t.warm); w < 1 && (unit(h) > w || !l.fits(now, t, n, work)) {
			continue
		}
		best, bestRank = n, rank
	}
	return best
}

// warmth is the share of its capacity that a node can do at the least.
func warmth(now d.Micros, n *node, w d.SlowStart) float64 {
	age := now - n.since
	if n.since == 0 || age >= w.Duration {
		return 1
	}
	return w.InitialShare + (1-w.InitialShare)*float64(max(0, age))/float64(w.Duration)
}

// fits keeps a warming node's budget: what this director may send it in half of the window that counts, a
// part of what it bears by the link in, which carries what caches miss or parents give; untold, by its size.
// No pull goes beyond it, nor the first: hundreds of directors may make theirs at once. Where a part is less
// than a pull, which of them makes one is by chance, drawn anew each half.
func (l *Router) fits(now d.Micros, t *tier, n *node, work float64) bool {
	each, held := l.part*n.Weight/t.weight, l.held(now, false)
	switch {
	case l.part == 0 && l.s.WeightsAreSizes && t == &l.parents:
		each, held = n.Weight/float64(max(1, l.s.TotalDirectors)), l.held(now, true)
	case l.part == 0 && l.s.WeightsAreSizes:
		each = n.Weight / float64(max(1, l.s.ZoneDirectors))
	case t == &l.edges:
		each /= l.missing
	}
	half := max(1, t.warm.OverloadWindow/2)
	if turn := now / half; n.turn != turn {
		n.turn, n.level = turn, 0
	}
	allowance := each * held * warmth(now, n, t.warm) * t.warm.OverloadFactor * budgetPart * float64(half)
	return n.level+work <= allowance+work*unit(n.hash^l.s.Seed^mix(uint64(n.turn)))
}

// look sees to a pull that is still out. When its edge has answered nobody since it was sent, or when
// the edge has but nothing came through the source since, and other pulls found the same, that node is
// taken for silent and the download goes elsewhere; a source only where answers tell how fills went, since
// few fills go through one from here, and slow is not silent. Guards against machines that vanish without a
// reset; helps with any that hang. Could harm where a node's few answers are all long ones.
func (l *Router) look(now d.Micros, dl *d.Request, nt *notes, p *pull) d.Decision {
	if p.cancelled || now < nt.looked+p.target/checks {
		return d.Decision{}
	}
	nt.looked = now
	n := p.edge
	if p.blameless = n.heard >= p.sent; p.blameless { // also by the question that went before
		n = p.source
		if !p.slow && !p.ask && now >= p.sent+p.target { // a miss, and late: no need to wait for its end
			p.slow = true
			l.filled(now, p, lateFill, p.deep)
		}
	}
	if n.heard >= p.sent || n == l.origin || n != p.edge && !l.s.ReportsCacheStatus {
		return d.Decision{}
	}
	if n.unheard++; n.unheard < strikes {
		return d.Decision{}
	}
	l.skip(now, n, p, d.Second)
	p.cancelled = true
	return d.Decision{Action: d.CancelAttempt, Attempt: len(nt.pulls) - 1}
}

// learn takes a pull's end into what is known of its nodes. An error that names no cause is held against its
// node once another does what was asked; two nodes that err are taken to agree. Guards against clients that
// ask for what no node can use. Could harm where two nodes err on what a third would do.
func (l *Router) learn(now d.Micros, dl *d.Request, nt *notes, p *pull, out d.Outcome) {
	e, s, took := p.edge, p.source, now-p.sent
	e.limit.out--
	l.gate.out -= bit(p.fill)
	l.deep.out -= bit(p.deep)
	if l.gated > 0 && l.gated+skipParent < now {
		l.gated = 0
	}
	if p.trial != nil {
		p.trial.trying = false
	}
	step(&l.trouble, out.Result == d.Rejected || out.Result == d.TimedOut ||
		out.Result == d.Succeeded && took > p.target)
	if out.Result == d.Failed && out.CacheStatus == d.Unknown && l.s.ReportsCacheStatus {
		nt.errs = append(nt.errs, p)
		e.heard, e.unheard = now, 0
		return
	}
	if out.Result == d.Succeeded || out.Result == d.CacheMiss {
		for _, q := range nt.errs {
			if q.edge.sign(q) >= strikes {
				l.skip(now, q.edge, q, d.Second)
			}
		}
		nt.errs = nil
	}
	switch out.Result {
	case d.Succeeded:
		e.good(now, p, out.CacheStatus == d.Hit || out.CacheStatus == d.Stale)
		part := float64(took) / float64(p.target)
		if out.CacheStatus != d.Unknown { // where answers tell nothing the share of misses stays as it was
			step(&l.missing, out.CacheStatus > d.Hit && out.CacheStatus != d.Stale)
		}
		if dl.SizeKB == 0 && p.light && (out.CacheStatus == d.Hit || dl.Type.Uncacheable) { // which is never a hit
			l.works[dl.Type].learn(float64(took))
		}
		switch out.CacheStatus {
		case d.Hit, d.Unknown:
			e.limit.ended(part, slowPart, cut, growBy)
			if out.CacheStatus == d.Unknown && s != e { // it may have been a fill: the source is cleared, the jam learns
				s.good(now, p, false)
				if !p.slow {
					l.filled(now, p, part, p.deep)
				}
			}
		case d.Filled, d.FilledByOrigin:
			s.good(now, p, true)
			if !p.slow {
				l.filled(now, p, part, p.deep || out.CacheStatus == d.FilledByOrigin)
			}
		}
	case d.CacheMiss:
		e.good(now, p, false)
	case d.ConnectFailed, d.ConnectionLost:
		if out.Result == d.ConnectFailed && e.State == d.Ready {
			e.down, e.trial = now, true
		}
		if n := e.sign(p); n >= strikes && out.Result == d.ConnectFailed || n >= strikes*strikes {
			l.skip(now, e, p, d.Second)
		} else if out.Result == d.ConnectionLost { // the connection's fault as yet, told once: there again, but once
			p.blameless, e.skipped = p == nt.pulls[0] || nt.pulls[len(nt.pulls)-2].edge != e, now
		}
	case d.Rejected, d.Failed, d.TimedOut:
		if s != e && out.CacheStatus != d.CacheFull && !p.slow {
			l.filled(now, p, lateFill, p.deep)
		}
		if out.Result != d.TimedOut {
			e.heard, e.unheard = now, 0
		}
		if out.CacheStatus >= d.SourceRejected && out.CacheStatus != d.CacheFull {
			p.blameless = true
			if out.CacheStatus == d.SourceRejected || out.CacheStatus == d.SourceUnavailable {
				s.strike(l, now, p)
			}
			return
		}
		if n := e.sign(p); n >= strikes && out.Result != d.Rejected || n >= strikes*strikes {
			l.skip(now, e, p, d.Second)
		}
		if s != e && !l.s.ReportsCacheStatus {
			s.strike(l, now, p)
		}
	}
}

// good clears a node of what was held against it. One that did not take connections may have started anew
// before the list tells: unless it holds what it is asked for, it is warming from now on. Guards against
// pushing over what restarts in numbers. Could harm where connections fail for another reason, until a hit.
func (n *node) good(now d.Micros, p *pull, holds bool) {
	if n.down > 0 && holds {
		n.down = 0
	} else if n.down > 0 && p.sent >= n.down {
		n.down, n.since = 0, now
	}
	n.heard, n.unheard, n.bad, n.trial, n.skipFor = now, 0, 0, false, 0
}

// filled watches how fast fills are. Once they are jammed the home is asked first for what it holds, and
// misses pass the gate's limit; those that may reach the origin pass its own. Guards against a location's
// link or the origin jammed by fills that all end late, are dropped and must be made again; helps whatever
// made them slow. Could harm where few are slow for long: then misses wait that need not.
//
// A parent whose fills are late, and twice as slow as another's, is skipped: the design page's skip where
// answers tell that a source is slow, told here by how long fills through it take.
func (l *Router) filled(now d.Micros, p *pull, part float64, deep bool) {
	if l.jam += (part - l.jam) / l.jamSeen; l.jam > jamPart {
		l.gated = now
	}
	if deep {
		l.deep.ended(part, 1, deepCut, l.grow)
	}
	if p.fill && (part <= 1 || !deep && now > p.sent+p.target) { // a refusal says nothing of the link
		l.gate.ended(part, 1, cut, l.grow)
	}
	s := p.source
	s.slow += (part - s.slow) / slowMemory
	faster := func(n *node) bool { return n.slow < s.slow/2 && n.skipUntil <= now && !n.trial }
	if s.slow > slowParent && slices.ContainsFunc(l.parents.ready, faster) {
		l.skip(now, s, p, skipParent)
		s.slow = slowParent / 2
	}
}

// ProbeDone takes what came of a question after another's hint: as a pull that did not reach the node, or
// word that it may be tried; one that may be full is tried with a pull at a time. Guards against learning
// alone what others know; a false hint costs a question.
func (l *Router) ProbeDone(now d.Micros, id string, well, full bool) {
	if n := l.nodes[id]; n != nil && well {
		n.skipUntil, n.trial = min(n.skipUntil, now), n.trial || full
	} else if n != nil && n.State == d.Ready {
		n.down, n.trial = now, true
	}
}

// strike counts a fill that a source failed or was slow with; some in a row and it is skipped. Where answers
// don't tell whose fault it was, every answer through it clears it, and when no other parent is left either
// the trouble lies behind them: all are used again. Guards against dead and slow parents, and against giving
// up what parents hold while the origin fails. Could harm while all parents are dead but still listed.
func (n *node) strike(l *Router, now d.Micros, p *pull) {
	if n.sign(p) < strikes {
		return
	}
	usable := func(o *node) bool { return o != n && o.skipUntil <= now }
	if l.s.ReportsCacheStatus || slices.ContainsFunc(l.parents.ready, usable) {
		l.skip(now, n, p, skipParent)
		return
	}
	for _, o := range l.parents.ready {
		o.bad, o.skipUntil, o.trial = 0, 0, false
	}
}

// sign counts a bad end and says how many there were in a row. A trial after a skip tells enough.
func (n *node) sign(p *pull) int {
	if n.bad += bit(p.sent >= n.skipped); p.trial == n {
		n.bad = strikes * strikes
	}
	return n.bad
}

// skip leaves a node alone for a while, twice as long each time, then lets one pull try it.
func (l *Router) skip(now d.Micros, n *node, p *pull, least d.Micros) {
	if n == l.origin || n.skipUntil > now || p.sent < n.skipped {
		return
	}
	n.skipFor = min(max(least, 2*n.skipFor), skipParent)
	n.skipped, n.skipUntil, n.trial, n.bad = now, now+n.skipFor, true, 0
}

// room is the part of the gate that a download may use: all of it, or the less the more work it costs for
// its benefit than most; of an edge's limit no less than half. Guards against a few long downloads that make
// many short ones late; acts only where limits are reached. Could harm a content type that is all long.
func (l *Router) room(dl *d.Request) float64 { return min(1, l.costs.value/l.cost(dl)) }

// cost is a download's sending time for a unit of its benefit.
func (l *Router) cost(dl *d.Request) float64 {
	return max(1, l.work(dl)) / max(dl.Type.PriorityWeight, 1e-9)
}

// giveUp ends a download at once: with a throttling reply where a new try is harmless, else abandoned. When
// to come back is asked of the guard against storms; a key's window must not pass until then.
func (l *Router) giveUp(now d.Micros, dl *d.Request, nt *notes) d.Decision {
	back := l.storm.RetryAfter(now, &nt.ask, min(l.s.MaxRetryAfter, dl.Type.LatencyObjective))
	if t := dl.Type; nt.ran != nil && (t.RetrySafety == d.NotIdempotent || t.RetrySafety == d.IdempotentWithKey &&
		(t.DedupScope != d.DedupScopeAll || dl.IdempotencyKey != "" && now+back >= nt.ran.sent+t.DedupWindow)) {
		return d.Decision{Action: d.Fail}
	}
	return d.Decision{Action: d.Reject, RetryAfter: back}
}

// ClientConnected says that a client has connected.
func (l *Router) ClientConnected(now d.Micros) { l.storm.ClientConnected(now) }

// OverloadReport tells how storms go.
func (l *Router) OverloadReport(now d.Micros) overload.Report { return l.storm.Report(now) }

// Capacity is this director's part of what the location's ready caches can do, in transfers at full pace.
func (l *Router) Capacity(at d.Micros) (able float64) {
	for _, n := range l.edges.ready {
		if n.skipUntil <= at {
			able += warmth(at, n, l.s.EdgeSlowStart) * n.Weight
		}
	}
	return able * l.held(at, false) * l.WarmCapacity() / max(l.edges.weight, 1e-3)
}

// WarmCapacity is what they can do when warm: what the link in carries over what they miss; untold, their sizes.
func (l *Router) WarmCapacity() float64 {
	if l.part == 0 && l.s.WeightsAreSizes {
		return l.edges.weight / float64(max(1, l.s.ZoneDirectors))
	}
	return l.part / max(l.missing, 1.0/memory)
}

// mayRun says whether rule 2 allows a pull to a node after what may have run.
func mayRun(now d.Micros, dl *d.Request, nt *notes, n *node) bool {
	switch t, ran := dl.Type, nt.ran; {
	case ran == nil || t.RetrySafety == d.Idempotent:
		return true
	case t.RetrySafety == d.NotIdempotent || now >= ran.sent+t.DedupWindow:
		return false
	case t.DedupScope == d.DedupScopeZone:
		return n.Zone == ran.edge.Zone
	default:
		return t.DedupScope == d.DedupScopeAll || n.Cell == ran.edge.Cell
	}
}

// oldest is the greatest age of a copy that may answer now; 0 for the content type's fresh time.
func (l *Router) oldest(now d.Micros, dl *d.Request) d.Micros {
	at := max(l.purges[purgeKey{dl.Object, d.AllGroups}], l.purges[purgeKey{"", dl.Group}], l.purges[purgeKey{"", d.AllGroups}])
	if age := max(1, now-at); at > 0 && at+l.s.PurgeRetention >= now && (dl.Type.TTL == 0 || age < dl.Type.TTL) {
		return age
	}
	return 0
}

// work is a download's sending time at full pace.
func (l *Router) work(dl *d.Request) float64 {
	if dl.SizeKB > 0 && l.s.TransferKBPerSecond > 0 {
		return dl.SizeKB / l.s.TransferKBPerSecond * float64(d.Second)
	}
	return l.works[dl.Type].value
}

// target is the time within which a download earns its full benefit.
func (l *Router) target(dl *d.Request) d.Micros {
	return min(dl.Type.LatencyObjective+d.Micros(dl.Type.TransferFactor*l.work(dl)), max(dl.Type.Timeout, 1))
}

func (nt *notes) last() *pull {
	if len(nt.pulls) == 0 {
		return nil
	}
	return nt.pulls[len(nt.pulls)-1]
}

func (nt *notes) tried(n *node) bool {
	return slices.ContainsFunc(nt.pulls, func(p *pull) bool {
		return p.edge == n && !p.ask && !p.held && !p.blameless
	})
}

func (nt *notes) lacks(n *node) bool {
	return slices.ContainsFunc(nt.pulls, func(p *pull) bool { return p.edge == n && p.ask })
}

func (nt *notes) failed(n *node) bool {
	return slices.ContainsFunc(nt.pulls, func(p *pull) bool { return p.source == n && !p.held })
}

// step moves a running share towards an event.
func step(share *float64, on bool) {
	*share += (float64(bit(on)) - *share) / memory
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

// unit is a hash as a number from 0 to 1.
func unit(h uint64) float64 { return float64(mix(h)>>11) / (1 << 53) }

// mix is the finisher of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
