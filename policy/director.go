// Package director holds what a router and its decision module say to each other: the interface of
// the module and the plain types that pass through it. Nothing here decides anything, and nothing here
// belongs to one protocol: an adapter fills these types from its wire and writes its wire from them.
package policy

import "time"

// Micros is a point in time or a duration, in whole microseconds.
type Micros int64

// Duration converts to the standard library's type, for timers and deadlines of the drivers.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// MicrosOf converts from the standard library's type; what is less than a microsecond is cut off.
func MicrosOf(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Second is the span that rates are counted over.
const Second Micros = 1_000_000

// Policy decides for one router. An adapter asks Where for each download that arrives, After for each
// pull that ends, and Wait whenever it was told to pull or hold; when that time is over it asks Where
// again. The other methods bring news and give nothing back. Calls must not overlap.
type Policy interface {
	// Where says where to send this download, or not yet, or never.
	Route(now Micros, dl *Request) Decision
	// After says what to do now that a pull of this download has ended.
	AttemptDone(now Micros, dl *Request, out Outcome) Decision
	// Wait says how long to wait before asking Where again; 0 means no further question is needed.
	RecheckAfter(now Micros, dl *Request) Micros

	// Listed brings the list of nodes: all of it, or the changed entries alone.
	UpdateEndpoints(now Micros, nodes []Endpoint, complete bool)
	// Connected says that a client has connected.
	ClientConnected(now Micros)
	// Purged says that copies of an object, or with no object of a whole group, or of all groups, were void at a time; at the
	// time 0, that an earlier word no longer binds.
	Purge(now Micros, object string, group int, at Micros)
}

// AllGroups stands for all groups.
const AllGroups = -1

// RetrySafety says what a second run of a download does.
type RetrySafety int

const (
	Idempotent        RetrySafety = iota // may run any number of times
	IdempotentWithKey                    // carries a mark by which a group of nodes drops repeats for a while
	NotIdempotent                        // must never run twice
)

// DedupScope is the group of nodes that drops the repeats of a deduped download.
type DedupScope int

const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeCell
)

// ContentType is what the settings say of one kind of download.
type ContentType struct {
	LatencyObjective Micros  // answers within this time earn the full benefit
	TransferFactor   float64 // the target time grows by this multiple of the download's sending time
	Timeout          Micros  // what a client waits in all, over its own retries
	RetrySafety      RetrySafety
	DedupScope       DedupScope // for deduped downloads
	DedupWindow      Micros     // how long a deduped download's mark is remembered
	PriorityWeight   float64
	LateWeight       float64 // share of the benefit for an answer after the target time
	TTL              Micros  // a copy's fresh time; 0 for no limit
	Uncacheable      bool    // never kept: it runs at the origin
	Unsplit          bool    // its objects have no parts
}

// SlowStart is what a freshly started node bears.
type SlowStart struct {
	InitialShare   float64 // share of its capacity that it starts with, at least
	Duration       Micros  // it is warm no later than this, on a straight line
	OverloadFactor float64 // asked for more than this multiple of what it can do ...
	OverloadWindow Micros  // ... for this long, it falls over
}

// Settings are given once, when an instance starts.
type Settings struct {
	Seed                uint64
	Zone                int
	ZoneDirectors       int     // routers in this zone
	TotalDirectors      int     // and in all
	FillLinkKBPerSecond float64 // what the zone's link for fills carries, KB a second; 0 where not told
	ContentTypes        []*ContentType
	ParentKind          int // the machine kind of parents; -1 where there are none
	OriginKind          int
	AllowDirect         bool // downloads may go straight to a parent or the origin
	CoalesceFills       bool
	ReportsCacheStatus  bool // answers tell how a fill went and why it failed
	WeightsAreSizes     bool // the list's weights are the nodes' sizes; else every node counts as one
	CanCancel           bool
	ConcurrentAttempts  bool // two pulls of a download may be out together
	MaxAttempts         int
	TransferKBPerSecond float64 // top pace of one answer, KB a second
	EdgeSlowStart       SlowStart
	ParentSlowStart     SlowStart
	PurgeRetention      Micros // within this time of a purge no older copy is left anywhere
	PurgePropagation    Micros // after a purge was told, no older copy may be asked for; 0 where not told
	DrainPropagation    Micros // after a node was told draining or gone, nothing may be sent to it; 0 where not told
	MaxRetryAfter       Micros // longest advice on when to come back that clients heed; 0 where none is passed on

	AnswerGrace          Micros // after its client stopped waiting, a final answer still counts for so long
	ConnectTimeout       Micros // for connections to nodes
	KeepAliveTimeout     Micros // nodes close connections that are idle for so long
	MaxConcurrentStreams int    // requests that a connection to a node carries at once
}

