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
	"tallyproxy/policy"
)

const (
	defaultCacheRank     = 2
	parentEjectionTime   = 10 * policy.Second // the design page's figure
	maxRetries           = 2             // beyond the first, while no overload is seen
	failureThreshold     = 3             // bad ends in a row that count as a node's failure
	overloadErrorRate    = 0.1           // share of pulls turned away or late from which overload is seen
	slowStartBudgetShare = 0.4           // part of a warming node's budget that the directors together use
	checksPerObjective   = 2             // how often within its target time an unanswered pull is looked at
	maxEdgesAsked        = 2             // edges asked for what they hold before a fill
	askEdgeCache         = 0             // while fills are jammed, first ask the edge for what it holds,
	fillFromParentCache  = 1             // then let it fill from what the parent holds,
	fillFromOrigin       = 2             // then from the origin too
	meanMemory           = 100           // pulls over which running means look back, about
	slowHitRatio         = 0.75          // a hit that takes more of its target time is slow
	initialConcurrency   = 8             // pulls out at an edge before anything is known of it
	minConcurrency       = 0.1           // what limits fall to at the least
	concurrencyDecrease  = 0.3           // what a slow pull takes off a limit,
	originDecrease       = 0.5           // a late fill off the origin's
	lateFillRatio        = 2             // what a fill counts for, in target times, that was late or refused
	concurrencyIncrease  = 0.25          // what a limit gains by a pull that took no time
	queuedWorkRatio      = 0.3           // a held download should need no more than this of what time it has left
	congestionThreshold  = 0.7           // fills that take more of their target times on average are jammed
	slowParentRatio      = 0.9           // and a parent whose fills take so much is slow
	slowMemory           = 16            // fills over which that looks back, about

	clientsComeAfterStop = 6 * policy.Second / 10 // the protocol's figures: clients go on coming after the signal to stop,
	stopKillsAfter       = 3 * policy.Second      // which ends the process after this, or the longest expiry if that is less,
	stopSlackTime        = 7 * policy.Second / 10 // and so long more at the soonest;
	staleAttemptLimit    = policy.Second / 10     // no pull begins so long after its client has left;
	malformedAnswerLimit = 3 * policy.Second      // and whoever sends what is no message is owed an end within this
)

// runningMean is a running mean that starts with what it sees first.
type runningMean struct{ value, count float64 }

func (m *runningMean) add(value float64) {
	m.count = min(m.count+1, meanMemory)
	m.value += (value - m.value) / m.count
}

// endpoint is one entry of the list, kept until the list says it is gone.
type endpoint struct {
	policy.Endpoint
	hash                uint64
	startedAt           policy.Micros         // its start, as far as known; 0 for long ago
	connectFailedAt     policy.Micros         // when it was last found not to take connections; 0 once it is known what came of it
	consecutiveFailures int              // bad ends in a row
	ejectedAt           policy.Micros         // when the last skip began, or a connection broke: what was sent before tells nothing new
	ejectedUntil        policy.Micros         // not used before this
	ejectionTime        policy.Micros         // how long the last skip was
	halfOpen            bool             // back from a skip: one pull at a time until one ends well
	probing             bool             // that pull is out
	lastAnswerAt        policy.Micros         // when the last answer came
	unanswered          int              // pulls found unanswered since then
	concurrency         concurrencyLimit // for pulls to it
	fillLatency         float64          // what fills through it take of their target times, lately
	windowWork          float64          // cold work sent in this half of the window that counts
	window              policy.Micros         // which half
}

// concurrencyLimit says how many pulls may be out somewhere. A slow one cuts it, a quick one raises it while it is in
// use, so it settles where few are slow, however little a director sees. Below one pull it is the part of the
// objects that may go, by a hash that all share.
type concurrencyLimit struct {
	limit, floor float64
	inFlight     int
}

// Allow says whether one more may go out that may use a part of the limit.
func (m *concurrencyLimit) Allow(part, object float64) bool {
	return float64(m.inFlight) < max(1, m.limit)*part && object < m.limit
}

// Observe takes a pull that took a part of its target time: over slow it cuts the limit, by one pull at most.
func (m *concurrencyLimit) Observe(part, slow, cut, grow float64) {
	if part > slow {
		m.limit = max(minConcurrency, m.floor, m.limit-min(1, m.limit*cut))
	} else if float64(m.inFlight+1) > m.limit*(1-cut) {
		m.limit += grow * (1 - part/slow)
	}
}

// attempt is one try of a download.
type attempt struct {
	endpoint, source  *endpoint
	sentAt, objective policy.Micros
	work              float64
	lightlyLoaded     bool // the edge was far from its limit
	cacheOnly         bool // for what the edge holds, no more
	sourceCacheOnly   bool // filled from what the source holds, no more
	countedAsFill     bool // counted at the gate for fills
	mayReachOrigin    bool // and among those that may reach the origin
	direct            bool // to a parent, past the caches
	countedLate       bool // counted as a late fill
	excused           bool // the edge: the source failed it
	done              bool
	cancelled         bool
	probed            *endpoint
}

type tier struct {
	ready       []*endpoint // by id
	slowStart   policy.SlowStart
	totalWeight float64 // of the ready nodes, together
}

type requestState struct { // what the module keeps of a download; they go with it
	objectHash              uint64
	attempts                []*attempt
	mayHaveRun              *attempt   // the first pull that may have run, also of the client's earlier tries
	unexplainedErrors       []*attempt // ended with an error that names no cause
	checkedAt               policy.Micros   // when the last pull was looked at, or sent
	fullAttempts, withdrawn int        // pulls that were more than a question for what is held; that were never written
	edgesAsked              int        // edges that lack it
	fillStage               int        // while fills are jammed: askEdge, fillHeld, fillAll
	admission               overload.Admission
}

