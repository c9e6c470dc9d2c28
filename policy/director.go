// Package director holds what a router and its decision module say to each other: the interface of
// the module and the plain types that pass through it. Nothing here decides anything, and nothing here
// belongs to one protocol: an adapter fills these types from its wire and writes its wire from them.
package policy

// Micros is a point in time or a span, in whole microseconds.
type Micros int64

// Second is the span that rates are counted over.
const Second Micros = 1_000_000

// Director decides for one router. An adapter asks Where for each download that arrives, After for each
// pull that ends, and Wait whenever it was told to pull or hold; when that time is over it asks Where
// again. The other methods bring news and give nothing back. Calls must not overlap.
type Director interface {
	// Where says where to send this download, or not yet, or never.
	Where(now Micros, dl *Download) Answer
	// After says what to do now that a pull of this download has ended.
	After(now Micros, dl *Download, out Outcome) Answer
	// Wait says how long to wait before asking Where again; 0 means no further question is needed.
	Wait(now Micros, dl *Download) Micros

	// Listed brings the list of nodes: all of it, or the changed entries alone.
	Listed(now Micros, nodes []Node, complete bool)
	// Connected says that a client has connected.
	Connected(now Micros)
	// Purged says that copies of an object, or with no object of a whole group, or of all groups, were void at a time; at the
	// time 0, that an earlier word no longer binds.
	Purged(now Micros, object string, group int, at Micros)
}

// All stands for all groups.
const All = -1

// Repeat says what a second run of a download does.
type Repeat int

const (
	Retriable    Repeat = iota // may run any number of times
	Deduped                    // carries a mark by which a group of nodes drops repeats for a while
	NonRetriable               // must never run twice
)

// Scope is the group of nodes that drops the repeats of a deduped download.
type Scope int

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// ContentType is what the settings say of one kind of download.
type ContentType struct {
	TargetTime  Micros  // answers within this time earn the full benefit
	Stretch     float64 // the target time grows by this multiple of the download's sending time
	Expiry      Micros  // what a client waits in all, over its own retries
	Repeat      Repeat
	Scope       Scope  // for deduped downloads
	Window      Micros // how long a deduped download's mark is remembered
	Benefit     float64
	LateBenefit float64 // share of the benefit for an answer after the target time
	Fresh       Micros  // a copy's fresh time; 0 for no limit
	PassThrough bool    // never kept: it runs at the origin
	Whole       bool    // its objects have no parts
}

// Warming is what a freshly started node bears.
type Warming struct {
	From     float64 // share of its capacity that it starts with, at least
	Time     Micros  // it is warm no later than this, on a straight line
	Multiple float64 // asked for more than this multiple of what it can do ...
	Window   Micros  // ... for this long, it falls over
}

// Settings are given once, when an instance starts.
type Settings struct {
	Seed        uint64
	Zone        int
	Instances   int     // routers in this zone
	Directors   int     // and in all
	LinkKB      float64 // what the zone's link for fills carries, KB a second; 0 where not told
	Types       []*ContentType
	ParentKind  int // the machine kind of parents; -1 where there are none
	OriginKind  int
	Direct      bool // downloads may go straight to a parent or the origin
	JoinFills   bool
	SourcesTold bool // answers tell how a fill went and why it failed
	Sized       bool // the list's weights are the nodes' sizes; else every node counts as one
	CanCancel   bool
	TwoAtOnce   bool // two pulls of a download may be out together
	MostPulls   int
	PaceKB      float64 // top pace of one answer, KB a second
	Edge        Warming
	Parent      Warming
	PurgeKept   Micros // within this time of a purge no older copy is left anywhere
	PurgeWithin Micros // after a purge was told, no older copy may be asked for; 0 where not told
	DrainWithin Micros // after a node was told draining or gone, nothing may be sent to it; 0 where not told
	MaxComeBack Micros // longest advice on when to come back that clients heed; 0 where none is passed on

	AnswerGrace    Micros // after its client stopped waiting, a final answer still counts for so long
	ConnectTimeout Micros // for connections to nodes
	KeepAlive      Micros // nodes close connections that are idle for so long
	Streams        int    // requests that a connection to a node carries at once
}