// Timeouts are what sockets call for beyond the settings; the module sets them too.
type Timeouts struct {
	AnswerReserve     Micros // a final answer goes out this long before its client stops waiting
	Connect           Micros // a connection to a node that takes longer to come up, or to take bytes, is given up
	ReadStall         Micros // a connection to a node that brings nothing for so long in the middle of an answer is closed
	Idle              Micros // a connection to a node that was not used for so long is closed
	PreferredStreams  int    // requests on one connection to a node before another is opened
	MaxStreams        int    // and at the most
	CancelConfirm     Micros // a node that does not show for so long that it heard of a pull's giving up is taken for silent
	RequestRead       Micros // a client's message that is not whole so long after its connection or its first byte is given up
	DownstreamIdle    Micros // a client's connection that had nothing open for so long is closed
	DefaultRetryAfter Micros // after a refusal without the module's word, the client may come back
	WriteFlush        Micros // a client that takes no bytes for so long is left
	DrainAccept       Micros // after the signal to stop, new downloads are still taken for so long,
	DrainDeadline     Micros // and what was taken is answered within this
	LongPoll          Micros // how long the command channel may hold an answer back
	PollRetry         Micros // the pause after an error there
	Heartbeat         Micros // signs of life of a director to itself come this often
	StallThreshold    Micros // after so long without one its own time has jumped: it asks the command channel before it goes on,
	SuspectTimeout    Micros // and waits for that no longer than this
	MaxDecisionAge    Micros // what was decided so long before it is written, and before a purge that came since, is decided anew
}

// EndpointState is what the list says of a node.
type EndpointState int

const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is an entry of the list. The id is the same at every router.
type Endpoint struct {
	ID      string
	Zone    int
	Kind    int
	Cell    int
	State   EndpointState
	Weight  float64
	Started Micros // latest start on the router's clock; 0 for long ago
}

// Request is what a client asked for. The adapter keeps it in hand until its final answer is out and
// every pull of it has ended.
type Request struct {
	Type           *ContentType
	Object         string
	Part           int // of the object; every part is kept and filled on its own
	Group          int
	SizeKB         float64 // 0 where not told
	IsRetry        bool    // the client tried before, where clients say so
	ClientHash     uint64  // its address, as a hash; 0 where not known
	IdempotencyKey string  // of a deduped download: the same for all tries of it; empty where not told
	ClientSuspect  bool    // what its client asked for of late was of use to no node
	ArrivedAt      Micros
	Deadline       Micros // the client is gone from here on
	Done           bool   // the final answer is out, or the client has left
	PolicyState    any    // the module's own
}

// Action is what an answer asks for.
type Action int

const (
	None          Action = iota // nothing to do
	Queue                       // not yet: ask Where again after Wait
	Send                        // send a pull as the answer says
	CancelAttempt               // stop waiting for pull number Pull; its outcome will follow
	Reject                      // final: a new try is harmless
	Fail                        // final: no promise
)

// Decision is what the module wants done for one download.
type Decision struct {
	Action        Action
	Endpoint      *Endpoint
	Source        *Endpoint // where a miss is filled from; the node itself for no fill
	CacheRank     int       // rank of the copy, 0 to keep none
	MaxAge        Micros    // no copy older than this; 0 for the content type's fresh time
	Coalesce      bool      // join a fill under way
	OnlyIfCached  bool      // fill from what the source holds, no more
	Revalidate    bool      // serve an ageing copy and renew it behind
	Timeout       Micros    // for this pull
	NotAfter      Micros    // it is not to begin at this time or later; 0 for no bound
	Attempt       int       // the pull to cancel
	RetryAfter    Micros    // with Throttle: when the client should try again
	Unprocessable bool      // with Throttle or Abandon: nodes agreed that they can't use it
}

// Result is how a pull ended.
type Result int

const (
	Succeeded Result = iota
	Failed           // an error answer; may have run
	Rejected
	TimedOut
	ConnectFailed
	ConnectionLost
	Cancelled
	NotSent
	CacheMiss
	Withdrawn // never sent, since an event came that its decision did not know
)

// CacheStatus is what an answer tells of the copy or the fill.
type CacheStatus int

const (
	Unknown CacheStatus = iota
	Hit
	Filled
	FilledByOrigin
	Coalesced
	Stale
	SourceRejected
	SourceUnavailable // not reached, broken off or out of time
	SourceMiss
	CacheFull
	OriginFailed
)

// Outcome is the end of one pull.
type Outcome struct {
	Attempt     int
	Result      Result
	CacheStatus CacheStatus
	Final       bool // the download is finished
}