// Router is one instance.
type Router struct {
	settings          policy.Settings
	linkShare         float64                         // of the location's link in, in transfers at full pace
	sendingTimes      map[*policy.ContentType]*runningMean // sending time, µs; a row a type: told by sizes, else learned from hits
	endpoints         map[string]*endpoint            // emptied by the list
	edges             tier                            // the location's ready caches
	parents           tier                            // all ready parents
	origin            *endpoint
	purges            map[purgeKey]policy.Micros // when; emptied once no older copy can be left
	averageCost       runningMean           // of downloads
	missRatio         float64               // share of pulls that were not hits
	fillLatency       float64               // part of target times that fills take, lately
	fillLatencyMemory float64               // over how many fills, about: fewer where several directors see a part each
	fillLimiter       concurrencyLimit      // for fills, while they are jammed
	originLimiter     concurrencyLimit      // for those of them that may reach the origin
	fillIncrease      float64               // what these two gain by a fill that took no time
	congestedAt       policy.Micros              // when a fill was last late, or held back by the gate; 0 while it is open
	errorRate         float64               // share of pulls turned away or late
	overload          *overload.Controller
	dedup             *dedup.Table
	quotaShare        func(now policy.Micros, all bool) float64
}

type Options struct { // the operator's, for the modules that this one asks
	Overload         overload.Settings
	Dedup            dedup.Settings
	OnOverloadReport func(now policy.Micros, r overload.Report) // hears how storms go, where given
	// Held is the part of what its zone's directors share, or all do, that it may use now, over the settings'.
	QuotaShare func(now policy.Micros, all bool) float64
}

type purgeKey struct {
	object string
	group  int
}

// New makes an instance.
func New(s policy.Settings, o Options) *Router {
	l := &Router{
		settings: s, sendingTimes: map[*policy.ContentType]*runningMean{}, endpoints: map[string]*endpoint{},
		purges: map[purgeKey]policy.Micros{}, missRatio: 0.5, dedup: dedup.New(dedup.Settings{}),
	}
	l.SetOptions(o)
	l.edges.slowStart, l.parents.slowStart = s.EdgeSlowStart, s.ParentSlowStart
	l.linkShare = s.FillLinkKBPerSecond / max(s.TransferKBPerSecond, 1) / float64(max(1, s.ZoneDirectors))
	l.fillLatencyMemory = max(4, initialConcurrency/float64(max(1, s.ZoneDirectors)))
	l.fillLimiter.limit = max(1, l.linkShare+2*math.Sqrt(l.linkShare)) // its part of the link, with room for chance
	l.originLimiter.limit = max(1, l.linkShare)
	l.originLimiter.floor = math.Floor(l.linkShare / 4)
	if l.fillIncrease = concurrencyIncrease; !s.ReportsCacheStatus { // what had other causes cuts them too, a dead parent's refusals for one
		l.fillIncrease *= 2
	}
	for _, t := range s.ContentTypes {
		l.sendingTimes[t] = &runningMean{value: float64(t.LatencyObjective) / (1 + t.TransferFactor)}
	}
	return l
}

// SetOptions takes the operator's options anew. A storm under way is noticed anew; marks of keys stay.
func (l *Router) SetOptions(o Options) {
	l.overload = overload.New(o.Overload, l.settings.MaxRetryAfter, l.settings.Seed, l, o.OnOverloadReport)
	l.dedup.SetSettings(o.Dedup)
	if l.quotaShare = o.QuotaShare; o.QuotaShare == nil {
		l.quotaShare = func(policy.Micros, bool) float64 { return 1 }
	}
}

// Timeouts are what sockets call for, from the settings. Where few share a connection, few end with it.
func Timeouts(s policy.Settings) policy.Timeouts {
	m := policy.Timeouts{
		AnswerReserve: 2 * s.AnswerGrace, Connect: s.ConnectTimeout, Idle: s.KeepAliveTimeout / 16, ReadStall: s.ConnectTimeout / 2,
		PreferredStreams: max(1, s.MaxConcurrentStreams/100), MaxStreams: max(1, s.MaxConcurrentStreams), DrainAccept: clientsComeAfterStop + clientsComeAfterStop/3,
		LongPoll: s.PurgeRetention / 5, PollRetry: s.ConnectTimeout / 4, CancelConfirm: s.ConnectTimeout / 4,
		MaxDecisionAge: min(s.ConnectTimeout/8, staleAttemptLimit/2), RequestRead: 2 * malformedAnswerLimit / 3, DownstreamIdle: s.KeepAliveTimeout / 6,
		DefaultRetryAfter: min(s.MaxRetryAfter, s.ConnectTimeout),
	}
	long := s.ConnectTimeout // and what a jump that goes unnoticed may cost
	m.StallThreshold = min(long, cmp.Or(s.PurgePropagation, long), cmp.Or(s.DrainPropagation, long)) / 2
	m.Heartbeat, m.SuspectTimeout = m.StallThreshold/5, 2*s.ConnectTimeout
	for _, t := range s.ContentTypes {
		m.WriteFlush = max(m.WriteFlush, t.Timeout)
	}
	m.DrainDeadline = min(m.WriteFlush, stopKillsAfter) + stopSlackTime/2
	return m
}

