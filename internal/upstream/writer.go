package upstream

import (
	"errors"
	"io"
	"os"
	"time"

	"tallyproxy/internal/socket"
)

const writeBufferSize = 2 << 10 // bytes per write, except for requests with larger bodies

// message is a queued request or cancel message.
type message struct {
	attempt  *Attempt // nil if the message must not be written
	isCancel bool
}

// maxSize returns an upper bound of the size of the encoded message, in bytes.
func (m message) maxSize() int {
	if m.isCancel {
		return maxRequestHead
	}
	return m.attempt.maxSize
}

// batch is a group of messages that are written together. It belongs to the writer goroutine.
type batch struct {
	buffer   []byte // backs data; taken from the buffer pool if larger than writeBufferSize
	data     []byte // encoded messages
	messages []message
	ends     []int // offset in data at which each message ends
}

// writeLoop writes queued messages until the connection is closed. It runs on the connection's
// writer goroutine.
func (c *conn) writeLoop() {
	small := make([]byte, writeBufferSize)
	var b batch
	for range c.wake {
		if !c.fillBatch(&b, small) {
			return
		}
		if len(b.messages) == 0 {
			continue
		}
		written, err := c.writeBatch(&b)
		if len(b.buffer) > len(small) {
			c.endpoint.pool.buffers.Put(b.buffer)
		}
		c.recordProgress(&b, written, err)
	}
}

// fillBatch moves as many messages from the queue to the batch as its buffer holds. The batch is
// empty if the queue is. fillBatch returns false if the connection is closed.
func (c *conn) fillBatch(b *batch, small []byte) (open bool) {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	b.messages, b.ends = nil, b.ends[:0]
	if c.closed {
		return false
	}
	if len(c.queue) == 0 {
		return true
	}
	// The endpoint may have closed an idle connection before the reader noticed. A request written
	// now would be lost, and it would be unknown whether the endpoint ran it. Closing the
	// connection here moves its requests to another connection.
	if _, closed := socket.PendingInput(c.netConn); closed && c.queue[0].attempt.stage == NothingWritten {
		c.close(io.EOF)
		return false
	}
	if b.buffer = c.batchBuffer(small); b.buffer == nil {
		c.dropUnbuffered()
		return true
	}
	b.data = b.buffer[:0]
	for i := range c.queue {
		m := &c.queue[i]
		if len(b.data)+m.maxSize() > len(b.buffer) {
			c.wakeWriter() // the rest goes into the next batch
			break
		}
		c.encode(m, b)
		b.messages, b.ends = c.queue[:i+1], append(b.ends, len(b.data))
	}
	c.queue = c.queue[len(b.messages):]
	return true
}

// batchBuffer returns a buffer that holds the first message of the queue, or nil if the buffer pool
// has no room for it. The caller holds the endpoint's lock.
func (c *conn) batchBuffer(small []byte) []byte {
	if size := c.queue[0].maxSize(); size > len(small) {
		return c.endpoint.pool.buffers.TryGet(size)
	}
	return small
}

// dropUnbuffered ends the attempt of the queue's first message, a request for which there is no
// buffer. The caller holds the endpoint's lock.
func (c *conn) dropUnbuffered() {
	first := c.queue[0]
	c.queue = c.queue[1:]
	if !first.attempt.finished {
		c.finish(first.attempt, Response{}, &Error{Stage: NothingWritten, Cancelled: first.attempt.cancelled, Err: ErrNoBuffer})
	}
	c.wakeWriter() // for the rest of the queue
}

// encode appends an encoded message to the batch, unless the message's attempt has ended or must be
// withdrawn. The caller holds the endpoint's lock.
func (c *conn) encode(m *message, b *batch) {
	a := m.attempt
	switch {
	case m.isCancel:
		c.encodeCancel(a, b)
	case a.cancelled || a.finished:
		m.attempt = nil
	case a.withdrawn():
		c.finish(a, Response{}, &Error{Stage: NothingWritten, Err: ErrWithdrawn})
		m.attempt = nil
	default:
		// A decision is acted on as it is until it is older than MaxDecisionAge.
		if left := time.Until(a.expiresAt); a.request.Timeout-left > c.endpoint.pool.timeouts.MaxDecisionAge.Duration() {
			a.request.Timeout = left
		}
		b.data = appendRequest(b.data, &a.request)
		// The stage is set before the write returns, since the endpoint may act on the request
		// before.
		a.stage, a.sentAt = FullyWritten, time.Now()
	}
}

