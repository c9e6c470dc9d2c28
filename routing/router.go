// Package routing decides where requests go in a two-tier cache. Router implements policy.Policy.
// Every decision, table and tuned value of the routing is in this package, with one file for each
// concern. The package does no I/O, takes the clock as a value, and iterates in a fixed order, so
// the same calls give the same decisions.
//
// New creates a router from the settings. UpdateEndpoints and Purge apply endpoint lists and
// purges as they arrive. The adapter calls Route for each request, carries out the decision, and
// reports the end of each attempt to AttemptDone. After every decision to send or to queue,
// RecheckAfter returns when to call Route again, which may then cancel the attempt. For a request
// that is Done, only the ends of its attempts are still reported.
//
// On the ordinary path, a rendezvous hash of object and endpoint chooses the home edge cache among
// the zone's ready caches, and the home parent among all ready parents. A miss is filled through
// that parent and kept at the middle rank. Each exception from the ordinary path is in the file of
// its name and in docs/design.md.
package routing

import (
	"tallyproxy/dedup"
	"tallyproxy/overload"
	"tallyproxy/policy"
)

// initialMissRatio is the assumed miss ratio before any answers are observed.
const initialMissRatio = 0.5

// Router makes the decisions of one director, or of one of its cores. It is not safe for
// concurrent use: one goroutine makes all calls and owns all state, including that of the requests
// in progress. The state of a request lives as long as the request. All other state is bounded:
// endpoints by the endpoint list, purges by the time for which they apply, and overload and dedup
// by their settings.
type Router struct {
	settings policy.Settings
	// linkShare is an even share of the zone's fill link, in concurrent transfers at the full
	// rate; 0 if the link's capacity is unknown.
	linkShare float64
	// transferTimes holds mean transfer times in microseconds by content type, calculated from
	// sizes if they are known and otherwise measured on answers of lightly loaded endpoints that
	// no fill delayed.
	transferTimes map[*policy.ContentType]*runningMean
	// fillTimes holds the mean times of answers that a fill delayed, in microseconds by content type.
	// They are no shorter than the transfers.
	fillTimes   map[*policy.ContentType]*runningMean
	averageCost runningMean // mean cost of requests, see cost

	endpoints map[string]*endpoint // all endpoints of the list, by ID
	edges     tier                 // the zone's ready edge caches
	parents   tier                 // all ready parent caches
	origin    *endpoint            // nil while the origin is not ready

	// purges holds the time before which copies are invalid. An entry is removed when no such copy
	// can be left.
	purges map[purgeKey]policy.Micros

	missRatio float64 // running share of answers that were neither hits nor stale copies
	errorRate float64 // running share of attempts that were rejected, timed out or late

	fillLatency float64 // running mean of fill times, as a ratio of their latency objectives
	// fillLatencySamples is the number of fills that fillLatency covers. It is smaller if each of
	// several directors sees only a part of the fills.
	fillLatencySamples float64
	// congestedAt is when fillLatency last exceeded congestionThreshold after a fill, or a fill
	// last had no room in a limiter during a congestion; 0 while fills are not congested.
	congestedAt   policy.Micros
	fillLimiter   concurrencyLimit // limits fills while they are congested
	originLimiter concurrencyLimit // limits those fills that may reach the origin
	fillIncrease  float64          // increase of both limits by a fill that took no time

	onSlowStartReport func(now policy.Micros, report SlowStartReport) // nil for none

	overload   *overload.Controller
	dedup      *dedup.Table
	quotaShare func(now policy.Micros, fleetWide bool) float64
}

var _ policy.Policy = (*Router)(nil)

// Options are set by the operator and can change while the router runs.
type Options struct {
	Overload overload.Settings // for retry storms
	Dedup    dedup.Settings    // for requests with idempotency keys

	// OnOverloadReport, unless nil, is called with every change of a retry storm's state.
	OnOverloadReport func(now policy.Micros, r overload.Report)

	// OnSlowStartReport, unless nil, is called with the events of endpoints in slow start.
	OnSlowStartReport func(now policy.Micros, report SlowStartReport)

	// QuotaShare returns the share that this director may use now, relative to the even share that
	// follows from the settings. If fleetWide is false, it is a share of what the directors of the
	// zone have in common; otherwise it is a share of what all directors have in common. If
	// QuotaShare is nil, the share is 1.
	QuotaShare func(now policy.Micros, fleetWide bool) float64
}

// New returns a router without any endpoints.
func New(settings policy.Settings, options Options) *Router {
	r := &Router{
		settings:      settings,
		transferTimes: map[*policy.ContentType]*runningMean{},
		fillTimes:     map[*policy.ContentType]*runningMean{},
		endpoints:     map[string]*endpoint{},
		purges:        map[purgeKey]policy.Micros{},
		missRatio:     initialMissRatio,
		dedup:         dedup.New(dedup.Settings{}),
	}
	r.SetOptions(options)
	r.edges.slowStart, r.parents.slowStart = settings.EdgeSlowStart, settings.ParentSlowStart
	r.linkShare = settings.FillLinkKBPerSecond / max(settings.TransferKBPerSecond, 1) / float64(max(1, settings.ZoneDirectors))
	r.initFillLimits()
	for _, contentType := range settings.ContentTypes {
		r.fillTimes[contentType] = &runningMean{}
		r.transferTimes[contentType] = &runningMean{value: float64(contentType.LatencyObjective) / (1 + contentType.TransferFactor)}
	}
	return r
}