// UpdateEndpoints takes the list of nodes. One that started anew is a new node; what is out there stays with the old.
func (l *Router) UpdateEndpoints(now policy.Micros, rows []policy.Endpoint, complete bool) {
	old := l.endpoints
	if complete {
		l.endpoints = make(map[string]*endpoint, len(rows))
	}
	for _, row := range rows {
		if row.State == policy.Removed {
			delete(l.endpoints, row.ID)
			continue
		}
		n := old[row.ID]
		if n == nil || n.Started != row.Started {
			n = &endpoint{hash: hashOf(row.ID), startedAt: row.Started, lastAnswerAt: now}
			n.concurrency.limit = max(2, initialConcurrency/float64(max(1, l.settings.ZoneDirectors)))
		}
		n.Endpoint, l.endpoints[row.ID] = row, n
		if n.Weight = max(n.Weight, 1e-3); !l.settings.WeightsAreSizes { // a size of none would divide by zero
			n.Weight = 1 // and one that the settings don't vouch for is not used
		}
	}
	l.edges.ready, l.parents.ready, l.origin = nil, nil, nil
	l.edges.totalWeight, l.parents.totalWeight = 0, 0
	for _, id := range slices.Sorted(maps.Keys(l.endpoints)) {
		switch n := l.endpoints[id]; {
		case n.State != policy.Ready:
		case n.Kind == l.settings.OriginKind:
			l.origin = n
		case n.Kind == l.settings.ParentKind:
			l.parents.ready, l.parents.totalWeight = append(l.parents.ready, n), l.parents.totalWeight+n.Weight
		case n.Zone == l.settings.Zone:
			l.edges.ready, l.edges.totalWeight = append(l.edges.ready, n), l.edges.totalWeight+n.Weight
		}
	}
}

// Purge takes a purge. It binds from now on, for later pulls of downloads in hand too.
func (l *Router) Purge(now policy.Micros, object string, group int, at policy.Micros) {
	maps.DeleteFunc(l.purges, func(_ purgeKey, t policy.Micros) bool { return t+l.settings.PurgeRetention < now })
	key := purgeKey{object, group}
	if object != "" {
		key.group = policy.AllGroups
	}
	if l.purges[key] = max(l.purges[key], at); at == 0 {
		delete(l.purges, key)
	}
}

// Route says where to send a download, or not yet, or never.
func (l *Router) Route(now policy.Micros, dl *policy.Request) policy.Decision {
	if dl.Done {
		return policy.Decision{}
	}
	nt, _ := dl.PolicyState.(*requestState)
	if nt == nil {
		nt = &requestState{objectHash: mix(hashOf(dl.Object) + uint64(dl.Part))} // each part is kept and filled on its own
		dl.PolicyState = nt
		l.averageCost.add(l.cost(dl))
		if row := l.sendingTimes[dl.Type]; dl.SizeKB > 0 && l.settings.TransferKBPerSecond > 0 {
			row.add(l.sendingTime(dl))
		}
		nt.admission = overload.Admission{
			ClientHash: dl.ClientHash, ObjectHash: nt.objectHash, Work: l.sendingTime(dl), RelativeCost: 1 / l.limitShare(dl), IsRetry: dl.IsRetry,
		}
		stranger := dl.IsRetry && dl.IdempotencyKey != "" && l.dedup.RejectsUnknownKey(dl.Type.Timeout, dl.Type.DedupWindow)
		if m := l.dedup.Lookup(now, dl.IdempotencyKey, dl.Type.DedupWindow); m != nil {
			nt.mayHaveRun = &attempt{endpoint: &endpoint{Endpoint: policy.Endpoint{Zone: m.Zone, Cell: m.Cell}}, sentAt: m.FirstAttemptAt, done: true}
		} else if stranger {
			return policy.Decision{Action: policy.Fail}
		}
		if !l.overload.Admit(now, &nt.admission) {
			return l.reject(now, dl, nt)
		}
	}
	if p := nt.lastAttempt(); p != nil && !p.done {
		return l.checkAttempt(now, dl, nt, p)
	}
	return l.chooseEndpoint(now, dl, nt)
}

// RecheckAfter says when to ask Where again: for a pull that is out, to see whether its node is silent; held, soon.
func (l *Router) RecheckAfter(now policy.Micros, dl *policy.Request) policy.Micros {
	nt, _ := dl.PolicyState.(*requestState)
	if nt == nil || dl.Done {
		return 0
	}
	if p := nt.lastAttempt(); p != nil && !p.done {
		if p.cancelled || !l.settings.CanCancel || dl.Type.RetrySafety == policy.NotIdempotent {
			return 0
		}
		return max(1, nt.checkedAt+p.objective/checksPerObjective-now)
	}
	return max(1, min(l.pollInterval(dl), dl.Deadline-now))
}

// pollInterval is how often a held download is looked at.
func (l *Router) pollInterval(dl *policy.Request) policy.Micros { return dl.Type.LatencyObjective / 20 }

