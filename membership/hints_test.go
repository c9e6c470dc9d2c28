package membership

import (
	"fmt"
	"testing"

	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

// A hint is a reason for one probe; a director that claims that all caches are dead has a few of them probed, and no more.
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
		{"of a cache not heard from lately", "n1", Hint{Node: "a", Condition: Unreachable}, longAgo, true},
		{"the same again", "n2", Hint{Node: "a", Condition: Unreachable}, longAgo, false},
		{"too old", "n1", Hint{Node: "b", Condition: Unreachable, Age: 4 * policy.Second}, longAgo, false},
		{"from the future", "n1", Hint{Node: "b", Condition: Unreachable, Age: -1}, longAgo, false},
		{"of one that has just answered here", "n1", Hint{Node: "b", Condition: Restarted}, cluster.now - 100*ms, false},
		{"that it is back", "n1", Hint{Node: "b", Condition: Recovered}, cluster.now - 100*ms, true},
		{"what a later version may tell", "n1", Hint{Node: "c", Condition: "glad"}, longAgo, false},
		{"from a stranger", "x", Hint{Node: "c", Condition: Unreachable}, longAgo, false},
	}
	for _, c := range cases {
		if got := view.ShouldProbe(cluster.now, c.from, c.hint, c.lastAnswer); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	probed, sent := 0, 0
	for i := range 1000 {
		probed += boolean.Int(view.ShouldProbe(cluster.now, "n2", Hint{Node: fmt.Sprint("box-", i), Condition: Unreachable}, longAgo))
		sent += boolean.Int(view.ShouldSendHint(cluster.now, Hint{Node: fmt.Sprint("box-", i), Condition: Overloaded}))
	}
	if probed != view.settings.HintsPerInterval || sent != view.settings.HintsPerInterval {
		t.Errorf("%d probed, %d sent", probed, sent)
	}
	cluster.now += view.settings.HintInterval
	if !view.ShouldProbe(cluster.now, "n2", Hint{Node: "box-999", Condition: Unreachable}, longAgo) ||
		!view.ShouldSendHint(cluster.now, Hint{Node: "box-999", Condition: Restarted}) {
		t.Error("nothing is heeded a while later")
	}
}

// The condition to tell of a node follows from its status before and now.
func TestConditionChange(t *testing.T) {
	healthy := NodeStatus{SlowStartShare: 1, Limit: 10}
	for _, c := range []struct {
		name        string
		before, now NodeStatus
		want        Condition
	}{
		{"nothing new", healthy, healthy, ""},
		{"a little colder, a little less", healthy, NodeStatus{SlowStartShare: 0.8, Limit: 7}, ""},
		{"gone", healthy, NodeStatus{Ejected: true, HalfOpen: true, SlowStartShare: 1, Limit: 10}, Unreachable},
		{"tried after a skip", NodeStatus{Ejected: true, SlowStartShare: 1}, NodeStatus{HalfOpen: true, SlowStartShare: 1}, ""},
		{"back", NodeStatus{Ejected: true, SlowStartShare: 1}, healthy, Recovered},
		{"started anew", healthy, NodeStatus{SlowStartShare: 0.2, Limit: 10}, Restarted},
		{"turns away", healthy, NodeStatus{SlowStartShare: 1, Limit: 4}, Overloaded},
		{"one without a limit", NodeStatus{SlowStartShare: 1}, NodeStatus{SlowStartShare: 1}, ""},
	} {
		if got, changed := ConditionChange(c.before, c.now); changed != (c.want != "") || changed && got != c.want {
			t.Errorf("%s: %q, %v", c.name, got, changed)
		}
	}
}
