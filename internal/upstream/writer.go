package upstream

import (
	"errors"
	"io"
	"os"
	"time"

	"tallyproxy/internal/socket"
)

const writeBufferSize = 2 << 10 // bytes that are written at once, except of requests with larger bodies

// message is a request, or the cancelling of one, that waits to be written.
type message struct {
	attempt  *Attempt // nil once the message is not to be written
	isCancel bool
}

// batch is the messages that are written at once. The writer's goroutine owns it.
type batch struct {
	buffer   []byte // backs data; lent by the pool where it is larger than writeBufferSize
	data     []byte // the messages' bytes
	messages []message
	ends     []int // where each message ends in data
}

// writeLoop writes what is queued until the connection is closed. It runs on the connection's own goroutine.
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

// fillBatch moves as many messages from the queue to the batch as its buffer holds; the batch is empty where none waits. It returns
// false when the connection is closed.
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
	// The endpoint may have closed an idle connection, which the reader has not seen yet. What is written then is lost, though the
	// endpoint may have run it for all that is known. Closing the connection here moves the requests to another.
	if _, closed := socket.PendingInput(c.netConn); closed && c.queue[0].attempt.stage == NothingWritten {
		c.close(io.EOF)
		return false
	}
	b.buffer = small
	if c.queue[0].attempt.maxSize > len(small) {
		b.buffer = c.endpoint.pool.buffers.Get()
	}
	b.data = b.buffer[:0]
	for i := range c.queue {
		m := &c.queue[i]
		if len(b.data)+m.attempt.maxSize > len(b.buffer) {
			c.wakeWriter() // for the next batch
			break
		}
		c.encode(m, b)
		b.messages, b.ends = c.queue[:i+1], append(b.ends, len(b.data))
	}
	c.queue = c.queue[len(b.messages):]
	return true
}

// encode appends a message's bytes to the batch, unless its attempt has ended or is to be withdrawn. The caller holds the endpoint's
// lock.
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
		b.data = appendRequest(b.data, &a.request)
		a.stage, a.sentAt = FullyWritten, time.Now() // before the write returns, since the endpoint may act on it before
	}
}

// encodeCancel appends the cancelling of an attempt, with a probe where it needs confirmation. The caller holds the endpoint's lock.
func (c *conn) encodeCancel(a *Attempt, b *batch) {
	if a.stage == NothingWritten { // there is nothing to cancel
		c.finish(a, Response{}, cancelledAt(NothingWritten))
		return
	}
	if a.finished {
		return
	}
	c.cancelledIDs[a.request.ID] = true // before the write returns, since the endpoint may answer the probe before
	if len(c.cancelledIDs) >= maxCancelledIDs {
		c.retired = true
	}
	b.data = appendCancel(b.data, a.request.ID)
	if a.confirm {
		b.data = appendProbe(b.data, a.request.ID)
		c.awaitConfirmation(a)
	}
}

// writeBatch writes a batch and returns how many of its bytes were written. Behind an endpoint that is slow to read it looks again and
// again whether requests of which nothing is written are to be withdrawn, until the connect timeout.
func (c *conn) writeBatch(b *batch) (written int, err error) {
	pool := c.endpoint.pool
	// This check comes as late as can be: a pause of the process after the decision is found out by it, unless it falls between here
	// and the write.
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
		_ = c.netConn.SetWriteDeadline(time.Now().Add(step)) // it fails on a closed connection only, as the write then does
		var n int
		n, err = c.netConn.Write(b.data[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(deadline) {
			return written, err
		}
		c.withdraw(b, written, !pool.mayWrite())
	}
}

// withdraw takes requests out of a batch, of which so many bytes are written, and ends them: those that are cancelled or withdrawn, or
// all. Cancellings stay, and so does a request of which a part is written.
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

// finishUnwritten ends an attempt whose request was taken out of a batch. The caller holds the endpoint's lock.
func (c *conn) finishUnwritten(a *Attempt) {
	cause := ErrWithdrawn
	if a.cancelled {
		cause = errCancelled
	}
	a.stage = NothingWritten
	c.finish(a, Response{}, &Error{Stage: NothingWritten, Cancelled: a.cancelled, Err: cause})
}

// recordProgress notes how far the attempts of a batch came, of which so many bytes were written, and closes the connection after an error.
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

// cancelWritten ends an attempt whose cancelling was written, unless it waits for the confirmation. The caller holds the endpoint's lock.
func (c *conn) cancelWritten(a *Attempt) {
	if !a.confirm {
		c.finish(a, Response{}, cancelledAt(a.stage))
	}
}

// wakeWriter has the writer look at the queue, and at whether the connection is closed. It does not block.
func (c *conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
