package gossip

import (
	"slices"
	"testing"

	"tallyproxy/policy"
)

// TestOwnChannel guards against updates of a director's channel that are sent to others more than
// once, and against updates from others that stay in force after the channel has answered a later
// poll.
func TestOwnChannel(t *testing.T) {
	now := 100 * policy.Second
	store := New(now, testSettings())
	store.ChannelAnswered(now)
	if updates := store.RecordNodes(now, readyNodes(4), true); len(updates) > 0 {
		t.Errorf("updates to send are %v", updates)
	}
	if updates := store.RecordNodes(now, []NodeState{{"box-1", 7, policy.Draining}}, false); !slices.Equal(updates, []Update{drain(1)}) {
		t.Errorf("updates to send are %v", updates)
	}
	if updates := store.RecordNodes(now, readyNodes(3), true); len(updates) != 1 || updates[0].Node != "box-3" || !updates[0].Removed {
		t.Errorf("updates of a node that is missing from the list are %v", updates)
	}
	if updates := store.RecordNodes(now, []NodeState{{"box-1", 7, policy.Draining}}, false); len(updates) != 1 {
		t.Errorf("updates of a node that drains again are %v", updates)
	}
	store.Received(now, "n1", drain(0))
	if got := store.AvoidedNodes(); !slices.Equal(got, []string{"box-0"}) {
		t.Errorf("avoided nodes are %v", got)
	}
	if store.ShouldPoll(now+249*ms, false) || store.ShouldPoll(now+250*ms, true) || !store.ShouldPoll(now+250*ms, false) || store.ShouldPoll(now+300*ms, false) {
		t.Error("ShouldPoll is wrong at one of the times")
	}
	if store.ChannelAnswered(now-1) || len(store.AvoidedNodes()) != 1 {
		t.Error("the answer to a poll that started before the update releases a node")
	}
	if r := store.Report(now+10, 4); r.ChannelAge != 10 || r.NewestAge != 4 || r.Received != 1 || len(r.Avoided) != 1 {
		t.Errorf("report is %+v", r)
	}
	if !store.ChannelAnswered(now+1) || len(store.AvoidedNodes()) != 0 || store.ShouldPoll(now+20*policy.Second, false) {
		t.Error("the answer to a poll that started after the update does not release the node")
	}
	store.Received(now, "n1", Update{Group: 3, PurgedAt: 4})
	if store.RecordPurge(now, Update{Group: 3, PurgedAt: 4}) || store.ShouldPoll(now+20*policy.Second, false) {
		t.Error("a purge that another director sent first is sent on, or polled for, after the channel published it")
	}
}
