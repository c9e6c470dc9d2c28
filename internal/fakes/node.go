package fakes

import (
	"bufio"
	"container/list"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// Kind is what a node is.
type Kind int

const (
	Edge Kind = iota
	Parent
	Origin
)

var kinds = [...]string{"edge", "parent", "origin"}

// Fault is what a node does wrong.
type Fault int

const (
	FaultNone      Fault = iota
	FaultNoAnswer        // takes everything and says nothing
	FaultMalformed       // answers what can't be read
	FaultReset           // resets the connection under a request
	FaultError           // answers error, without a cause
)

// Node is a cache, a parent or the origin. The world's lock guards it.
type Node struct {
	cluster      *Cluster
	Kind         Kind
	Name         string
	addr         string
	listener     net.Listener // nil while it is dead
	conns        map[net.Conn]bool
	startedAt    time.Duration // its start; negative for long ago
	transfers    *sharedCapacity
	copies       map[string]*list.Element
	copyOrder    *list.List // of *copied, the latest used first
	fills        map[string]*pendingFill
	inHand       int // requests in hand
	slowdown     float64
	fault        Fault
	drainedAt    time.Duration // when the channel told that it drains or is gone; 0 for not
	overloaded   bool
	loadWindow   loadWindow
	requestCount int
}

type cachedCopy struct {
	key  string
	born time.Time
}

// pendingFill is one under way; who joins waits for it.
type pendingFill struct {
	waiters []func(born time.Time, note string)
}

// loadWindow is the work that was sent lately, against what could be done.
type loadWindow struct {
	sent, capacity [30]float64
	slot           int64
	peak           float64
	over           bool
}

// AddNode starts a new node and tells of it. A warm one has been there for long.
func (w *Cluster) AddNode(kind Kind, name string, cold bool) (*Node, error) {
	n := &Node{cluster: w, Kind: kind, Name: name, slowdown: 1}
	w.mu.Lock()
	defer w.mu.Unlock()
	n.transfers = &sharedCapacity{cluster: w, maxRate: 1, capacity: n.capacity}
	if kind != Edge {
		n.transfers.maxRate = w.FillSpeedup
	}
	if err := n.start(cold); err != nil {
		return nil, err
	}
	w.Nodes = append(w.Nodes, n)
	w.publishNode(n, "up")
	return n, nil
}

// publishNode tells of a node's state. The caller holds the lock.
func (w *Cluster) publishNode(n *Node, status string) {
	zone, since := zoneName(w.ZoneOf(n.Name)), int64(0)
	if n.Kind != Edge {
		zone = "hub"
	}
	if n.startedAt >= 0 {
		since = w.startedAt.Add(n.startedAt).UnixMilli()
	}
	w.publish(map[string]any{"nodes": map[string]any{"snapshot": len(w.events) == 0, "endpoints": []any{map[string]any{
		"name": n.Name, "address": n.addr, "zone": zone, "type": kinds[n.Kind], "status": status, "since_ms": since,
	}}}})
	if n.drainedAt = 0; status != "up" {
		n.drainedAt = w.now()
	}
}

func (n *Node) start(cold bool) error {
	addr := n.addr
	if addr == "" {
		addr = n.cluster.address(n.Name)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	n.listener, n.addr, n.conns, n.copies = l, l.Addr().String(), map[net.Conn]bool{}, map[string]*list.Element{}
	n.copyOrder, n.fills, n.inHand, n.startedAt, n.loadWindow = list.New(), map[string]*pendingFill{}, 0, -time.Hour, loadWindow{peak: n.loadWindow.peak}
	if cold {
		n.startedAt = n.cluster.now()
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			n.cluster.mu.Lock()
			if n.listener != l {
				n.cluster.mu.Unlock()
				nc.Close()
				return
			}
			n.conns[nc] = true
			n.cluster.mu.Unlock()
			go n.serve(nc)
		}
	}()
	return nil
}

// slowStartShare is the part of its capacity that it has.
func (n *Node) slowStartShare(at time.Duration) float64 {
	from, time := n.cluster.EdgeInitialShare, n.cluster.EdgeSlowStart
	if n.Kind == Parent {
		from, time = n.cluster.ParentInitialShare, n.cluster.ParentSlowStart
	}
	if age := at - n.startedAt; n.Kind != Origin && age < time {
		return from + (1-from)*float64(max(0, age))/float64(time)
	}
	return 1
}

func (n *Node) capacity(at time.Duration) float64 {
	return [...]float64{n.cluster.CacheCapacity, n.cluster.ParentCapacity, n.cluster.OriginCapacity}[n.Kind] * n.slowStartShare(at) / n.slowdown
}

// recordWork books work that was sent to it, and has it fall over where that was too much for too long.
func (n *Node) recordWork(work float64) {
	now := n.cluster.now()
	l, part := &n.loadWindow, n.cluster.OverloadWindow/time.Duration(len(n.loadWindow.sent))
	at := int64(now / part)
	for l.slot < at {
		if at-l.slot > int64(len(l.sent)) {
			l.slot = at - int64(len(l.sent))
		}
		l.slot++
		l.sent[l.slot%int64(len(l.sent))] = 0
		l.capacity[l.slot%int64(len(l.sent))] = n.capacity(time.Duration(l.slot)*part) * float64(part.Microseconds())
	}
	l.sent[at%int64(len(l.sent))] += work
	if n.Kind == Origin || n.slowStartShare(now) >= 1 {
		return
	}
	multiple := n.cluster.EdgeOverloadFactor
	if n.Kind == Parent {
		multiple = n.cluster.ParentOverloadFactor
	}
	sent, able := 0.0, 0.0
	for i := range l.sent {
		sent += l.sent[i]
		if l.capacity[i] > 0 {
			able += l.capacity[i]
		}
	}
	able = max(able, n.capacity(now)*float64(n.cluster.OverloadWindow.Microseconds())) // a window that has only begun
	if load := sent / (multiple * able); load > l.peak {
		if l.peak = load; load > 1 {
			n.overloaded = true
			n.kill()
		}
	}
}

// PeakLoad is the most that a cache or parent was sent, over what pushes it over, and whether it fell.
func (n *Node) PeakLoad() (peak float64, fallen bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.loadWindow.peak, n.overloaded
}

// EdgeWork is the work that the caches of the world could have done between two times, µs.
func (w *Cluster) EdgeWork(from, to time.Duration) (work float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for at := from; at < to; at += SeriesInterval {
		for _, n := range w.Nodes {
			if n.Kind == Edge && n.listener != nil {
				work += n.capacity(at) * float64(SeriesInterval.Microseconds())
			}
		}
	}
	return work
}

// RequestCount is how many requests reached it.
func (n *Node) RequestCount() int {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.requestCount
}

// Kill ends it as the death of a process does; nothing is told.
func (n *Node) Kill() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.kill()
}