// AttemptDone says what to do after a pull's end.
func (l *Router) AttemptDone(now policy.Micros, dl *policy.Request, out policy.Outcome) policy.Decision {
	nt, _ := dl.PolicyState.(*requestState)
	if nt == nil || out.Attempt >= len(nt.attempts) {
		return policy.Decision{}
	}
	p := nt.attempts[out.Attempt]
	p.done = true
	l.learn(now, dl, nt, p, out)
	ran := out.Result != policy.Rejected && out.Result != policy.ConnectFailed && out.Result != policy.NotSent &&
		out.Result != policy.CacheMiss && out.Result != policy.Withdrawn
	if out.Result == policy.Withdrawn { // as if it had not been decided
		p.excused = true
		nt.fullAttempts -= bit(!p.cacheOnly && !p.sourceCacheOnly)
		nt.withdrawn++
	}
	if !ran && dl.IdempotencyKey != "" {
		l.dedup.AttemptNotRun(dl.IdempotencyKey, p.sentAt)
	}
	if out.Result == policy.Succeeded {
		l.overload.Completed(now, &nt.admission, now > dl.ArrivedAt+p.objective)
	}
	if dl.Done || out.Final {
		return policy.Decision{}
	}
	if ran && nt.mayHaveRun == nil {
		nt.mayHaveRun = p
	}
	if out.Result == policy.CacheMiss && (p.cacheOnly || p.sourceCacheOnly) {
		if nt.edgesAsked += bit(p.cacheOnly); !p.cacheOnly || nt.edgesAsked >= maxEdgesAsked || l.congestedAt == 0 || nt.fillStage != askEdgeCache {
			nt.fillStage++
		}
		return l.chooseEndpoint(now, dl, nt)
	}
	overloaded := l.errorRate > overloadErrorRate && !p.cancelled && out.Result != policy.Withdrawn
	agreed := len(nt.unexplainedErrors) > bit(!dl.ClientSuspect)
	if nt.fullAttempts > maxRetries || agreed || len(nt.attempts)-nt.withdrawn >= l.settings.MaxAttempts || overloaded {
		ans := l.reject(now, dl, nt)
		ans.Unprocessable = agreed
		return ans
	}
	return l.chooseEndpoint(now, dl, nt)
}

// chooseEndpoint chooses edge and source and words the pull.
func (l *Router) chooseEndpoint(now policy.Micros, dl *policy.Request, nt *requestState) policy.Decision {
	if dl.Deadline <= now || !l.dedup.CanRecord(dl.IdempotencyKey) {
		return l.reject(now, dl, nt)
	}
	p := &attempt{sentAt: now, objective: l.latencyObjective(dl), work: l.sendingTime(dl)}
	load, room := l.sendingTimes[dl.Type].value, l.limitShare(dl)
	// while less than a fill may reach the origin, a part of the objects may, the less of those that cost much
	deep := unit(nt.objectHash) / (room * room * room)
	allowed := func(n *endpoint) bool { return !nt.tried(n) && mayRunAgain(now, dl, nt, n) }
	takes := func(n *endpoint) bool {
		return n.concurrency.Allow((1+room)/2, unit(mix(nt.objectHash^n.hash))) && allowed(n)
	}
	if nt.edgesAsked > 0 && nt.fillStage == askEdgeCache {
		p.endpoint = l.pick(now, &l.edges, nt, load, func(n *endpoint) bool { return takes(n) && !nt.isKnownToLack(n) })
		if p.endpoint == nil {
			nt.fillStage++
		}
	}
	if p.endpoint == nil {
		p.endpoint = l.pick(now, &l.edges, nt, load, takes)
	}
	if p.endpoint == nil && l.settings.AllowDirect && l.pick(now, &l.edges, nt, load, allowed) == nil {
		p.endpoint = l.pick(now, &l.parents, nt, load, allowed) // no cache here can take it, full or not
		p.direct = p.endpoint != nil
	}
	if p.endpoint != nil && (p.direct || l.congestedAt > 0 && !dl.Type.Uncacheable) {
		if p.direct {
			nt.fillStage = fillFromOrigin
		} else if slowStartShare(now, p.endpoint, l.settings.EdgeSlowStart) < 1 {
			nt.fillStage = max(nt.fillStage, fillFromParentCache)
		}
		full := !l.fillLimiter.Allow(room, 0) || nt.fillStage == fillFromOrigin && !l.originLimiter.Allow(1, deep)
		if full && nt.fillStage != askEdgeCache && l.congestedAt > 0 {
			l.congestedAt = now
		}
		switch {
		case nt.fillStage == askEdgeCache:
			p.cacheOnly = true
		case full:
			p.endpoint = nil
		default:
			p.countedAsFill, p.sourceCacheOnly, p.mayReachOrigin = true, nt.fillStage == fillFromParentCache, nt.fillStage == fillFromOrigin
		}
	}
	if p.endpoint != nil && p.endpoint.halfOpen && !p.countedAsFill && !p.direct && !dl.Type.Uncacheable {
		p.cacheOnly = true // a question tells soonest whether the node is back
	}
	if p.endpoint == nil {
		return l.queue(now, dl, nt, p, allowed)
	}
	ans := policy.Decision{
		Action: policy.Send, CacheRank: defaultCacheRank, MaxAge: l.maxAge(now, dl), Coalesce: l.settings.CoalesceFills,
		OnlyIfCached: p.sourceCacheOnly, Revalidate: dl.Type.TTL > 0, Timeout: dl.Deadline - now, NotAfter: dl.Deadline,
	}
	if nt.mayHaveRun != nil && dl.Type.RetrySafety == policy.IdempotentWithKey { // its mark may be gone before this is written
		ans.NotAfter = min(ans.NotAfter, nt.mayHaveRun.sentAt+dl.Type.DedupWindow)
	}
	switch {
	case dl.Type.Uncacheable:
		p.source, ans.CacheRank, ans.Coalesce, ans.Revalidate, ans.MaxAge = l.origin, 0, false, false, 0
	case p.direct:
		p.source = l.origin
	case !p.cacheOnly:
		if !p.countedAsFill && slowStartShare(now, p.endpoint, l.settings.EdgeSlowStart) >= 1 {
			load *= l.missRatio
		}
		p.source = l.pick(now, &l.parents, nt, load, func(n *endpoint) bool { return !nt.failed(n) })
		if p.source == nil && p.sourceCacheOnly { // no parent is left to ask: a fill from the origin
			if p.sourceCacheOnly, p.mayReachOrigin, nt.fillStage = false, true, fillFromOrigin; !l.originLimiter.Allow(math.Inf(1), deep) {
				return l.queue(now, dl, nt, p, allowed)
			}
		}
		if p.source == nil {
			p.source, ans.OnlyIfCached = l.origin, false
		}
	}
	if p.source == nil {
		p.source = p.endpoint
	}
	l.send(now, nt, p, load)
	l.dedup.RecordAttempt(now, dl.IdempotencyKey, dl.Type.DedupWindow, p.endpoint.Zone, p.endpoint.Cell)
	ans.Endpoint, ans.Source = &p.endpoint.Endpoint, &p.source.Endpoint
	return ans
}

