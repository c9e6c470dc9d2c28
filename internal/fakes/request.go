package fakes

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Notes of answers: how a node came by what it answers with, or why it can't answer.
const (
	noteHit       = "local"
	noteFilled    = "pulled"
	noteOrigin    = "pulled_far"
	noteCoalesced = "rode"
	noteCutOff    = "cut_off"
	noteMissing   = "not_there"
)

// request is an attempt of a director at a node. The cluster's lock guards it.
type request struct {
	node        *Node
	connection  *connection
	id          string
	fields      map[string]string
	arrivedAt   time.Duration // at the node's machine, since the cluster's start
	contentType *ContentType
	transfers   []*transfer
	ended       bool // answered, cancelled, or its connection has ended
	partsLeft   int  // parts that are not done: the transfer to the director, and a fill
	born        time.Time
	note        string
}

// handle does what a request asks for: at once, or as its transfers end.
func (r *request) handle() {
	n, c := r.node, r.node.cluster
	r.record()
	c.checkAbandoned(r)
	c.recordKeyEvent(r.fields["op"], "attempt %s at %s from %s, patience %s ms, by %v, arrived %v before", r.id, n.Name, r.fields["from"],
		r.fields["patience"], r.connection.conn.RemoteAddr(), c.now()-r.arrivedAt)
	source := c.nodeByName(r.fields["from"])
	c.checkDrained(n, source)
	if r.contentType = c.contentTypeNamed(r.fields["sort"]); r.contentType == nil {
		r.answer(r.id + " failed - 0\r\n\r\n")
		return
	}
	work := c.transferMicros(r.contentType, r.fields["asset"])
	if n.fault != FaultNone {
		r.misbehave(n.fault)
		return
	}
	n.recordWork(work)
	if n.listener == nil { // that was too much for it
		return
	}
	if float64(n.inHand) > n.capacity(c.now())*c.MaxQueueFactor+1 {
		r.answer(r.id + " full - 0\r\n\r\n")
		return
	}
	if r.contentType.Uncacheable {
		r.runAtOrigin(source, work)
		return
	}
	r.serveCopy(source, work)
}

// record counts the request at its node, and among the attempts of its id that are in flight anywhere.
func (r *request) record() {
	c := r.node.cluster
	r.node.requestCount++
	r.node.inHand++
	c.attemptsInFlight[r.id]++
	if c.attemptsInFlight[r.id] < 2 {
		return
	}
	time.AfterFunc(cancelDelay, func() { // the other's cancelling may still be on its way
		c.mu.Lock()
		defer c.mu.Unlock()
		if !r.ended && c.attemptsInFlight[r.id] > 1 {
			c.violations.ConcurrentAttempts++
		}
	})
}

// checkDrained counts uses of nodes that were told to drain longer ago than directors may take to hear of it.
func (c *Cluster) checkDrained(used ...*Node) {
	for _, n := range used {
		if n != nil && n.drainedAt > 0 && c.now() > c.channelState.knownFrom(n.drainedAt)+drainDeadline {
			c.violations.DrainedUses++
		}
	}
}

// contentTypeNamed is nil for a name that is not known.
func (c *Cluster) contentTypeNamed(name string) *ContentType {
	for i := range c.ContentTypes {
		if c.ContentTypes[i].Name == name {
			return &c.ContentTypes[i]
		}
	}
	return nil
}

// misbehave does what a node with a fault does with a request.
func (r *request) misbehave(fault Fault) {
	switch fault {
	case FaultMalformed:
		r.answer("\x00\x01 rubbish\r\n")
	case FaultReset:
		reset(r.connection.conn)
	case FaultError:
		r.answer(r.id + " failed - 0\r\n\r\n")
	}
}

// runAtOrigin has the origin do what no cache keeps. It runs, whether its director still waits or not.
func (r *request) runAtOrigin(source *Node, work float64) {
	c := r.node.cluster
	if source == nil || source.Kind != Origin && r.node.Kind != Origin {
		r.answerMissing()
		return
	}
	c.origin().transfers.add(work, func() {
		c.recordEffect(r.fields["op"], r.contentType, r.arrivedAt)
		time.AfterFunc(c.OriginLatency, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			r.born, r.note = time.Now(), noteOrigin
			r.answerBody()
		})
	})
}