func (n *Node) kill() {
	if n.listener == nil {
		return
	}
	n.listener.Close()
	for nc := range n.conns {
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
	n.listener = nil
	n.transfers.clear()
	for key, f := range n.fills {
		delete(n.fills, key)
		for _, then := range f.waiters {
			then(time.Time{}, "cut_off")
		}
	}
}

// Restart brings a dead node back, cold, at its address, and tells of it. One that has fallen over stays down.
func (n *Node) Restart() error {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.overloaded || n.listener != nil {
		return nil
	}
	if err := n.start(true); err != nil {
		return err
	}
	n.cluster.publishNode(n, "up")
	return nil
}

// Announce tells of its state: "up", "draining" or "removed".
func (n *Node) Announce(status string) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.cluster.publishNode(n, status)
}

// SetFault has it do wrong from now on, and so many times slower than it could.
func (n *Node) SetFault(t Fault, slower float64) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.fault, n.slowdown = t, max(1, slower)
}

// request is one that is in hand.
type request struct {
	node        *Node
	connection  net.Conn
	id          string
	fields      map[string]string
	contentType *ContentType
	transfers   []*transfer
	ended       bool
	partsLeft   int // parts that are not done
	born        time.Time
	note        string
	unchanged   bool
}

func (n *Node) serve(nc net.Conn) {
	if n.cluster.Instant {
		n.serveInstantly(nc)
		n.cluster.mu.Lock()
		delete(n.conns, nc)
		n.cluster.mu.Unlock()
		return
	}
	out := make(chan []byte, 4096)
	open := map[string]*request{}
	defer func() {
		nc.Close()
		n.cluster.mu.Lock()
		delete(n.conns, nc)
		for _, r := range open {
			r.end()
		}
		n.cluster.mu.Unlock()
		close(out)
	}()
	go func() {
		for text := range out {
			nc.SetWriteDeadline(time.Now().Add(5 * time.Second))
			if _, err := nc.Write(text); err != nil {
				nc.Close()
			}
		}
	}()
	for in := bufio.NewReader(nc); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		n.cluster.mu.Lock()
		switch {
		case len(words) == 2 && words[0] == "never_mind":
			if r := open[words[1]]; r != nil {
				delete(open, words[1])
				r.end()
			}
		case len(words) == 2 && (words[0] == "there" || words[0] == "busy") && n.fault != FaultNoAnswer:
			sendOrDrop(out, fmt.Sprintf("%s well - 0\r\n\r\n", words[1]))
		case len(words) == 4 && words[0] == "want":
			size, _ := strconv.Atoi(words[3])
			n.cluster.mu.Unlock()
			if _, err := io.CopyN(io.Discard, in, int64(size)+2); err != nil {
				return
			}
			n.cluster.mu.Lock()
			r := &request{node: n, connection: nc, id: words[1], fields: map[string]string{}}
			for field := range strings.SplitSeq(words[2], ",") {
				name, value, _ := strings.Cut(field, "=")
				r.fields[name] = value
			}
			open[r.id] = r
			r.handle(func(text string) {
				if !r.ended {
					delete(open, r.id)
					r.end()
					sendOrDrop(out, text)
					if n.cluster.OnAnswer != nil {
						n.cluster.OnAnswer(n.Name, r.fields, text)
					}
				}
			})
		}
		n.cluster.mu.Unlock()
	}
}

