// Package route stands between clients, nodes and the decisions: one goroutine owns the module, the downloads in
// hand and their timers. It asks the module, does what the answer says and decides nothing.
package route

import (
	"container/heap"
	"errors"
	"log/slog"
	"runtime/debug"
	"slices"
	"time"

	"tallyproxy/director"
	"tallyproxy/internal/back"
	"tallyproxy/internal/feed"
	"tallyproxy/internal/front"
)

const waiting = 1024 // messages that may wait for the goroutine before their senders do

// Router routes downloads. Its methods may be called from any goroutine.
type Router struct {
	module  director.Director
	margins director.Margins
	fleet   *back.Fleet
	calls   chan func()
	done    chan struct{}
	start   time.Time
	offset  director.Micros // the system's clock at the start

	// owned by the goroutine
	peers     map[string]*peer                     // by node; emptied by the list
	downloads map[*front.Conn]map[uint64]*download // emptied as they end
	ids       map[string]*download                 // emptied once their pulls have ended too
	timers    timers
	count     int // downloads without a final answer
}

type peer struct {
	*back.Peer
	addr    string
	started director.Micros
}

// download is one in hand, until its final answer is out and its pulls have ended.
type download struct {
	director.Download
	conn  *front.Conn
	tag   uint64
	ask   front.Ask
	pulls []*pull
	wake  director.Micros // when to ask the module again; 0 for not
	due   director.Micros // its place among the timers
	index int             // there; -1 for none
}

type pull struct {
	*back.Pull
	until director.Micros
	over  bool
}

// New makes a router; Run lets it work.
func New(module director.Director, m director.Margins, fleet *back.Fleet) *Router {
	r := &Router{
		module: module, margins: m, fleet: fleet, calls: make(chan func(), waiting),
		done: make(chan struct{}), start: time.Now(), peers: map[string]*peer{},
		downloads: map[*front.Conn]map[uint64]*download{}, ids: map[string]*download{},
	}
	r.offset = director.Micros(r.start.UnixMicro())
	return r
}

// at is a moment on the module's clock: one reading of the system's clock, then the monotonic one.
func (r *Router) at(t time.Time) director.Micros {
	return r.offset + director.Micros(t.Sub(r.start)/time.Microsecond)
}

func (r *Router) now() director.Micros { return r.at(time.Now()) }

// do hands a call to the goroutine.
func (r *Router) do(call func()) {
	select {
	case r.calls <- call:
	case <-r.done:
	}
}

// Run works until Stop.
func (r *Router) Run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case call := <-r.calls:
			call()
		case <-timer.C:
		case <-r.done:
			return
		}
		for now := r.now(); len(r.timers) > 0 && r.timers[0].due <= now; {
			r.due(now, r.timers[0])
		}
		if len(r.timers) > 0 {
			timer.Reset(time.Duration(max(0, r.timers[0].due-r.now())) * time.Microsecond)
		}
	}
}

// Do has the goroutine make a call between two of its own: the module is at rest then.
func (r *Router) Do(call func()) {
	r.do(func() {
		defer r.caught(nil)
		call()
	})
}

// Stop ends Run.
func (r *Router) Stop() { close(r.done) }

// Open says how many downloads have no final answer yet.
func (r *Router) Open() int {
	n := make(chan int, 1)
	r.do(func() { n <- r.count })
	select {
	case open := <-n:
		return open
	case <-r.done:
		return 0
	}
}

// Apply takes events of the command channel.
func (r *Router) Apply(events []feed.Event) {
	r.do(func() {
		defer r.caught(nil)
		for _, e := range events {
			r.apply(e)
		}
	})
}

func (r *Router) apply(e feed.Event) {
	if !e.Listed {
		if e.At > 0 {
			r.module.Purged(r.now(), e.Object, e.Group, e.At)
		}
		return
	}
	rows, named := make([]director.Node, len(e.Nodes)), map[string]bool{}
	for i, n := range e.Nodes {
		rows[i], named[n.ID] = n.Node, true
		p := r.peers[n.ID]
		if p != nil && (n.State == director.Gone || p.addr != n.Addr || p.started != n.Started) {
			p.Leave()
			delete(r.peers, n.ID)
			p = nil
		}
		if p == nil && n.State != director.Gone {
			r.peers[n.ID] = &peer{r.fleet.Peer(n.Addr), n.Addr, n.Started}
		}
	}
	for id, p := range r.peers {
		if e.Complete && !named[id] {
			p.Leave()
			delete(r.peers, id)
		}
	}
	r.module.Listed(r.now(), rows, e.Complete)
}

