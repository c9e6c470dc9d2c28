// Package dispatch connects clients, endpoints and the policy. A Router has one policy and one
// endpoint list. Each of its shards is a goroutine that owns the requests of its clients, with
// their attempts and timers. The shards ask the policy one at a time and carry out its decisions;
// they decide nothing themselves.
//
// The connection's reader passes a request to Shard.HandleRequest. On the shard's goroutine, route
// and execute obtain and carry out a decision, send starts an attempt through package upstream, and
// attemptEnded processes its result and writes the answer.
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

// Router holds what all shards share. Its methods may be called from any goroutine unless
// documented otherwise.
type Router struct {
	timeouts    policy.Timeouts
	pool        *upstream.Pool
	clockStart  time.Time        // start of the policy's clock, with a monotonic reading
	clockOffset policy.Micros    // the system clock at clockStart
	wallClock   func() time.Time // the system clock, which may be stepped
	shards      []*Shard
	owners      *shard.Owners // owners of request IDs, until their attempts have ended
	epochs      *shard.Epochs // epochs of endpoint updates and purges
	purges      atomic.Int64  // number of purges so far
	open        atomic.Int64  // number of requests without a final answer
	monitor     StallMonitor  // nil for none; set before Run or by a shard

	// mu guards the fields below. One shard at a time asks the policy, whose decisions take less
	// than a microsecond.
	mu        sync.Mutex
	policy    policy.Policy
	endpoints map[string]*endpoint // by ID; removed when the list drops the endpoint
	// list entries as received, by ID; removed when the list drops the endpoint
	listed map[string]discovery.Endpoint
	// starts of listed endpoints, by ID; removed when the list drops the endpoint
	starts         map[string]endpointStart
	forcedDraining map[string]bool // IDs of endpoints treated as draining, regardless of the list

	succeeded, rejected, failed, sent, withdrawn atomic.Int64 // see Counts
}

// New returns a router with the given number of shards. Run starts them.
func New(routingPolicy policy.Policy, timeouts policy.Timeouts, pool *upstream.Pool, shards int) *Router {
	r := &Router{
		policy: routingPolicy, timeouts: timeouts, pool: pool, clockStart: time.Now(), wallClock: time.Now, starts: map[string]endpointStart{},
		owners: shard.NewOwners(), epochs: shard.NewEpochs(shards),
		endpoints: map[string]*endpoint{}, listed: map[string]discovery.Endpoint{},
	}
	r.clockOffset = policy.Micros(r.clockStart.UnixMicro())
	for number := range shards {
		r.shards = append(r.shards, newShard(r, number))
	}
	return r
}

// SetStallMonitor makes requests wait while the monitor does not trust the director's state. It
// must be called before Run, or by a shard.
func (r *Router) SetStallMonitor(monitor StallMonitor) { r.monitor = monitor }

// Shards returns the shards. Client connections are distributed among them.
func (r *Router) Shards() []*Shard { return r.shards }

// Run runs the shards until Stop is called, and returns once all of them have ended.
func (r *Router) Run() {
	var group sync.WaitGroup
	for _, s := range r.shards {
		group.Go(s.run)
	}
	group.Wait()
}

// Stop ends Run. Calls that still wait for a shard are dropped.
func (r *Router) Stop() {
	for _, s := range r.shards {
		s.calls.Close()
		close(s.done)
	}
}

// DrainBy makes open requests, and those that still arrive, end by the given time.
func (r *Router) DrainBy(by time.Time) {
	end := r.microsAt(by)
	for _, s := range r.shards {
		s.calls.PutUnbounded(func() { s.drainBy(end) })
	}
}

// OpenRequests returns the number of requests without a final answer, after each shard has
// processed the calls that waited for it.
func (r *Router) OpenRequests() int {
	for _, s := range r.shards {
		processed := make(chan struct{})
		if s.calls.Put(func() { close(processed) }) {
			select {
			case <-processed:
			case <-s.done:
			}
		}
	}
	return int(r.open.Load())
}

// Counts returns the counters of requests and attempts, keyed by their names in the status report.
func (r *Router) Counts() map[string]int64 {
	return map[string]int64{
		"fulfilled": r.succeeded.Load(), "throttled": r.rejected.Load(), "abandoned": r.failed.Load(),
		"pulls": r.sent.Load(), "recalled": r.withdrawn.Load(),
	}
}

// Now returns the time on the policy's clock, which is read from the system clock once and advances
// with the monotonic clock after that.
func (r *Router) Now() policy.Micros { return r.microsAt(time.Now()) }

// microsAt converts a time to the policy's clock.
func (r *Router) microsAt(t time.Time) policy.Micros {
	return r.clockOffset + policy.MicrosOf(t.Sub(r.clockStart))
}

// timeAt converts a time from the policy's clock.
func (r *Router) timeAt(at policy.Micros) time.Time {
	return r.clockStart.Add((at - r.clockOffset).Duration())
}

// WithPolicy runs call while no shard asks the policy. A panic in call is logged.
func (r *Router) WithPolicy(call func()) {
	defer recoverPanic(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	call()
}

// recoverPanic logs a panic and ends only the given request and its connection; it ends nothing if
// req is nil. It must be deferred.
func recoverPanic(req *request) {
	if cause := recover(); cause != nil {
		slog.Error(logevent.PanicRecovered, "component", "dispatch", "err", cause, "stack", string(debug.Stack()))
		if req != nil {
			req.shard.finish(req)
			req.conn.Close()
		}
	}
}
