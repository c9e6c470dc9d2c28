package policy

// Action is what a decision asks the adapter to do.
type Action int

const (
	// None is nothing to do.
	None Action = iota
	// Queue holds the request: Route is called again after RecheckAfter.
	Queue
	// Send sends an attempt to Decision.Endpoint.
	Send
	// CancelAttempt stops waiting for attempt number Decision.Attempt, whose outcome follows.
	CancelAttempt
	// Reject is a final answer after which a retry of the client is harmless.
	Reject
	// Fail is a final answer without that promise.
	Fail
)

// Decision is what the policy wants done for one request.
type Decision struct {
	Action        Action    // what to do
	Endpoint      *Endpoint // with Send: where to
	Source        *Endpoint // with Send: where a miss is filled from; the endpoint itself for no fill
	CacheRank     int       // with Send: rank of the copy in the cache, 0 to keep none
	MaxAge        Micros    // with Send: no older copy may answer; 0 for the content type's TTL
	Coalesce      bool      // with Send: join a fill under way
	OnlyIfCached  bool      // with Send: fill only from what the source holds
	Revalidate    bool      // with Send: answer from an ageing copy and refresh it afterwards
	Timeout       Micros    // with Send: of this attempt
	NotAfter      Micros    // with Send: the attempt must not be written at this time or later; 0 for no bound
	Attempt       int       // with CancelAttempt: the number of the attempt
	RetryAfter    Micros    // with Reject: when the client should retry, from now; 0 for no advice
	Unprocessable bool      // with Reject or Fail: endpoints agreed that they can't use the request
}
