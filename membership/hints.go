package membership

import (
	"maps"

	"tallyproxy/policy"
)

// Hint is a message to the peers about the condition of a cache node. It is a reason to probe the
// node once and has no other effect.
type Hint struct {
	Node      string        `json:"Node"` // id in the endpoint list
	Condition Condition     `json:"What"` // as observed by the sender
	Age       policy.Micros `json:"Age"`  // of the observation when sent, by the sender's clock
}

// Condition is a condition of a cache node that a director has observed.
type Condition string

// The conditions. Their values are sent to other directors.
const (
	Unreachable Condition = "gone"  // the node does not answer
	Recovered   Condition = "back"  // the node answers again
	Restarted   Condition = "warms" // the node has restarted with a cold cache
	Overloaded  Condition = "full"  // the node rejects requests
)

// valid reports whether the condition is known to this version. Later versions may send others.
func (c Condition) valid() bool {
	return c == Unreachable || c == Recovered || c == Restarted || c == Overloaded
}

// NodeStatus describes how this director routes requests to a node.
type NodeStatus struct {
	Ejected        bool    // the node gets no requests
	HalfOpen       bool    // the node gets one request at a time, as a probe
	SlowStartShare float64 // share of the node's full load, from 0 to 1
	Limit          float64 // maximum of concurrent requests; 0 for no limit
}

// ConditionChange returns the condition to send to the peers after a change of a node's status;
// false if there is nothing to send.
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

// UnhealthyCondition returns the condition of an unhealthy node that a newly started director
// should learn of; false if the node is healthy. It never returns Restarted, because the endpoint
// list includes the start time of each node.
func UnhealthyCondition(status NodeStatus) (Condition, bool) {
	switch {
	case status.Ejected || status.HalfOpen:
		return Unreachable, true
	case status.Limit > 0 && status.Limit < 1:
		return Overloaded, true
	}
	return "", false
}

// UnresolvedByProbe returns what remains unknown after the node has answered the probe: whether its
// cache is cold, and whether it accepts more than one request at a time. The next request shows it.
func (h Hint) UnresolvedByProbe() (restarted, overloaded bool) {
	return h.Condition == Restarted, h.Condition == Overloaded
}

// ShouldSendHint reports whether to send a hint now and, if so, counts it as sent. In each
// HintInterval, each condition of a node is sent at most once, and at most HintsPerInterval hints
// are sent in total.
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

// ShouldProbe reports whether to probe the node of a hint and, if so, counts the node as probed.
// lastAnswer is when the node last answered this director; a recent answer takes precedence over a
// hint with any condition except Recovered. In each HintInterval, a peer that constantly sends
// hints about all nodes causes at most HintsPerInterval probes, and at most one probe per node.
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

// oncePerInterval reports whether the last time of a key is at least a HintInterval ago, and if so
// sets it to now. If the table is full, expired entries are dropped first; if none has expired, the
// result is false.
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
