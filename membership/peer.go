package membership

import (
	"math"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// State is the state in which this director considers a peer to be.
type State int

// The states of a peer. In the states from Failed on, the peer is absent.
const (
	Up        State = iota // the peer answers the failure detector
	Suspected              // the peer missed a probe and may still refute the suspicion
	Failed                 // the peer did not refute the suspicion in time
	Left                   // the peer announced that it leaves
)

var stateNames = [...]string{"up", "suspected", "failed", "left"}

// String returns the name of the state in reports and logs.
func (s State) String() string { return stateNames[s] }

// peer is another director as seen by this one.
type peer struct {
	name             string
	nameHash         uint64
	incarnation      uint64
	zone             int
	state            State
	stateSince       policy.Micros // when this director first considered the peer in this state
	digest           uint64        // of the peer's own view, as last received
	digestReceivedAt policy.Micros // 0 if no digest was received

	// countedUntil is the end of the lease that this director granted to the peer. The peer is
	// counted until then, regardless of its state.
	countedUntil    policy.Micros
	lease           lease         // lease granted by the peer
	lastRequestAt   policy.Micros // when a lease was last requested from the peer
	pendingRequest  policy.Micros // RequestedAt of the request whose reply is accepted; 0 if none
	hintsAccepted   int           // since hintWindowStart
	hintWindowStart policy.Micros
	flaps           float64 // decayed number of the peer's returns, as of lastChange
	lastChange      policy.Micros
}

// lease is a peer's permission to use a quota above the fixed one.
type lease struct {
	until  policy.Micros // end by this director's clock, counted from before the request
	counts [2]int        // number of directors that the peer counts, by Scope
}

// present reports whether the peer is considered to be running.
func (p *peer) present() bool { return p.state <= Suspected }

// digestTerm returns the peer's contribution to the digest of a view.
func (p *peer) digestTerm() uint64 { return hash.Mix(p.nameHash ^ p.incarnation) }

const (
	maxFlaps     = 6
	flapHalfLife = 16 // in stabilization windows
)

// recentFlaps returns the decayed number of times that the peer came back. The number is halved for
// each flapHalfLife since the last change.
func (p *peer) recentFlaps(now policy.Micros, s Settings) float64 {
	return p.flaps * math.Exp2(-float64(now-p.lastChange)/float64(flapHalfLife*max(1, s.StabilizationWindow)))
}
