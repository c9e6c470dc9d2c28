package upstream

import "time"

// Attempt is one request to an endpoint, from Send to the call of its done function. The zero Attempt was never sent.
type Attempt struct {
	request  Request
	done     func(Response, error)
	endpoint *Endpoint
	previous []*Attempt // of the same client's request: this one uses none of their connections
	maxSize  int        // the most bytes that are written for it

	// Guarded by the endpoint's lock.
	conn      *conn     // the connection that it was last queued on
	sentAt    time.Time // when it was written, or sent where it was not written yet
	stage     Stage
	cancelled bool // Cancel was called
	confirm   bool // the cancelling needs the endpoint's confirmation
	moved     bool // to another connection, when the first was closed before the request was written
	finished  bool // done was called
}

// Send sends a request. It does not block. Done is called once, with the response or an *Error, by any goroutine and possibly before
// Send returns. Done runs under the endpoint's lock: it must not block and not call this package. The body of the response is the
// caller's, to free.
//
// The request uses none of the connections that the previous attempts of the same client's request used: a response to those that is
// late, or comes twice, would be taken for its own, since the ids are the same.
func (e *Endpoint) Send(request Request, done func(Response, error), previous ...*Attempt) *Attempt {
	a := &Attempt{
		request:  request,
		done:     done,
		endpoint: e,
		previous: previous,
		maxSize:  maxRequestHead + request.Body.Len(),
		sentAt:   time.Now(),
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

// Cancel tells the endpoint to drop the request. Done is called all the same, once the endpoint has been told, unless a response comes
// first. Further calls, and calls after the end, do nothing.
//
// An unresponsive endpoint would not read the cancelling and might still run the request. So where a retry may follow, confirm makes
// sure of the end: if nothing was received since the request was written, or nothing else is open on the connection, it is reset, which
// cancels all that is open on it. Otherwise the endpoint is probed over the same connection, and done waits for the answer, or for a
// reset when none comes within the confirmation timeout.
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
	unresponsive := c.lastRead.Load() < a.sentAt.UnixNano()
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

// withdrawn reports whether a request that waits to be written must not be written any more.
func (a *Attempt) withdrawn() bool {
	request := &a.request
	return a.endpoint.draining.Load() ||
		request.Source != nil && request.Source.draining.Load() ||
		request.Superseded != nil && request.Superseded()
}