// encodeCancel appends a cancel message for an attempt, and a probe if the cancellation must be
// confirmed. The caller holds the endpoint's lock.
func (c *conn) encodeCancel(a *Attempt, b *batch) {
	if a.stage == NothingWritten { // the endpoint has nothing to cancel
		c.finish(a, Response{}, cancelledAt(NothingWritten))
		return
	}
	if a.finished {
		return
	}
	// The ID is recorded before the write returns, since the endpoint may answer the probe before.
	c.cancelledIDs[a.request.ID] = true
	if len(c.cancelledIDs) >= maxCancelledIDs {
		c.retired = true
	}
	b.data = appendCancel(b.data, a.request.ID)
	if a.confirm {
		b.data = appendProbe(b.data, a.request.ID)
		c.awaitConfirmation(a)
	}
}

// writeBatch writes a batch and returns the number of bytes written. While the endpoint is slow to
// read, it repeatedly checks whether requests of which no byte is written must be withdrawn. It
// gives up after the connect timeout.
func (c *conn) writeBatch(b *batch) (written int, err error) {
	pool := c.endpoint.pool
	// This check is as late as possible: it detects any pause of the process since the routing
	// decision, except one between this line and the write.
	if !pool.mayWrite() {
		c.withdraw(b, 0, true)
	}
	timeout := pool.timeouts.Connect.Duration()
	step := timeout
	if maxAge := pool.timeouts.MaxDecisionAge.Duration(); maxAge > 0 {
		step = min(step, maxAge)
	}
	deadline := time.Now().Add(timeout)
	for {
		// SetWriteDeadline fails only on a closed connection, on which the write fails, too.
		_ = c.netConn.SetWriteDeadline(time.Now().Add(step))
		var n int
		n, err = c.netConn.Write(b.data[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(deadline) {
			return written, err
		}
		c.withdraw(b, written, !pool.mayWrite())
	}
}

// withdraw removes requests from a batch and ends their attempts: all requests if all is set,
// otherwise those that are cancelled or withdrawn. written is the number of bytes of the batch that
// are written. Cancel messages stay in the batch, as does a request of which some bytes are
// written.
func (c *conn) withdraw(b *batch, written int, all bool) {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	kept, begin := b.data[:0], 0
	for i := range b.messages {
		m, end := &b.messages[i], b.ends[i]
		part := b.data[begin:end]
		isWaiting := m.attempt != nil && !m.isCancel && begin >= written && len(part) > 0
		if isWaiting && (all || m.attempt.cancelled || m.attempt.withdrawn()) {
			c.finishUnwritten(m.attempt)
			m.attempt, part = nil, nil
		}
		kept = append(kept, part...)
		begin, b.ends[i] = end, len(kept)
	}
	b.data = kept
}

// finishUnwritten ends an attempt whose request was removed from a batch. The caller holds the
// endpoint's lock.
func (c *conn) finishUnwritten(a *Attempt) {
	cause := ErrWithdrawn
	if a.cancelled {
		cause = errCancelled
	}
	a.stage = NothingWritten
	c.finish(a, Response{}, &Error{Stage: NothingWritten, Cancelled: a.cancelled, Err: cause})
}

// recordProgress updates the stages of the attempts of a batch of which written bytes are written.
// It closes the connection if err is not nil.
func (c *conn) recordProgress(b *batch, written int, err error) {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	begin := 0
	for i, m := range b.messages {
		end := b.ends[i]
		switch a := m.attempt; {
		case a == nil || a.finished:
		case m.isCancel && written >= end:
			c.cancelWritten(a)
		case m.isCancel:
		case written <= begin && begin < end:
			a.stage = NothingWritten
		case written < end:
			a.stage = PartlyWritten
		}
		begin = end
	}
	if err != nil {
		c.close(err)
	}
	c.closeIfUnused()
}

// cancelWritten ends an attempt whose cancel message was written, unless the attempt waits for
// confirmation. The caller holds the endpoint's lock.
func (c *conn) cancelWritten(a *Attempt) {
	if !a.confirm {
		c.finish(a, Response{}, cancelledAt(a.stage))
	}
}

// wakeWriter makes the writer check the queue and whether the connection is closed. It does not
// block.
func (c *conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