// queue has a download wait that finds no room, as long as it can still be in time.
func (l *Router) queue(now policy.Micros, dl *policy.Request, nt *requestState, p *attempt, allowed func(*endpoint) bool) policy.Decision {
	soon := len(l.edges.ready) == 0 || slices.ContainsFunc(l.edges.ready, allowed)
	late := now-dl.ArrivedAt+policy.Micros(p.work/queuedWorkRatio) >= p.objective || now+l.pollInterval(dl) >= dl.Deadline
	if soon && (!dl.IsRetry || nt.admission.OnTime()) && !late {
		return policy.Decision{Action: policy.Queue}
	}
	return l.reject(now, dl, nt)
}

// send counts a pull that goes out.
func (l *Router) send(now policy.Micros, nt *requestState, p *attempt, load float64) {
	for _, n := range []*endpoint{p.endpoint, p.source} {
		if n.halfOpen && !n.probing && p.probed == nil {
			n.probing, p.probed = true, n
		}
		n.windowWork += load
	}
	l.fillLimiter.inFlight += bit(p.countedAsFill)
	l.originLimiter.inFlight += bit(p.mayReachOrigin)
	nt.fullAttempts += bit(!p.cacheOnly && !p.sourceCacheOnly)
	p.lightlyLoaded = float64(p.endpoint.concurrency.inFlight) < p.endpoint.concurrency.limit/2
	p.endpoint.concurrency.inFlight++
	nt.attempts, nt.checkedAt = append(nt.attempts, p), now
}

// pick takes the ready node that ranks first for the object: the rendezvous hash of object and node, weighted
// by the node's size where the list tells it, so that each is home to its share; with sizes alike it is the
// highest hash. It passes over, for the next one in that order: nodes in a skip; nodes back from one, but for
// one pull at a time; and a warming node for the objects that are not yet its own, or beyond its budget.
//
// A warming node takes the share of its objects that it can do, chosen by a hash that all directors
// share, so they agree without a message. Guards against a cold node pushed over, and spreads the misses
// of an empty one. Could harm where one object is most of a node's load.
func (l *Router) pick(now policy.Micros, t *tier, nt *requestState, work float64, allowed func(*endpoint) bool) *endpoint {
	var best *endpoint
	bestRank := math.Inf(1)
	for _, n := range t.ready {
		h := mix(nt.objectHash ^ n.hash)
		rank := -math.Log(float64(h>>11+1)/(1<<53)) / n.Weight // the lower the better; by h where sizes are alike
		if rank > bestRank || !allowed(n) || n.ejectedUntil > now || n.halfOpen && n.probing {
			continue
		}
		if w := slowStartShare(now, n, t.slowStart); w < 1 && (unit(h) > w || !l.fitsSlowStartBudget(now, t, n, work)) {
			continue
		}
		best, bestRank = n, rank
	}
	return best
}

// slowStartShare is the share of its capacity that a node can do at the least.
func slowStartShare(now policy.Micros, n *endpoint, w policy.SlowStart) float64 {
	age := now - n.startedAt
	if n.startedAt == 0 || age >= w.Duration {
		return 1
	}
	return w.InitialShare + (1-w.InitialShare)*float64(max(0, age))/float64(w.Duration)
}

// fitsSlowStartBudget keeps a warming node's budget: what this director may send it in half of the window that counts, a
// part of what it bears by the link in, which carries what caches miss or parents give; untold, by its size.
// No pull goes beyond it, nor the first: hundreds of directors may make theirs at once. Where a part is less
// than a pull, which of them makes one is by chance, drawn anew each half.
func (l *Router) fitsSlowStartBudget(now policy.Micros, t *tier, n *endpoint, work float64) bool {
	each, held := l.linkShare*n.Weight/t.totalWeight, l.quotaShare(now, false)
	switch {
	case l.linkShare == 0 && l.settings.WeightsAreSizes && t == &l.parents:
		each, held = n.Weight/float64(max(1, l.settings.TotalDirectors)), l.quotaShare(now, true)
	case l.linkShare == 0 && l.settings.WeightsAreSizes:
		each = n.Weight / float64(max(1, l.settings.ZoneDirectors))
	case t == &l.edges:
		each /= l.missRatio
	}
	half := max(1, t.slowStart.OverloadWindow/2)
	if turn := now / half; n.window != turn {
		n.window, n.windowWork = turn, 0
	}
	allowance := each * held * slowStartShare(now, n, t.slowStart) * t.slowStart.OverloadFactor * slowStartBudgetShare * float64(half)
	return n.windowWork+work <= allowance+work*unit(n.hash^l.settings.Seed^mix(uint64(n.window)))
}

