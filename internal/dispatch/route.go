// Package route stands between clients, nodes and the decisions. A router has one module and one list; its shards, a goroutine
// each, own the downloads of their clients with pulls and timers. They ask the module in turn, do what its answer says, and
// decide nothing.
package dispatch

import (
	"errors"
	"log/slog"
	"maps"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tallyproxy/internal/discovery"
	"tallyproxy/internal/downstream"
	"tallyproxy/internal/logevent"
	"tallyproxy/internal/upstream"
	"tallyproxy/policy"
	"tallyproxy/shard"
	"tallyproxy/timerwheel"
)

const waiting = 1024 // messages that may wait for a shard before their senders do

// Router holds what all shards share. Its methods may be called from any goroutine.
type Router struct {
	margins policy.Timeouts
	fleet   *upstream.Pool
	start   time.Time
	offset  policy.Micros // the system's clock at the start
	shards  []*Shard
	ids     *shard.Owners // of downloads, until their pulls have ended too
	epochs  *shard.Epochs // of lists and purges
	purges  atomic.Int64  // epoch of the last purge
	open    atomic.Int64  // downloads without a final answer
	mu      sync.Mutex    // one shard at a time asks the module; a download's decisions take less than a microsecond
	module  policy.Policy
	own     StallMonitor
	peers   map[string]*peer              // by node; emptied by the list
	listed  map[string]discovery.Endpoint // as the list has it; emptied by it
	avoided map[string]bool               // taken for draining, whatever the list says; the operator's

	fulfilled, throttled, abandoned, pulled, recalled atomic.Int64
}

// peer is one process of a node. Each shard has connections of its own to it, within the fleet's one limit: shared ones
// would have all shards wait for each other's locks.
type peer struct {
	of      []*upstream.Endpoint // by shard
	addr    string
	started policy.Micros
}

func (p *peer) leave() {
	for _, q := range p.of {
		q.CloseWhenIdle()
	}
}

// StallMonitor says whether this director may act on what it knows; where not, Clear is closed once it may.
type StallMonitor interface {
	Trusted() bool
	Resolved() <-chan struct{}
	StaleBy(read time.Time) time.Duration // how long before it was read something may have come
}

// SetStallMonitor has all shards rest while what they know is in doubt; before Run.
func (r *Router) SetStallMonitor(own StallMonitor) { r.own = own }

// rest waits while what this director knows is in doubt, which is bounded; false at the end. It stands before every message and
// all timers: after a pause what waits here is older than what the command channel has to tell, and nothing may be sent or
// served on it.
func (s *Shard) rest() bool {
	for s.own != nil && !s.own.Trusted() {
		select {
		case <-s.own.Resolved():
		case <-s.done:
			return false
		}
	}
	return true
}

// Shard owns some clients' downloads. Its methods as a front.Sink may be called from any goroutine.
type Shard struct {
	*Router
	number int
	calls  *shard.Queue[func()]
	done   chan struct{}

	// owned by the goroutine
	downloads map[*downstream.Conn]map[uint64]*download // emptied as they end
	timers    *timerwheel.Wheel[*download]
	end       policy.Micros // when all is to be answered; 0 for no such time
}

// download is one in hand, until its final answer is out and its pulls have ended.
type download struct {
	policy.Request
	shard *Shard
	conn  *downstream.Conn
	tag   uint64
	ask   downstream.Request
	pulls []*pull
	wake  policy.Micros // when to ask the module again; 0 for not
	due   policy.Micros // its place among the timers; 0 for none
	timer timerwheel.Item[*download]
}

type pull struct {
	*upstream.Attempt
	until policy.Micros
	over  bool
}

// New makes a router of so many shards; Run lets it work.
func New(module policy.Policy, m policy.Timeouts, fleet *upstream.Pool, shards int) *Router {
	r := &Router{
		module: module, margins: m, fleet: fleet, start: time.Now(), peers: map[string]*peer{}, ids: shard.NewOwners(),
		epochs: shard.NewEpochs(shards), listed: map[string]discovery.Endpoint{},
	}
	r.offset = policy.Micros(r.start.UnixMicro())
	for i := range shards {
		r.shards = append(r.shards, &Shard{
			Router: r, number: i, calls: shard.NewQueue[func()](waiting), done: make(chan struct{}),
			downloads: map[*downstream.Conn]map[uint64]*download{},
			timers:    timerwheel.New[*download](timerTick, int64(r.offset)),
		})
	}
	return r
}

const timerTick = 250 // µs

// Shards are those that clients are spread over.
func (r *Router) Shards() []*Shard { return r.shards }

