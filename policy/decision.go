package policy

// Action is what a decision asks the adapter to do.
type Action int

const (
	// None requires no action.
	None Action = iota
	// Queue holds the request. Route is called again after RecheckAfter.
	Queue
	// Send sends an attempt to Decision.Endpoint.
	Send
	// CancelAttempt cancels attempt number Decision.Attempt, whose outcome is reported afterwards.
	CancelAttempt
	// Reject is a final answer after which the client can safely retry.
	Reject
	// Fail is a final answer after which a retry by the client may not be safe.
	Fail
)

// Reason says why the policy ended a request without an answer of an endpoint.
type Reason string

// The reasons of Reject and Fail. Operators see them in log lines.
const (
	ReasonDeadline      Reason = "deadline"      // the client's deadline has passed
	ReasonDedupFull     Reason = "dedup_full"    // no record of the idempotency key can be kept
	ReasonUnknownKey    Reason = "unknown_key"   // a retry with a key of which no record is left
	ReasonOverload      Reason = "overload"      // the overload controller did not admit it
	ReasonNoEndpoint    Reason = "no_endpoint"   // no endpoint that it may go to
	ReasonNoCapacity    Reason = "no_capacity"   // no room at an endpoint within its time
	ReasonExhausted     Reason = "exhausted"     // it had all attempts that it may have
	ReasonErrorRate     Reason = "error_rate"    // too many attempts fail for another one
	ReasonUnprocessable Reason = "unprocessable" // endpoints agree that they cannot process it
	ReasonNoMemory      Reason = "no_memory"     // no memory to hold the answer for the client
)

// Decision is what the policy wants done for one request.
type Decision struct {
	Action Action // what the adapter is asked to do with the request

	// With Send.
	Endpoint     *Endpoint // target of the attempt
	Source       *Endpoint // where a miss is filled from; equal to Endpoint for no fill
	CacheRank    int       // rank of the copy in the cache; 0 to keep no copy
	MaxAge       Micros    // maximum age of a copy that may answer; 0 for the content type's TTL
	Coalesce     bool      // the attempt may join a fill in progress
	OnlyIfCached bool      // the source may fill only from its own cache
	Revalidate   bool      // an ageing copy may answer and is refreshed afterwards
	Timeout      Micros    // timeout of this attempt
	NotAfter     Micros    // the attempt must be written before this time; 0 for no bound

	Attempt       int    // with CancelAttempt: number of the attempt
	RetryAfter    Micros // with Reject: advised delay before the client's retry; 0 for no advice
	Reason        Reason // with Reject or Fail: why
	Unprocessable bool   // with Reject or Fail: endpoints agreed that they cannot process it
}
