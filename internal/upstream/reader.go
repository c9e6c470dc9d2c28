package upstream

import (
	"errors"
	"os"
	"time"
)

const readBufferSize = 4 << 10 // bytes that are read at once, except of large bodies

// readLoop reads responses until the connection is closed or a response can't be trusted, and closes it. It runs on the connection's
// own goroutine, which alone uses the parser.
func (c *conn) readLoop() {
	buffers := c.endpoint.pool.buffers
	small := make([]byte, readBufferSize)
	responses := parser{
		buffers:       buffers,
		onStart:       c.responseStarted,
		onResponse:    c.responseEnded,
		onProbeAnswer: c.probeAnswered,
	}
	defer responses.close()
	hasDeadline := false
	for {
		hasDeadline = c.setReadDeadline(responses.midResponse(), hasDeadline)
		buffer := small
		if responses.bodyLeft > len(small) {
			buffer = buffers.Get()
		}
		err := c.readOnce(&responses, buffer)
		if len(buffer) > len(small) {
			buffers.Put(buffer)
		}
		if err != nil {
			c.fail(err)
			return
		}
	}
}

// setReadDeadline gives the next read the stall timeout in the middle of a response, and no deadline between responses. It returns
// whether a deadline is set now; had says whether one was set before.
func (c *conn) setReadDeadline(midResponse, had bool) (has bool) {
	switch {
	case midResponse:
		_ = c.netConn.SetReadDeadline(time.Now().Add(c.endpoint.pool.timeouts.ReadStall.Duration())) // fails when closed, as the read does
	case had:
		_ = c.netConn.SetReadDeadline(time.Time{})
	}
	return midResponse
}

// readOnce reads once into the buffer and parses what came.
func (c *conn) readOnce(responses *parser, buffer []byte) error {
	n, err := c.netConn.Read(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errStalled
		c.endpoint.pool.logBadResponse(c.endpoint.address, err)
	}
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
		if parseErr := responses.parse(buffer[:n]); parseErr != nil {
			err = parseErr
			c.endpoint.pool.logBadResponse(c.endpoint.address, err)
		}
	}
	return err
}

// responseStarted reports whether an attempt waits for the response that starts.
func (c *conn) responseStarted(id string) (wanted bool) {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	if a := c.attempts[id]; a != nil {
		a.stage = ResponseStarted
		return true
	}
	// Some endpoints answer twice, or what was cancelled, which is tolerated up to a limit.
	c.unsolicited++
	if c.unsolicited >= maxUnsolicited {
		c.retired = true
		c.closeIfUnused()
	}
	return false
}

// responseEnded ends the attempt of a response. failure is why its body could not be kept; nil where it was. The error that it returns
// closes the connection.
func (c *conn) responseEnded(id string, response Response, failure error) error {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	a := c.attempts[id]
	if a == nil { // cancelled while the body was read
		response.Body.Free()
		return nil
	}
	if response.Status == StatusUnchanged && a.request.ClientTag == "" {
		return errors.New("status unchanged in response to a request without a tag")
	}
	if failure != nil {
		failure = &Error{Stage: ResponseStarted, Err: failure}
	}
	c.finish(a, response, failure)
	c.lastUsed = time.Now()
	c.closeIfUnused()
	return nil
}

// awaitConfirmation resets the connection unless the attempt, of whose cancelling a probe asks, ends within the confirmation timeout.
// The caller holds the endpoint's lock.
func (c *conn) awaitConfirmation(a *Attempt) {
	c.unconfirmed = append(c.unconfirmed, a)
	time.AfterFunc(c.endpoint.pool.timeouts.CancelConfirm.Duration(), func() {
		c.endpoint.mu.Lock()
		defer c.endpoint.mu.Unlock()
		if !a.finished {
			c.reset()
		}
	})
}

// probeAnswered ends the cancelled attempt with the id of a probe that was answered: the endpoint has read the cancelling before it.
func (c *conn) probeAnswered(id string) {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	for i, a := range c.unconfirmed {
		if a.request.ID == id {
			c.unconfirmed = append(c.unconfirmed[:i], c.unconfirmed[i+1:]...)
			c.finish(a, Response{}, cancelledAt(a.stage))
			c.closeIfUnused()
			return
		}
	}
}
