package upstream

import "time"

// Attempt is one request to an endpoint, from Send until its done function is called. The zero
// Attempt was never sent.
type Attempt struct {
	request  Request
	done     func(Response, error)
	endpoint *Endpoint
	previous []*Attempt // earlier attempts of the client request; see Send
	maxSize  int        // upper bound of the size of the encoded request, in bytes
	// expiresAt is when the timeout of the request ends; the endpoint is told what is left of it.
	expiresAt time.Time

	// Guarded by the endpoint's lock.
	conn      *conn     // the connection that the attempt was last queued on
	sentAt    time.Time // time of the write, or of Send until the request is written
	stage     Stage
	cancelled bool // Cancel was called
	confirm   bool // the endpoint must confirm the cancellation
	moved     bool // queued on a second connection, because the first closed before the write
	finished  bool // done was called
}

// Send sends a request. It does not block. It calls done exactly once, with the response or an
// *Error, from any goroutine and possibly before Send returns. Send calls done with the endpoint's
// lock held: done must not block or call this package. The caller of Send owns the body of the
// response and must free it.
//
// The request is not queued on any connection that an earlier attempt of the same client request
// used. All attempts share one ID, so a late or duplicate response to an earlier attempt would be
// taken for the response to this one.
func (e *Endpoint) Send(request Request, done func(Response, error), previous ...*Attempt) *Attempt {
	now := time.Now()
	a := &Attempt{
		request:   request,
		done:      done,
		endpoint:  e,
		previous:  previous,
		maxSize:   maxRequestHead + request.Body.Len(),
		expiresAt: now.Add(request.Timeout),
		sentAt:    now,
	}
	e.pool.evictIdle(e)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.enqueue(a) {
		a.finished = true
		done(Response{}, &Error{Stage: NotConnected, Err: ErrConnectionLimit})
	}
	return a
}

// Cancel makes the endpoint drop the request, or drops it here if it was not written. Done is still
// called: immediately if the connection is not open, otherwise once the writer has written the
// cancel message or dropped the unwritten request, or with the response if that arrives first.
// Calls of Cancel on an attempt that was already cancelled or has ended do nothing.
//
// An unresponsive endpoint would not read the cancel message and might still run the request. If a
// retry may follow, the caller sets confirm to make sure that the request has ended. In that case
// the connection is reset, which cancels all requests on it, if no bytes were received since the
// request was written or no other attempt is open on the connection. Otherwise a probe follows the
// cancel message on the same connection, and done waits for the probe's answer; if there is none
// within the confirmation timeout, the connection is reset.
func (a *Attempt) Cancel(confirm bool) {
	if a.endpoint == nil {
		return
	}
	a.endpoint.mu.Lock()
	defer a.endpoint.mu.Unlock()
	if a.finished || a.cancelled {
		return
	}
	a.cancelled = true
	c := a.conn
	if a.stage == NotConnected {
		c.finish(a, Response{}, cancelledAt(NotConnected))
		return
	}
	a.confirm = confirm
	unresponsive := c.lastRead.Load() < c.endpoint.pool.sinceStart(a.sentAt)
	if confirm && (unresponsive || len(c.attempts) == 1) {
		c.reset()
		return
	}
	if unresponsive && time.Since(a.sentAt) >= c.endpoint.pool.timeouts.Connect.Duration() {
		c.retired = true // later requests use another connection
	}
	c.queue = append(c.queue, message{attempt: a, isCancel: true})
	c.wakeWriter()
}

// withdrawn reports whether a request that is queued must no longer be written.
func (a *Attempt) withdrawn() bool {
	request := &a.request
	return a.endpoint.draining.Load() ||
		request.Source != nil && request.Source.draining.Load() ||
		request.Superseded != nil && request.Superseded()
}
