package policy

// RetrySafety says what a second run of a request does.
type RetrySafety int

const (
	// Idempotent requests may run any number of times.
	Idempotent RetrySafety = iota
	// IdempotentWithKey requests carry a key by which a group of endpoints drops repeats for a while.
	IdempotentWithKey
	// NotIdempotent requests must never run twice.
	NotIdempotent
)

// DedupScope is the group of endpoints that drops repeats of requests with the same idempotency key.
type DedupScope int

const (
	// DedupScopeAll is all endpoints.
	DedupScopeAll DedupScope = iota
	// DedupScopeZone is the endpoints of one zone.
	DedupScopeZone
	// DedupScopeCell is the endpoints of one cell.
	DedupScopeCell
)

// ContentType is what the settings say of one kind of request.
type ContentType struct {
	LatencyObjective Micros      // answers within this time have the full priority weight
	TransferFactor   float64     // the latency objective grows by this multiple of the request's sending time
	Timeout          Micros      // how long a client waits in all, over its own retries
	RetrySafety      RetrySafety // what a second run does
	DedupScope       DedupScope  // for IdempotentWithKey: the endpoints that drop repeats
	DedupWindow      Micros      // for IdempotentWithKey: how long they remember a key
	PriorityWeight   float64     // worth of an answer within the latency objective
	LateWeight       float64     // share of the priority weight for an answer after it
	TTL              Micros      // how long a copy is fresh; 0 for no limit
	Uncacheable      bool        // never kept by caches: requests run at the origin
	Unsplit          bool        // objects have no parts
}

// SlowStart is the load that a freshly started endpoint bears.
type SlowStart struct {
	InitialShare   float64 // share of its capacity that it can do at its start, at the least
	Duration       Micros  // the share grows to 1 on a straight line over this time
	OverloadFactor float64 // it fails when it is asked for more than this multiple of its share ...
	OverloadWindow Micros  // ... over this time
}

// Settings are given once, when an instance of the policy starts.
type Settings struct {
	Seed                uint64         // of random decisions; differs between the directors of a fleet
	Zone                int            // the router's own zone
	ZoneDirectors       int            // routers in this zone
	TotalDirectors      int            // routers in all zones
	FillLinkKBPerSecond float64        // capacity of the zone's link for fills; 0 where it is not known
	ContentTypes        []*ContentType // all kinds of requests; a Request points to one of them
	ParentKind          int            // machine kind of parent caches; -1 where there are none
	OriginKind          int            // machine kind of the origin
	AllowDirect         bool           // requests may be sent straight to a parent or the origin
	CoalesceFills       bool           // caches can join a request to a fill under way
	ReportsCacheStatus  bool           // answers report how a fill went and why it failed
	WeightsAreSizes     bool           // the endpoint list's weights are sizes; otherwise every endpoint counts as one
	CanCancel           bool           // an attempt can be cancelled
	ConcurrentAttempts  bool           // two attempts of a request may be in flight together
	MaxAttempts         int            // attempts for a request at the most
	TransferKBPerSecond float64        // highest rate of one answer
	EdgeSlowStart       SlowStart      // of edge caches
	ParentSlowStart     SlowStart      // of parent caches
	PurgeRetention      Micros         // this long after a purge no older copy is left anywhere
	PurgePropagation    Micros         // this long after a purge was announced no older copy may be asked for; 0 where not stated
	DrainPropagation    Micros         // this long after an endpoint was announced draining or removed nothing may be sent to it; 0 where not stated
	MaxRetryAfter       Micros         // longest retry-after time that clients heed; 0 where none is passed on

	AnswerGrace          Micros // a final answer still counts this long after its client stopped waiting
	ConnectTimeout       Micros // for connections to endpoints
	KeepAliveTimeout     Micros // endpoints close connections that are idle for this long
	MaxConcurrentStreams int    // requests that a connection to an endpoint carries at once
}

// Timeouts are the times and limits that sockets need beyond the settings. The policy derives them too, so that they fit its decisions.
type Timeouts struct {
	AnswerReserve     Micros // a final answer is written this long before its client stops waiting
	Connect           Micros // a connection to an endpoint that takes longer to come up, or to take bytes, is closed
	ReadStall         Micros // a connection to an endpoint that brings nothing for this long within an answer is closed
	Idle              Micros // a connection to an endpoint that is idle for this long is closed
	PreferredStreams  int    // requests on one connection to an endpoint before another is opened
	MaxStreams        int    // requests on one connection at the most
	CancelConfirm     Micros // an endpoint that does not confirm a cancelled attempt within this time counts as silent
	RequestRead       Micros // a client's message that is not complete this long after its connection or its first byte is dropped
	DownstreamIdle    Micros // a client's connection without open requests is closed after this time
	DefaultRetryAfter Micros // retry-after time of a rejection that the policy was not asked about
	WriteFlush        Micros // a client that takes no bytes for this long is dropped
	DrainAccept       Micros // after the signal to stop new requests are accepted for this long
	DrainDeadline     Micros // after the signal to stop all accepted requests are answered within this time
	LongPoll          Micros // how long the command channel may hold an answer back
	PollRetry         Micros // pause after an error of the command channel
	Heartbeat         Micros // interval of a director's heartbeats to itself, which detect stalls of its process
	StallThreshold    Micros // a gap between heartbeats above which the director asks the command channel before it goes on
	SuspectTimeout    Micros // how long it waits for that at the most
	MaxDecisionAge    Micros // a decision that waits this long to be written is made anew if a purge came since
}
