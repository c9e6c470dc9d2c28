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

// Trouble is what a node does wrong.
type Trouble int

const (
	Well   Trouble = iota
	Mute           // takes everything and says nothing
	Spoils         // answers what can't be read
	Resets         // resets the connection under a request
	Errs           // answers error, without a cause
)

// Node is a cache, a parent or the origin. The world's lock guards it.
type Node struct {
	w       *World
	Kind    Kind
	Name    string
	addr    string
	l       net.Listener // nil while it is dead
	conns   map[net.Conn]bool
	began   time.Duration // its start; negative for long ago
	out     *share
	copies  map[string]*list.Element
	order   *list.List // of *copied, the latest used first
	fills   map[string]*fill
	held    int // requests in hand
	slow    float64
	trouble Trouble
	drained time.Duration // when the channel told that it drains or is gone; 0 for not
	fallen  bool
	load    ledger
	asked   int
}

type copied struct {
	key  string
	born time.Time
}

// fill is one under way; who joins waits for it.
type fill struct {
	then []func(born time.Time, note string)
}

// ledger is the work that was sent lately, against what could be done.
type ledger struct {
	sent, able [30]float64
	at         int64
	peak       float64
	over       bool
}

// Add starts a new node and tells of it. A warm one has been there for long.
func (w *World) Add(kind Kind, name string, cold bool) (*Node, error) {
	n := &Node{w: w, Kind: kind, Name: name, slow: 1}
	w.mu.Lock()
	defer w.mu.Unlock()
	n.out = &share{w: w, pace: 1, able: n.able}
	if kind != Edge {
		n.out.pace = w.FillPace
	}
	if err := n.start(cold); err != nil {
		return nil, err
	}
	w.Nodes = append(w.Nodes, n)
	w.list(n, "up")
	return n, nil
}

// list tells of a node's state. The caller holds the lock.
func (w *World) list(n *Node, status string) {
	zone, since := town(w.TownOf(n.Name)), int64(0)
	if n.Kind != Edge {
		zone = "hub"
	}
	if n.began >= 0 {
		since = w.start.Add(n.began).UnixMilli()
	}
	w.tell(map[string]any{"nodes": map[string]any{"snapshot": len(w.events) == 0, "endpoints": []any{map[string]any{
		"name": n.Name, "address": n.addr, "zone": zone, "type": kinds[n.Kind], "status": status, "since_ms": since,
	}}}})
	if n.drained = 0; status != "up" {
		n.drained = w.now()
	}
}

func (n *Node) start(cold bool) error {
	addr := n.addr
	if addr == "" {
		addr = n.w.address(n.Name)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	n.l, n.addr, n.conns, n.copies = l, l.Addr().String(), map[net.Conn]bool{}, map[string]*list.Element{}
	n.order, n.fills, n.held, n.began, n.load = list.New(), map[string]*fill{}, 0, -time.Hour, ledger{peak: n.load.peak}
	if cold {
		n.began = n.w.now()
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			n.w.mu.Lock()
			if n.l != l {
				n.w.mu.Unlock()
				nc.Close()
				return
			}
			n.conns[nc] = true
			n.w.mu.Unlock()
			go n.serve(nc)
		}
	}()
	return nil
}

// warmth is the part of its capacity that it has.
func (n *Node) warmth(at time.Duration) float64 {
	from, time := n.w.ColdFrom, n.w.Warm
	if n.Kind == Parent {
		from, time = n.w.ParentFrom, n.w.ParentWarm
	}
	if age := at - n.began; n.Kind != Origin && age < time {
		return from + (1-from)*float64(max(0, age))/float64(time)
	}
	return 1
}

func (n *Node) able(at time.Duration) float64 {
	return [...]float64{n.w.Box, n.w.Parent, n.w.Origin}[n.Kind] * n.warmth(at) / n.slow
}