// at is a moment on the module's clock: one reading of the system's clock, then the monotonic one.
func (r *Router) at(t time.Time) policy.Micros {
	return r.offset + policy.Micros(t.Sub(r.start)/time.Microsecond)
}

func (r *Router) now() policy.Micros { return r.at(time.Now()) }

// Now is the time on the module's clock.
func (r *Router) Now() policy.Micros { return r.now() }

// Run works until Stop.
func (r *Router) Run() {
	var all sync.WaitGroup
	for _, s := range r.shards {
		all.Go(s.run)
	}
	all.Wait()
}

func (s *Shard) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	planned := time.Time{} // for when the timer is set
	for {
		select {
		case <-s.calls.Ready():
		case <-timer.C:
			planned = time.Time{}
		case <-s.done:
			return
		}
		epoch := s.epochs.Latest()
		for _, call := range s.calls.TakeAll() {
			if !s.rest() {
				return
			}
			call()
		}
		if !s.rest() {
			return
		}
		now := time.Now()
		s.timers.Advance(int64(s.at(now)), func(i *timerwheel.Item[*download]) { s.due(i.Value) })
		s.epochs.Acknowledge(s.number, epoch) // what was decided before has been handed on
		if s.timers.Len() == 0 {
			continue
		}
		if next := now.Add(s.timers.UntilNext(int64(s.at(now)))); planned.IsZero() || next.Before(planned) {
			planned = next
			timer.Reset(time.Until(next))
		}
	}
}

// Stop ends Run.
func (r *Router) Stop() {
	for _, s := range r.shards {
		s.calls.Close()
		close(s.done)
	}
}

// OpenRequests says how many downloads have no final answer yet, or wait to be taken up.
func (r *Router) OpenRequests() int {
	for _, s := range r.shards {
		passed := make(chan struct{})
		if s.calls.Put(func() { close(passed) }) {
			select {
			case <-passed:
			case <-s.done:
			}
		}
	}
	return int(r.open.Load())
}

// DrainBy has what is in hand, and what still comes, end by a time.
func (r *Router) DrainBy(by time.Time) {
	end := r.at(by)
	for _, s := range r.shards {
		s.calls.PutUnbounded(func() {
			s.end = end
			for _, of := range s.downloads {
				for _, dl := range of {
					dl.Deadline = min(dl.Deadline, end)
					for _, p := range dl.pulls {
						p.until = min(p.until, end)
					}
					s.plan(dl)
				}
			}
		})
	}
}