// checkAttempt sees to a pull that is still out. When its edge has answered nobody since it was sent, or when
// the edge has but nothing came through the source since, and other pulls found the same, that node is
// taken for silent and the download goes elsewhere; a source only where answers tell how fills went, since
// few fills go through one from here, and slow is not silent. Guards against machines that vanish without a
// reset; helps with any that hang. Could harm where a node's few answers are all long ones.
func (l *Router) checkAttempt(now policy.Micros, dl *policy.Request, nt *requestState, p *attempt) policy.Decision {
	if p.cancelled || now < nt.checkedAt+p.objective/checksPerObjective {
		return policy.Decision{}
	}
	nt.checkedAt = now
	n := p.endpoint
	if p.excused = n.lastAnswerAt >= p.sentAt; p.excused { // also by the question that went before
		n = p.source
		if !p.countedLate && !p.cacheOnly && now >= p.sentAt+p.objective { // a miss, and late: no need to wait for its end
			p.countedLate = true
			l.observeFill(now, p, lateFillRatio, p.mayReachOrigin)
		}
	}
	if n.lastAnswerAt >= p.sentAt || n == l.origin || n != p.endpoint && !l.settings.ReportsCacheStatus {
		return policy.Decision{}
	}
	if n.unanswered++; n.unanswered < failureThreshold {
		return policy.Decision{}
	}
	l.eject(now, n, p, policy.Second)
	p.cancelled = true
	return policy.Decision{Action: policy.CancelAttempt, Attempt: len(nt.attempts) - 1}
}

// learn takes a pull's end into what is known of its nodes. An error that names no cause is held against its
// node once another does what was asked; two nodes that err are taken to agree. Guards against clients that
// ask for what no node can use. Could harm where two nodes err on what a third would do.
func (l *Router) learn(now policy.Micros, dl *policy.Request, nt *requestState, p *attempt, out policy.Outcome) {
	e, s, took := p.endpoint, p.source, now-p.sentAt
	e.concurrency.inFlight--
	l.fillLimiter.inFlight -= bit(p.countedAsFill)
	l.originLimiter.inFlight -= bit(p.mayReachOrigin)
	if l.congestedAt > 0 && l.congestedAt+parentEjectionTime < now {
		l.congestedAt = 0
	}
	if p.probed != nil {
		p.probed.probing = false
	}
	observeShare(&l.errorRate, out.Result == policy.Rejected || out.Result == policy.TimedOut ||
		out.Result == policy.Succeeded && took > p.objective)
	if out.Result == policy.Failed && out.CacheStatus == policy.Unknown && l.settings.ReportsCacheStatus {
		nt.unexplainedErrors = append(nt.unexplainedErrors, p)
		e.lastAnswerAt, e.unanswered = now, 0
		return
	}
	if out.Result == policy.Succeeded || out.Result == policy.CacheMiss {
		for _, q := range nt.unexplainedErrors {
			if q.endpoint.recordFailure(q) >= failureThreshold {
				l.eject(now, q.endpoint, q, policy.Second)
			}
		}
		nt.unexplainedErrors = nil
	}
	switch out.Result {
	case policy.Succeeded:
		e.recordSuccess(now, p, out.CacheStatus == policy.Hit || out.CacheStatus == policy.Stale)
		part := float64(took) / float64(p.objective)
		if out.CacheStatus != policy.Unknown { // where answers tell nothing the share of misses stays as it was
			observeShare(&l.missRatio, out.CacheStatus > policy.Hit && out.CacheStatus != policy.Stale)
		}
		if dl.SizeKB == 0 && p.lightlyLoaded && (out.CacheStatus == policy.Hit || dl.Type.Uncacheable) { // which is never a hit
			l.sendingTimes[dl.Type].add(float64(took))
		}
		switch out.CacheStatus {
		case policy.Hit, policy.Unknown:
			e.concurrency.Observe(part, slowHitRatio, concurrencyDecrease, concurrencyIncrease)
			if out.CacheStatus == policy.Unknown && s != e { // it may have been a fill: the source is cleared, the jam learns
				s.recordSuccess(now, p, false)
				if !p.countedLate {
					l.observeFill(now, p, part, p.mayReachOrigin)
				}
			}
		case policy.Filled, policy.FilledByOrigin:
			s.recordSuccess(now, p, true)
			if !p.countedLate {
				l.observeFill(now, p, part, p.mayReachOrigin || out.CacheStatus == policy.FilledByOrigin)
			}
		}
	case policy.CacheMiss:
		e.recordSuccess(now, p, false)
	case policy.ConnectFailed, policy.ConnectionLost:
		if out.Result == policy.ConnectFailed && e.State == policy.Ready {
			e.connectFailedAt, e.halfOpen = now, true
		}
		if n := e.recordFailure(p); n >= failureThreshold && out.Result == policy.ConnectFailed || n >= failureThreshold*failureThreshold {
			l.eject(now, e, p, policy.Second)
		} else if out.Result == policy.ConnectionLost { // the connection's fault as yet, told once: there again, but once
			p.excused, e.ejectedAt = p == nt.attempts[0] || nt.attempts[len(nt.attempts)-2].endpoint != e, now
		}
	case policy.Rejected, policy.Failed, policy.TimedOut:
		if s != e && out.CacheStatus != policy.CacheFull && !p.countedLate {
			l.observeFill(now, p, lateFillRatio, p.mayReachOrigin)
		}
		if out.Result != policy.TimedOut {
			e.lastAnswerAt, e.unanswered = now, 0
		}
		if out.CacheStatus >= policy.SourceRejected && out.CacheStatus != policy.CacheFull {
			p.excused = true
			if out.CacheStatus == policy.SourceRejected || out.CacheStatus == policy.SourceUnavailable {
				s.recordSourceFailure(l, now, p)
			}
			return
		}
		if n := e.recordFailure(p); n >= failureThreshold && out.Result != policy.Rejected || n >= failureThreshold*failureThreshold {
			l.eject(now, e, p, policy.Second)
		}
		if s != e && !l.settings.ReportsCacheStatus {
			s.recordSourceFailure(l, now, p)
		}
	}
}