// reached books work that was sent to it, and has it fall over where that was too much for too long.
func (n *Node) reached(work float64) {
	now := n.w.now()
	l, part := &n.load, n.w.Window/time.Duration(len(n.load.sent))
	at := int64(now / part)
	for l.at < at {
		if at-l.at > int64(len(l.sent)) {
			l.at = at - int64(len(l.sent))
		}
		l.at++
		l.sent[l.at%int64(len(l.sent))] = 0
		l.able[l.at%int64(len(l.sent))] = n.able(time.Duration(l.at)*part) * float64(part.Microseconds())
	}
	l.sent[at%int64(len(l.sent))] += work
	if n.Kind == Origin || n.warmth(now) >= 1 {
		return
	}
	multiple := n.w.Multiple
	if n.Kind == Parent {
		multiple = n.w.ParentMultiple
	}
	sent, able := 0.0, 0.0
	for i := range l.sent {
		sent += l.sent[i]
		if l.able[i] > 0 {
			able += l.able[i]
		}
	}
	able = max(able, n.able(now)*float64(n.w.Window.Microseconds())) // a window that has only begun
	if load := sent / (multiple * able); load > l.peak {
		if l.peak = load; load > 1 {
			n.fallen = true
			n.die()
		}
	}
}

// Peak is the most that a cache or parent was sent, over what pushes it over, and whether it fell.
func (n *Node) Peak() (peak float64, fallen bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.load.peak, n.fallen
}

// Able is the work that the caches of the world could have done between two times, µs.
func (w *World) Able(from, to time.Duration) (work float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for at := from; at < to; at += Bucket {
		for _, n := range w.Nodes {
			if n.Kind == Edge && n.l != nil {
				work += n.able(at) * float64(Bucket.Microseconds())
			}
		}
	}
	return work
}

// Asked is how many requests reached it.
func (n *Node) Asked() int {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.asked
}

// Die ends it as the death of a process does; nothing is told.
func (n *Node) Die() {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.die()
}

func (n *Node) die() {
	if n.l == nil {
		return
	}
	n.l.Close()
	for nc := range n.conns {
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
	n.l = nil
	n.out.clear()
	for key, f := range n.fills {
		delete(n.fills, key)
		for _, then := range f.then {
			then(time.Time{}, "cut_off")
		}
	}
}

// Start brings a dead node back, cold, at its address, and tells of it. One that has fallen over stays down.
func (n *Node) Start() error {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.fallen || n.l != nil {
		return nil
	}
	if err := n.start(true); err != nil {
		return err
	}
	n.w.list(n, "up")
	return nil
}

// Tell tells of its state: "up", "draining" or "removed".
func (n *Node) Tell(status string) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.w.list(n, status)
}

// Do has it do wrong from now on, and so many times slower than it could.
func (n *Node) Do(t Trouble, slower float64) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.trouble, n.slow = t, max(1, slower)
}

// request is one that is in hand.
type request struct {
	n         *Node
	nc        net.Conn
	id        string
	fields    map[string]string
	t         *Type
	jobs      []*job
	over      bool
	wait      int // parts that are not done
	born      time.Time
	note      string
	unchanged bool
}

func (n *Node) serve(nc net.Conn) {
	if n.w.Quick {
		n.quickly(nc)
		n.w.mu.Lock()
		delete(n.conns, nc)
		n.w.mu.Unlock()
		return
	}
	out := make(chan []byte, 4096)
	open := map[string]*request{}
	defer func() {
		nc.Close()
		n.w.mu.Lock()
		delete(n.conns, nc)
		for _, r := range open {
			r.end()
		}
		n.w.mu.Unlock()
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
		n.w.mu.Lock()
		switch {
		case len(words) == 2 && words[0] == "never_mind":
			if r := open[words[1]]; r != nil {
				delete(open, words[1])
				r.end()
			}
		case len(words) == 2 && (words[0] == "there" || words[0] == "busy") && n.trouble != Mute:
			send(out, fmt.Sprintf("%s well - 0\r\n\r\n", words[1]))
		case len(words) == 4 && words[0] == "want":
			size, _ := strconv.Atoi(words[3])
			n.w.mu.Unlock()
			if _, err := io.CopyN(io.Discard, in, int64(size)+2); err != nil {
				return
			}
			n.w.mu.Lock()
			r := &request{n: n, nc: nc, id: words[1], fields: map[string]string{}}
			for field := range strings.SplitSeq(words[2], ",") {
				name, value, _ := strings.Cut(field, "=")
				r.fields[name] = value
			}
			open[r.id] = r
			r.take(func(text string) {
				if !r.over {
					delete(open, r.id)
					r.end()
					send(out, text)
					if n.w.Answered != nil {
						n.w.Answered(n.Name, r.fields, text)
					}
				}
			})
		}
		n.w.mu.Unlock()
	}
}

