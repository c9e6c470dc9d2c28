package fakes

import "time"

// ContentType is a content type of the cluster.
type ContentType struct {
	Name              string        // in settings and requests
	LatencyObjective  time.Duration // answers within this time, and TransferFactor times the transfer, are on time
	TransferFactor    float64       // see LatencyObjective
	Timeout           time.Duration // what a client waits in all, over its retries
	PriorityWeight    float64       // worth of an answer on time
	MeanTransfer      time.Duration // mean transfer time at full pace
	Sigma             float64       // standard deviation of the transfer time's logarithm
	IdempotentWithKey bool          // a request carries a key by which repeats are dropped
	DedupWindow       time.Duration // for so long
	Uncacheable       bool          // it runs at the origin
	RequestShare      float64       // of all requests
}

// Spec says what a cluster is made of. Capacities are in transfers at full pace.
type Spec struct {
	Seed                 uint64            // of directors and of clients
	CacheNodes           int               // edge caches, over all zones
	Parents              int               // parent caches, in the hub
	Zones                int               // each has its caches, directors and link, dealt out in turn; 0 is one
	SecondPath           bool              // directors with odd numbers reach the channel at a second address, which can be cut
	CacheCapacity        float64           // of a warm cache
	LinkCapacity         float64           // of a zone's link for fills
	ParentCapacity       float64           // of a warm parent
	OriginCapacity       float64           // of the origin
	FillSpeedup          float64           // a fill may run so many times faster than a transfer to a client
	OriginLatency        time.Duration     // before a transfer of the origin begins
	EdgeInitialShare     float64           // share of its capacity that a cold cache starts with
	EdgeSlowStart        time.Duration     // after which it is warm
	EdgeOverloadFactor   float64           // a cold cache is pushed over by more than this multiple of what it can do
	ParentInitialShare   float64           // as EdgeInitialShare, for parents
	ParentSlowStart      time.Duration     // as EdgeSlowStart, for parents
	ParentOverloadFactor float64           // as EdgeOverloadFactor, for parents
	OverloadWindow       time.Duration     // in which overload is counted
	CacheEntries         int               // that a node holds at most
	MaxQueueFactor       float64           // a node with more requests in hand than this multiple of its capacity rejects
	ColdEdges            bool              // caches start with the cluster
	ColdParents          bool              // parents too
	Directors            int               // over all zones
	MaxRetryAfter        time.Duration     // that clients heed
	ContentTypes         []ContentType     // by which clients draw requests
	Objects              int               // of each content type
	ZipfExponent         float64           // of the objects' popularity
	Addresses            map[string]string // fixed addresses, by node's name or "channel"; else a free port of 127.0.0.1
	Instant              bool              // nodes answer at once, whatever is asked, and record only effects of keys

	// OnAnswer is called with each answer of a node, under the cluster's lock, where it is set.
	OnAnswer func(node string, fields map[string]string, answer string)
}

// DefaultSpec is a zone of a few caches after a power loss, in the figures of a usual deployment.
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
