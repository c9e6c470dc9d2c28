package downstream

import (
	"errors"
	"net"
	"strconv"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/logevent"
)

// Limits of the data queued for one client, as fractions of the pool: one part in queueFraction, or
// one in queueFractionScarce while more than half of the pool is in use.
const (
	queueFraction       = 8
	queueFractionScarce = 64
	minQueueBuffers     = 4

	typicalHeaderBytes = 96 // size of a typical response header
)

var (
	errUnprocessable = errors.New("cache nodes agree that they cannot process the request")
	errClientStalled = errors.New("client does not read its responses")

	lineEnd = []byte("\r\n")
)

// response is a response that waits to be written.
type response struct {
	header []byte // everything before the first byte of the body
	body   *bufpool.Body
}

// Succeed answers a request with a body or, if unchanged is set, tells the client that the copy it
// holds is still valid. The connection takes ownership of the body.
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

// Reject tells the client that a retry is harmless and after which delay it should retry. If
// retryAfter is 0, no delay is sent. The protocol's unit is the millisecond.
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

// RejectUnsent answers a request that was not forwarded for lack of capacity. It rejects the
// request with the default retry delay, unless an earlier attempt with the same idempotency key may
// have run. Since it is not known here how long ago that was, such a request fails.
func (c *Conn) RejectUnsent(tag uint64, request Request) {
	if request.IsRetry && request.IdempotencyKey != "" {
		c.Fail(tag)
		return
	}
	c.Reject(tag, c.server.timeouts.DefaultRetryAfter.Duration())
}

// Fail tells the client that the request may or may not have run.
func (c *Conn) Fail(tag uint64) { c.respond(tag, statusFailed, "", nil) }

// MarkSuspect records that cache nodes agree that they cannot process the client's request. The
// client's further requests carry ClientSuspect until one succeeds. The connection stays open,
// since failing nodes can agree too, and since it may carry requests of others.
func (c *Conn) MarkSuspect() {
	c.server.logClientError(logevent.UnprocessableRequest, errUnprocessable)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspect = true
}

// ReportBadRequest records an invalid request. After maxPendingRequests of them, further requests
// are ignored and the connection is drained. The caller must still answer the request.
func (c *Conn) ReportBadRequest(err error) {
	c.server.logClientError(logevent.BadRequest, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.badRequests++; c.badRequests >= maxPendingRequests {
		c.restrictInputLocked(inputCancels)
	}
}

// respond queues the response to a request that is still pending, and frees the body otherwise. It
// closes the connection of a client that leaves too much data unread.
func (c *Conn) respond(tag uint64, status, fields string, body *bufpool.Body) {
	maxQueuedBytes := c.server.maxQueuedBytes()
	c.mu.Lock()
	if !c.pending[tag] { // already answered or cancelled, or the connection is closed
		c.mu.Unlock()
		body.Free()
		return
	}
	delete(c.pending, tag)
	c.lastUsed = time.Now()
	if c.queuedBytes > maxQueuedBytes {
		c.closeLocked(closeUnread)
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

// maxQueuedBytes returns how many bytes one client may leave unread.
func (s *Server) maxQueuedBytes() int {
	inUse, limit := s.pool.InUse()
	buffers := limit / queueFraction
	if inUse > limit/2 {
		buffers = limit / queueFractionScarce
	}
	return max(buffers, minQueueBuffers) * bufpool.BufferSize
}

// writeLoop writes queued responses until the connection is half-closed or closed. When a draining
// connection has nothing left to write, it wakes the reader, because only the reader may half-close
// the connection.
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

// writeResponses writes the responses in queue and frees their bodies. It closes the connection of
// a client that does not accept them within WriteFlush.
func (c *Conn) writeResponses(queue []response) {
	var buffers net.Buffers
	for _, queued := range queue {
		buffers = append(buffers, queued.header)
		buffers = append(buffers, queued.body.Parts()...)
		buffers = append(buffers, lineEnd)
	}
	// If the deadline cannot be set, the connection is closed and the write fails as well.
	_ = c.netConn.SetWriteDeadline(time.Now().Add(c.server.timeouts.WriteFlush.Duration()))
	written, err := buffers.WriteTo(c.netConn)
	for _, queued := range queue {
		queued.body.Free()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queuedBytes = max(0, c.queuedBytes-int(written))
	if err != nil {
		c.closeLocked(closeWriteFailed)
	} else if len(c.queue) > 0 || c.phase == phaseDraining {
		c.wakeWriter()
	}
}
