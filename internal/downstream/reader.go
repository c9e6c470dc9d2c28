package downstream

import (
	"errors"
	"os"
	"slices"
	"time"

	"tallyproxy/internal/logevent"
	"tallyproxy/internal/socket"
)

const (
	maxPendingRequests = 32      // requests that the protocol lets a client have open on one connection
	discardBufferSize  = 8 << 10 // bytes read at a time of input that is ignored
)

// Errors of requests, which are logged.
var (
	errTagInUse        = errors.New("the tag is in use")
	errUnknownCommand  = errors.New("an unknown message")
	errTooManyRequests = errors.New("too many requests at once")
)

// readLoop reads what the client sends until the connection ends. A client that has closed its side waits for nothing, so requests are
// given to the handler only once all that lies in the socket is read: a request, its cancellation and the client's end may lie there
// together, for as long as the connection waited to be accepted. For a client that never stops sending this wait has an end.
func (c *Conn) readLoop() {
	defer c.Close()
	p := parser{pool: c.server.pool}
	defer p.release()
	defer c.dropReceived()
	for {
		n, err := c.netConn.Read(p.readBuffer())
		now := time.Now()
		if err != nil && !c.handleReadError(err) {
			return
		}
		p.advance(n)
		c.handleInput(&p, now)
		c.deliverWhenRead(now)
		if !c.trackInput(now, false) {
			p.release()
			c.discardLoop()
			return
		}
	}
}

// handleInput acts on the complete messages that the parser holds.
func (c *Conn) handleInput(p *parser, now time.Time) {
	for c.trackInput(now, p.hasPartial()) {
		msg, ok, err := p.next()
		switch {
		case err != nil:
			c.handleMalformed(msg.tag, err, now)
		case !ok:
			return
		default:
			c.handleMessage(msg, now)
		}
	}
}

