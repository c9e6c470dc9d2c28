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
	maxPendingRequests = 32 // pending requests that the protocol allows per connection
)

// Request errors, which are logged.
var (
	errTagInUse        = errors.New("tag is already used by a pending request")
	errUnknownCommand  = errors.New("unknown command")
	errTooManyRequests = errors.New("too many pending requests")
)

// readLoop reads what the client sends until the connection ends. A client that has closed its side
// no longer waits for responses, so requests are passed to the handler only once all input in the
// socket has been read: while a connection waits to be accepted, a request, its cancellation and
// the client's disconnect may all accumulate in the socket. For a client that never stops sending,
// this delay is bounded.
func (c *Conn) readLoop() {
	defer c.Close()
	p := parser{pool: c.server.pool}
	defer c.releaseInput()
	defer p.release()
	defer c.dropReceived()
	for {
		if !c.reserveInput(&p) {
			c.shedInput(&p, time.Now())
			c.discardLoop(&p)
			return
		}
		n, err := c.netConn.Read(p.readBuffer())
		now := time.Now()
		if err != nil && !c.handleReadError(err) {
			return
		}
		p.advance(n)
		c.handleInput(&p, now)
		c.deliverWhenInputRead(now)
		if !c.trackInput(now, false) {
			c.discardLoop(&p)
			return
		}
	}
}

// handleInput processes the complete messages that the parser holds.
func (c *Conn) handleInput(p *parser, now time.Time) {
	for c.trackInput(now, p.hasPartial()) {
		c.awaitWriter()
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

// handleMalformed answers a malformed message if its tag could be read, and ignores all further
// input.
func (c *Conn) handleMalformed(tag uint64, err error, now time.Time) {
	c.server.logClientError(logevent.DownstreamMalformed, err)
	if tag > 0 {
		c.handleMessage(message{tag: tag}, now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restrictInputLocked(inputDiscarded)
}

// discardLoop continues to read in order to detect the client's disconnect. Closing the connection
// with unread input would reset it and lose its last responses. The parser's buffer is released.
func (c *Conn) discardLoop(p *parser) {
	p.release()
	c.releaseInput()
	for {
		if _, err := c.netConn.Read(p.small[:]); err != nil && !c.handleReadError(err) {
			return
		}
		c.deliverWhenInputRead(time.Now())
	}
}

// deliverWhenInputRead passes the received requests to the handler once the socket holds no further
// input, or after MaxDecisionAge. If the client has closed its side, it closes the connection.
func (c *Conn) deliverWhenInputRead(now time.Time) {
	if len(c.received) == 0 { // none were received, or all were cancelled
		c.receivedSince = time.Time{}
		return
	}
	if c.receivedSince.IsZero() {
		c.receivedSince = now
	}
	if socket.PeerClosed(c.netConn) {
		c.Close()
		return
	}
	data, _ := socket.PendingInput(c.netConn)
	if !data || now.Sub(c.receivedSince) >= c.server.timeouts.MaxDecisionAge.Duration() {
		c.deliverReceived()
		c.receivedSince = time.Time{}
	}
}

// deliverReceived passes the received requests that are still pending to the handler.
func (c *Conn) deliverReceived() {
	for i, r := range c.received {
		// if the handler panics, dropReceived must not free the body
		c.received[i] = receivedRequest{}
		if c.IsPending(r.tag) {
			c.handler.HandleRequest(c, r.tag, r.request)
		} else {
			r.request.Body.Free()
		}
	}
	c.received = nil // most clients send few requests at once
}

// dropReceived frees the received requests.
func (c *Conn) dropReceived() {
	for i, r := range c.received {
		c.received[i] = receivedRequest{}
		r.request.Body.Free()
	}
	c.received = c.received[:0]
}

// wakeReader interrupts a blocked read so that the reader checks whether to half-close or evict the
// connection.
func (c *Conn) wakeReader() { c.setReadDeadline(time.Unix(1, 0)) }

// setReadDeadline sets the time at which a blocked read ends; the zero time means never. If it
// cannot be set, the connection is closed and reads end anyway.
func (c *Conn) setReadDeadline(deadline time.Time) { _ = c.netConn.SetReadDeadline(deadline) }

// handleReadError handles a failed read and reports whether to continue reading. If wakeReader
// interrupted the read, the connection may be half-closed or evicted. Only the reader does this,
// because only the reader knows that no request has been read from the socket without being
// registered as pending: requests sent before the client learns that the connection is closing are
// accepted, later ones are not.
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
		// A client that reads slowly keeps the connection until it has received the responses.
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

// trackInput records whether a message is incomplete at the time now, and reports whether input is
// still processed.
func (c *Conn) trackInput(now time.Time, partial bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !partial && c.messageReceived {
		c.messageStart = time.Time{}
	} else if c.messageStart.IsZero() {
		c.messageStart = now
	}
	if c.phase == phaseDraining {
		c.wakeWriter() // the connection may be ready to be half-closed
	}
	return c.input != inputDiscarded && c.phase < phaseHalfClosed
}

// handleCancel removes a request that the client no longer waits for.
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

// admission is what register found when it registered a message.
type admission struct {
	tagInUse bool // a pending request has the same tag
	tooMany  bool // maxPendingRequests requests are already pending
	// it arrived after the drain deadline and is rejected, since a client that never stops sending
	// would otherwise delay the end of the drain
	late bool
}

// register makes a message's tag pending. It returns false if the connection no longer accepts
// messages other than cancellations. If the connection is ending, the client sent the message
// before it noticed, and sends it again on another connection.
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
	msg.request.ClientSuspect, msg.request.ClientHash, msg.request.ClientConn = c.suspect, c.clientHash, c.number
	return a, true
}

// handleMessage processes one message.
func (c *Conn) handleMessage(msg message, now time.Time) {
	if msg.command == commandCancel {
		c.handleCancel(msg.tag)
		return
	}
	admission, ok := c.register(&msg, now)
	switch {
	case !ok:
	case admission.tagInUse: // only the first request with the tag gets a response
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

// handleRequest answers a request that cannot be accepted and keeps any other for
// deliverWhenInputRead.
func (c *Conn) handleRequest(tag uint64, request Request, admission admission, now time.Time) {
	if err := request.validate(c.server.contentTypes); err != nil {
		c.ReportBadRequest(err)
		c.Fail(tag)
		return
	}
	if admission.tooMany {
		c.ReportBadRequest(errTooManyRequests)
	}
	if admission.tooMany || admission.late || c.queueFull() {
		c.RejectUnsent(tag, request)
		return
	}
	request.ArrivedAt, request.Body = now, c.server.pool.NewBody(len(request.rawBody))
	if !request.Body.Append(request.rawBody) {
		request.Body.Free()
		c.RejectUnsent(tag, request)
		return
	}
	request.rawBody = nil // the parser reuses its buffer
	c.received = append(c.received, receivedRequest{tag, request})
}

// status returns the response status for a STATUS command.
func (s *Server) status() string {
	if s.notServing.Load() {
		return statusNotServing
	}
	return statusServing
}
