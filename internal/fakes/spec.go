package fakes

import "time"

// ContentType describes a content type of the cluster.
type ContentType struct {
	Name              string        // as in settings and requests
	LatencyObjective  time.Duration // an answer is on time within this, see TransferFactor
	TransferFactor    float64       // plus this multiple of the transfer time
	Timeout           time.Duration // total wait of a client, over its retries
	PriorityWeight    float64       // value of an answer on time
	MeanTransfer      time.Duration // mean transfer time at full rate
	Sigma             float64       // standard deviation of the logarithm of the transfer time
	IdempotentWithKey bool          // requests carry a key that identifies duplicates
	DedupWindow       time.Duration // period in which duplicates are dropped
	Uncacheable       bool          // runs at the origin
	RequestShare      float64       // share of all requests
}

// Spec describes a cluster. Capacities are in transfers at full rate. A node or channel without an
// entry in Addresses listens on a free port of 127.0.0.1.
type Spec struct {
	Seed                 uint64            // for directors and clients
	CacheNodes           int               // edge caches in all zones
	Parents              int               // parent caches in the hub
	Zones                int               // zones take caches and directors in turn; 0 means 1
	SecondPath           bool              // second channel address for directors with odd numbers
	CacheCapacity        float64           // capacity of a warm cache
	LinkCapacity         float64           // capacity of a zone's link for fills
	ParentCapacity       float64           // capacity of a warm parent
	OriginCapacity       float64           // capacity of the origin
	FillSpeedup          float64           // maximum fill rate, as a multiple of the full rate
	OriginLatency        time.Duration     // delay before a transfer of the origin begins
	EdgeInitialShare     float64           // initial share of the capacity of a cold cache
	EdgeSlowStart        time.Duration     // time until a cold cache is warm
	EdgeOverloadFactor   float64           // overload limit of a cold cache, as a capacity multiple
	ParentInitialShare   float64           // like EdgeInitialShare, for parents
	ParentSlowStart      time.Duration     // like EdgeSlowStart, for parents
	ParentOverloadFactor float64           // like EdgeOverloadFactor, for parents
	OverloadWindow       time.Duration     // period over which overload is measured
	CacheEntries         int               // copies per node, at most
	MaxQueueFactor       float64           // limit of requests in flight, as a capacity multiple
	ColdEdges            bool              // caches are cold at the start
	ColdParents          bool              // parents are cold at the start
	Directors            int               // directors in all zones
	MaxRetryAfter        time.Duration     // longest retry-after time that clients obey
	ContentTypes         []ContentType     // content types that clients request
	Objects              int               // objects per content type
	ZipfExponent         float64           // exponent of the popularity of objects
	Addresses            map[string]string // fixed address by node name or "channel"; see above
	Instant              bool              // nodes answer at once and count only key effects

	// OnAnswer, if set, is called with each answer of a node, with the lock of the cluster held.
	OnAnswer func(node string, fields map[string]string, answer string)
}

// DefaultSpec returns the spec of one zone with a few caches that are all cold after a power loss,
// with the parameters of a typical deployment.
func DefaultSpec(cacheNodes, directors int) Spec {
	const cacheCapacity = 8.0
	zoneCapacity := cacheCapacity * float64(cacheNodes)
	return Spec{
		Seed:                 1,
		CacheNodes:           cacheNodes,
		Parents:              2,
		CacheCapacity:        cacheCapacity,
		LinkCapacity:         zoneCapacity * 0.45,
		ParentCapacity:       zoneCapacity * 0.6,
		OriginCapacity:       zoneCapacity * 0.6,
		FillSpeedup:          3,
		OriginLatency:        40 * time.Millisecond,
		EdgeInitialShare:     0.2,
		EdgeSlowStart:        10 * time.Second,
		EdgeOverloadFactor:   4,
		ParentInitialShare:   0.1,
		ParentSlowStart:      20 * time.Second,
		ParentOverloadFactor: 2,
		OverloadWindow:       3 * time.Second,
		CacheEntries:         4000,
		MaxQueueFactor:       12,
		ColdEdges:            true,
		Directors:            directors,
		MaxRetryAfter:        time.Second,
		Objects:              3000,
		ZipfExponent:         1.05,
		ContentTypes: []ContentType{
			{Name: "thumbnail", LatencyObjective: 250 * time.Millisecond, TransferFactor: 2, Timeout: 3 * time.Second, PriorityWeight: 1,
				MeanTransfer: 50 * time.Millisecond, Sigma: 0.7, RequestShare: 0.55},
			{Name: "preview-clip", LatencyObjective: 400 * time.Millisecond, TransferFactor: 2, Timeout: 6 * time.Second, PriorityWeight: 2,
				MeanTransfer: 200 * time.Millisecond, Sigma: 0.8, RequestShare: 0.42},
			{Name: "cover-pick", LatencyObjective: 700 * time.Millisecond, Timeout: 3 * time.Second, PriorityWeight: 3, IdempotentWithKey: true,
				DedupWindow: 3 * time.Second, MeanTransfer: 5 * time.Millisecond, Sigma: 0.3, Uncacheable: true, RequestShare: 0.03},
		},
	}
}
