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

	// maxQueuedResponses is the number of responses left to write from which no further input of
	// the client is processed. A client with maxPendingRequests open requests stays below it.
	maxQueuedResponses = 4 * maxPendingRequests

	maxBatchBytes      = bufpool.BufferSize // responses written together, unless a single one is larger
	typicalHeaderBytes = 96                 // size of a typical response header
)

var (
	errUnprocessable = errors.New("cache nodes agree that they cannot process the request")
	errQueueFull     = errors.New("client has too many responses left to read")

	lineEnd = []byte("\r\n")
)

// response is a response that waits to be written.
type response struct {
	header []byte // everything before the first byte of the body
	body   *bufpool.Body
}

// size returns the size of the response in bytes, without the line end that follows the body.
func (r response) size() int { return len(r.header) + r.body.Len() }

// Succeed answers a request with a body or, if unchanged is set, tells the client that the copy it
// holds is still valid. The connection takes ownership of the body. Succeed returns false if the
// client has left too much data unread for the body to be queued; the request is then still pending
// and must be answered without a body.
func (c *Conn) Succeed(tag uint64, body *bufpool.Body, unchanged bool) (queued bool) {
	fields := ""
	if unchanged {
		fields = fieldUnchanged + "=1"
	}
	c.mu.Lock()
	c.suspect = false
	c.mu.Unlock()
	return c.respond(tag, statusSucceeded, fields, body)
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
// returns false, frees the body and leaves the request pending if there is a body and the client has
// already left too much data unread.
func (c *Conn) respond(tag uint64, status, fields string, body *bufpool.Body) (queued bool) {
	if body.Len() > 0 && c.queueFull() {
		body.Free()
		c.server.logClientError(logevent.DownstreamWriteStalled, errQueueFull)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pending[tag] { // already answered or cancelled, or the connection is closed
		body.Free()
		return true
	}
	delete(c.pending, tag)
	c.lastUsed = time.Now()
	header := appendResponseHeader(make([]byte, 0, typicalHeaderBytes), tag, status, fields, body.Len())
	queuedResponse := response{header, body}
	c.queue = append(c.queue, queuedResponse)
	c.queuedBytes += queuedResponse.size()
	c.queuedResponses++
	c.wakeWriter()
	return true
}

// queueFull reports whether the client has left so much data unread that no further body may be
// queued for it.
func (c *Conn) queueFull() bool {
	maxQueuedBytes := c.server.maxQueuedBytes()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queuedBytes > maxQueuedBytes
}

// awaitWriter passes the received requests to the handler and waits while maxQueuedResponses
// responses are left to write. A client that does not read them is disconnected after WriteFlush,
// which ends the wait. Only the reader may call it.
func (c *Conn) awaitWriter() {
	if !c.writerBehind() {
		return
	}
	c.deliverReceived()
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.queuedResponses >= maxQueuedResponses {
		c.writerProgress.Wait()
	}
}

// writerBehind reports whether maxQueuedResponses responses are left to write.
func (c *Conn) writerBehind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queuedResponses >= maxQueuedResponses
}

// maxQueuedBytes returns how many bytes one client may leave unread before it gets no further body.
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
		batch := c.takeBatchLocked()
		if c.phase == phaseDraining && len(batch) == 0 && c.idleLocked() {
			c.wakeReader()
		}
		done := c.phase >= phaseHalfClosed
		c.mu.Unlock()
		if done {
			return
		}
		if len(batch) > 0 {
			c.writeBatch(batch)
		}
	}
}

// takeBatchLocked removes the next responses from the queue: as many as have maxBatchBytes together,
// but at least one. The caller holds c.mu.
func (c *Conn) takeBatchLocked() []response {
	taken, bytes := 0, 0
	for taken < len(c.queue) && (taken == 0 || bytes+c.queue[taken].size() <= maxBatchBytes) {
		bytes += c.queue[taken].size()
		taken++
	}
	batch := c.queue[:taken:taken]
	if c.queue = c.queue[taken:]; len(c.queue) == 0 {
		c.queue = nil
	}
	return batch
}

// writeBatch writes the responses of a batch and frees their bodies. It closes the connection of a
// client that does not accept them within WriteFlush.
func (c *Conn) writeBatch(batch []response) {
	var buffers net.Buffers
	batchBytes := 0
	for _, queued := range batch {
		batchBytes += queued.size()
		buffers = append(buffers, queued.header)
		buffers = append(buffers, queued.body.Parts()...)
		buffers = append(buffers, lineEnd)
	}
	// If the deadline cannot be set, the connection is closed and the write fails as well.
	_ = c.netConn.SetWriteDeadline(time.Now().Add(c.server.timeouts.WriteFlush.Duration()))
	_, err := buffers.WriteTo(c.netConn)
	for _, queued := range batch {
		queued.body.Free()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.closeLocked(closeWriteFailed)
		return
	}
	if c.phase == phaseClosed {
		return
	}
	c.queuedBytes -= batchBytes
	c.queuedResponses -= len(batch)
	c.writerProgress.Signal()
	if len(c.queue) > 0 || c.phase == phaseDraining {
		c.wakeWriter()
	}
}