// Ask takes a download from a client.
func (r *Router) Ask(c *front.Conn, tag uint64, a front.Ask) {
	r.do(func() {
		if r.ids[a.Txn] != nil { // a node could not tell the two apart
			a.Body.Free()
			c.Blame(errors.New("txn: it is that of an open request"))
			c.Abandon(tag)
			return
		}
		dl := &download{conn: c, tag: tag, ask: a, index: -1}
		r.ids[a.Txn] = dl
		dl.Type, dl.Object, dl.Part, dl.Group, dl.Again = a.Type, a.Object, a.Part, a.Group, a.Again
		dl.Client, dl.Key, dl.Doubted = a.Client, a.Key, a.Doubted
		dl.Arrived = r.at(a.Came)
		dl.Leaves = dl.Arrived + director.Micros(a.Limit/time.Microsecond) - r.margins.Answer
		if r.downloads[c] == nil {
			r.downloads[c] = map[uint64]*download{}
		}
		r.downloads[c][tag] = dl
		r.count++
		defer r.caught(dl)
		now := r.now()
		r.act(now, dl, r.module.Where(now, &dl.Download))
	})
}

// caught ends a download and its connection alone where a call about it panicked; events are of no download.
func (r *Router) caught(dl *download) {
	if bad := recover(); bad != nil {
		slog.Error("panic", "where", "route", "err", bad, "stack", string(debug.Stack()))
		if dl != nil {
			r.finish(dl)
			dl.conn.Drop()
		}
	}
}

// Opened says that a client has connected.
func (r *Router) Opened(*front.Conn) {
	r.do(func() {
		defer r.caught(nil)
		r.module.Connected(r.now())
	})
}

// NeverMind says that a client no longer waits for a download.
func (r *Router) NeverMind(c *front.Conn, tag uint64) {
	r.do(func() {
		if dl := r.downloads[c][tag]; dl != nil {
			r.finish(dl)
		}
	})
}

// Closed says that a client is gone with all it asked for.
func (r *Router) Closed(c *front.Conn) {
	r.do(func() {
		for _, dl := range r.downloads[c] {
			r.finish(dl)
		}
	})
}

// finish ends a download: nothing more is owed for it.
func (r *Router) finish(dl *download) {
	if dl.Over {
		return
	}
	dl.Over = true
	r.count--
	delete(r.downloads[dl.conn], dl.tag)
	if len(r.downloads[dl.conn]) == 0 {
		delete(r.downloads, dl.conn)
	}
	for _, p := range dl.pulls {
		if !p.over {
			p.GiveUp(false)
		}
	}
	dl.ask.Body.Free()
	r.forget(dl)
	r.plan(dl)
}

// forget gives a download's id free once it can be met nowhere any more.
func (r *Router) forget(dl *download) {
	if dl.Over && !slices.ContainsFunc(dl.pulls, func(p *pull) bool { return !p.over }) {
		delete(r.ids, dl.ask.Txn)
	}
}

// act does what the module says.
func (r *Router) act(now director.Micros, dl *download, a director.Answer) {
	switch a.Verb {
	case director.Pull:
		r.pull(now, dl, a)
	case director.Cancel:
		if p := dl.pulls[a.Pull]; !p.over {
			p.GiveUp(true)
		}
	case director.Throttle:
		if a.NoUse {
			dl.conn.Useless()
		}
		dl.conn.Throttle(dl.tag, span(a.ComeBack))
		r.finish(dl)
	case director.Abandon:
		if a.NoUse {
			dl.conn.Useless()
		}
		dl.conn.Abandon(dl.tag)
		r.finish(dl)
	}
	if dl.Over {
		return
	}
	if wait := r.module.Wait(now, &dl.Download); wait > 0 && (dl.wake == 0 || dl.wake > now+wait) {
		dl.wake = now + wait
	}
	r.plan(dl)
}

