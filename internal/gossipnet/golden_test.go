package gossipnet

import (
	"testing"

	"tallyproxy/gossip"
	"tallyproxy/internal/goldentest"
	"tallyproxy/membership"
	"tallyproxy/policy"
	"tallyproxy/relays"
)

// TestGoldenMessages guards against changed encodings of messages. The encodings were recorded from
// a released version; different versions exchange them during a rollout.
func TestGoldenMessages(t *testing.T) {
	updates := []gossip.Update{{Object: "o", Group: 1, PurgedAt: 2, Age: 3}, {Node: "box-1", Started: 4, Removed: true, Age: 5}}
	goldentest.JSON(t, message{From: "n0"}, `{"f":"n0"}`)
	goldentest.JSON(t, message{From: "n0", LeaseRequest: &membership.LeaseRequest{RequestedAt: 1, Incarnation: 2, Zone: 3, Digest: 4}},
		`{"f":"n0","a":{"Number":1,"Born":2,"Zone":3,"Sum":4}}`)
	goldentest.JSON(t, message{From: "n0", LeaseGrant: &membership.LeaseGrant{RequestedAt: 1, Counts: [2]int{2, 3}, Digest: 4}},
		`{"f":"n0","g":{"Number":1,"Count":[2,3],"Sum":4}}`)
	goldentest.JSON(t, message{From: "n0", Hint: &membership.Hint{Node: "box-1", Condition: membership.Unreachable, Age: 6}},
		`{"f":"n0","h":{"Node":"box-1","What":"gone","Age":6}}`)
	goldentest.JSON(t, message{From: "n0", Updates: updates},
		`{"f":"n0","w":[{"o":"o","g":1,"t":2,"a":3},{"n":"box-1","s":4,"x":true,"a":5}]}`)
	goldentest.JSON(t, message{From: "n0", Relay: &relays.Message{Query: &relays.Query{SentAt: 1, PurgeDigest: 2}}},
		`{"f":"n0","o":{"q":{"n":1,"w":2}}}`)
	goldentest.JSON(t, message{From: "n0", Relay: &relays.Message{Response: &relays.Response{SentAt: 1, Age: 2, ListSum: "ab"}, WantList: "cd"}},
		`{"f":"n0","o":{"a":{"n":1,"a":2,"s":"ab"},"w":"cd"}}`)
	goldentest.JSON(t, message{From: "n0", Relay: &relays.Message{List: []relays.Endpoint{
		{ID: "box-1", Address: "127.0.0.1:1", Zone: 2, Kind: 1, Cell: 3, Weight: 1.5, Started: 4, State: policy.Draining}}}},
		`{"f":"n0","o":{"l":[{"i":"box-1","a":"127.0.0.1:1","z":2,"k":1,"c":3,"w":1.5,"s":4,"x":1}]}}`)
	goldentest.JSON(t, message{From: "n0", SnapshotRequest: 7}, `{"f":"n0","q":7}`)
	goldentest.JSON(t, message{From: "n0", SnapshotReply: &snapshotReply{7, Snapshot{"n1", 8, updates, []membership.Hint{{Node: "box-2", Condition: membership.Overloaded}}}}},
		`{"f":"n0","r":{"q":7,"f":"n1","a":8,"w":[{"o":"o","g":1,"t":2,"a":3},{"n":"box-1","s":4,"x":true,"a":5}],"b":[{"Node":"box-2","What":"full","Age":0}]}}`)
}

// TestGoldenStates guards against changed encodings of a node's metadata, the state in a push/pull
// exchange, and the payload of an answer to a probe.
func TestGoldenStates(t *testing.T) {
	goldentest.JSON(t, nodeMeta{Incarnation: 18446744073709551615, Zone: 2, Leaving: true}, `{"b":18446744073709551615,"z":2,"l":true}`)
	goldentest.JSON(t, nodeMeta{Incarnation: 1}, `{"b":1,"z":0}`)
	goldentest.JSON(t, Snapshot{From: "n0", ChannelAge: 1, Updates: []gossip.Update{{Group: 2, PurgedAt: 3, Age: 4}}, UnhealthyNodes: []membership.Hint{{Node: "box-1", Condition: membership.Recovered, Age: 5}}},
		`{"f":"n0","a":1,"w":[{"g":2,"t":3,"a":4}],"b":[{"Node":"box-1","What":"back","Age":5}]}`)
	goldentest.JSON(t, Snapshot{}, `{"f":"","a":0,"w":null}`)

	s := membership.Settings{Name: "n0", Zone: 2, Incarnation: 7, MaxEntries: 9}
	driver := newDriver(s, func() policy.Micros { return 1 }, Handlers{
		Snapshot: func() (Snapshot, bool) {
			return Snapshot{ChannelAge: 5, Updates: []gossip.Update{{Group: 2, PurgedAt: 3}}}, false
		},
	})
	calls := delegate{driver}
	for _, c := range []struct{ what, got, want string }{
		{"metadata", string(calls.NodeMeta(512)), `{"b":7,"z":2}`},
		{"state of one that joins", string(calls.LocalState(true)), `{"f":"n0","a":5,"w":[{"g":2,"t":3,"a":0}]}`},
		{"state otherwise", string(calls.LocalState(false)), ""},
		{"payload without the channel", string(calls.AckPayload()), "56266a736aea3e1e"},
	} {
		if c.got != c.want {
			t.Errorf("%s: %q, want %q", c.what, c.got, c.want)
		}
	}
	driver.leaving = true
	if got := string(calls.NodeMeta(512)); got != `{"b":7,"z":2,"l":true}` {
		t.Errorf("the metadata of a leaving director is %s", got)
	}
	driver.handlers.ChannelAge = func() policy.Micros { return 300 }
	if got := string(calls.AckPayload()); got != "56266a736aea3e1e 12c" {
		t.Errorf("a payload with the age of the channel is %q", got)
	}
}
