package membership

import (
	"maps"
	"slices"

	d "tallyproxy/policy"
)

// Hint is what a director tells of a cache node: a reason for the others to ask it one question, and never more.
type Hint struct {
	Node      string    `json:"Node"`
	Condition Condition `json:"What"`
	Age       d.Micros  `json:"Age"` // of what is told, on the teller's clock, when it was sent
}

// Condition is told of a node.
type Condition string

const (
	Unreachable Condition = "gone"  // it does not answer
	Recovered   Condition = "back"  // it answers again
	Restarted   Condition = "warms" // it started anew
	Overloaded  Condition = "full"  // it turns pulls away
)

// NodeStatus is what a director sees of a node: whether it is skipped, tried with a pull at a time, how warm it is, and how many pulls
// may be out at it; 0 for no limit.
type NodeStatus struct {
	Ejected, HalfOpen     bool
	SlowStartShare, Limit float64
}

// ConditionChange is what the others are to hear where one sight of a node has followed on another; false for nothing.
func ConditionChange(before, now NodeStatus) (Condition, bool) {
	switch {
	case now.Ejected != before.Ejected:
		if now.Ejected {
			return Unreachable, true
		}
		return Recovered, !now.HalfOpen
	case now.SlowStartShare < before.SlowStartShare/2:
		return Restarted, true
	case now.Limit < before.Limit/2:
		return Overloaded, true
	}
	return "", false
}

// UnhealthyCondition is what one that starts is to hear of a node that is seen so; false for nothing. How warm it is the list tells.
func UnhealthyCondition(s NodeStatus) (Condition, bool) {
	switch {
	case s.Ejected || s.HalfOpen:
		return Unreachable, true
	case s.Limit > 0 && s.Limit < 1:
		return Overloaded, true
	}
	return "", false
}

// UnresolvedByProbe is what a question that its node has answered leaves open: whether it started anew, and whether it takes more than one pull
// at a time. The next pull tells.
func (h Hint) UnresolvedByProbe() (anew, full bool) {
	return h.Condition == Restarted, h.Condition == Overloaded
}

// ShouldSendHint says whether the others should hear of a node now. Of each node each thing is told once in a while, and so many altogether.
func (b *View) ShouldSendHint(now d.Micros, h Hint) bool {
	if now-b.since >= b.s.HintInterval {
		b.since, b.budget = now, 0
	}
	if b.budget >= b.s.HintsPerInterval || !once(b.told, now, string(h.Condition)+" "+h.Node, b.s) {
		return false
	}
	b.budget++
	return true
}

// ShouldProbe says whether a hint is worth a question to its node. Heard is when the node last answered this director, which counts
// for more than any hint. A director that tells of all nodes all the time has a few of them asked, once each in a while.
func (b *View) ShouldProbe(now d.Micros, from string, h Hint, heard d.Micros) bool {
	p := b.peers[from]
	if p == nil || p.state > Suspected || h.Age < 0 || h.Age > b.s.MaxHintAge || h.Condition != Recovered && now-heard < b.s.HintInterval/4 {
		return false
	}
	if h.Condition != Unreachable && h.Condition != Recovered && h.Condition != Restarted && h.Condition != Overloaded {
		return false // of a later version
	}
	if now-p.from >= b.s.HintInterval {
		p.from, p.hints = now, 0
	}
	if p.hints >= b.s.HintsPerInterval || !once(b.asked, now, h.Node, b.s) {
		return false
	}
	p.hints++
	return true
}

// once says whether a node's turn has come, and books it. What is out of date goes when the book is full.
func once(book map[string]d.Micros, now d.Micros, node string, s Settings) bool {
	if at, ok := book[node]; ok && now-at < s.HintInterval {
		return false
	}
	if len(book) >= s.MaxEntries {
		maps.DeleteFunc(book, func(_ string, at d.Micros) bool { return now-at >= s.HintInterval })
		if len(book) >= s.MaxEntries {
			return false
		}
	}
	book[node] = now
	return true
}

// Report is what a director tells of the others.
type Report struct {
	Name           string       `json:"name"`
	Incarnation    uint64       `json:"born"`
	PartitionState string       `json:"standing"`
	Digest         string       `json:"sum"`     // of its view
	StableFor      int64        `json:"since"`   // µs ago that the view changed
	AgreeingPeers  int          `json:"sharing"` // others that were last heard to have the same view
	NameConflict   string       `json:"clash,omitempty"`
	ZoneQuota      float64      `json:"zone_part"` // over the fixed one
	FleetQuota     float64      `json:"fleet_part"`
	Peers          []PeerReport `json:"peers"`
}

// PeerReport is what it believes of one other.
type PeerReport struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"born"`
	State       string `json:"state"`
	StateAge    int64  `json:"since"` // µs ago
	Agrees      bool   `json:"alike"` // it had the same view when last heard
}

// Report tells of it all, by name.
func (b *View) Report(now d.Micros) Report {
	r := Report{Name: b.s.Name, Incarnation: b.s.Incarnation, PartitionState: b.PartitionState().String(), Digest: hex(b.sum), StableFor: int64(now - b.changed), NameConflict: b.clash}
	r.ZoneQuota, _ = b.Quota(now, ScopeZone)
	r.FleetQuota, _ = b.Quota(now, ScopeFleet)
	for _, name := range slices.Sorted(maps.Keys(b.peers)) {
		p := b.peers[name]
		alike := p.state <= Suspected && p.digestReceivedAt > 0 && p.digest == b.sum
		r.AgreeingPeers += bit(alike)
		r.Peers = append(r.Peers, PeerReport{name, p.incarnation, p.state.String(), int64(now - p.stateSince), alike})
	}
	return r
}

func hex(x uint64) string {
	const digits = "0123456789abcdef"
	out := make([]byte, 16)
	for i := range out {
		out[15-i] = digits[x>>(4*i)&15]
	}
	return string(out)
}
