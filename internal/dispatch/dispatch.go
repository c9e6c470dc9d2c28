// Package dispatch connects clients, endpoints and the policy. A Router has one policy and one endpoint list. Its shards, a goroutine
// each, own the requests of their clients with attempts and timers. They ask the policy in turn and do what it decides; they decide
// nothing themselves.
//
// On a request's way, Shard.HandleRequest takes it from the connection's reader, route and execute run on the shard's goroutine, send hands an
// attempt to upstream, and attemptEnded takes its result and writes the answer.
package dispatch

import (
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"tallyproxy/internal/discovery"
	"tallyproxy/internal/logevent"
	"tallyproxy/internal/upstream"
	"tallyproxy/policy"
	"tallyproxy/shard"
)

// Router holds what all shards share. Its methods may be called from any goroutine unless they say otherwise.
type Router struct {
	timeouts    policy.Timeouts
	pool        *upstream.Pool
	clockStart  time.Time     // with the monotonic reading that the policy's clock runs by
	clockOffset policy.Micros // the system's clock at clockStart
	shards      []*Shard
	owners      *shard.Owners // of requests' ids, until their attempts have ended too
	epochs      *shard.Epochs // of endpoint updates and purges
	purges      atomic.Int64  // purges so far
	open        atomic.Int64  // requests without a final answer
	monitor     StallMonitor  // nil for none; set before Run

	// mu guards what follows: one shard at a time asks the policy, whose decisions take less than a microsecond.
	mu             sync.Mutex
	policy         policy.Policy
	endpoints      map[string]*endpoint          // by id; an entry leaves as the list drops it
	listed         map[string]discovery.Endpoint // the list's entries as they came, by id; dropped as the list drops them
	forcedDraining map[string]bool               // ids that are taken for draining, whatever the list says

	succeeded, rejected, failed, sent, withdrawn atomic.Int64 // see Counts
}

// New returns a router with a number of shards; Run lets it work.
func New(routingPolicy policy.Policy, timeouts policy.Timeouts, pool *upstream.Pool, shards int) *Router {
	r := &Router{
		policy: routingPolicy, timeouts: timeouts, pool: pool, clockStart: time.Now(),
		owners: shard.NewOwners(), epochs: shard.NewEpochs(shards),
		endpoints: map[string]*endpoint{}, listed: map[string]discovery.Endpoint{},
	}
	r.clockOffset = policy.Micros(r.clockStart.UnixMicro())
	for number := range shards {
		r.shards = append(r.shards, newShard(r, number))
	}
	return r
}

// SetStallMonitor has all shards wait while what they know is not to be trusted. It must be called before Run, or by a shard.
func (r *Router) SetStallMonitor(monitor StallMonitor) { r.monitor = monitor }

// Shards returns the sinks that clients are spread over.
func (r *Router) Shards() []*Shard { return r.shards }

// Run works until Stop, and returns once all shards have ended.
func (r *Router) Run() {
	var group sync.WaitGroup
	for _, s := range r.shards {
		group.Go(s.run)
	}
	group.Wait()
}

// Stop ends Run. What waits for a shard then is dropped.
func (r *Router) Stop() {
	for _, s := range r.shards {
		s.calls.Close()
		close(s.done)
	}
}

// DrainBy has open requests, and those that still come, end by a time.
func (r *Router) DrainBy(by time.Time) {
	end := r.microsAt(by)
	for _, s := range r.shards {
		s.calls.PutUnbounded(func() { s.drainBy(end) })
	}
}

// OpenRequests returns how many requests have no final answer yet, after each shard has taken up what waited for it.
func (r *Router) OpenRequests() int {
	for _, s := range r.shards {
		reached := make(chan struct{})
		if s.calls.Put(func() { close(reached) }) {
			select {
			case <-reached:
			case <-s.done:
			}
		}
	}
	return int(r.open.Load())
}

// Counts returns what was done so far, by the names that the status report gives.
func (r *Router) Counts() map[string]int64 {
	return map[string]int64{
		"fulfilled": r.succeeded.Load(), "throttled": r.rejected.Load(), "abandoned": r.failed.Load(),
		"pulls": r.sent.Load(), "recalled": r.withdrawn.Load(),
	}
}

// Now returns the time on the policy's clock, which is read from the system once and runs by the monotonic clock from there.
func (r *Router) Now() policy.Micros { return r.microsAt(time.Now()) }

// microsAt converts to the policy's clock.
func (r *Router) microsAt(t time.Time) policy.Micros {
	return r.clockOffset + policy.MicrosOf(t.Sub(r.clockStart))
}

// timeAt converts from the policy's clock.
func (r *Router) timeAt(at policy.Micros) time.Time {
	return r.clockStart.Add((at - r.clockOffset).Duration())
}

// WithPolicy makes a call while no shard asks the policy. A panic in it is logged.
func (r *Router) WithPolicy(call func()) {
	defer recoverPanic(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	call()
}

// recoverPanic, deferred, ends a request and its connection alone where a call about it panicked. With nil it ends nothing.
func recoverPanic(req *request) {
	if cause := recover(); cause != nil {
		slog.Error(logevent.PanicRecovered, "component", "dispatch", "err", cause, "stack", string(debug.Stack()))
		if req != nil {
			req.shard.finish(req)
			req.conn.Close()
		}
	}
}
