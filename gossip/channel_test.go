package gossip

import (
	"slices"
	"testing"

	"tallyproxy/policy"
)

// What the own channel tells is sent on once, and ends what only others said, if it was polled after that.
func TestOwnChannel(t *testing.T) {
	now := 100 * policy.Second
	store := New(now, testSettings())
	store.ChannelAnswered(now)
	if updates := store.RecordNodes(now, readyNodes(4), true); len(updates) > 0 {
		t.Errorf("sends %v", updates)
	}
	if updates := store.RecordNodes(now, []NodeState{{"box-1", 7, policy.Draining}}, false); !slices.Equal(updates, []Update{drain(1)}) {
		t.Errorf("sends %v", updates)
	}
	if updates := store.RecordNodes(now, readyNodes(3), true); len(updates) != 1 || updates[0].Node != "box-3" || !updates[0].Removed {
		t.Errorf("of one that the list no longer has: %v", updates)
	}
	if updates := store.RecordNodes(now, []NodeState{{"box-1", 7, policy.Draining}}, false); len(updates) != 1 {
		t.Errorf("of one that drains again: %v", updates)
	}
	store.Received(now, "n1", drain(0))
	if got := store.AvoidedNodes(); !slices.Equal(got, []string{"box-0"}) {
		t.Errorf("avoids %v", got)
	}
	if store.ShouldPoll(now+249*ms, false) || store.ShouldPoll(now+250*ms, true) || !store.ShouldPoll(now+250*ms, false) || store.ShouldPoll(now+300*ms, false) {
		t.Error("polls at another time than it should")
	}
	if store.ChannelAnswered(now-1) || len(store.AvoidedNodes()) != 1 {
		t.Error("an answer to a poll from before the update releases a node")
	}
	if r := store.Report(now+10, 4); r.ChannelAge != 10 || r.NewestAge != 4 || r.Received != 1 || len(r.Avoided) != 1 {
		t.Errorf("%+v", r)
	}
	if !store.ChannelAnswered(now+1) || len(store.AvoidedNodes()) != 0 || store.ShouldPoll(now+20*policy.Second, false) {
		t.Error("an answer to a poll after the update does not release it")
	}
	store.Received(now, "n1", Update{Group: 3, PurgedAt: 4})
	if store.RecordPurge(now, Update{Group: 3, PurgedAt: 4}) || store.ShouldPoll(now+20*policy.Second, false) {
		t.Error("what the own channel tells after another is sent on, or polled for")
	}
}