func (r *Router) pull(now director.Micros, dl *download, a director.Answer) {
	w := back.Want{
		ID: dl.ask.Txn, Sort: dl.ask.Sort, Asset: dl.Object, Slice: dl.Part, Patience: span(a.TimeOut),
		Key: dl.ask.Key, Rank: a.Keep, Oldest: span(a.Oldest), Join: a.Join, Held: a.Held, Renew: a.Renew,
		Seen: dl.ask.Held, Body: dl.ask.Body,
	}
	if a.Source != a.Node {
		w.From = a.Source.ID
	}
	p := &pull{until: now + a.TimeOut}
	number := len(dl.pulls)
	var before []*back.Pull
	for _, earlier := range dl.pulls {
		before = append(before, earlier.Pull)
	}
	dl.pulls = append(dl.pulls, p)
	to := r.peers[a.Node.ID]
	if to == nil { // the list has just lost it
		p.Pull = &back.Pull{}
		go r.do(func() { r.ended(dl, number, director.NeverSent, back.Answer{}) })
		return
	}
	p.Pull = to.Send(w, func(answer back.Answer, err error) {
		r.do(func() { r.ended(dl, number, ending(answer, err), answer) })
	}, before...)
}

// ended takes a pull's end.
func (r *Router) ended(dl *download, number int, how director.Ending, answer back.Answer) {
	p := dl.pulls[number]
	if p.over {
		answer.Body.Free()
		return
	}
	p.over = true
	defer r.caught(dl)
	defer r.forget(dl)
	if !dl.Over && how == director.Fulfilled {
		dl.conn.Fulfil(dl.tag, answer.Body, answer.Word == back.Unchanged)
		r.finish(dl)
	} else {
		answer.Body.Free()
	}
	out := director.Outcome{Pull: number, Ending: how, Filling: fillings[answer.Note], Last: dl.Over}
	now := r.now()
	r.act(now, dl, r.module.After(now, &dl.Download, out))
}

// due does what time has come for.
func (r *Router) due(now director.Micros, dl *download) {
	defer r.caught(dl)
	for i, p := range dl.pulls {
		if !p.over && p.until <= now && !dl.Over {
			p.GiveUp(false)
			r.ended(dl, i, director.TimedOut, back.Answer{})
		}
	}
	if !dl.Over && dl.wake > 0 && dl.wake <= now {
		dl.wake = 0
		r.act(now, dl, r.module.Where(now, &dl.Download))
	}
	r.plan(dl)
}

// plan gives a download its place among the timers.
func (r *Router) plan(dl *download) {
	next := dl.wake
	for _, p := range dl.pulls {
		if !p.over && (next == 0 || p.until < next) {
			next = p.until
		}
	}
	switch {
	case dl.Over || next == 0:
		if dl.index >= 0 {
			heap.Remove(&r.timers, dl.index)
		}
	case dl.index < 0:
		dl.due = next
		heap.Push(&r.timers, dl)
	default:
		dl.due = next
		heap.Fix(&r.timers, dl.index)
	}
}

var endings = map[back.Word]director.Ending{
	back.Data: director.Fulfilled, back.Unchanged: director.Fulfilled, back.Absent: director.Missing,
	back.Full: director.TurnedAway, back.Failed: director.Failed, back.Moot: director.NeverSent,
}

var fillings = map[string]director.Filling{
	"local": director.Hit, "pulled": director.Filled, "pulled_far": director.FilledByOrigin,
	"rode": director.Joined, "expired": director.Stale, "turned_away": director.SourceRefused,
	"cut_off": director.SourceLost, "not_there": director.SourceLacks, "no_place": director.NoPlace,
	"far_fault": director.OriginFailed,
}

// ending is what the module hears of a pull: one that was not wholly written never ran, any other may have.
func ending(a back.Answer, err error) director.Ending {
	e := (*back.Error)(nil)
	switch {
	case err == nil:
		return endings[a.Word]
	case !errors.As(err, &e):
		return director.Broken
	case e.GaveUp && e.Stage < back.WhollyWritten:
		return director.NeverSent
	case e.GaveUp:
		return director.Cancelled
	case e.Stage < back.WhollyWritten:
		return director.Unreached
	default:
		return director.Broken
	}
}

func span(t director.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// timers is a heap of downloads by when they are due.
type timers []*download

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}
func (t *timers) Push(x any) {
	dl := x.(*download)
	dl.index = len(*t)
	*t = append(*t, dl)
}
func (t *timers) Pop() any {
	last := len(*t) - 1
	dl := (*t)[last]
	(*t)[last], *t, dl.index = nil, (*t)[:last], -1
	return dl
}