// WithPolicy makes a call while the module is at rest.
func (r *Router) WithPolicy(call func()) {
	defer caught(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	call()
}

// Epochs is the number of the last event that came, and that of the last one that is in force on every shard.
func (r *Router) Epochs() (told, inForce int64) { return r.epochs.Latest(), r.epochs.Applied() }

// Apply takes events of the command channel. When it returns, the module heeds them; each shard shows with its next turn that
// nothing decided before is left in its hands.
func (r *Router) Apply(events []discovery.Event) {
	for _, e := range events {
		r.WithPolicy(func() { r.apply(e) })
	}
	r.nudge()
}

func (r *Router) apply(e discovery.Event) {
	defer r.epochs.Publish()
	if !e.HasEndpoints {
		if e.PurgedAt > 0 {
			r.void(e.Object, e.Group, e.PurgedAt)
		}
		return
	}
	rows, named := make([]policy.Endpoint, len(e.Endpoints)), map[string]bool{}
	for i, n := range e.Endpoints {
		if r.listed[n.ID] = n; n.State == policy.Removed {
			delete(r.listed, n.ID)
		}
		if r.avoided[n.ID] && n.State == policy.Ready {
			n.State = policy.Draining
		}
		rows[i], named[n.ID] = n.Endpoint, true
		p := r.peers[n.ID]
		if p != nil && (n.State == policy.Removed || p.addr != n.Address || p.started != n.Started) {
			p.leave()
			delete(r.peers, n.ID)
			p = nil
		}
		if p == nil && n.State != policy.Removed {
			p = &peer{make([]*upstream.Endpoint, len(r.shards)), n.Address, n.Started}
			for i := range p.of {
				p.of[i] = r.fleet.NewEndpoint(n.Address)
			}
			r.peers[n.ID] = p
		}
		if p != nil {
			for _, q := range p.of {
				q.SetDraining(n.State != policy.Ready)
			}
		}
	}
	for id, p := range r.peers {
		if e.Snapshot && !named[id] {
			p.leave()
			delete(r.peers, id)
			delete(r.listed, id)
		}
	}
	r.module.UpdateEndpoints(r.now(), rows, e.Snapshot)
}

// void has copies be void from now on that are older than a time.
func (r *Router) void(object string, group int, at policy.Micros) {
	r.purges.Add(1)
	r.module.Purge(r.now(), object, group, at)
}

// PurgeOlderThan has all copies be void that are older than a time; 0: none any more but those that events void.
func (r *Router) PurgeOlderThan(at policy.Micros) {
	r.WithPolicy(func() { r.void("", policy.AllGroups, at) })
	r.nudge()
}

// Address is where a node of the list listens; empty where there is none.
func (r *Router) Address(id string) (addr string) {
	r.WithPolicy(func() { addr = r.listed[id].Address })
	return addr
}

// SetDraining has some nodes taken for draining, whatever the list says, and no others. It is heeded as an event of the list is.
func (r *Router) SetDraining(ids []string) {
	r.WithPolicy(func() {
		before := r.avoided
		r.avoided = map[string]bool{}
		for _, id := range ids {
			r.avoided[id] = true
		}
		e := discovery.Event{HasEndpoints: true}
		for _, id := range slices.Sorted(maps.Keys(r.listed)) {
			if before[id] != r.avoided[id] {
				e.Endpoints = append(e.Endpoints, r.listed[id])
			}
		}
		if len(e.Endpoints) > 0 {
			r.apply(e)
		}
	})
	r.nudge()
}

// nudge has each shard take a turn, with which it shows that it has taken what came.
func (r *Router) nudge() {
	for _, s := range r.shards {
		s.calls.PutUnbounded(func() {})
	}
}

// Counts are what was done so far, by name.
func (r *Router) Counts() map[string]int64 {
	return map[string]int64{
		"fulfilled": r.fulfilled.Load(), "throttled": r.throttled.Load(), "abandoned": r.abandoned.Load(),
		"pulls": r.pulled.Load(), "recalled": r.recalled.Load(),
	}
}

// decided is an answer of the module with what belongs to it.
type decided struct {
	policy.Decision
	at       policy.Micros
	wait     policy.Micros
	source   string // of a pull; read while the module is at rest, which changes its nodes as the list tells
	to, from *peer  // nil where the list has just lost them
	purges   int64
}

// decide asks the module, and how long to wait then.
func (r *Router) decide(dl *download, ask func(now policy.Micros) policy.Decision) (d decided) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.at = r.now() // within the lock, so that the module's clock never goes back
	d.Decision = ask(d.at)
	switch d.Action {
	case policy.Reject, policy.Fail:
		return d
	case policy.Send:
		d.source = d.Source.ID
		d.to, d.from, d.purges = r.peers[d.Endpoint.ID], r.peers[d.source], r.purges.Load()
	}
	if !dl.Done {
		d.wait = r.module.RecheckAfter(d.at, &dl.Request)
	}
	return d
}

// HandleRequest takes a download from a client. It never waits: the connection's reader must go on, to see that its client leaves.
func (s *Shard) HandleRequest(c *downstream.Conn, tag uint64, a downstream.Request) {
	taken := s.calls.TryPut(func() {
		if !c.IsPending(tag) {
			a.Body.Free()
			return
		}
		if !s.ids.Claim(a.TransactionID, s.number) { // a node could not tell the two apart
			a.Body.Free()
			c.ReportBadRequest(errors.New("txn: it is that of an open request"))
			c.Fail(tag)
			return
		}
		dl := &download{shard: s, conn: c, tag: tag, ask: a}
		dl.timer.Value = dl
		dl.Type, dl.Object, dl.Part, dl.Group, dl.IsRetry = a.Type, a.Object, a.Part, a.Group, a.IsRetry
		dl.ClientHash, dl.IdempotencyKey, dl.ClientSuspect = a.ClientHash, a.IdempotencyKey, a.ClientSuspect
		came := a.ArrivedAt
		if s.own != nil { // its client waits since it was sent, not since it was read
			came = came.Add(-s.own.StaleBy(came))
		}
		dl.ArrivedAt = s.at(came)
		dl.Deadline = dl.ArrivedAt + policy.Micros(a.Timeout/time.Microsecond) - s.margins.AnswerReserve
		if s.end > 0 {
			dl.Deadline = min(dl.Deadline, s.end)
		}
		if s.downloads[c] == nil {
			s.downloads[c] = map[uint64]*download{}
		}
		s.downloads[c][tag] = dl
		s.open.Add(1)
		defer caught(dl)
		s.where(dl)
	})
	if !taken {
		a.Body.Free()
		c.RejectUnsent(tag, a)
	}
}

