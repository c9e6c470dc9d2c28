// Package logic decides where downloads go in a two-tier cache: every decision, table and tuned value of
// tallyproxy is in this file. Its interface is director.Director, in director/director.go.
//
// How to call it: New makes one instance from the settings. Tell it the list of nodes (Listed) and the
// purges (Purged) as they come. Ask Where for each download, do what the answer says, and report each
// pull's end to After. After every Pull or Hold ask Wait; when that time is over ask Where again, which
// may then say Cancel. A download that is Over is only reported on. Calls must not overlap.
//
// The ordinary path: one hash of object and node picks the home edge cache among the location's ready
// caches, another the home parent among all ready parents; a miss is filled through that parent and kept
// at the middle rank. The exceptions to it are named where they stand, and in docs/design.md.
package logic

import (
	"math"
	"slices"
	"strings"

	d "tallyproxy/director"
)

const (
	middleRank    = 2
	skipParent    = 10 * d.Second // the design page's figure
	furtherPulls  = 2             // beyond the first, while no overload is seen
	strikes       = 3             // bad ends in a row that count as a node's failure
	overloadShare = 0.25          // share of pulls turned away or late from which overload is seen
	budgetPart    = 0.5           // part of a warming node's budget that the directors together use
	checkPart     = 0.5           // part of the target time after which an unanswered pull is looked at
	memory        = 100           // pulls over which running means look back, about
)

// typeRow is what the module keeps for one content type.
type typeRow struct {
	work float64 // mean sending time in µs: told by sizes, else learned from hits
	seen float64
}

// node is one entry of the list, kept until the list says it is gone.
type node struct {
	d.Node
	hash      uint64
	draining  bool
	bad       int      // bad ends in a row
	skipUntil d.Micros // not used before this
	skipFor   d.Micros // how long the last skip was
	trial     bool     // back from a skip: one pull at a time until one ends well
	trying    bool     // that pull is out
	heard     d.Micros // when the last answer came
	level     float64  // cold work sent and not yet drained from the budget
	drained   d.Micros
}

// pull is one try of a download.
type pull struct {
	edge, source *node
	sent         d.Micros
	work         float64
	over         bool
	cancelled    bool
	trial        *node
}

// notes are what the module keeps of a download; they go with it.
type notes struct {
	hash   uint64
	pulls  []*pull
	ran    *pull // the first pull that may have run
	judged bool  // the silence check is done
}

// Logic is one instance.
type Logic struct {
	s       d.Settings
	types   map[*d.ContentType]*typeRow // a row a type, never more
	nodes   map[string]*node            // emptied by the list
	edges   []*node                     // the location's ready caches, by id
	parents []*node                     // all ready parents, by id
	origin  *node
	purges  map[purgeKey]d.Micros // when; emptied once no older copy can be left
	started d.Micros              // the first download
	offered float64               // work offered by clients, decayed
	offerAt d.Micros
	missing float64 // share of pulls that were not hits
	trouble float64 // share of pulls turned away or late
}

type purgeKey struct {
	object string
	group  int
}

// New makes an instance.
func New(s d.Settings) *Logic {
	l := &Logic{
		s: s, types: map[*d.ContentType]*typeRow{}, nodes: map[string]*node{},
		purges: map[purgeKey]d.Micros{}, missing: 0.5,
	}
	for _, t := range s.Types {
		l.types[t] = &typeRow{work: float64(t.TargetTime) / (1 + t.Stretch)}
	}
	return l
}

// Listed takes the list of nodes.
func (l *Logic) Listed(now d.Micros, rows []d.Node, complete bool) {
	if complete {
		keep := map[string]bool{}
		for _, row := range rows {
			keep[row.ID] = true
		}
		for id := range l.nodes {
			if !keep[id] {
				delete(l.nodes, id)
			}
		}
	}
	for _, row := range rows {
		n := l.nodes[row.ID]
		if row.State == d.Gone {
			delete(l.nodes, row.ID)
			continue
		}
		if n == nil {
			n = &node{hash: hashOf(row.ID), heard: now}
			l.nodes[row.ID] = n
		}
		if n.Started != row.Started { // a fresh process: what was known of the old one is void
			*n = node{hash: n.hash, heard: now}
		}
		n.Node, n.draining = row, row.State == d.Draining
	}
	l.edges, l.parents, l.origin = l.edges[:0], l.parents[:0], nil
	for _, n := range l.nodes {
		switch {
		case n.draining:
		case n.Kind == l.s.OriginKind:
			if l.origin == nil || n.ID < l.origin.ID {
				l.origin = n
			}
		case n.Kind == l.s.ParentKind:
			l.parents = append(l.parents, n)
		case n.Zone == l.s.Zone:
			l.edges = append(l.edges, n)
		}
	}
	byID := func(a, b *node) int { return strings.Compare(a.ID, b.ID) }
	slices.SortFunc(l.edges, byID)
	slices.SortFunc(l.parents, byID)
}

