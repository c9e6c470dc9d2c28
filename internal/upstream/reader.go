package upstream

import (
	"errors"
	"os"
	"time"
)

const (
	readBufferSize = 4 << 10  // bytes per read, except within large bodies
	maxBodyRead    = 16 << 10 // bytes per read within large bodies, while the pool has room
)

// readLoop reads responses until the connection is closed or a response is malformed or incomplete,
// and then closes the connection. It runs on the connection's reader goroutine, which is the only
// user of the parser.
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
			if large := buffers.TryGet(min(responses.bodyLeft, maxBodyRead)); large != nil {
				buffer = large
			}
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

// setReadDeadline sets the stall timeout for the next read in the middle of a response, and clears
// the deadline between responses. hadDeadline says whether a deadline was set before; the result
// says whether one is set now.
func (c *conn) setReadDeadline(midResponse, hadDeadline bool) (hasDeadline bool) {
	switch {
	case midResponse:
		// SetReadDeadline fails only on a closed connection, on which the read fails, too.
		_ = c.netConn.SetReadDeadline(time.Now().Add(c.endpoint.pool.timeouts.ReadStall.Duration()))
	case hadDeadline:
		_ = c.netConn.SetReadDeadline(time.Time{})
	}
	return midResponse
}

// readOnce reads once into the buffer and parses the bytes that were read.
func (c *conn) readOnce(responses *parser, buffer []byte) error {
	n, err := c.netConn.Read(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errStalled
		c.endpoint.pool.logBadResponse(c.endpoint.address, err)
	}
	if n > 0 {
		c.lastRead.Store(c.endpoint.pool.sinceStart(time.Now()))
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
	// Some endpoints send a response twice, or respond to a cancelled request. This is tolerated up
	// to a limit.
	c.unsolicited++
	if c.unsolicited >= maxUnsolicited {
		c.retired = true
		c.closeIfUnused()
	}
	return false
}

// responseEnded ends the attempt that a response belongs to. failure is the reason why the body
// could not be stored, or nil. An error that responseEnded returns closes the connection.
func (c *conn) responseEnded(id string, response Response, failure error) error {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	a := c.attempts[id]
	if a == nil { // cancelled while the body was read
		response.Body.Free()
		return nil
	}
	if response.Status == StatusUnchanged && a.request.ClientTag == "" {
		return errors.New("response has status unchanged, but the request had no version tag")
	}
	if failure != nil {
		failure = &Error{Stage: ResponseStarted, Err: failure}
	}
	c.finish(a, response, failure)
	c.lastUsed = time.Now()
	c.closeIfUnused()
	return nil
}

// awaitConfirmation resets the connection unless the cancelled attempt, whose cancellation a probe
// confirms, ends within the confirmation timeout. The caller holds the endpoint's lock.
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

// probeAnswered ends the cancelled attempt whose ID the answered probe has. The endpoint reads
// messages in order, so it has read the cancel message before the probe.
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