// where asks where a download goes, and does what is answered.
func (s *Shard) where(dl *download) {
	if !dl.conn.IsPending(dl.tag) { // its client has left; the word of it waits behind others
		s.finish(dl)
		return
	}
	s.act(dl, s.decide(dl, func(now policy.Micros) policy.Decision { return s.module.Route(now, &dl.Request) }))
}

// caught ends a download and its connection alone where a call about it panicked; events are of no download.
func caught(dl *download) {
	if bad := recover(); bad != nil {
		slog.Error(logevent.PanicRecovered, "component", "dispatch", "err", bad, "stack", string(debug.Stack()))
		if dl != nil {
			dl.shard.finish(dl)
			dl.conn.Close()
		}
	}
}

// ConnOpened says that a client has connected.
func (s *Shard) ConnOpened(*downstream.Conn) {
	s.WithPolicy(func() { s.module.ClientConnected(s.now()) })
}

// HandleCancel says that a client no longer waits for a download.
func (s *Shard) HandleCancel(c *downstream.Conn, tag uint64) {
	s.calls.PutUnbounded(func() {
		if dl := s.downloads[c][tag]; dl != nil {
			s.finish(dl)
		}
	})
}

// ConnClosed says that a client is gone with all it asked for.
func (s *Shard) ConnClosed(c *downstream.Conn) {
	s.calls.PutUnbounded(func() {
		for _, dl := range s.downloads[c] {
			s.finish(dl)
		}
	})
}

// finish ends a download: nothing more is owed for it.
func (s *Shard) finish(dl *download) {
	if dl.Done {
		return
	}
	dl.Done = true
	s.open.Add(-1)
	delete(s.downloads[dl.conn], dl.tag)
	if len(s.downloads[dl.conn]) == 0 {
		delete(s.downloads, dl.conn)
	}
	for _, p := range dl.pulls {
		if !p.over {
			p.Cancel(false)
		}
	}
	dl.ask.Body.Free()
	s.forget(dl)
	s.plan(dl)
}

// forget gives a download's id free once it can be met nowhere any more.
func (s *Shard) forget(dl *download) {
	if dl.Done && !slices.ContainsFunc(dl.pulls, func(p *pull) bool { return !p.over }) {
		s.ids.Release(dl.ask.TransactionID, s.number)
	}
}

// act does what the module says.
func (s *Shard) act(dl *download, a decided) {
	switch a.Action {
	case policy.Send:
		s.pull(dl, a)
	case policy.CancelAttempt:
		if p := dl.pulls[a.Attempt]; !p.over {
			p.Cancel(true)
		}
	case policy.Reject, policy.Fail:
		if a.Unprocessable {
			dl.conn.MarkSuspect()
		}
		if a.Action == policy.Reject {
			s.throttled.Add(1)
			dl.conn.Reject(dl.tag, span(a.RetryAfter))
		} else {
			s.abandoned.Add(1)
			dl.conn.Fail(dl.tag)
		}
		s.finish(dl)
	}
	if dl.Done {
		return
	}
	if a.wait > 0 && (dl.wake == 0 || dl.wake > a.at+a.wait) {
		dl.wake = a.at + a.wait
	}
	s.plan(dl)
}

func (s *Shard) pull(dl *download, a decided) {
	w := upstream.Request{
		ID: dl.ask.TransactionID, ContentType: dl.ask.TypeName, Object: dl.Object, Part: dl.Part, Timeout: span(a.Timeout),
		IdempotencyKey: dl.ask.IdempotencyKey, CacheRank: a.CacheRank, MaxAge: span(a.MaxAge), Coalesce: a.Coalesce, OnlyIfCached: a.OnlyIfCached, Revalidate: a.Revalidate,
		ClientTag: dl.ask.IfNoneMatch, Body: dl.ask.Body,
	}
	if a.Source != a.Endpoint {
		w.SourceID = a.source
		if a.from != nil {
			w.Source = a.from.of[s.number]
		}
	}
	decided, end := s.start.Add(span(a.at-s.offset)), s.start.Add(span(a.NotAfter-s.offset))
	w.Superseded = func() bool {
		now := time.Now()
		return !dl.conn.IsPending(dl.tag) || a.NotAfter > 0 && !now.Before(end) ||
			s.margins.MaxDecisionAge > 0 && s.purges.Load() != a.purges && now.Sub(decided) > span(s.margins.MaxDecisionAge)
	}
	s.pulled.Add(1)
	p := &pull{until: a.at + a.Timeout}
	number := len(dl.pulls)
	var before []*upstream.Attempt
	for _, earlier := range dl.pulls {
		before = append(before, earlier.Attempt)
	}
	dl.pulls = append(dl.pulls, p)
	if a.to == nil { // the list has just lost it
		p.Attempt = &upstream.Attempt{}
		s.calls.PutUnbounded(func() { s.ended(dl, number, policy.Withdrawn, upstream.Response{}) })
		return
	}
	p.Attempt = a.to.of[s.number].Send(w, func(answer upstream.Response, err error) {
		s.calls.PutUnbounded(func() { s.ended(dl, number, ending(answer, err), answer) })
	}, before...)
}