// SetOptions applies new options. A retry storm in progress must be detected again; dedup records
// are kept.
func (r *Router) SetOptions(options Options) {
	r.overload = overload.New(options.Overload, r.settings.MaxRetryAfter, r.settings.Seed, r, options.OnOverloadReport)
	r.dedup.SetSettings(options.Dedup)
	r.onSlowStartReport = options.OnSlowStartReport
	if r.quotaShare = options.QuotaShare; options.QuotaShare == nil {
		r.quotaShare = func(policy.Micros, bool) float64 { return 1 }
	}
}

// Route decides what to do with a request that is new, that is queued, or whose attempt is due for
// a check.
func (r *Router) Route(now policy.Micros, request *policy.Request) policy.Decision {
	if request.Done {
		return policy.Decision{}
	}
	state, _ := request.PolicyState.(*requestState)
	if state == nil {
		state = r.newRequestState(request)
		request.PolicyState = state
		if decision, admitted := r.admit(now, request, state); !admitted {
			return decision
		}
	}
	if a := state.lastAttempt(); a != nil && !a.done {
		return r.checkAttempt(now, state, a)
	}
	return r.chooseEndpoint(now, request, state)
}

// admit looks up earlier tries of a new request and asks the overload controller to admit it. If
// the request may not be routed, admit returns the final decision and false.
func (r *Router) admit(now policy.Micros, request *policy.Request, state *requestState) (policy.Decision, bool) {
	key, window := dedupKey(request)
	switch record := r.dedup.Lookup(now, key, window); {
	case record != nil:
		state.mayHaveRun = attemptFromRecord(record)
	case request.IdempotencyKey == "":
	case !request.IsRetry:
		r.dedup.RecordFirstTry(key, request.ClientConn)
	case r.dedup.FailsRetry(key):
		return policy.Decision{Action: policy.Fail, Reason: policy.ReasonUnknownKey}, false
	}
	if !r.overload.Admit(now, &state.admission) {
		return r.reject(now, request, state, policy.ReasonOverload), false
	}
	return policy.Decision{}, true
}

// RecheckAfter returns how long to wait before the next call of Route: for an attempt in flight
// the time until its next check, for a queued request a short interval, and 0 if no call is
// needed.
func (r *Router) RecheckAfter(now policy.Micros, request *policy.Request) policy.Micros {
	state, _ := request.PolicyState.(*requestState)
	if state == nil || request.Done {
		return 0
	}
	if a := state.lastAttempt(); a != nil && !a.done {
		if a.cancelled || !r.settings.CanCancel || request.Type.RetrySafety == policy.NotIdempotent {
			return 0
		}
		return max(1, state.nextCheck(a)-now)
	}
	return max(1, min(queueRecheckInterval(request), request.Deadline-now))
}

// AttemptDone records the outcome of an attempt and decides what to do with its request next.
func (r *Router) AttemptDone(now policy.Micros, request *policy.Request, outcome policy.Outcome) policy.Decision {
	state, _ := request.PolicyState.(*requestState)
	if state == nil || outcome.Attempt >= len(state.attempts) {
		return policy.Decision{}
	}
	a := state.attempts[outcome.Attempt]
	a.done = true
	r.observeOutcome(now, request, state, a, outcome)
	ran := mayHaveRun(outcome.Result)
	if outcome.Result == policy.Withdrawn {
		state.withdraw(a)
	}
	if key, _ := dedupKey(request); !ran && key != "" {
		r.dedup.AttemptNotRun(key, a.sentAt)
	}
	if outcome.Result == policy.Succeeded {
		r.overload.Completed(now, &state.admission, now > request.ArrivedAt+a.objective)
	}
	if request.Done || outcome.Final {
		return policy.Decision{}
	}
	if ran && state.mayHaveRun == nil {
		state.mayHaveRun = a
	}
	if outcome.Result == policy.CacheMiss && (a.cacheOnly || a.sourceCacheOnly) {
		state.advanceAfterMiss(a, r.congested())
		return r.chooseEndpoint(now, request, state)
	}
	return r.retryOrReject(now, request, state, a, outcome.Result)
}

// ClientConnected counts a new client connection, for the overload controller.
func (r *Router) ClientConnected(now policy.Micros) { r.overload.ClientConnected(now) }

// OverloadReport describes the load and the retry storm, if there is one.
func (r *Router) OverloadReport(now policy.Micros) overload.Report { return r.overload.Report(now) }
