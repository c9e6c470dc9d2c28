package config

// platformSettings is the JSON of the platform's settings. Times are in milliseconds, rates in KB a second. Keys that are not
// named here are ignored.
type platformSettings struct {
	Contract  contractSettings `json:"contract"`      // promises between nodes and directors
	Lanes     []laneSettings   `json:"lanes"`         // by number of the content type
	Limits    limitSettings    `json:"limits"`        // of the protocols
	Specifics specificSettings `json:"specifics"`     // of caches
	Zone      int              `json:"zone"`          // the director's own, an index of Zones
	Zones     []string         `json:"zones"`         // names
	Kinds     []string         `json:"machine-types"` // names
	Weights   string           `json:"weights"`       // what the list's weights tell: "silent", "nominal" or "rough"
}

// contractSettings is what cache nodes and directors promise each other.
type contractSettings struct {
	SlowStartDuration     float64 `json:"cold"`                // an edge cache has its full capacity after this time
	SlowStartInitialShare float64 `json:"cold-from"`           // share of its capacity that it starts with, at least
	OverloadWindow        float64 `json:"overload-for"`        // a cache that is overloaded for so long fails
	OverloadFactor        float64 `json:"tip-multiple"`        // requests over capacity from which an edge cache is overloaded
	AnswerGrace           float64 `json:"grace-to-answer"`     // a final answer still counts so long after its deadline
	DrainPropagation      float64 `json:"stop-sending-within"` // nothing may be sent to a node that was told draining so long ago
}

// laneSettings is one content type.
type laneSettings struct {
	Name             string  `json:"name"`         // in the protocols
	LatencyObjective float64 `json:"aim"`          // an answer within this time has the full weight
	TransferFactor   float64 `json:"aim-stretch"`  // the objective grows by this multiple of the answer's transfer time
	Timeout          float64 `json:"hard-limit"`   // what a client waits in all, over its own retries
	RetrySafety      string  `json:"repeat"`       // a key of retrySafeties
	DedupScope       string  `json:"dedup-scope"`  // a key of dedupScopes
	DedupWindow      float64 `json:"dedup-window"` // nodes remember an idempotency key for so long
	PriorityWeight   float64 `json:"value"`        // of an answer in time
	LateWeight       float64 `json:"late-worth"`   // share of the weight for a late answer
}

// limitSettings is what the protocols allow.
type limitSettings struct {
	CanCancel            bool    `json:"cancel"`          // nodes take word that an attempt is cancelled
	ConcurrentAttempts   bool    `json:"second-copies"`   // two attempts of a request may be open together
	MaxAttempts          int     `json:"try-limit"`       // of a request
	RetryAfter           bool    `json:"retry-after"`     // whether clients are told when to come back
	MaxRetryAfter        float64 `json:"max-retry-after"` // the longest time that clients heed
	ConnectTimeout       float64 `json:"connect-timeout"` // of connections to nodes
	KeepAliveTimeout     float64 `json:"keepalive"`       // nodes close connections that are idle for so long
	MaxConcurrentStreams int     `json:"max-streams"`     // requests on one connection to a node
	AllowPeers           bool    `json:"peers"`           // directors may talk to each other
}

// specificSettings is what concerns caches alone. Lists with a value a content type or a zone may be shorter than there are;
// what they lack is zero.
type specificSettings struct {
	Uncacheable          []bool    `json:"goes-through"`         // by content type
	PurgeRetention       float64   `json:"gone-everywhere"`      // so long after a purge no older copy is left anywhere
	PurgePropagation     float64   `json:"purge-grace"`          // so long after a purge was told no older copy may be asked for
	TTL                  []float64 `json:"max-age"`              // by content type
	Split                []bool    `json:"in-pieces"`            // by content type; true where it is not told
	NoteLevel            string    `json:"note-level"`           // what answers tell of a fill: "all", "hit" or "silent"
	OriginKind           *int      `json:"origin-kind"`          // index of the kinds; none where not told
	ParentKind           *int      `json:"shield-kind"`          // index of the kinds; none where not told
	TransferKBPerSecond  float64   `json:"pace-kb-per-s"`        // top rate of one answer
	FillLinkKBPerSecond  []float64 `json:"pipe-kb-per-s"`        // by zone
	DirectorsByZone      []int     `json:"count-by-zone"`        // number of directors
	ParentInitialShare   float64   `json:"parent-cold-from"`     // as the contract's, of parents
	ParentOverloadFactor float64   `json:"parent-fall-multiple"` // as the contract's, of parents
	ParentSlowStart      float64   `json:"parent-warms-in"`      // as the contract's duration, of parents
	CoalesceFills        bool      `json:"shares-fills"`         // a cache can join a fill that is under way
	AllowDirect          bool      `json:"straight"`             // a request may go straight to a parent or the origin
}