// handleMalformed answers the message that can't be read, where its tag could be, and ignores all that follows.
func (c *Conn) handleMalformed(tag uint64, err error, now time.Time) {
	c.server.logClientError(logevent.DownstreamMalformed, err)
	if tag > 0 {
		c.handleMessage(message{tag: tag}, now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restrictInputLocked(inputDiscarded)
}

// discardLoop reads on, to see the client's end. Closed with input unread the connection would be reset, and its last responses lost.
func (c *Conn) discardLoop() {
	buffer := make([]byte, discardBufferSize)
	for {
		if _, err := c.netConn.Read(buffer); err != nil && !c.handleReadError(err) {
			return
		}
		c.deliverWhenRead(time.Now())
	}
}

// deliverWhenRead gives the received requests to the handler once nothing more lies in the socket, or after MaxDecisionAge.
func (c *Conn) deliverWhenRead(now time.Time) {
	if len(c.received) == 0 { // none came, or all were cancelled
		c.receivedSince = time.Time{}
		return
	}
	if c.receivedSince.IsZero() {
		c.receivedSince = now
	}
	data, closed := socket.PendingInput(c.netConn)
	if !data && !closed || now.Sub(c.receivedSince) >= c.server.timeouts.MaxDecisionAge.Duration() {
		c.deliverReceived()
		c.receivedSince = time.Time{}
	}
}

// deliverReceived gives the handler those of the received requests that are still pending.
func (c *Conn) deliverReceived() {
	for i, r := range c.received {
		c.received[i] = receivedRequest{} // should the handler panic, dropReceived leaves its body to it
		if c.IsPending(r.tag) {
			c.handler.HandleRequest(c, r.tag, r.request)
		} else {
			r.request.Body.Free()
		}
	}
	c.received = c.received[:0]
}

// dropReceived frees the received requests.
func (c *Conn) dropReceived() {
	for i, r := range c.received {
		c.received[i] = receivedRequest{}
		r.request.Body.Free()
	}
	c.received = c.received[:0]
}

// wakeReader ends a read that waits, so that the reader sees whether to half-close or evict the connection.
func (c *Conn) wakeReader() { c.setReadDeadline(time.Unix(1, 0)) }

// setReadDeadline sets when a read that waits ends; the zero time is never. Where it can't be set the connection is closed, and reads end
// alike.
func (c *Conn) setReadDeadline(deadline time.Time) { _ = c.netConn.SetReadDeadline(deadline) }

// handleReadError deals with a read that failed, and reports whether to read on. A read that was ended by wakeReader may half-close or
// evict the connection. The reader alone does so, since it alone knows that nothing lies between the socket and the pending requests: what was
// sent before the client is told that nothing more comes is taken, what is sent later is not.
func (c *Conn) handleReadError(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tryEvictLocked() {
		return false
	}
	now := time.Now()
	if c.phase >= phaseHalfClosed {
		// A client that reads slowly keeps the connection while responses are on their way.
		unsent := c.phase == phaseHalfClosed && socket.HasUnsentOutput(c.netConn) && now.Before(c.closeDeadline)
		if unsent {
			c.setReadDeadline(now.Add(c.server.timeouts.Connect.Duration()))
		}
		return unsent
	}
	c.setReadDeadline(time.Time{})
	c.tryHalfCloseLocked(now)
	return true
}

// trackInput notes at now whether a message is incomplete, and reports whether input is still acted on.
func (c *Conn) trackInput(now time.Time, partial bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !partial && c.messageReceived {
		c.messageStart = time.Time{}
	} else if c.messageStart.IsZero() {
		c.messageStart = now
	}
	if c.phase == phaseDraining {
		c.wakeWriter() // it may be time to half-close
	}
	return c.input != inputDiscarded && c.phase < phaseHalfClosed
}

// handleCancel drops a request that the client no longer waits for.
func (c *Conn) handleCancel(tag uint64) {
	c.mu.Lock()
	pending := c.pending[tag]
	delete(c.pending, tag)
	c.wakeWriter()
	c.mu.Unlock()
	if i := slices.IndexFunc(c.received, func(r receivedRequest) bool { return r.tag == tag }); i >= 0 {
		c.received[i].request.Body.Free()
		c.received = slices.Delete(c.received, i, i+1)
	} else if pending {
		c.handler.HandleCancel(c, tag)
	}
}

// admission is what register found as it took a message.
type admission struct {
	tagInUse bool // by a pending request
	tooMany  bool // maxPendingRequests are pending
	late     bool // it came after the deadline of the drain, which a client that never stops sending would put off
}

// register makes a message's tag pending, and reports false where messages that ask for something are no longer taken. Those were
// sent before the client saw the end of the connection, and are sent again on another.
func (c *Conn) register(msg *message, now time.Time) (a admission, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.input != inputAll || c.phase >= phaseHalfClosed {
		return a, false
	}
	a.tagInUse, a.tooMany = c.pending[msg.tag], len(c.pending) >= maxPendingRequests
	a.late = c.phase == phaseDraining && now.After(c.closeDeadline)
	c.pending[msg.tag] = true
	c.lastUsed, c.messageStart, c.messageReceived = now, time.Time{}, true
	msg.request.ClientSuspect, msg.request.ClientHash = c.suspect, c.clientHash
	return a, true
}

// handleMessage acts on one message.
func (c *Conn) handleMessage(msg message, now time.Time) {
	if msg.command == commandCancel {
		c.handleCancel(msg.tag)
		return
	}
	admission, ok := c.register(&msg, now)
	switch {
	case !ok:
	case admission.tagInUse: // the first request with the tag gets the one response
		c.ReportBadRequest(errTagInUse)
	case msg.command == commandRequest:
		c.handleRequest(msg.tag, msg.request, admission, now)
	case msg.command == commandStatus:
		c.respond(msg.tag, c.server.status(), "", nil)
	default:
		c.ReportBadRequest(errUnknownCommand)
		c.Fail(msg.tag)
	}
}

// handleRequest answers a request that can't be taken, and keeps any other for deliverWhenRead.
func (c *Conn) handleRequest(tag uint64, request Request, admission admission, now time.Time) {
	if err := request.validate(c.server.contentTypes); err != nil {
		c.ReportBadRequest(err)
		c.Fail(tag)
		return
	}
	if admission.tooMany {
		c.ReportBadRequest(errTooManyRequests)
	}
	if admission.tooMany || admission.late {
		c.RejectUnsent(tag, request)
		return
	}
	request.ArrivedAt, request.Body = now, c.server.pool.NewBody(len(request.rawBody))
	if !request.Body.Append(request.rawBody) {
		request.Body.Free()
		c.RejectUnsent(tag, request)
		return
	}
	request.rawBody = nil // the parser uses its buffer again
	c.received = append(c.received, receivedRequest{tag, request})
}

// status is the answer to STATUS.
func (s *Server) status() string {
	if s.notServing.Load() {
		return statusNotServing
	}
	return statusServing
}