// Margins are what sockets call for beyond the settings; the module sets them too.
type Margins struct {
	Answer  Micros // a final answer goes out this long before its client stops waiting
	Connect Micros // a connection to a node that takes longer to come up, or to take bytes, is given up
	Stall   Micros // a connection to a node that brings nothing for so long in the middle of an answer is closed
	Idle    Micros // a connection to a node that was not used for so long is closed
	Shared  int    // requests on one connection to a node before another is opened
	Most    int    // and at the most
	Confirm Micros // a node that does not show for so long that it heard of a pull's giving up is taken for silent
	Silent  Micros // a client's message that is not whole so long after its connection or its first byte is given up
	Resting Micros // a client's connection that had nothing open for so long is closed
	Back    Micros // after a refusal without the module's word, the client may come back
	Flush   Micros // a client that takes no bytes for so long is left
	Linger  Micros // after the signal to stop, new downloads are still taken for so long,
	Stop    Micros // and what was taken is answered within this
	Block   Micros // how long the command channel may hold an answer back
	Retry   Micros // the pause after an error there
	Beat    Micros // signs of life of a director to itself come this often
	Gap     Micros // after so long without one its own time has jumped: it asks the command channel before it goes on,
	Doubt   Micros // and waits for that no longer than this
	Late    Micros // what was decided so long before it is written, and before a purge that came since, is decided anew
}

// State is what the list says of a node.
type State int

const (
	Ready State = iota
	Draining
	Gone
)

// Node is an entry of the list. The id is the same at every router.
type Node struct {
	ID      string
	Zone    int
	Kind    int
	Cell    int
	State   State
	Weight  float64
	Started Micros // latest start on the router's clock; 0 for long ago
}

// Download is what a client asked for. The adapter keeps it in hand until its final answer is out and
// every pull of it has ended.
type Download struct {
	Type    *ContentType
	Object  string
	Part    int // of the object; every part is kept and filled on its own
	Group   int
	SizeKB  float64 // 0 where not told
	Again   bool    // the client tried before, where clients say so
	Client  uint64  // its address, as a hash; 0 where not known
	Key     string  // of a deduped download: the same for all tries of it; empty where not told
	Doubted bool    // what its client asked for of late was of use to no node
	Arrived Micros
	Leaves  Micros // the client is gone from here on
	Over    bool   // the final answer is out, or the client has left
	Notes   any    // the module's own
}

// Verb is what an answer asks for.
type Verb int

const (
	Nothing  Verb = iota // nothing to do
	Hold                 // not yet: ask Where again after Wait
	Pull                 // send a pull as the answer says
	Cancel               // stop waiting for pull number Pull; its outcome will follow
	Throttle             // final: a new try is harmless
	Abandon              // final: no promise
)

// Answer is what the module wants done for one download.
type Answer struct {
	Verb     Verb
	Node     *Node
	Source   *Node  // where a miss is filled from; the node itself for no fill
	Keep     int    // rank of the copy, 0 to keep none
	Oldest   Micros // no copy older than this; 0 for the content type's fresh time
	Join     bool   // join a fill under way
	Held     bool   // fill from what the source holds, no more
	Renew    bool   // serve an ageing copy and renew it behind
	TimeOut  Micros // for this pull
	Before   Micros // it is not to begin at this time or later; 0 for no bound
	Pull     int    // the pull to cancel
	ComeBack Micros // with Throttle: when the client should try again
	NoUse    bool   // with Throttle or Abandon: nodes agreed that they can't use it
}

// Ending is how a pull ended.
type Ending int

const (
	Fulfilled Ending = iota
	Failed           // an error answer; may have run
	TurnedAway
	TimedOut
	Unreached
	Broken
	Cancelled
	NeverSent
	Missing
	Recalled // never sent, since an event came that its decision did not know
)

// Filling is what an answer tells of the copy or the fill.
type Filling int

const (
	Untold Filling = iota
	Hit
	Filled
	FilledByOrigin
	Joined
	Stale
	SourceRefused
	SourceLost // not reached, broken off or out of time
	SourceLacks
	NoPlace
	OriginFailed
)

// Outcome is the end of one pull.
type Outcome struct {
	Pull    int
	Ending  Ending
	Filling Filling
	Last    bool // the download is finished
}