// Purged takes a purge. It binds from now on, for later pulls of downloads in hand too.
func (l *Logic) Purged(now d.Micros, object string, group int, at d.Micros) {
	for key, t := range l.purges {
		if t+l.s.PurgeKept < now {
			delete(l.purges, key)
		}
	}
	key := purgeKey{object, group}
	if object != "" {
		key.group = -1
	}
	l.purges[key] = max(l.purges[key], at)
}

// Where says where to send a download, or not yet, or never.
func (l *Logic) Where(now d.Micros, dl *d.Download) d.Answer {
	if dl.Over {
		return d.Answer{}
	}
	nt, _ := dl.Notes.(*notes)
	if nt == nil {
		nt = &notes{hash: hashOf(dl.Object)}
		dl.Notes = nt
		l.offer(now, dl)
	}
	if p := nt.last(); p != nil && !p.over {
		return l.look(now, dl, nt, p)
	}
	return l.place(now, dl, nt)
}

// Wait says when to ask Where again: for a pull that is out, when to see whether its node has gone
// silent; for a held download, soon.
func (l *Logic) Wait(now d.Micros, dl *d.Download) d.Micros {
	nt, _ := dl.Notes.(*notes)
	if nt == nil || dl.Over {
		return 0
	}
	if p := nt.last(); p != nil && !p.over {
		if nt.judged || p.cancelled || !l.s.CanCancel {
			return 0
		}
		return max(1, p.sent+l.checkAfter(dl)-now)
	}
	return max(1, min(l.s.Edge.Window/10, dl.Leaves-now))
}

// After says what to do after a pull's end.
func (l *Logic) After(now d.Micros, dl *d.Download, out d.Outcome) d.Answer {
	nt, _ := dl.Notes.(*notes)
	if nt == nil || out.Pull >= len(nt.pulls) {
		return d.Answer{}
	}
	p := nt.pulls[out.Pull]
	p.over = true
	l.learn(now, dl, p, out)
	if dl.Over || out.Last {
		return d.Answer{}
	}
	if out.Ending != d.TurnedAway && out.Ending != d.Unreached && out.Ending != d.NeverSent &&
		out.Ending != d.Missing && nt.ran == nil {
		nt.ran = p
	}
	overloaded := l.trouble > overloadShare && !p.cancelled
	if len(nt.pulls) > furtherPulls || len(nt.pulls) >= l.s.MostPulls || overloaded {
		return l.giveUp(dl, nt)
	}
	return l.place(now, dl, nt)
}

// place chooses edge and source and words the pull.
func (l *Logic) place(now d.Micros, dl *d.Download, nt *notes) d.Answer {
	if dl.Leaves <= now || !l.mayRepeat(now, dl, nt) {
		return l.giveUp(dl, nt)
	}
	work := l.work(dl)
	edge := l.pick(now, l.edges, nt, work, l.s.Edge, func(n *node) bool {
		return !nt.tried(n) && l.inGroup(dl, nt, n)
	})
	if edge == nil {
		if len(nt.pulls) == 0 && now-dl.Arrived < l.target(dl)/2 && now+l.s.Edge.Window/10 < dl.Leaves {
			return d.Answer{Verb: d.Hold}
		}
		return l.giveUp(dl, nt)
	}
	p := &pull{edge: edge, sent: now, work: work}
	ans := d.Answer{
		Verb: d.Pull, Keep: middleRank, Oldest: l.oldest(now, dl), Join: l.s.JoinFills,
		Renew: dl.Type.Fresh > 0, TimeOut: dl.Leaves - now,
	}
	if dl.Type.PassThrough {
		p.source, ans.Keep, ans.Join, ans.Renew, ans.Oldest = l.origin, 0, false, false, 0
	} else {
		fill := work
		if l.warmth(now, edge, l.s.Edge) >= 1 {
			fill *= l.missing
		}
		p.source = l.pick(now, l.parents, nt, fill, l.s.Parent, func(n *node) bool { return !nt.failed(n) })
		if p.source == nil {
			p.source = l.origin
		}
	}
	if p.source == nil {
		p.source = edge
	}
	for _, n := range []*node{edge, p.source} {
		if n.trial && !n.trying && p.trial == nil {
			n.trying, p.trial = true, n
		}
	}
	nt.pulls = append(nt.pulls, p)
	nt.judged = false
	ans.Node, ans.Source = &edge.Node, &p.source.Node
	return ans
}

