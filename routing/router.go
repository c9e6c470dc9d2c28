// Package routing decides where requests go in a two-tier cache. Router implements policy.Policy; every decision, table and tuned value
// of the routing is in this package, one file for each concern. It does no I/O, takes the clock as a value, and iterates in a fixed order,
// so the same calls give the same decisions.
//
// New makes a router from the settings. UpdateEndpoints and Purge bring the endpoint list and the purges as they come. Route is asked for
// each request, its decision is carried out, and the end of each attempt is reported to AttemptDone. After every decision to send or to
// queue RecheckAfter tells when Route is asked again, which may then cancel the attempt. For a request that is Done only the ends of its
// attempts are still reported.
//
// The ordinary path: a rendezvous hash of object and endpoint chooses the home edge cache among the zone's ready caches, and the home
// parent among all ready parents. A miss is filled through that parent and kept at the middle rank. The exceptions from the ordinary
// path are in the files of their names and in docs/design.md.
package routing

import (
	"tallyproxy/dedup"
	"tallyproxy/overload"
	"tallyproxy/policy"
)

// initialMissRatio is the miss ratio before anything is known of it.
const initialMissRatio = 0.5

// Router decides for one director, or for one of its cores. It is not safe for concurrent use: one goroutine makes all calls and owns all
// state, that of the requests in hand included. A request's state lives as long as the request. The rest is bounded: endpoints by the
// endpoint list, purges by the time that they bind, and overload and dedup by their settings.
type Router struct {
	settings     policy.Settings
	linkShare    float64                              // even share of the zone's fill link, in transfers at full pace; 0 where not known
	sendingTimes map[*policy.ContentType]*runningMean // in microseconds, by type: from sizes where they are known, else learned from hits
	averageCost  runningMean                          // of requests, see cost

	endpoints map[string]*endpoint // by ID: all of the endpoint list
	edges     tier                 // the zone's ready edge caches
	parents   tier                 // all ready parent caches
	origin    *endpoint            // nil while it is not ready

	purges map[purgeKey]policy.Micros // the time before which copies are void; removed when no such copy can be left

	missRatio float64 // running share of answers that were no hits
	errorRate float64 // running share of attempts that were rejected or late

	fillLatency       float64          // running mean of the time that fills take, over their latency objective
	fillLatencyMemory float64          // fills over which that mean looks back: fewer where each of several directors sees a part of them
	congestedAt       policy.Micros    // when a fill was last late or had no room in a limiter; 0 while fills are not congested
	fillLimiter       concurrencyLimit // for fills, while they are congested
	originLimiter     concurrencyLimit // for those fills that may reach the origin
	fillIncrease      float64          // what both limits gain by a fill that took no time

	overload   *overload.Controller
	dedup      *dedup.Table
	quotaShare func(now policy.Micros, all bool) float64
}

var _ policy.Policy = (*Router)(nil)

// Options are the operator's. They can change while the router runs.
type Options struct {
	Overload overload.Settings // for retry storms
	Dedup    dedup.Settings    // for requests with idempotency keys

	// OnOverloadReport, unless nil, is called with every change of a retry storm's state.
	OnOverloadReport func(now policy.Micros, r overload.Report)

	// QuotaShare is the share that this director may use now, over the even share that the settings give it: of what the directors of
	// its zone share, or with all of what all directors share. Where it is nil the share is 1.
	QuotaShare func(now policy.Micros, all bool) float64
}

// New makes a router that knows no endpoints yet.
func New(settings policy.Settings, options Options) *Router {
	r := &Router{
		settings:     settings,
		sendingTimes: map[*policy.ContentType]*runningMean{},
		endpoints:    map[string]*endpoint{},
		purges:       map[purgeKey]policy.Micros{},
		missRatio:    initialMissRatio,
		dedup:        dedup.New(dedup.Settings{}),
	}
	r.SetOptions(options)
	r.edges.slowStart, r.parents.slowStart = settings.EdgeSlowStart, settings.ParentSlowStart
	r.linkShare = settings.FillLinkKBPerSecond / max(settings.TransferKBPerSecond, 1) / float64(max(1, settings.ZoneDirectors))
	r.initFillLimits()
	for _, contentType := range settings.ContentTypes {
		r.sendingTimes[contentType] = &runningMean{value: float64(contentType.LatencyObjective) / (1 + contentType.TransferFactor)}
	}
	return r
}

// SetOptions takes other options. A storm under way is noticed anew; dedup records stay.
func (r *Router) SetOptions(options Options) {
	r.overload = overload.New(options.Overload, r.settings.MaxRetryAfter, r.settings.Seed, r, options.OnOverloadReport)
	r.dedup.SetSettings(options.Dedup)
	if r.quotaShare = options.QuotaShare; options.QuotaShare == nil {
		r.quotaShare = func(policy.Micros, bool) float64 { return 1 }
	}
}

// Route decides what to do with a request: a new one, one that is queued, or one whose attempt is due for a check.
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

// admit looks for earlier tries of a new request and asks the overload controller for its admission. Where it may not be routed, admit
// returns false and the final decision.
func (r *Router) admit(now policy.Micros, request *policy.Request, state *requestState) (policy.Decision, bool) {
	contentType := request.Type
	mustBeKnown := request.IsRetry && request.IdempotencyKey != "" &&
		r.dedup.RejectsUnknownKey(contentType.Timeout, contentType.DedupWindow)
	if record := r.dedup.Lookup(now, request.IdempotencyKey, contentType.DedupWindow); record != nil {
		state.mayHaveRun = attemptOf(record)
	} else if mustBeKnown {
		return policy.Decision{Action: policy.Fail}, false
	}
	if !r.overload.Admit(now, &state.admission) {
		return r.reject(now, request, state), false
	}
	return policy.Decision{}, true
}

// RecheckAfter is how long to wait before the next call of Route: for an attempt in flight until it is due for a check, for a queued
// request a short while; 0 where no call is needed.
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
	return max(1, min(pollInterval(request), request.Deadline-now))
}

// AttemptDone takes the end of an attempt and decides what to do with its request now.
func (r *Router) AttemptDone(now policy.Micros, request *policy.Request, outcome policy.Outcome) policy.Decision {
	state, _ := request.PolicyState.(*requestState)
	if state == nil || outcome.Attempt >= len(state.attempts) {
		return policy.Decision{}
	}
	a := state.attempts[outcome.Attempt]
	a.done = true
	r.learn(now, request, state, a, outcome)
	ran := mayHaveRun(outcome.Result)
	if outcome.Result == policy.Withdrawn {
		state.withdraw(a)
	}
	if !ran && request.IdempotencyKey != "" {
		r.dedup.AttemptNotRun(request.IdempotencyKey, a.sentAt)
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

// OverloadReport describes the load and the retry storm, if any.
func (r *Router) OverloadReport(now policy.Micros) overload.Report { return r.overload.Report(now) }