// send never waits: a director that reads nothing gets nothing.
func send(out chan []byte, text string) {
	select {
	case out <- []byte(text):
	default:
	}
}

// end gives a request up, or closes its book.
func (r *request) end() {
	if r.over {
		return
	}
	r.over = true
	r.n.held--
	if r.n.w.open[r.id]--; r.n.w.open[r.id] == 0 {
		delete(r.n.w.open, r.id)
	}
	for _, j := range r.jobs {
		r.n.out.drop(j)
	}
}

// take does what a request asks for. Answer is called at most once.
func (r *request) take(answer func(string)) {
	n, w := r.n, r.n.w
	n.asked++
	n.held++
	if w.open[r.id]++; w.open[r.id] > 1 {
		time.AfterFunc(crossing, func() { // the other's giving up may still be on its way
			w.mu.Lock()
			defer w.mu.Unlock()
			if !r.over && w.open[r.id] > 1 {
				w.rules.Together++
			}
		})
	}
	source := w.byName(r.fields["from"])
	for _, of := range []*Node{n, source} {
		if of != nil && of.drained > 0 && w.now() > w.service.told(of.drained)+drainLimit {
			w.rules.Drains++
		}
	}
	for i := range w.Types {
		if w.Types[i].Name == r.fields["sort"] {
			r.t = &w.Types[i]
		}
	}
	if r.t == nil {
		answer(r.id + " failed - 0\r\n\r\n")
		return
	}
	work := w.work(r.t, r.fields["asset"])
	switch n.trouble {
	case Mute:
		return
	case Spoils:
		answer("\x00\x01 rubbish\r\n")
		return
	case Resets:
		r.nc.(*net.TCPConn).SetLinger(0)
		r.nc.Close()
		return
	case Errs:
		answer(r.id + " failed - 0\r\n\r\n")
		return
	}
	n.reached(work)
	if n.l == nil {
		return
	}
	if float64(n.held) > n.able(w.now())*w.Most+1 {
		answer(r.id + " full - 0\r\n\r\n")
		return
	}
	if r.t.PassThrough {
		if source == nil || source.Kind != Origin && n.Kind != Origin {
			answer(r.id + " absent n=not_there 0\r\n\r\n")
			return
		}
		w.origin().out.add(work, func() { // it runs, whether its director still waits or not
			w.runs(r.fields["op"], r.t)
			time.AfterFunc(w.OriginTakes, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				r.born, r.note = time.Now(), "pulled_far"
				r.done(answer)
			})
		})
		return
	}
	key := r.fields["asset"] + "/" + r.fields["slice"]
	oldest, _ := strconv.Atoi(r.fields["oldest"])
	fresh := func(born time.Time) bool {
		return !born.IsZero() && (oldest == 0 || time.Since(born) <= time.Duration(oldest)*time.Millisecond)
	}
	r.wait = 1
	r.jobs = append(r.jobs, n.out.add(work, func() { r.part(answer) }))
	if n.Kind == Origin {
		r.born, r.note = time.Now(), "local"
		return
	}
	if born := n.copy(key); fresh(born) {
		r.born, r.note = born, "local"
		return
	}
	if source == nil || source == n {
		answer(r.id + " absent n=not_there 0\r\n\r\n")
		return
	}
	r.wait++
	got := func(born time.Time, note string) {
		r.born, r.note = born, note
		switch {
		case born.IsZero() && note == "not_there":
			answer(r.id + " absent n=not_there 0\r\n\r\n")
		case born.IsZero():
			answer(fmt.Sprintf("%s failed n=%s 0\r\n\r\n", r.id, note))
		default:
			r.part(answer)
		}
	}
	mode := "+" + r.fields["mode"] + "+"
	if f := n.fills[key]; f != nil && strings.Contains(mode, "+join+") && !strings.Contains(mode, "+held+") {
		f.then = append(f.then, func(born time.Time, note string) {
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
	f := &fill{}
	n.fills[key] = f
	n.fetch(source, key, work, strings.Contains(mode, "+held+"), fresh, func(born time.Time, note string) {
		if n.fills[key] == f {
			delete(n.fills, key)
		}
		if !born.IsZero() && n.l != nil {
			n.keep(key, born)
		}
		got(born, note)
		for _, then := range f.then {
			then(born, note)
		}
	})
}

// part marks a part of a request as done.
func (r *request) part(answer func(string)) {
	if r.wait--; r.wait <= 0 {
		r.done(answer)
	}
}

// done answers with the bytes, which tell what they are.
func (r *request) done(answer func(string)) {
	body := fmt.Sprintf("%s/%s born %d", r.fields["asset"], r.fields["slice"], r.born.UnixMilli())
	answer(fmt.Sprintf("%s data n=%s,ver=%016x,born=%d %d\r\n%s\r\n", r.id, r.note, r.born.UnixMilli(), r.born.UnixMilli(),
		len(body), body))
}

// fetch fills a copy from a source, over the location's link.
func (n *Node) fetch(source *Node, key string, work float64, held bool, fresh func(time.Time) bool,
	then func(born time.Time, note string)) {
	w := n.w
	if source.l == nil || source.trouble == Mute {
		time.AfterFunc(300*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			then(time.Time{}, "cut_off")
		})
		return
	}
	source.reached(work / w.FillPace)
	if source.l == nil {
		then(time.Time{}, "cut_off")
		return
	}
	born, note, parts := source.copy(key), "pulled", 2
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
		time.AfterFunc(w.OriginTakes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.origin().reached(work / w.FillPace)
			w.origin().out.add(work, func() {
				born = time.Now()
				source.keep(key, born)
				over()
			})
		})
	} else if source.Kind == Origin {
		born, note = time.Now(), "pulled_far"
	}
	source.out.add(work, over)
	w.links[w.TownOf(n.Name)].add(work, over)
}