// pick takes the ready node with the highest hash of object and node. It passes over, for the next one
// in hash order: nodes in a skip; nodes back from one, but for one pull at a time; and a warming node
// for the objects that are not yet its own, or beyond its budget.
//
// A warming node takes the share of its objects that it can do, chosen by a hash that all directors
// share, so they agree without a message. Guards against a cold node pushed over, and spreads the misses
// of an empty one. Could harm where one object is most of a node's load.
func (l *Logic) pick(now d.Micros, from []*node, nt *notes, work float64, warming d.Warming,
	allowed func(*node) bool,
) *node {
	var best *node
	var bestHash uint64
	for _, n := range from {
		h := mix(nt.hash ^ n.hash)
		if best != nil && h < bestHash || !allowed(n) || n.skipUntil > now || n.trial && n.trying {
			continue
		}
		if w := l.warmth(now, n, warming); w < 1 {
			if float64(mix(h)>>11)/(1<<53) > w || !l.fits(now, n, work, w*l.rate(now)/float64(len(from)), warming) {
				continue
			}
		}
		best, bestHash = n, h
	}
	if best != nil && l.warmth(now, best, warming) < 1 {
		best.level += work
	}
	return best
}

// warmth is the share of its capacity that a node can do at the least.
func (l *Logic) warmth(now d.Micros, n *node, w d.Warming) float64 {
	age := now - n.Started
	if n.Started == 0 || age >= w.Time {
		return 1
	}
	return w.From + (1-w.From)*float64(max(0, age))/float64(w.Time)
}

// fits keeps a warming node's budget: what this director may send it within any window. Its part is
// measured by the work that its own clients offer a warm node.
func (l *Logic) fits(now d.Micros, n *node, work, rate float64, w d.Warming) bool {
	allowance := rate * w.Multiple * budgetPart
	n.level = max(0, n.level-allowance*float64(now-n.drained)/float64(d.Second))
	n.drained = now
	return n.level == 0 || n.level+work < allowance*float64(w.Window)/float64(d.Second)/2
}

// look sees to a pull that is still out: when its node has answered nobody since it was sent, the node
// is taken for silent and the download goes elsewhere. Guards against machines that vanish without a
// reset; helps with any that hang. Could harm where a node's few answers are all long ones.
func (l *Logic) look(now d.Micros, dl *d.Download, nt *notes, p *pull) d.Answer {
	if nt.judged || p.cancelled || now < p.sent+l.checkAfter(dl) {
		return d.Answer{}
	}
	nt.judged = true
	if p.edge.heard > p.sent || !l.s.CanCancel || dl.Type.Repeat == d.NonRetriable {
		return d.Answer{}
	}
	l.skip(now, p.edge, d.Second, skipParent)
	p.cancelled = true
	return d.Answer{Verb: d.Cancel, Pull: len(nt.pulls) - 1}
}

func (l *Logic) checkAfter(dl *d.Download) d.Micros {
	return d.Micros(float64(l.target(dl)) * checkPart)
}

// learn takes a pull's end into what is known of its nodes.
func (l *Logic) learn(now d.Micros, dl *d.Download, p *pull, out d.Outcome) {
	if p.trial != nil {
		p.trial.trying = false
	}
	if out.Ending == d.NeverSent {
		return
	}
	took := now - p.sent
	late := out.Ending == d.TurnedAway || out.Ending == d.TimedOut || out.Ending == d.Fulfilled && took > l.target(dl)
	step(&l.trouble, late)
	e, s := p.edge, p.source
	switch out.Ending {
	case d.Fulfilled, d.Missing, d.TurnedAway, d.Failed:
		e.heard = now
	}
	switch out.Ending {
	case d.Fulfilled:
		e.bad, e.trial, e.skipFor = 0, false, 0
		step(&l.missing, out.Filling > d.Hit && out.Filling != d.Stale)
		if out.Filling == d.Filled || out.Filling == d.FilledByOrigin {
			s.bad, s.trial, s.skipFor = 0, false, 0
			if l.s.SourcesTold && out.Filling == d.Filled && out.Waited > dl.Type.TargetTime {
				l.skip(now, s, skipParent, skipParent)
			}
		}
		row := l.types[dl.Type]
		if dl.SizeKB == 0 && out.Filling == d.Hit {
			row.seen = min(row.seen+1, memory)
			row.work += (float64(took) - row.work) / row.seen
		}
	case d.Unreached, d.Broken:
		l.skip(now, e, d.Second, skipParent)
	case d.TurnedAway, d.Failed, d.TimedOut:
		switch {
		case l.s.SourcesTold && (out.Filling == d.SourceRefused || out.Filling == d.SourceLost):
			l.skip(now, s, skipParent, skipParent)
		case l.s.SourcesTold && out.Filling == d.OriginFailed:
		default:
			if e.bad++; e.bad >= strikes && out.Ending != d.TurnedAway {
				l.skip(now, e, d.Second, skipParent)
			}
			if s != e && !l.s.SourcesTold {
				if s.bad++; s.bad >= strikes {
					l.skip(now, s, skipParent, skipParent)
				}
			}
		}
	}
}

