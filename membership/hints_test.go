package membership

import (
	"fmt"
	"testing"

	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

// TestHints guards against too many probes: a hint causes one probe of a node at most, and a
// director that reports all nodes as unreachable causes HintsPerInterval probes at most.
func TestHints(t *testing.T) {
	cluster := newTestCluster(3)
	view := cluster.views[0]
	longAgo := -10 * policy.Second
	cases := []struct {
		name       string
		from       string
		hint       Hint
		lastAnswer policy.Micros
		want       bool
	}{
		{"node without a recent answer", "n1", Hint{Node: "a", Condition: Unreachable}, longAgo, true},
		{"second hint about the same node", "n2", Hint{Node: "a", Condition: Unreachable}, longAgo, false},
		{"hint older than MaxHintAge", "n1", Hint{Node: "b", Condition: Unreachable, Age: 4 * policy.Second}, longAgo, false},
		{"negative age", "n1", Hint{Node: "b", Condition: Unreachable, Age: -1}, longAgo, false},
		{"node that has just answered this director", "n1", Hint{Node: "b", Condition: Restarted}, cluster.now - 100*ms, false},
		{"recovery of a node that has just answered", "n1", Hint{Node: "b", Condition: Recovered}, cluster.now - 100*ms, true},
		{"unknown condition of a later version", "n1", Hint{Node: "c", Condition: "glad"}, longAgo, false},
		{"unknown peer", "x", Hint{Node: "c", Condition: Unreachable}, longAgo, false},
	}
	for _, c := range cases {
		if got := view.ShouldProbe(cluster.now, c.from, c.hint, c.lastAnswer); got != c.want {
			t.Errorf("%s: ShouldProbe is %v", c.name, got)
		}
	}
	probed, sent := 0, 0
	for i := range 1000 {
		probed += boolean.Int(view.ShouldProbe(cluster.now, "n2", Hint{Node: fmt.Sprint("box-", i), Condition: Unreachable}, longAgo))
		sent += boolean.Int(view.ShouldSendHint(cluster.now, Hint{Node: fmt.Sprint("box-", i), Condition: Overloaded}))
	}
	if probed != view.settings.HintsPerInterval || sent != view.settings.HintsPerInterval {
		t.Errorf("%d nodes probed, %d hints sent", probed, sent)
	}
	cluster.now += view.settings.HintInterval
	if !view.ShouldProbe(cluster.now, "n2", Hint{Node: "box-999", Condition: Unreachable}, longAgo) ||
		!view.ShouldSendHint(cluster.now, Hint{Node: "box-999", Condition: Restarted}) {
		t.Error("hints are still rejected after HintInterval")
	}
}

// TestConditionChange checks which condition is sent to the peers when a node's status changes.
func TestConditionChange(t *testing.T) {
	healthy := NodeStatus{SlowStartShare: 1, Limit: 10}
	for _, c := range []struct {
		name        string
		before, now NodeStatus
		want        Condition
	}{
		{"unchanged", healthy, healthy, ""},
		{"slightly lower share and limit", healthy, NodeStatus{SlowStartShare: 0.8, Limit: 7}, ""},
		{"ejected", healthy, NodeStatus{Ejected: true, HalfOpen: true, SlowStartShare: 1, Limit: 10}, Unreachable},
		{"half-open after an ejection", NodeStatus{Ejected: true, SlowStartShare: 1}, NodeStatus{HalfOpen: true, SlowStartShare: 1}, ""},
		{"recovered", NodeStatus{Ejected: true, SlowStartShare: 1}, healthy, Recovered},
		{"restarted", healthy, NodeStatus{SlowStartShare: 0.2, Limit: 10}, Restarted},
		{"limit reduced to less than half", healthy, NodeStatus{SlowStartShare: 1, Limit: 4}, Overloaded},
		{"no limit", NodeStatus{SlowStartShare: 1}, NodeStatus{SlowStartShare: 1}, ""},
	} {
		if got, changed := ConditionChange(c.before, c.now); changed != (c.want != "") || changed && got != c.want {
			t.Errorf("%s: condition is %q, changed is %v", c.name, got, changed)
		}
	}
}
