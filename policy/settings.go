package policy

// RetrySafety describes the effect of running a request a second time.
type RetrySafety int

const (
	// Idempotent requests may run any number of times.
	Idempotent RetrySafety = iota
	// IdempotentWithKey requests carry a key by which a group of endpoints drops repeats for a
	// limited time.
	IdempotentWithKey
	// NotIdempotent requests must never run twice.
	NotIdempotent
)

// DedupScope is the group of endpoints that drops repeats of requests with the same idempotency
// key.
type DedupScope int

const (
	// DedupScopeAll is all endpoints.
	DedupScopeAll DedupScope = iota
	// DedupScopeZone is the endpoints of one zone.
	DedupScopeZone
	// DedupScopeCell is the endpoints of one cell.
	DedupScopeCell
)

// ContentType holds the settings of one kind of request.
type ContentType struct {
	LatencyObjective Micros      // answers within this time have the full priority weight
	TransferFactor   float64     // multiple of the transfer time added to the latency objective
	Timeout          Micros      // how long a client waits in total, including its own retries
	RetrySafety      RetrySafety // effect of a second run
	DedupScope       DedupScope  // with IdempotentWithKey: the endpoints that drop repeats
	DedupWindow      Micros      // with IdempotentWithKey: how long the endpoints remember a key
	PriorityWeight   float64     // value of an answer within the latency objective
	LateWeight       float64     // share of the priority weight for a later answer
	TTL              Micros      // how long a copy is fresh; 0 for no limit
	Uncacheable      bool        // never kept by caches: requests run at the origin
	Unsplit          bool        // objects have no parts
}

// SlowStart describes the load that an endpoint can handle after it has started.
type SlowStart struct {
	InitialShare float64 // minimum share of its capacity that the endpoint has at its start
	Duration     Micros  // time over which the share grows linearly to 1

	// The endpoint fails if its load exceeds OverloadFactor times its share over OverloadWindow.
	OverloadFactor float64
	OverloadWindow Micros // period in µs over which the load is measured
}

// Settings are passed once, when an instance of the policy is created.
type Settings struct {
	Seed                uint64         // random seed; differs between the directors of a fleet
	Zone                int            // the router's own zone
	ZoneDirectors       int            // number of routers in this zone
	TotalDirectors      int            // number of routers in all zones
	FillLinkKBPerSecond float64        // capacity of the zone's link for fills; 0 if unknown
	ContentTypes        []*ContentType // all kinds of requests; each Request points to one of them
	ParentKind          int            // machine kind of parent caches; -1 if there are none
	OriginKind          int            // machine kind of the origin
	AllowDirect         bool           // requests may be sent directly to a parent or the origin
	CoalesceFills       bool           // caches can join a request to a fill in progress
	ReportsCacheStatus  bool           // answers report how a fill went and why it failed
	WeightsAreSizes     bool           // listed weights are sizes; otherwise every weight is 1
	CanCancel           bool           // an attempt can be cancelled
	ConcurrentAttempts  bool           // two attempts of a request may be in flight at once
	MaxAttempts         int            // maximum number of attempts for a request
	TransferKBPerSecond float64        // maximum transfer rate of one answer
	EdgeSlowStart       SlowStart      // slow start of edge caches
	ParentSlowStart     SlowStart      // slow start of parent caches

	// PurgeRetention is the time after a purge by which no older copy is left anywhere.
	PurgeRetention Micros
	// PurgePropagation is the time after the announcement of a purge from which older copies must
	// not be requested; 0 if not specified.
	PurgePropagation Micros
	// DrainPropagation is the time after an endpoint was announced as draining or removed from
	// which nothing may be sent to it; 0 if not specified.
	DrainPropagation Micros
	// MaxRetryAfter is the longest retry-after time that clients obey; 0 if none is sent.
	MaxRetryAfter Micros

	AnswerGrace          Micros // time after the client's deadline in which an answer still counts
	ConnectTimeout       Micros // timeout for connections to endpoints
	KeepAliveTimeout     Micros // idle time after which endpoints close a connection
	MaxConcurrentStreams int    // maximum concurrent requests on a connection to an endpoint
}

// Timeouts are the times and limits that connections need in addition to Settings. The policy
// derives them too, so that they are consistent with its decisions.
type Timeouts struct {
	AnswerReserve    Micros // a final answer is written this long before the client's deadline
	Connect          Micros // maximum time for an endpoint to accept a connection or written bytes
	ReadStall        Micros // maximum time without data within an endpoint's answer
	Idle             Micros // idle time after which a connection to an endpoint is closed
	PreferredStreams int    // requests on a connection to an endpoint before another is opened
	MaxStreams       int    // maximum concurrent requests on a connection to an endpoint

	// CancelConfirm is the time within which an endpoint must confirm a cancelled attempt.
	// Otherwise the endpoint counts as unresponsive.
	CancelConfirm Micros
	// RequestRead is the time within which a client's message must be complete, counted from its
	// connection or the message's first byte. Otherwise the message is dropped.
	RequestRead Micros

	DownstreamIdle    Micros // idle time after which a client connection without requests is closed
	DefaultRetryAfter Micros // retry-after time of rejections made without asking the policy
	// WriteFlush is the time within which a client must accept a batch of responses. Otherwise it is
	// disconnected.
	WriteFlush    Micros
	DrainAccept   Micros // time after the stop signal in which new requests are accepted
	DrainDeadline Micros // time after the stop signal by which accepted requests are answered
	LongPoll      Micros // maximum time for which the command channel may delay an answer
	PollRetry     Micros // delay after an error of the command channel

	// Heartbeat is the interval of the heartbeats that a director sends to itself to detect stalls
	// of its process.
	Heartbeat Micros
	// StallThreshold is the gap between heartbeats above which the director queries the command
	// channel before it continues.
	StallThreshold Micros
	// SuspectTimeout is the maximum time that the director waits for that query.
	SuspectTimeout Micros
	// MaxDecisionAge is the age above which a decision that is not yet written is made again if a
	// purge has arrived since.
	MaxDecisionAge Micros
}