// recordSuccess clears a node of what was held against it. One that did not take connections may have started anew
// before the list tells: unless it holds what it is asked for, it is warming from now on. Guards against
// pushing over what restarts in numbers. Could harm where connections fail for another reason, until a hit.
func (n *endpoint) recordSuccess(now policy.Micros, p *attempt, holds bool) {
	if n.connectFailedAt > 0 && holds {
		n.connectFailedAt = 0
	} else if n.connectFailedAt > 0 && p.sentAt >= n.connectFailedAt {
		n.connectFailedAt, n.startedAt = 0, now
	}
	n.lastAnswerAt, n.unanswered, n.consecutiveFailures, n.halfOpen, n.ejectionTime = now, 0, 0, false, 0
}

// observeFill watches how fast fills are. Once they are jammed the home is asked first for what it holds, and
// misses pass the gate's limit; those that may reach the origin pass its own. Guards against a location's
// link or the origin jammed by fills that all end late, are dropped and must be made again; helps whatever
// made them slow. Could harm where few are slow for long: then misses wait that need not.
//
// A parent whose fills are late, and twice as slow as another's, is skipped: the design page's skip where
// answers tell that a source is slow, told here by how long fills through it take.
func (l *Router) observeFill(now policy.Micros, p *attempt, part float64, deep bool) {
	if l.fillLatency += (part - l.fillLatency) / l.fillLatencyMemory; l.fillLatency > congestionThreshold {
		l.congestedAt = now
	}
	if deep {
		l.originLimiter.Observe(part, 1, originDecrease, l.fillIncrease)
	}
	if p.countedAsFill && (part <= 1 || !deep && now > p.sentAt+p.objective) { // a refusal says nothing of the link
		l.fillLimiter.Observe(part, 1, concurrencyDecrease, l.fillIncrease)
	}
	s := p.source
	s.fillLatency += (part - s.fillLatency) / slowMemory
	faster := func(n *endpoint) bool { return n.fillLatency < s.fillLatency/2 && n.ejectedUntil <= now && !n.halfOpen }
	if s.fillLatency > slowParentRatio && slices.ContainsFunc(l.parents.ready, faster) {
		l.eject(now, s, p, parentEjectionTime)
		s.fillLatency = slowParentRatio / 2
	}
}

// ProbeDone takes what came of a question after another's hint: as a pull that did not reach the node, or
// word that it may be tried; one that may be full is tried with a pull at a time. Guards against learning
// alone what others know; a false hint costs a question.
func (l *Router) ProbeDone(now policy.Micros, id string, well, full bool) {
	if n := l.endpoints[id]; n != nil && well {
		n.ejectedUntil, n.halfOpen = min(n.ejectedUntil, now), n.halfOpen || full
	} else if n != nil && n.State == policy.Ready {
		n.connectFailedAt, n.halfOpen = now, true
	}
}

// recordSourceFailure counts a fill that a source failed or was slow with; some in a row and it is skipped. Where answers
// don't tell whose fault it was, every answer through it clears it, and when no other parent is left either
// the trouble lies behind them: all are used again. Guards against dead and slow parents, and against giving
// up what parents hold while the origin fails. Could harm while all parents are dead but still listed.
func (n *endpoint) recordSourceFailure(l *Router, now policy.Micros, p *attempt) {
	if n.recordFailure(p) < failureThreshold {
		return
	}
	usable := func(o *endpoint) bool { return o != n && o.ejectedUntil <= now }
	if l.settings.ReportsCacheStatus || slices.ContainsFunc(l.parents.ready, usable) {
		l.eject(now, n, p, parentEjectionTime)
		return
	}
	for _, o := range l.parents.ready {
		o.consecutiveFailures, o.ejectedUntil, o.halfOpen = 0, 0, false
	}
}

// recordFailure counts a bad end and says how many there were in a row. A trial after a skip tells enough.
func (n *endpoint) recordFailure(p *attempt) int {
	if n.consecutiveFailures += bit(p.sentAt >= n.ejectedAt); p.probed == n {
		n.consecutiveFailures = failureThreshold * failureThreshold
	}
	return n.consecutiveFailures
}

// eject leaves a node alone for a while, twice as long each time, then lets one pull try it.
func (l *Router) eject(now policy.Micros, n *endpoint, p *attempt, least policy.Micros) {
	if n == l.origin || n.ejectedUntil > now || p.sentAt < n.ejectedAt {
		return
	}
	n.ejectionTime = min(max(least, 2*n.ejectionTime), parentEjectionTime)
	n.ejectedAt, n.ejectedUntil, n.halfOpen, n.consecutiveFailures = now, now+n.ejectionTime, true, 0
}