// serveCopy answers from the copy that is held, or fills one from the source.
func (r *request) serveCopy(source *Node, work float64) {
	n := r.node
	key := r.fields["asset"] + "/" + r.fields["slice"]
	r.partsLeft = 1
	r.transfers = append(r.transfers, n.transfers.add(work, r.partDone))
	if n.Kind == Origin {
		r.born, r.note = time.Now(), noteHit
		return
	}
	if born := n.lookup(key); r.isFresh(born) {
		r.born, r.note = born, noteHit
		return
	}
	if source == nil || source == n {
		r.answerMissing()
		return
	}
	r.partsLeft++
	mode := "+" + r.fields["mode"] + "+"
	onlyIfCached := strings.Contains(mode, "+held+")
	if pending := n.fills[key]; pending != nil && strings.Contains(mode, "+join+") && !onlyIfCached {
		pending.waiters = append(pending.waiters, r.coalesced)
		return
	}
	r.startFill(source, key, work, onlyIfCached)
}

// startFill fills a copy for this request and for those that join it.
func (r *request) startFill(source *Node, key string, work float64, onlyIfCached bool) {
	n, pending := r.node, &pendingFill{}
	n.fills[key] = pending
	n.fill(source, key, work, onlyIfCached, r.isFresh, func(born time.Time, note string) {
		if n.fills[key] == pending {
			delete(n.fills, key)
		}
		if !born.IsZero() && n.listener != nil {
			n.store(key, born)
		}
		r.filled(born, note)
		for _, waiter := range pending.waiters {
			waiter(born, note)
		}
	})
}

// coalesced takes the end of another request's fill that this one has joined.
func (r *request) coalesced(born time.Time, note string) {
	if note == noteFilled || note == noteOrigin {
		note = noteCoalesced
	}
	if !born.IsZero() && !r.isFresh(born) {
		born, note = time.Time{}, noteCutOff
	}
	r.filled(born, note)
}

// filled takes the end of a fill; born is zero where it failed.
func (r *request) filled(born time.Time, note string) {
	r.born, r.note = born, note
	switch {
	case born.IsZero() && note == noteMissing:
		r.answerMissing()
	case born.IsZero():
		r.answer(fmt.Sprintf("%s failed n=%s 0\r\n\r\n", r.id, note))
	default:
		r.partDone()
	}
}

// isFresh says whether a copy is young enough for what the request asks; one of the zero time is none.
func (r *request) isFresh(born time.Time) bool {
	maxAge, _ := strconv.Atoi(r.fields["oldest"]) // milliseconds; 0 where not given
	return !born.IsZero() && (maxAge == 0 || time.Since(born) <= time.Duration(maxAge)*time.Millisecond)
}

// partDone marks a part of a request as done, and answers after the last.
func (r *request) partDone() {
	if r.partsLeft--; r.partsLeft <= 0 {
		r.answerBody()
	}
}

// answerBody answers with the bytes, which tell what they are.
func (r *request) answerBody() {
	body := fmt.Sprintf("%s/%s born %d", r.fields["asset"], r.fields["slice"], r.born.UnixMilli())
	r.answer(fmt.Sprintf("%s data n=%s,ver=%016x,born=%d %d\r\n%s\r\n", r.id, r.note, r.born.UnixMilli(), r.born.UnixMilli(),
		len(body), body))
}

func (r *request) answerMissing() {
	r.answer(r.id + " absent n=" + noteMissing + " 0\r\n\r\n")
}

// answer sends a final answer, unless the request has ended.
func (r *request) answer(text string) {
	if r.ended {
		return
	}
	delete(r.connection.inHand, r.id)
	r.node.cluster.recordKeyEvent(r.fields["op"], "attempt %s answered: %.40q", r.id, text)
	r.end()
	r.connection.send(text)
	if onAnswer := r.node.cluster.OnAnswer; onAnswer != nil {
		onAnswer(r.node.Name, r.fields, text)
	}
}

// end takes a request off the counts, and cancels its transfers.
func (r *request) end() {
	if r.ended {
		return
	}
	r.ended = true
	n, c := r.node, r.node.cluster
	n.inHand--
	if c.attemptsInFlight[r.id]--; c.attemptsInFlight[r.id] == 0 {
		delete(c.attemptsInFlight, r.id)
	}
	for _, t := range r.transfers {
		n.transfers.cancel(t)
	}
}
