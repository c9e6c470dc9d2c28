package fakes

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Notes in answers: how the node got the copy that it answers with, or why it has none.
const (
	noteHit       = "local"
	noteFilled    = "pulled"
	noteOrigin    = "pulled_far"
	noteCoalesced = "rode"
	noteCutOff    = "cut_off"
	noteMissing   = "not_there"
)

// request is an attempt that a director sent to a node. The lock of the cluster guards it.
type request struct {
	node        *Node
	connection  *connection
	id          string
	fields      map[string]string
	arrivedAt   time.Duration // at the machine of the node, since the start of the cluster
	contentType *ContentType
	transfers   []*transfer
	ended       bool // answered, cancelled, or its connection ended
	partsLeft   int  // unfinished parts: the transfer to the director and a fill
	born        time.Time
	note        string
}

// handle processes a request. It is answered at once, or when its transfers end.
func (r *request) handle() {
	n, c := r.node, r.node.cluster
	r.record()
	c.checkAbandoned(r)
	c.recordAttemptDeadline(r)
	c.recordKeyEvent(r.fields["op"], "attempt %s at %s, source %s, patience %s ms, sent by %v, arrived %v earlier", r.id, n.Name, r.fields["from"],
		r.fields["patience"], r.connection.conn.RemoteAddr(), c.now()-r.arrivedAt)
	source := c.nodeByName(r.fields["from"])
	c.checkDrained(n, source)
	if r.contentType = c.contentTypeNamed(r.fields["sort"]); r.contentType == nil {
		r.answer(r.id + " failed - 0\r\n\r\n")
		return
	}
	work := c.transferMicros(r.contentType, r.fields["asset"])
	if n.fault != FaultNone {
		r.applyFault(n.fault)
		return
	}
	n.recordWork(work)
	if n.listener == nil { // recordWork took the node down for overload
		return
	}
	if float64(n.inFlight) > n.capacity(c.now())*c.MaxQueueFactor+1 {
		r.answer(r.id + " full - 0\r\n\r\n")
		return
	}
	if r.contentType.Uncacheable {
		r.runAtOrigin(source, work)
		return
	}
	r.serveCopy(source, work)
}

// record counts the request at its node, and among the attempts with its ID in flight at all nodes.
func (r *request) record() {
	c := r.node.cluster
	r.node.requestCount++
	r.node.inFlight++
	c.attemptsInFlight[r.id]++
	if c.attemptsInFlight[r.id] < 2 {
		return
	}
	time.AfterFunc(cancelDelay, func() { // the cancellation of the other attempt may still arrive
		c.mu.Lock()
		defer c.mu.Unlock()
		if !r.ended && c.attemptsInFlight[r.id] > 1 {
			c.violations.ConcurrentAttempts++
		}
	})
}

// checkDrained counts uses of nodes whose drain was published so long ago that all directors must
// know of it.
func (c *Cluster) checkDrained(used ...*Node) {
	for _, n := range used {
		if n != nil && n.drainedAt > 0 && c.now() > c.channelState.knownFrom(n.drainedAt)+drainDeadline {
			c.violations.DrainedUses++
		}
	}
}

// contentTypeNamed returns the content type with the given name, or nil if there is none.
func (c *Cluster) contentTypeNamed(name string) *ContentType {
	for i := range c.ContentTypes {
		if c.ContentTypes[i].Name == name {
			return &c.ContentTypes[i]
		}
	}
	return nil
}

// applyFault handles a request as a node with the given fault does.
func (r *request) applyFault(fault Fault) {
	switch fault {
	case FaultMalformed:
		r.answer("\x00\x01 rubbish\r\n")
	case FaultReset:
		reset(r.connection.conn)
	case FaultError:
		r.answer(r.id + " failed - 0\r\n\r\n")
	}
}

// runAtOrigin executes an uncacheable request at the origin. It runs to its end even if the
// director no longer waits.
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

// serveCopy answers with the copy that the node holds, or fills one from the source.
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
		pending.waiters = append(pending.waiters, r.finishJoinedFill)
		return
	}
	r.startFill(source, key, work, onlyIfCached)
}

// startFill starts a fill for this request and for others that join it.
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
		r.finishFill(born, note)
		for _, waiter := range pending.waiters {
			waiter(born, note)
		}
	})
}

// finishJoinedFill handles the end of a fill that another request started and this one joined.
func (r *request) finishJoinedFill(born time.Time, note string) {
	if note == noteFilled || note == noteOrigin {
		note = noteCoalesced
	}
	if !born.IsZero() && !r.isFresh(born) {
		born, note = time.Time{}, noteCutOff
	}
	r.finishFill(born, note)
}

// finishFill handles the end of a fill. born is zero if the fill failed.
func (r *request) finishFill(born time.Time, note string) {
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

// isFresh reports whether the copy is young enough for the maximum age in the request. It returns
// false for the zero time, which stands for no copy.
func (r *request) isFresh(born time.Time) bool {
	maxAge, _ := strconv.Atoi(r.fields["oldest"]) // milliseconds; 0 if not given
	return !born.IsZero() && (maxAge == 0 || time.Since(born) <= time.Duration(maxAge)*time.Millisecond)
}

// partDone marks one part of the request as done, and answers after the last one.
func (r *request) partDone() {
	if r.partsLeft--; r.partsLeft <= 0 {
		r.answerBody()
	}
}

// answerBody sends the body, which names the object, its part and when the origin issued the copy.
func (r *request) answerBody() {
	body := fmt.Sprintf("%s/%s born %d", r.fields["asset"], r.fields["slice"], r.born.UnixMilli())
	r.answer(fmt.Sprintf("%s data n=%s,ver=%016x,born=%d %d\r\n%s\r\n", r.id, r.note, r.born.UnixMilli(), r.born.UnixMilli(),
		len(body), body))
}

func (r *request) answerMissing() {
	r.answer(r.id + " absent n=" + noteMissing + " 0\r\n\r\n")
}

// answer sends the final answer, unless the request has ended.
func (r *request) answer(text string) {
	if r.ended {
		return
	}
	delete(r.connection.inFlight, r.id)
	r.node.cluster.recordKeyEvent(r.fields["op"], "attempt %s answered: %.40q", r.id, text)
	r.end()
	r.connection.send(text)
	if onAnswer := r.node.cluster.OnAnswer; onAnswer != nil {
		onAnswer(r.node.Name, r.fields, text)
	}
}

// end removes the request from the counts and cancels its transfers.
func (r *request) end() {
	if r.ended {
		return
	}
	r.ended = true
	n, c := r.node, r.node.cluster
	n.inFlight--
	if c.attemptsInFlight[r.id]--; c.attemptsInFlight[r.id] == 0 {
		delete(c.attemptsInFlight, r.id)
	}
	for _, t := range r.transfers {
		n.transfers.cancel(t)
	}
}