// sendOrDrop never waits: a director that reads nothing gets nothing.
func sendOrDrop(out chan []byte, text string) {
	select {
	case out <- []byte(text):
	default:
	}
}

// end gives a request up, or closes its book.
func (r *request) end() {
	if r.ended {
		return
	}
	r.ended = true
	r.node.inHand--
	if r.node.cluster.attemptsInFlight[r.id]--; r.node.cluster.attemptsInFlight[r.id] == 0 {
		delete(r.node.cluster.attemptsInFlight, r.id)
	}
	for _, j := range r.transfers {
		r.node.transfers.cancel(j)
	}
}

// handle does what a request asks for. Answer is called at most once.
func (r *request) handle(answer func(string)) {
	n, w := r.node, r.node.cluster
	n.requestCount++
	n.inHand++
	if w.attemptsInFlight[r.id]++; w.attemptsInFlight[r.id] > 1 {
		time.AfterFunc(cancelDelay, func() { // the other's giving up may still be on its way
			w.mu.Lock()
			defer w.mu.Unlock()
			if !r.ended && w.attemptsInFlight[r.id] > 1 {
				w.violations.ConcurrentAttempts++
			}
		})
	}
	source := w.nodeByName(r.fields["from"])
	for _, of := range []*Node{n, source} {
		if of != nil && of.drainedAt > 0 && w.now() > w.channelState.knownFrom(of.drainedAt)+drainDeadline {
			w.violations.DrainedUses++
		}
	}
	for i := range w.ContentTypes {
		if w.ContentTypes[i].Name == r.fields["sort"] {
			r.contentType = &w.ContentTypes[i]
		}
	}
	if r.contentType == nil {
		answer(r.id + " failed - 0\r\n\r\n")
		return
	}
	work := w.transferMicros(r.contentType, r.fields["asset"])
	switch n.fault {
	case FaultNoAnswer:
		return
	case FaultMalformed:
		answer("\x00\x01 rubbish\r\n")
		return
	case FaultReset:
		r.connection.(*net.TCPConn).SetLinger(0)
		r.connection.Close()
		return
	case FaultError:
		answer(r.id + " failed - 0\r\n\r\n")
		return
	}
	n.recordWork(work)
	if n.listener == nil {
		return
	}
	if float64(n.inHand) > n.capacity(w.now())*w.MaxQueueFactor+1 {
		answer(r.id + " full - 0\r\n\r\n")
		return
	}
	if r.contentType.Uncacheable {
		if source == nil || source.Kind != Origin && n.Kind != Origin {
			answer(r.id + " absent n=not_there 0\r\n\r\n")
			return
		}
		w.origin().transfers.add(work, func() { // it runs, whether its director still waits or not
			w.recordEffect(r.fields["op"], r.contentType)
			time.AfterFunc(w.OriginLatency, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				r.born, r.note = time.Now(), "pulled_far"
				r.answerBody(answer)
			})
		})
		return
	}
	key := r.fields["asset"] + "/" + r.fields["slice"]
	oldest, _ := strconv.Atoi(r.fields["oldest"])
	fresh := func(born time.Time) bool {
		return !born.IsZero() && (oldest == 0 || time.Since(born) <= time.Duration(oldest)*time.Millisecond)
	}
	r.partsLeft = 1
	r.transfers = append(r.transfers, n.transfers.add(work, func() { r.partDone(answer) }))
	if n.Kind == Origin {
		r.born, r.note = time.Now(), "local"
		return
	}
	if born := n.lookup(key); fresh(born) {
		r.born, r.note = born, "local"
		return
	}
	if source == nil || source == n {
		answer(r.id + " absent n=not_there 0\r\n\r\n")
		return
	}
	r.partsLeft++
	got := func(born time.Time, note string) {
		r.born, r.note = born, note
		switch {
		case born.IsZero() && note == "not_there":
			answer(r.id + " absent n=not_there 0\r\n\r\n")
		case born.IsZero():
			answer(fmt.Sprintf("%s failed n=%s 0\r\n\r\n", r.id, note))
		default:
			r.partDone(answer)
		}
	}
	mode := "+" + r.fields["mode"] + "+"
	if f := n.fills[key]; f != nil && strings.Contains(mode, "+join+") && !strings.Contains(mode, "+held+") {
		f.waiters = append(f.waiters, func(born time.Time, note string) {
			if note == "pulled" || note == "pulled_far" {
				note = "rode"
			}
			if !born.IsZero() && !fresh(born) {
				born, note = time.Time{}, "cut_off"
			}
			got(born, note)
		})
		return
	}
	f := &pendingFill{}
	n.fills[key] = f
	n.fill(source, key, work, strings.Contains(mode, "+held+"), fresh, func(born time.Time, note string) {
		if n.fills[key] == f {
			delete(n.fills, key)
		}
		if !born.IsZero() && n.listener != nil {
			n.store(key, born)
		}
		got(born, note)
		for _, then := range f.waiters {
			then(born, note)
		}
	})
}

