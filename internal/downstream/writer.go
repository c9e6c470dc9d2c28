package downstream

import (
	"errors"
	"net"
	"strconv"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/logevent"
)

// Bounds of what may be queued for one client, as a part of the pool: a larger one while less than half of the pool is in use.
const (
	queueFraction       = 8
	queueFractionScarce = 64
	minQueueBuffers     = 4

	typicalHeaderBytes = 96 // of a response
)

var (
	errUnprocessable = errors.New("of use to no node")
	errClientStalled = errors.New("it reads nothing")

	lineEnd = []byte("\r\n")
)

// response is one that waits to be written.
type response struct {
	header []byte // up to the body's first byte
	body   *bufpool.Body
}

// Succeed answers a request with a body, or, where unchanged is set, tells the client that the copy it holds is still valid. The body
// is the connection's from here on.
func (c *Conn) Succeed(tag uint64, body *bufpool.Body, unchanged bool) {
	fields := ""
	if unchanged {
		fields = fieldUnchanged + "=1"
	}
	c.mu.Lock()
	c.suspect = false
	c.mu.Unlock()
	c.respond(tag, statusSucceeded, fields, body)
}

// Reject answers that a retry is harmless, and after how long the client should come back; with 0 it is not told. The protocol's unit is
// the millisecond.
func (c *Conn) Reject(tag uint64, retryAfter time.Duration) {
	fields := ""
	if retryAfter > 0 {
		c.mu.Lock()
		c.retryNotBefore = time.Now().Add(retryAfter)
		c.mu.Unlock()
		fields = fieldRetryAfter + "=" + strconv.FormatInt(retryAfter.Milliseconds(), 10)
	}
	c.respond(tag, statusRejected, fields, nil)
}

// RejectUnsent answers a request that was not sent on for want of room. It is rejected, with the default time to come back, unless an
// earlier attempt under the same idempotency key may have run: how long ago is not known here, so that the request fails.
func (c *Conn) RejectUnsent(tag uint64, request Request) {
	if request.IsRetry && request.IdempotencyKey != "" {
		c.Fail(tag)
		return
	}
	c.Reject(tag, c.server.timeouts.DefaultRetryAfter.Duration())
}

// Fail answers that the request may have run or not.
func (c *Conn) Fail(tag uint64) { c.respond(tag, statusFailed, "", nil) }

// MarkSuspect notes that cache nodes agree that they can't use what the client asked for. Its next requests carry ClientSuspect until one
// succeeds. The connection stays open: nodes that are in trouble can agree too, and requests of others may come over it.
func (c *Conn) MarkSuspect() {
	c.server.logClientError(logevent.UnprocessableRequest, errUnprocessable)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspect = true
}

// ReportBadRequest notes that a request can't be used. After as many as a client may have pending its further requests are ignored, and
// the connection is drained. The request is to be answered by its own call.
func (c *Conn) ReportBadRequest(err error) {
	c.server.logClientError(logevent.BadRequest, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.badRequests++; c.badRequests >= maxPendingRequests {
		c.restrictInputLocked(inputCancels)
	}
}

// respond queues the response to a request that is still pending, and frees the body of any other. The connection of a client that
// leaves too much unread is closed.
func (c *Conn) respond(tag uint64, status, fields string, body *bufpool.Body) {
	maxQueuedBytes := c.server.maxQueuedBytes()
	c.mu.Lock()
	if !c.pending[tag] { // answered or cancelled before, or the connection is closed
		c.mu.Unlock()
		body.Free()
		return
	}
	delete(c.pending, tag)
	c.lastUsed = time.Now()
	if c.queuedBytes > maxQueuedBytes {
		c.closeLocked()
		c.mu.Unlock()
		body.Free()
		c.server.logClientError(logevent.DownstreamWriteStalled, errClientStalled)
		return
	}
	defer c.mu.Unlock()
	header := appendResponseHeader(make([]byte, 0, typicalHeaderBytes), tag, status, fields, body.Len())
	c.queue = append(c.queue, response{header, body})
	c.queuedBytes += len(header) + body.Len()
	c.wakeWriter()
}

// maxQueuedBytes is how much one client may leave unread.
func (s *Server) maxQueuedBytes() int {
	inUse, limit := s.pool.InUse()
	buffers := limit / queueFraction
	if inUse > limit/2 {
		buffers = limit / queueFractionScarce
	}
	return max(buffers, minQueueBuffers) * bufpool.BufferSize
}

// writeLoop writes queued responses until the connection is half-closed or closed. A draining connection without any wakes the reader,
// which alone may half-close it.
func (c *Conn) writeLoop() {
	for range c.writerWake {
		c.mu.Lock()
		queue := c.queue
		c.queue = nil
		if c.phase == phaseDraining && len(queue) == 0 && c.idleLocked() {
			c.wakeReader()
		}
		done := c.phase >= phaseHalfClosed
		c.mu.Unlock()
		if done {
			return
		}
		if len(queue) > 0 {
			c.writeResponses(queue)
		}
	}
}

// writeResponses writes a queue and frees its bodies. A client that does not take it within WriteFlush is given up.
func (c *Conn) writeResponses(queue []response) {
	var buffers net.Buffers
	for _, queued := range queue {
		buffers = append(buffers, queued.header)
		buffers = append(buffers, queued.body.Parts()...)
		buffers = append(buffers, lineEnd)
	}
	// Where the deadline can't be set the connection is closed, and the write fails alike.
	_ = c.netConn.SetWriteDeadline(time.Now().Add(c.server.timeouts.WriteFlush.Duration()))
	written, err := buffers.WriteTo(c.netConn)
	for _, queued := range queue {
		queued.body.Free()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queuedBytes = max(0, c.queuedBytes-int(written))
	if err != nil {
		c.closeLocked()
	} else if len(c.queue) > 0 || c.phase == phaseDraining {
		c.wakeWriter()
	}
}
