package membership

import (
	"maps"

	"tallyproxy/policy"
)

// Hint is what a director sends its peers about a cache node: a reason to probe the node once, and no more than that.
type Hint struct {
	Node      string        `json:"Node"` // id in the endpoint list
	Condition Condition     `json:"What"` // observed by the sender
	Age       policy.Micros `json:"Age"`  // of the observation when the hint was sent, by the sender's clock
}

// Condition is what a director has observed of a node.
type Condition string

// The conditions. Their texts are sent.
const (
	Unreachable Condition = "gone"  // it does not answer
	Recovered   Condition = "back"  // it answers again
	Restarted   Condition = "warms" // it has started anew, with a cold cache
	Overloaded  Condition = "full"  // it rejects requests
)

// valid is false for the conditions of later versions.
func (c Condition) valid() bool {
	return c == Unreachable || c == Recovered || c == Restarted || c == Overloaded
}

// NodeStatus is how this director routes to a node.
type NodeStatus struct {
	Ejected        bool    // it gets no requests
	HalfOpen       bool    // it gets one request at a time, as a probe
	SlowStartShare float64 // share of its full load, from 0 to 1
	Limit          float64 // concurrent requests; 0 for no limit
}

// ConditionChange is the condition to tell the peers where a node's status has changed; false for none.
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

// UnhealthyCondition is the condition of an unhealthy node that a director which starts should know; false for a healthy node. The start
// of a node is in the endpoint list, so Restarted is not among them.
func UnhealthyCondition(status NodeStatus) (Condition, bool) {
	switch {
	case status.Ejected || status.HalfOpen:
		return Unreachable, true
	case status.Limit > 0 && status.Limit < 1:
		return Overloaded, true
	}
	return "", false
}

// UnresolvedByProbe is what stays open although the node has answered the probe: whether its cache is cold, and whether it takes more than
// one request at a time. The next request shows it.
func (h Hint) UnresolvedByProbe() (restarted, overloaded bool) {
	return h.Condition == Restarted, h.Condition == Overloaded
}

// ShouldSendHint says whether to send a hint now, and counts it as sent. Each condition of a node is sent once in HintInterval, and
// HintsPerInterval hints altogether.
func (v *View) ShouldSendHint(now policy.Micros, hint Hint) bool {
	if now-v.hintWindowStart >= v.settings.HintInterval {
		v.hintWindowStart, v.hintsSent = now, 0
	}
	if v.hintsSent >= v.settings.HintsPerInterval || !oncePerInterval(v.hintsSentAt, now, string(hint.Condition)+" "+hint.Node, v.settings) {
		return false
	}
	v.hintsSent++
	return true
}

// ShouldProbe says whether to probe a hint's node, and counts it as probed. lastAnswer is when the node last answered this director, which
// counts for more than a hint. A peer that sends hints about all nodes all the time has HintsPerInterval of them probed, each once.
func (v *View) ShouldProbe(now policy.Micros, from string, hint Hint, lastAnswer policy.Micros) bool {
	p := v.peers[from]
	if p == nil || !p.present() || hint.Age < 0 || hint.Age > v.settings.MaxHintAge || !hint.Condition.valid() {
		return false
	}
	if hint.Condition != Recovered && now-lastAnswer < v.settings.HintInterval/4 {
		return false
	}
	if now-p.hintWindowStart >= v.settings.HintInterval {
		p.hintWindowStart, p.hintsAccepted = now, 0
	}
	if p.hintsAccepted >= v.settings.HintsPerInterval || !oncePerInterval(v.probedAt, now, hint.Node, v.settings) {
		return false
	}
	p.hintsAccepted++
	return true
}

// oncePerInterval says whether the last time of a key is a HintInterval or more ago, and if so sets it to now. Where the table is full, the
// entries that no longer matter go first.
func oncePerInterval(times map[string]policy.Micros, now policy.Micros, key string, s Settings) bool {
	if at, ok := times[key]; ok && now-at < s.HintInterval {
		return false
	}
	if len(times) >= s.MaxEntries {
		maps.DeleteFunc(times, func(_ string, at policy.Micros) bool { return now-at >= s.HintInterval })
		if len(times) >= s.MaxEntries {
			return false
		}
	}
	times[key] = now
	return true
}
