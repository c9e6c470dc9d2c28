package membership

import (
	"math"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// State is what this director believes of a peer.
type State int

// The states of a peer. All from Failed on are absent.
const (
	Up        State = iota // it answers the failure detector
	Suspected              // it did not answer a probe, and may still refute that
	Failed                 // it did not refute the suspicion in time
	Left                   // it announced that it leaves
)

var stateNames = [...]string{"up", "suspected", "failed", "left"}

// String is the state's name in reports and logs.
func (s State) String() string { return stateNames[s] }

// peer is another director, as this one sees it.
type peer struct {
	name             string
	nameHash         uint64
	incarnation      uint64
	zone             int
	state            State
	stateSince       policy.Micros // when this state was first believed
	digest           uint64        // of the peer's own view, when it was last received
	digestReceivedAt policy.Micros // 0: never

	countedUntil    policy.Micros // this director has granted the peer a lease, and counts it until then whatever its state
	lease           lease         // that the peer has granted
	lastRequestAt   policy.Micros // when a lease was last requested
	pendingRequest  policy.Micros // RequestedAt of the request whose answer counts; 0 for none
	hintsAccepted   int           // in the window that began at hintWindowStart
	hintWindowStart policy.Micros
	flaps           float64 // how often the peer came back, as of lastChange
	lastChange      policy.Micros
}

// lease is the permission of a peer to use a quota above the fixed one.
type lease struct {
	until  policy.Micros // by this director's clock, counted from before it was requested
	counts [2]int        // directors that the peer counts, by Scope
}

// present says whether the peer is taken to be running.
func (p *peer) present() bool { return p.state <= Suspected }

// digestTerm is what the peer adds to a view's digest.
func (p *peer) digestTerm() uint64 { return hash.Mix(p.nameHash ^ p.incarnation) }

const (
	maxFlaps     = 6
	flapHalfLife = 16 // stabilization windows
)

// recentFlaps is how often the peer came back lately: the count is halved with each half-life in which it did not.
func (p *peer) recentFlaps(now policy.Micros, s Settings) float64 {
	return p.flaps * math.Exp2(-float64(now-p.lastChange)/float64(flapHalfLife*max(1, s.StabilizationWindow)))
}
