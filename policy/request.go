package policy

// Request is what a client asked for. The adapter owns it until its final answer is written and every attempt has ended.
type Request struct {
	Type           *ContentType // one of Settings.ContentTypes
	Object         string       // name of the object
	Part           int          // part of the object; every part is cached and filled on its own
	Group          int          // group of the object, for purges
	SizeKB         float64      // size of the answer; 0 where it is not known
	IsRetry        bool         // the client tried before, where clients say so
	ClientHash     uint64       // hash of the client's address; 0 where it is not known
	IdempotencyKey string       // for IdempotentWithKey, the same for all tries of the client; empty where not given
	ClientSuspect  bool         // no endpoint could use what its client asked for lately
	ArrivedAt      Micros       // when the router received it
	Deadline       Micros       // when the client stops waiting
	Done           bool         // the final answer is written, or the client has left
	PolicyState    any          // the policy's own, set by Policy.Route
}

// Result is how an attempt ended.
type Result int

const (
	// Succeeded is an answer with what was asked for.
	Succeeded Result = iota
	// Failed is an error answer; the request may have run.
	Failed
	// Rejected is an answer that the endpoint did not run the request.
	Rejected
	// TimedOut is no answer within the attempt's timeout; the request may have run.
	TimedOut
	// ConnectFailed is an endpoint that took no connection; the request has not run.
	ConnectFailed
	// ConnectionLost is a connection that ended before the answer did; the request may have run.
	ConnectionLost
	// Cancelled is the end of an attempt that the policy cancelled; the request may have run.
	Cancelled
	// NotSent is an attempt that was never written.
	NotSent
	// CacheMiss is the answer of a cache that was asked only for what it or its source holds.
	CacheMiss
	// Withdrawn is an attempt that was never written because an event came that its decision did not know.
	Withdrawn
)

// CacheStatus is what an answer reports of the copy or of the fill. The statuses from SourceRejected on report why a fill failed.
type CacheStatus int

const (
	// Unknown is an answer that reports neither.
	Unknown CacheStatus = iota
	// Hit is an answer from a fresh copy.
	Hit
	// Filled is an answer through a fill from the decision's source.
	Filled
	// FilledByOrigin is an answer through a fill that reached the origin.
	FilledByOrigin
	// Coalesced is an answer through a fill that was under way for another request.
	Coalesced
	// Stale is an answer from an ageing copy.
	Stale
	// SourceRejected is a source that rejected the fill.
	SourceRejected
	// SourceUnavailable is a source that was not reached, was lost during the fill, or took too long.
	SourceUnavailable
	// SourceMiss is a source that was asked only for what it holds and lacks the object.
	SourceMiss
	// CacheFull is a cache without room for the fill.
	CacheFull
	// OriginFailed is an error of the origin behind the source.
	OriginFailed
)

// Outcome is the end of one attempt.
type Outcome struct {
	Attempt     int         // number of the attempt, in the order of the decisions to send, from 0
	Result      Result      // how it ended
	CacheStatus CacheStatus // what its answer reports of the copy or the fill
	Final       bool        // the request is finished: no decision is needed
}