// partDone marks a part of a request as done.
func (r *request) partDone(answer func(string)) {
	if r.partsLeft--; r.partsLeft <= 0 {
		r.answerBody(answer)
	}
}

// answerBody answers with the bytes, which tell what they are.
func (r *request) answerBody(answer func(string)) {
	body := fmt.Sprintf("%s/%s born %d", r.fields["asset"], r.fields["slice"], r.born.UnixMilli())
	answer(fmt.Sprintf("%s data n=%s,ver=%016x,born=%d %d\r\n%s\r\n", r.id, r.note, r.born.UnixMilli(), r.born.UnixMilli(),
		len(body), body))
}

// fill fills a copy from a source, over the location's link.
func (n *Node) fill(source *Node, key string, work float64, held bool, fresh func(time.Time) bool,
	then func(born time.Time, note string)) {
	w := n.cluster
	if source.listener == nil || source.fault == FaultNoAnswer {
		time.AfterFunc(300*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			then(time.Time{}, "cut_off")
		})
		return
	}
	source.recordWork(work / w.FillSpeedup)
	if source.listener == nil {
		then(time.Time{}, "cut_off")
		return
	}
	born, note, parts := source.lookup(key), "pulled", 2
	over := func() {
		if parts--; parts == 0 {
			then(born, note)
		}
	}
	if source.Kind != Origin && !fresh(born) {
		if held {
			then(time.Time{}, "not_there")
			return
		}
		parts++
		note = "pulled_far"
		time.AfterFunc(w.OriginLatency, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.origin().recordWork(work / w.FillSpeedup)
			w.origin().transfers.add(work, func() {
				born = time.Now()
				source.store(key, born)
				over()
			})
		})
	} else if source.Kind == Origin {
		born, note = time.Now(), "pulled_far"
	}
	source.transfers.add(work, over)
	w.links[w.ZoneOf(n.Name)].add(work, over)
}

