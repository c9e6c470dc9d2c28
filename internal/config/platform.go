package config

// platformSettings is the JSON of the platform's settings. Times are in milliseconds, rates in KB
// per second. Other keys are ignored.
type platformSettings struct {
	// Guarantees between nodes and directors.
	Contract contractSettings `json:"contract"`
	// Content types, by number.
	Lanes []laneSettings `json:"lanes"`
	// Protocol limits.
	Limits limitSettings `json:"limits"`
	// Settings specific to caches.
	Specifics specificSettings `json:"specifics"`
	// The director's zone, an index of Zones.
	Zone int `json:"zone"`
	// Names of the zones.
	Zones []string `json:"zones"`
	// Names of the kinds of machines.
	Kinds []string `json:"machine-types"`
	// Meaning of the list's weights: "silent", "nominal" or "rough".
	Weights string `json:"weights"`
}

// contractSettings is what cache nodes and directors guarantee to each other.
type contractSettings struct {
	// Time until an edge cache has its full capacity.
	SlowStartDuration float64 `json:"cold"`
	// Minimum share of the capacity that an edge cache has at the start.
	SlowStartInitialShare float64 `json:"cold-from"`
	// A cache that is overloaded for this long fails.
	OverloadWindow float64 `json:"overload-for"`
	// Load from which an edge cache is overloaded, as a multiple of its capacity.
	OverloadFactor float64 `json:"tip-multiple"`
	// Time after its deadline during which a final answer still counts.
	AnswerGrace float64 `json:"grace-to-answer"`
	// Time after the draining event by which requests to the node must cease.
	DrainPropagation float64 `json:"stop-sending-within"`
}

// laneSettings is one content type.
type laneSettings struct {
	// Name in the protocols.
	Name string `json:"name"`
	// Answers within this time have the full weight.
	LatencyObjective float64 `json:"aim"`
	// Multiple of the answer's transfer time that is added to the objective.
	TransferFactor float64 `json:"aim-stretch"`
	// Total time that a client waits, including its own retries.
	Timeout float64 `json:"hard-limit"`
	// Whether a request may be repeated; a key of retrySafeties.
	RetrySafety string `json:"repeat"`
	// Nodes that share their records of idempotency keys; a key of dedupScopes.
	DedupScope string `json:"dedup-scope"`
	// Time for which nodes remember an idempotency key.
	DedupWindow float64 `json:"dedup-window"`
	// Weight of an answer within the objective.
	PriorityWeight float64 `json:"value"`
	// Share of the weight that a late answer has.
	LateWeight float64 `json:"late-worth"`
}

// limitSettings are the limits and features of the protocols.
type limitSettings struct {
	// Nodes accept the cancellation of an attempt.
	CanCancel bool `json:"cancel"`
	// Two attempts of a request may be open at the same time.
	ConcurrentAttempts bool `json:"second-copies"`
	// Attempts per request.
	MaxAttempts int `json:"try-limit"`
	// Clients are told when to retry.
	RetryAfter bool `json:"retry-after"`
	// Longest retry delay that clients observe.
	MaxRetryAfter float64 `json:"max-retry-after"`
	// Timeout of connections to nodes.
	ConnectTimeout float64 `json:"connect-timeout"`
	// Idle time after which nodes close connections.
	KeepAliveTimeout float64 `json:"keepalive"`
	// Requests per connection to a node.
	MaxConcurrentStreams int `json:"max-streams"`
	// Directors may communicate with each other.
	AllowPeers bool `json:"peers"`
}

// specificSettings are the settings specific to caches. Lists with a value per content type or zone
// may be shorter than their number; missing values are zero.
type specificSettings struct {
	// Whether objects are never cached, by content type.
	Uncacheable []bool `json:"goes-through"`
	// Time after a purge by which all older copies are gone.
	PurgeRetention float64 `json:"gone-everywhere"`
	// Time after a purge event by which requests for older copies must cease.
	PurgePropagation float64 `json:"purge-grace"`
	// Maximum age of a cached object, by content type.
	TTL []float64 `json:"max-age"`
	// Whether objects are divided into parts, by content type; true if missing.
	Split []bool `json:"in-pieces"`
	// What answers report about a fill: "all", "hit" or "silent".
	NoteLevel string `json:"note-level"`
	// Kind of the origin, an index of the kinds; nil for none.
	OriginKind *int `json:"origin-kind"`
	// Kind of the parents, an index of the kinds; nil for none.
	ParentKind *int `json:"shield-kind"`
	// Maximum rate of one answer.
	TransferKBPerSecond float64 `json:"pace-kb-per-s"`
	// Rate of the link for fills, by zone.
	FillLinkKBPerSecond []float64 `json:"pipe-kb-per-s"`
	// Number of directors, by zone.
	DirectorsByZone []int `json:"count-by-zone"`
	// Like the contract's cold-from, for parents.
	ParentInitialShare float64 `json:"parent-cold-from"`
	// Like the contract's tip-multiple, for parents.
	ParentOverloadFactor float64 `json:"parent-fall-multiple"`
	// Like the contract's cold, for parents.
	ParentSlowStart float64 `json:"parent-warms-in"`
	// A cache can join a fill in progress.
	CoalesceFills bool `json:"shares-fills"`
	// Requests may go directly to a parent or the origin.
	AllowDirect bool `json:"straight"`
}