// copy is when the copy that is held was given out by the origin; zero for none.
func (n *Node) copy(key string) time.Time {
	e := n.copies[key]
	if e == nil || n.Kind == Origin {
		return time.Time{}
	}
	object, _, _ := strings.Cut(key, "/")
	if born := e.Value.(*copied).born; n.w.kept(object, born) {
		n.order.MoveToFront(e)
		return born
	}
	n.order.Remove(e)
	delete(n.copies, key)
	return time.Time{}
}

func (n *Node) keep(key string, born time.Time) {
	if e := n.copies[key]; e != nil {
		e.Value.(*copied).born = born
		n.order.MoveToFront(e)
		return
	}
	n.copies[key] = n.order.PushFront(&copied{key, born})
	if n.order.Len() > n.w.Copies {
		last := n.order.Back()
		delete(n.copies, last.Value.(*copied).key)
		n.order.Remove(last)
	}
}

// Fill gives a node copies of objects, as if it had been asked for them long ago.
func (n *Node) Fill(objects ...Object) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	for _, o := range objects {
		n.keep(o.ID+"/0", time.Now())
	}
}

// Stock gives the caches and parents what they would hold after a long calm day.
func (w *World) Stock() {
	for i, n := range w.Nodes {
		if n.Kind == Origin {
			continue
		}
		for t := range w.Types {
			for o := range w.Objects / 2 {
				if n.Kind == Parent || (o+i)%2 == 0 || o < 64 {
					n.Fill(w.Object(&w.Types[t], o))
				}
			}
		}
	}
}

func (w *World) byName(name string) *Node {
	for _, n := range w.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

func (w *World) origin() *Node { return w.byName("origin") }

// runs books an effect; a repeat within the window is dropped.
func (w *World) runs(key string, t *Type) {
	if key == "" {
		return
	}
	e, now := w.effects[key], w.now()
	if e.times == 0 || now > e.first+t.Window {
		e.times++
		e.first = now
	}
	w.effects[key] = e
}

// Effect is how often a key had its effect.
func (w *World) Effect(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.effects[key].times
}