// lookup is when the copy that is held was given out by the origin; zero for none.
func (n *Node) lookup(key string) time.Time {
	e := n.copies[key]
	if e == nil || n.Kind == Origin {
		return time.Time{}
	}
	object, _, _ := strings.Cut(key, "/")
	if born := e.Value.(*cachedCopy).born; n.cluster.mayKeep(object, born) {
		n.copyOrder.MoveToFront(e)
		return born
	}
	n.copyOrder.Remove(e)
	delete(n.copies, key)
	return time.Time{}
}

func (n *Node) store(key string, born time.Time) {
	if e := n.copies[key]; e != nil {
		e.Value.(*cachedCopy).born = born
		n.copyOrder.MoveToFront(e)
		return
	}
	n.copies[key] = n.copyOrder.PushFront(&cachedCopy{key, born})
	if n.copyOrder.Len() > n.cluster.CacheEntries {
		last := n.copyOrder.Back()
		delete(n.copies, last.Value.(*cachedCopy).key)
		n.copyOrder.Remove(last)
	}
}

// Prefill gives a node copies of objects, as if it had been asked for them long ago.
func (n *Node) Prefill(objects ...Object) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for _, o := range objects {
		n.store(o.ID+"/0", time.Now())
	}
}

// PrefillCaches gives the caches and parents what they would hold after a long calm day.
func (w *Cluster) PrefillCaches() {
	for i, n := range w.Nodes {
		if n.Kind == Origin {
			continue
		}
		for t := range w.ContentTypes {
			for o := range w.Objects / 2 {
				if n.Kind == Parent || (o+i)%2 == 0 || o < 64 {
					n.Prefill(w.Object(&w.ContentTypes[t], o))
				}
			}
		}
	}
}

func (w *Cluster) nodeByName(name string) *Node {
	for _, n := range w.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

func (w *Cluster) origin() *Node { return w.nodeByName("origin") }

// recordEffect books an effect; a repeat within the window is dropped.
func (w *Cluster) recordEffect(key string, t *ContentType) {
	if key == "" {
		return
	}
	e, now := w.effects[key], w.now()
	if e.times == 0 || now > e.first+t.DedupWindow {
		e.times++
		e.first = now
	}
	w.effects[key] = e
}

// EffectCount is how often a key had its effect.
func (w *Cluster) EffectCount(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.effects[key].times
}