// limitShare is the part of the gate that a download may use: all of it, or the less the more work it costs for
// its benefit than most; of an edge's limit no less than half. Guards against a few long downloads that make
// many short ones late; acts only where limits are reached. Could harm a content type that is all long.
func (l *Router) limitShare(dl *policy.Request) float64 { return min(1, l.averageCost.value/l.cost(dl)) }

// cost is a download's sending time for a unit of its benefit.
func (l *Router) cost(dl *policy.Request) float64 {
	return max(1, l.sendingTime(dl)) / max(dl.Type.PriorityWeight, 1e-9)
}

// reject ends a download at once: with a throttling reply where a new try is harmless, else abandoned. When
// to come back is asked of the guard against storms; a key's window must not pass until then.
func (l *Router) reject(now policy.Micros, dl *policy.Request, nt *requestState) policy.Decision {
	back := l.overload.RetryAfter(now, &nt.admission, min(l.settings.MaxRetryAfter, dl.Type.LatencyObjective))
	if t := dl.Type; nt.mayHaveRun != nil && (t.RetrySafety == policy.NotIdempotent || t.RetrySafety == policy.IdempotentWithKey &&
		(t.DedupScope != policy.DedupScopeAll || dl.IdempotencyKey != "" && now+back >= nt.mayHaveRun.sentAt+t.DedupWindow)) {
		return policy.Decision{Action: policy.Fail}
	}
	return policy.Decision{Action: policy.Reject, RetryAfter: back}
}

// ClientConnected says that a client has connected.
func (l *Router) ClientConnected(now policy.Micros) { l.overload.ClientConnected(now) }

// OverloadReport tells how storms go.
func (l *Router) OverloadReport(now policy.Micros) overload.Report { return l.overload.Report(now) }

// Capacity is this director's part of what the location's ready caches can do, in transfers at full pace.
func (l *Router) Capacity(at policy.Micros) (able float64) {
	for _, n := range l.edges.ready {
		if n.ejectedUntil <= at {
			able += slowStartShare(at, n, l.settings.EdgeSlowStart) * n.Weight
		}
	}
	return able * l.quotaShare(at, false) * l.WarmCapacity() / max(l.edges.totalWeight, 1e-3)
}

// WarmCapacity is what they can do when warm: what the link in carries over what they miss; untold, their sizes.
func (l *Router) WarmCapacity() float64 {
	if l.linkShare == 0 && l.settings.WeightsAreSizes {
		return l.edges.totalWeight / float64(max(1, l.settings.ZoneDirectors))
	}
	return l.linkShare / max(l.missRatio, 1.0/meanMemory)
}

// mayRunAgain says whether rule 2 allows a pull to a node after what may have run.
func mayRunAgain(now policy.Micros, dl *policy.Request, nt *requestState, n *endpoint) bool {
	switch t, ran := dl.Type, nt.mayHaveRun; {
	case ran == nil || t.RetrySafety == policy.Idempotent:
		return true
	case t.RetrySafety == policy.NotIdempotent || now >= ran.sentAt+t.DedupWindow:
		return false
	case t.DedupScope == policy.DedupScopeZone:
		return n.Zone == ran.endpoint.Zone
	default:
		return t.DedupScope == policy.DedupScopeAll || n.Cell == ran.endpoint.Cell
	}
}

// maxAge is the greatest age of a copy that may answer now; 0 for the content type's fresh time.
func (l *Router) maxAge(now policy.Micros, dl *policy.Request) policy.Micros {
	at := max(l.purges[purgeKey{dl.Object, policy.AllGroups}], l.purges[purgeKey{"", dl.Group}], l.purges[purgeKey{"", policy.AllGroups}])
	if age := max(1, now-at); at > 0 && at+l.settings.PurgeRetention >= now && (dl.Type.TTL == 0 || age < dl.Type.TTL) {
		return age
	}
	return 0
}

// sendingTime is a download's sending time at full pace.
func (l *Router) sendingTime(dl *policy.Request) float64 {
	if dl.SizeKB > 0 && l.settings.TransferKBPerSecond > 0 {
		return dl.SizeKB / l.settings.TransferKBPerSecond * float64(policy.Second)
	}
	return l.sendingTimes[dl.Type].value
}

// latencyObjective is the time within which a download earns its full benefit.
func (l *Router) latencyObjective(dl *policy.Request) policy.Micros {
	return min(dl.Type.LatencyObjective+policy.Micros(dl.Type.TransferFactor*l.sendingTime(dl)), max(dl.Type.Timeout, 1))
}

func (nt *requestState) lastAttempt() *attempt {
	if len(nt.attempts) == 0 {
		return nil
	}
	return nt.attempts[len(nt.attempts)-1]
}

func (nt *requestState) tried(n *endpoint) bool {
	return slices.ContainsFunc(nt.attempts, func(p *attempt) bool {
		return p.endpoint == n && !p.cacheOnly && !p.sourceCacheOnly && !p.excused
	})
}

func (nt *requestState) isKnownToLack(n *endpoint) bool {
	return slices.ContainsFunc(nt.attempts, func(p *attempt) bool { return p.endpoint == n && p.cacheOnly })
}

func (nt *requestState) failed(n *endpoint) bool {
	return slices.ContainsFunc(nt.attempts, func(p *attempt) bool { return p.source == n && !p.sourceCacheOnly })
}

// observeShare moves a running share towards an event.
func observeShare(share *float64, on bool) {
	*share += (float64(bit(on)) - *share) / meanMemory
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
