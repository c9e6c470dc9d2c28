package server

import (
	"log/slog"
	"sync"
	"time"

	"tallyproxy/gossip"
	"tallyproxy/internal/discovery"
	"tallyproxy/internal/gossipnet"
	"tallyproxy/internal/logevent"
	"tallyproxy/policy"
	"tallyproxy/relays"
)

// hearing joins who follows the channel to the talk and to what is in force.
type hearing struct {
	g     *gossipDriver
	every time.Duration
	says  chan said

	force sync.Mutex // held while a list is put in force: none may come after a newer one
	mu    sync.Mutex // of what follows
	book  *relays.Relay
	own   map[string]relays.Endpoint // the list as the own channel has told it,
	sum   string                     // and its sum
	list  map[string]relays.Endpoint // as it is in force
	news  bool                       // the own channel has told of nodes, in the call that is about to be booked
	calls bool
	ticks int
	began policy.Micros // this process
}

// said is what another director says.
type said struct {
	from string
	relays.Message
}

// looks is how many ticks there are to a look at who is there.
const looks = 4

const sayings = 256 // that wait to be taken; more are dropped, and said again

func newHearing(g *gossipDriver, s relays.Settings) *hearing {
	return &hearing{g: g, every: span(s.QueryInterval) / 2, says: make(chan said, sayings), book: relays.New(g.clock(), s), began: g.clock(),
		own: map[string]relays.Endpoint{}, sum: relays.Sum(nil), list: map[string]relays.Endpoint{}}
}

// may says whether to ask the channel now. One that wakes from a pause asks whoever else does.
func (h *hearing) may() bool {
	if h.g.own.Suspect() && h.g.own.Stalls() > 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	calls := h.book.ShouldPoll(h.g.clock())
	if calls != h.calls {
		slog.Info(logevent.RelayRole, "polls_discovery", calls)
	}
	h.calls = calls
	return calls
}

// fold gives events of the own channel as they are to be put in force: what they do to the list as one change at their end. They may
// begin long ago, and what they lead through is not to undo for a moment what has come from others.
func (h *hearing) fold(events []discovery.Event) (out []discovery.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := false
	for _, e := range events {
		if !e.HasEndpoints {
			out = append(out, e)
			continue
		}
		listed = true
		rows := make([]relays.Endpoint, len(e.Endpoints))
		for i, n := range e.Endpoints {
			rows[i] = relays.Endpoint{ID: n.ID, Address: n.Address, Zone: n.Zone, Kind: n.Kind, Cell: n.Cell, Weight: n.Weight, Started: n.Started,
				State: n.State}
		}
		relays.Merge(h.own, rows, e.Snapshot)
	}
	if h.news = h.news || listed; listed {
		rows := relays.SortedEndpoints(h.own)
		h.sum = relays.Sum(rows)
		out = append(out, h.change(rows)...)
	}
	return out
}

// change books a list that is to be in force, and gives the event that makes it so; none where it is. The caller holds the lock.
func (h *hearing) change(rows []relays.Endpoint) []discovery.Event {
	diff := relays.Diff(h.list, rows)
	if relays.Merge(h.list, rows, true); len(diff) == 0 {
		return nil
	}
	e := discovery.Event{HasEndpoints: true, Group: policy.AllGroups}
	for _, r := range diff {
		e.Endpoints = append(e.Endpoints, discovery.Endpoint{Address: r.Address, Endpoint: policy.Endpoint{ID: r.ID, Zone: r.Zone, Kind: r.Kind, Cell: r.Cell,
			Weight: r.Weight, Started: r.Started, State: r.State}})
	}
	return []discovery.Event{e}
}

// answered hears that the own channel has answered a call that began at a time.
func (h *hearing) answered(began policy.Micros) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.book.PollSucceeded(h.g.clock(), h.sum, began, h.news)
	h.news = false
}

// report is who follows the channel as this one sees it; nil without peers.
func (h *hearing) report() *relays.Report {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.book.Report(h.g.clock())
	return &r
}

// hear takes what another says, where there is room.
func (h *hearing) hear(from string, m relays.Message) {
	select {
	case h.says <- said{from, m}:
	default:
	}
}

// run asks others and answers them until the end.
func (h *hearing) run(talk *gossipnet.Driver, done <-chan struct{}) {
	tick := time.NewTicker(h.every)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			for n := len(h.says); n > 0; n-- { // what has come is an answer, however late this one is
				h.take(talk, <-h.says)
			}
			h.ask(talk)
		case s := <-h.says:
			h.take(talk, s)
		}
	}
}

func (h *hearing) ask(talk *gossipnet.Driver) {
	now := h.g.clock()
	h.mu.Lock()
	if h.ticks++; h.ticks%looks == 1 {
		h.book.SetMembers(talk.ZonePeers())
	}
	ask, wakes := h.book.Tick(now), h.book.ShouldPoll(now) && !h.calls
	h.mu.Unlock()
	if wakes {
		h.g.channel.Wake()
	}
	if len(ask) == 0 {
		return
	}
	h.g.mu.Lock()
	_, words := h.g.book.RecentPurges(now)
	h.g.mu.Unlock()
	for _, to := range ask {
		talk.SendRelay(to, relays.Message{Query: &relays.Query{SentAt: now, PurgeDigest: words}})
	}
}

// lacks is what an asker may lack who knows other purges of late, by their sum.
func (h *hearing) lacks(known uint64) []gossip.Update {
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	now := h.g.clock()
	if _, sum := h.g.book.RecentPurges(now); known == sum {
		return nil
	}
	return h.g.book.RepairPurges(now)
}

// take takes what another has said.
func (h *hearing) take(talk *gossipnet.Driver, s said) {
	now := h.g.clock()
	switch {
	case s.Query != nil:
		h.mu.Lock()
		a := h.book.HandleQuery(now, *s.Query)
		h.mu.Unlock()
		talk.SendRelay(s.from, relays.Message{Response: &a})
		talk.SendUpdates(s.from, h.lacks(s.Query.PurgeDigest))
	case s.Response != nil:
		h.mu.Lock()
		want := h.book.HandleResponse(now, s.from, *s.Response)
		until, _ := h.book.InForce()
		h.mu.Unlock()
		if want != "" {
			talk.SendRelay(s.from, relays.Message{WantList: want})
			return
		}
		if until > h.began { // else no list is known to have held since this process began
			h.g.hold(until)
		}
	case s.WantList != "":
		h.mu.Lock()
		rows, sum := relays.SortedEndpoints(h.list), ""
		if _, sum = h.book.InForce(); sum != s.WantList {
			rows = nil // it has changed since; another will be wanted
		}
		h.mu.Unlock()
		if rows != nil {
			talk.SendRelay(s.from, relays.Message{List: rows})
		}
	case s.List != nil:
		h.force.Lock()
		defer h.force.Unlock()
		h.mu.Lock()
		until, ok := h.book.AcceptList(s.List)
		var events []discovery.Event
		if ok {
			events = h.change(s.List)
		}
		h.mu.Unlock()
		if ok {
			h.g.d.apply(events)
			h.g.took(events, until)
			h.g.hold(until)
			slog.Info(logevent.EndpointListRelayed, "from", s.from, "endpoints", len(s.List), "age", span(now-until))
		}
	}
}
