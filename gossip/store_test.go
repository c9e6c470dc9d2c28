package gossip

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"tallyproxy/policy"
)

const ms = policy.Second / 1000

// testSettings returns settings with a retention of 6 seconds.
func testSettings() Settings {
	return Derive(policy.Settings{ConnectTimeout: 400 * ms, PurgeRetention: 6 * policy.Second, PurgePropagation: 500 * ms})
}

// readyNodes returns n ready nodes, box-0 and so on.
func readyNodes(n int) (nodes []NodeState) {
	for i := range n {
		nodes = append(nodes, NodeState{fmt.Sprint("box-", i), 7, policy.Ready})
	}
	return nodes
}

// drain returns the update that drains node i.
func drain(i int) Update { return Update{Node: fmt.Sprint("box-", i), Started: 7} }

// TestReceived guards against updates from other directors that are applied although they restrict
// nothing new, or to more than half of the nodes.
func TestReceived(t *testing.T) {
	now := 100 * policy.Second
	purge := Update{Object: "a", Group: -1, PurgedAt: 5}
	with := func(u Update, change func(*Update)) Update { change(&u); return u }
	for _, c := range []struct {
		name           string
		before         func(s *Store)
		update         Update
		apply, forward bool
	}{
		{"a purge", nil, purge, true, true},
		{"a purge that was received before", func(s *Store) { s.Received(now, "n2", purge) }, with(purge, func(u *Update) { u.Age = 900 * ms }), false, false},
		{"a purge that this director's channel has published", func(s *Store) { s.RecordPurge(now, purge) }, purge, false, false},
		{"a purge older than Retention", nil, with(purge, func(u *Update) { u.Age = 7 * policy.Second }), false, false},
		{"a purge with a negative age", nil, with(purge, func(u *Update) { u.Age = -1 }), false, false},
		{"an empty update", nil, Update{}, false, false},
		{"an update that is both a purge and a drain", nil, Update{Node: "box-0", Started: 7, PurgedAt: 3}, false, false},
		{"a drain", nil, drain(0), true, true},
		{"the removal of a node", nil, with(drain(0), func(u *Update) { u.Removed = true }), true, true},
		{"a drain with an earlier start of the node", nil, Update{Node: "box-0", Started: 6}, false, true},
		{"a drain of a node that is not listed", nil, drain(9), false, true},
		{"a drain of a node that is already draining", func(s *Store) { s.RecordNodes(now-1, []NodeState{{"box-0", 7, policy.Draining}}, false) }, drain(0), false, false},
		{"a drain older than the entry in the list", func(s *Store) { s.RecordNodes(now-10*ms, readyNodes(4), false) }, with(drain(0), func(u *Update) { u.Age = 20 * ms }), false, true},
		{"a drain that would affect more than half of the nodes", func(s *Store) { s.Received(now, "n2", drain(1)); s.Received(now, "n2", drain(2)) }, drain(0), false, true},
		{"more than MaxUpdates from one director", func(s *Store) {
			for i := range testSettings().MaxUpdates {
				s.Received(now, "n1", Update{Group: i, PurgedAt: 9})
			}
		}, purge, false, false},
	} {
		store := New(now-50*policy.Second, testSettings())
		store.RecordNodes(now-40*policy.Second, readyNodes(4), true)
		if c.before != nil {
			c.before(store)
		}
		if apply, forward := store.Received(now, "n1", c.update); apply != c.apply || forward != c.forward {
			t.Errorf("%s: apply is %v, forward is %v", c.name, apply, forward)
		}
	}
}

// TestAnyOrder checks updates in any order, repeated or late. Only restrictions are applied, at
// most half of the nodes are avoided because of other directors' updates, a node that this
// director's channel lists as draining is never released by another director, and all tables stay
// bounded.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings()
		s.MaxEntries, s.MaxUpdates = 40, 60
		now := 100 * policy.Second
		store := New(now, s)
		store.RecordNodes(now, readyNodes(6), true)
		channelStates := map[string]policy.EndpointState{}
		for _, n := range readyNodes(6) {
			channelStates[n.Node] = n.State
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += policy.Micros(rapid.IntRange(0, 900).Draw(t, "ms")) * ms
			n := rapid.IntRange(0, 5).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0:
				state := rapid.SampledFrom([]policy.EndpointState{policy.Ready, policy.Draining}).Draw(t, "state")
				store.RecordNodes(now, []NodeState{{fmt.Sprint("box-", n), 7, state}}, false)
				channelStates[fmt.Sprint("box-", n)] = state
			case 1, 2:
				u := drain(n)
				u.Age = policy.Micros(rapid.IntRange(0, 7000).Draw(t, "age")) * ms
				if apply, _ := store.Received(now, fmt.Sprint("n", n%3), u); apply && channelStates[u.Node] != policy.Ready {
					t.Fatalf("%v is applied to a node that is already draining", u)
				}
			case 3:
				store.Received(now, "n1", Update{Group: rapid.IntRange(0, 99).Draw(t, "group"), PurgedAt: 1})
			case 4:
				pollStartedAt := now - policy.Micros(rapid.IntRange(0, 1500).Draw(t, "ago"))*ms
				store.ChannelAnswered(pollStartedAt)
				for node, at := range store.avoided {
					if at <= pollStartedAt {
						t.Fatalf("%s is still avoided after the answer to a later poll", node)
					}
				}
			}
			if 2*len(store.AvoidedNodes()) > 6 {
				t.Fatalf("more than half of 6 nodes are avoided: %v", store.AvoidedNodes())
			}
			if len(store.updates) > s.MaxEntries || len(store.unconfirmed) > s.MaxEntries || len(store.senders) > s.MaxEntries {
				t.Fatalf("a table exceeds MaxEntries: %d updates, %d unconfirmed, %d senders", len(store.updates), len(store.unconfirmed), len(store.senders))
			}
		}
	})
}