// ended takes a pull's end.
func (s *Shard) ended(dl *download, number int, how policy.Result, answer upstream.Response) {
	p := dl.pulls[number]
	if p.over {
		answer.Body.Free()
		return
	}
	p.over = true
	if how == policy.Withdrawn {
		s.recalled.Add(1)
	}
	defer caught(dl)
	defer s.forget(dl)
	if !dl.Done && how == policy.Succeeded {
		s.fulfilled.Add(1)
		dl.conn.Succeed(dl.tag, answer.Body, answer.Status == upstream.StatusUnchanged)
		s.finish(dl)
	} else {
		answer.Body.Free()
	}
	if !dl.Done && !dl.conn.IsPending(dl.tag) {
		s.finish(dl)
	}
	out := policy.Outcome{Attempt: number, Result: how, CacheStatus: fillings[answer.CacheStatus], Final: dl.Done}
	s.act(dl, s.decide(dl, func(now policy.Micros) policy.Decision { return s.module.AttemptDone(now, &dl.Request, out) }))
}

// due does what time has come for.
func (s *Shard) due(dl *download) {
	defer caught(dl)
	dl.due = 0
	now := s.now()
	for i, p := range dl.pulls {
		if !p.over && p.until <= now && !dl.Done {
			p.Cancel(false)
			s.ended(dl, i, policy.TimedOut, upstream.Response{})
		}
	}
	if !dl.Done && dl.wake > 0 && dl.wake <= now {
		dl.wake = 0
		s.where(dl)
	}
	s.plan(dl)
}

// plan gives a download its place among the timers. One that is due later than it was is found so when it comes out.
func (s *Shard) plan(dl *download) {
	next := dl.wake
	for _, p := range dl.pulls {
		if !p.over && (next == 0 || p.until < next) {
			next = p.until
		}
	}
	switch {
	case dl.Done || next == 0:
		s.timers.Cancel(&dl.timer)
		dl.due = 0
	case dl.due == 0 || next < dl.due:
		dl.due = next
		s.timers.Schedule(&dl.timer, int64(next))
	}
}

var endings = map[upstream.Status]policy.Result{
	upstream.StatusData: policy.Succeeded, upstream.StatusUnchanged: policy.Succeeded, upstream.StatusAbsent: policy.CacheMiss,
	upstream.StatusFull: policy.Rejected, upstream.StatusFailed: policy.Failed, upstream.StatusMoot: policy.NotSent,
}

var fillings = map[string]policy.CacheStatus{
	"local": policy.Hit, "pulled": policy.Filled, "pulled_far": policy.FilledByOrigin,
	"rode": policy.Coalesced, "expired": policy.Stale, "turned_away": policy.SourceRejected,
	"cut_off": policy.SourceUnavailable, "not_there": policy.SourceMiss, "no_place": policy.CacheFull,
	"far_fault": policy.OriginFailed,
}

// ending is what the module hears of a pull: one that was not wholly written never ran, any other may have.
func ending(a upstream.Response, err error) policy.Result {
	e := (*upstream.Error)(nil)
	switch {
	case err == nil:
		return endings[a.Status]
	case !errors.As(err, &e):
		return policy.ConnectionLost
	case e.Stage < upstream.WhollyWritten && errors.Is(err, upstream.ErrWithdrawn):
		return policy.Withdrawn
	case e.Stage < upstream.WhollyWritten && errors.Is(err, upstream.ErrConnectionLimit): // which is no word of the node
		return policy.NotSent
	case e.Cancelled && e.Stage < upstream.WhollyWritten:
		return policy.NotSent
	case e.Cancelled:
		return policy.Cancelled
	case e.Stage < upstream.WhollyWritten:
		return policy.ConnectFailed
	default:
		return policy.ConnectionLost
	}
}

func span(t policy.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
