package policy

// Request is a client's request. The adapter owns it until its final answer is written and every
// attempt has ended.
type Request struct {
	Type       *ContentType // one of Settings.ContentTypes
	Object     string       // name of the object
	Part       int          // part of the object; every part is cached and filled separately
	Group      int          // group of the object, for purges
	SizeKB     float64      // size of the answer; 0 if unknown
	IsRetry    bool         // the client marked the request as a retry
	ClientHash uint64       // hash of the client's address; 0 if unknown
	ClientConn uint64       // number of the client's connection; 0 if unknown

	// ID identifies the request; empty if unknown. A request that comes again with the same ID is
	// the same one.
	ID string
	// IdempotencyKey is the key of an IdempotentWithKey request. It is the same for all retries of
	// the client, and empty if the client gave none.
	IdempotencyKey string

	ClientSuspect bool   // no endpoint could process this client's recent requests
	ArrivedAt     Micros // when the router received the request
	Deadline      Micros // when the client stops waiting
	Done          bool   // the final answer is written, or the client has disconnected
	PolicyState   any    // private to the policy, set by Policy.Route
}

// Result is how an attempt ended.
type Result int

const (
	// Succeeded is an answer with the requested content.
	Succeeded Result = iota
	// Failed is an error answer; the request may have run.
	Failed
	// Rejected is an answer stating that the endpoint did not run the request.
	Rejected
	// TimedOut means no answer within the attempt's timeout; the request may have run.
	TimedOut
	// ConnectFailed means that the endpoint accepted no connection; the request has not run.
	ConnectFailed
	// ConnectionLost means that the connection ended before the answer; the request may have run.
	ConnectionLost
	// Cancelled is the end of an attempt that the policy cancelled; the request may have run.
	Cancelled
	// NotSent is an attempt that was never written.
	NotSent
	// CacheMiss is the answer of a cache that was asked only for what it or its source holds.
	CacheMiss
	// Withdrawn is an attempt that was never written because an event after its decision made that
	// decision outdated.
	Withdrawn
	// ResourceExhausted means that the endpoint answered, but the director has no memory to hold the
	// answer for its client. The request has run, and the endpoint is not at fault.
	ResourceExhausted
)

var resultNames = [...]string{
	Succeeded: "succeeded", Failed: "failed", Rejected: "rejected", TimedOut: "timed_out", ConnectFailed: "connect_failed",
	ConnectionLost: "connection_lost", Cancelled: "cancelled", NotSent: "not_sent", CacheMiss: "cache_miss", Withdrawn: "withdrawn",
	ResourceExhausted: "resource_exhausted",
}

// String returns the name of the result for log lines.
func (r Result) String() string { return resultNames[r] }

// CacheStatus is what an answer reports about the copy or the fill. The statuses from
// SourceRejected on report why a fill failed.
type CacheStatus int

const (
	// Unknown means that the answer reports nothing about a copy or a fill.
	Unknown CacheStatus = iota
	// Hit is an answer from a fresh copy.
	Hit
	// Filled is an answer through a fill from the decision's source.
	Filled
	// FilledByOrigin is an answer through a fill that reached the origin.
	FilledByOrigin
	// Coalesced is an answer through a fill that was in progress for another request.
	Coalesced
	// Stale is an answer from an ageing copy.
	Stale
	// SourceRejected means that the source rejected the fill.
	SourceRejected
	// SourceUnavailable means that the source could not be reached, that its connection was lost
	// during the fill, or that it took too long.
	SourceUnavailable
	// SourceMiss means that the source was asked only for what it holds and lacks the object.
	SourceMiss
	// CacheFull means that the cache has no room for the fill.
	CacheFull
	// OriginFailed means that the origin behind the source returned an error.
	OriginFailed
)

// Outcome is the end of one attempt.
type Outcome struct {
	Attempt     int         // number of the attempt, counting the decisions to send from 0
	Result      Result      // how the attempt ended
	CacheStatus CacheStatus // what the answer reports about the copy or the fill
	Final       bool        // the request is finished and needs no further decision
}