// skip leaves a node alone for a while, twice as long each time, then lets one pull try it.
func (l *Logic) skip(now d.Micros, n *node, least, most d.Micros) {
	if n == l.origin || n.skipUntil > now {
		return
	}
	n.skipFor = min(max(least, 2*n.skipFor), most)
	n.skipUntil, n.trial, n.bad = now+n.skipFor, true, 0
}

// giveUp ends a download at once: with a throttling reply where a new try is harmless, else abandoned.
func (l *Logic) giveUp(dl *d.Download, nt *notes) d.Answer {
	if nt.ran != nil && (dl.Type.Repeat == d.NonRetriable ||
		dl.Type.Repeat == d.Deduped && dl.Type.Scope != d.ScopeAll) {
		return d.Answer{Verb: d.Abandon}
	}
	return d.Answer{Verb: d.Throttle, ComeBack: min(l.s.MaxComeBack, dl.Type.TargetTime)}
}

// mayRepeat says whether rule 2 allows another pull at all.
func (l *Logic) mayRepeat(now d.Micros, dl *d.Download, nt *notes) bool {
	switch {
	case nt.ran == nil || dl.Type.Repeat == d.Retriable:
		return true
	case dl.Type.Repeat == d.Deduped:
		return now < nt.ran.sent+dl.Type.Window
	}
	return false
}

// inGroup says whether a node drops the repeats of what may have run.
func (l *Logic) inGroup(dl *d.Download, nt *notes, n *node) bool {
	switch {
	case nt.ran == nil || dl.Type.Repeat == d.Retriable || dl.Type.Scope == d.ScopeAll:
		return true
	case dl.Type.Scope == d.ScopeZone:
		return n.Zone == nt.ran.edge.Zone
	}
	return n.Cell == nt.ran.edge.Cell
}

// oldest is the greatest age of a copy that may answer now; 0 for the content type's own.
func (l *Logic) oldest(now d.Micros, dl *d.Download) d.Micros {
	at := max(l.purges[purgeKey{dl.Object, -1}], l.purges[purgeKey{"", dl.Group}])
	if at == 0 || at+l.s.PurgeKept < now {
		return 0
	}
	age := max(1, now-at)
	if dl.Type.Fresh > 0 && age >= dl.Type.Fresh {
		return 0
	}
	return age
}

// offer counts the work that clients ask for.
func (l *Logic) offer(now d.Micros, dl *d.Download) {
	if l.started == 0 {
		l.started, l.offerAt = now, now
	}
	l.offered = l.offered*l.fade(now) + l.work(dl)
	l.offerAt = now
	row := l.types[dl.Type]
	if dl.SizeKB > 0 && l.s.PaceKB > 0 {
		row.seen = min(row.seen+1, memory)
		row.work += (l.work(dl) - row.work) / row.seen
	}
}

func (l *Logic) fade(now d.Micros) float64 {
	return math.Exp(-float64(now-l.offerAt) / float64(l.s.Edge.Time))
}

// rate is the work that clients offer, in µs of sending time a second.
func (l *Logic) rate(now d.Micros) float64 {
	span := float64(l.s.Edge.Time) * (1 - math.Exp(-float64(now-l.started)/float64(l.s.Edge.Time)))
	return l.offered * l.fade(now) / max(span, float64(d.Second)) * float64(d.Second)
}

// work is a download's sending time at full pace.
func (l *Logic) work(dl *d.Download) float64 {
	if dl.SizeKB > 0 && l.s.PaceKB > 0 {
		return dl.SizeKB / l.s.PaceKB * float64(d.Second)
	}
	return l.types[dl.Type].work
}

// target is the time within which a download earns its full benefit.
func (l *Logic) target(dl *d.Download) d.Micros {
	return min(dl.Type.TargetTime+d.Micros(dl.Type.Stretch*l.work(dl)), max(dl.Type.Expiry, 1))
}

func (nt *notes) last() *pull {
	if len(nt.pulls) == 0 {
		return nil
	}
	return nt.pulls[len(nt.pulls)-1]
}

func (nt *notes) tried(n *node) bool {
	return slices.ContainsFunc(nt.pulls, func(p *pull) bool { return p.edge == n })
}

func (nt *notes) failed(n *node) bool {
	return slices.ContainsFunc(nt.pulls, func(p *pull) bool { return p.source == n })
}

// step moves a running share towards an event.
func step(share *float64, on bool) {
	target := 0.0
	if on {
		target = 1
	}
	*share += (target - *share) / memory
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
