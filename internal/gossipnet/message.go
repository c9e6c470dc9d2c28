package gossipnet

import (
	"tallyproxy/gossip"
	"tallyproxy/membership"
	"tallyproxy/policy"
	"tallyproxy/relays"
)

// message is what one director sends to another, as JSON in a user message of memberlist. Exactly
// one of the fields after From is set.
type message struct {
	// Name of the sender.
	From string `json:"f"`
	// Lease request, handled by the view.
	LeaseRequest *membership.LeaseRequest `json:"a,omitempty"`
	// Reply to a lease request, handled by the view.
	LeaseGrant *membership.LeaseGrant `json:"g,omitempty"`
	// Hint about a cache node, broadcast.
	Hint *membership.Hint `json:"h,omitempty"`
	// Updates of the command channel, broadcast or sent to one director.
	Updates []gossip.Update `json:"w,omitempty"`
	// About relaying the command channel.
	Relay *relays.Message `json:"o,omitempty"`
	// SnapshotRequest asks for a snapshot. It is the requester's time, which the reply returns.
	SnapshotRequest policy.Micros `json:"q,omitempty"`
	// Reply to a snapshot request, sent over a connection.
	SnapshotReply *snapshotReply `json:"r,omitempty"`
}

// snapshotReply is the sender's state at the time when it received a request for it.
type snapshotReply struct {
	RequestedAt policy.Micros `json:"q"` // from the request, on the requester's clock
	Snapshot
}

// Snapshot is the state that a director sends to another that has just started or whose own state
// may be out of date.
type Snapshot struct {
	// Name of the sender, set by the Driver.
	From string `json:"f"`
	// Time since the sender's command channel last answered.
	ChannelAge policy.Micros `json:"a"`
	// Updates in force.
	Updates []gossip.Update `json:"w"`
	// Hints about cache nodes.
	UnhealthyNodes []membership.Hint `json:"b,omitempty"`
}

// nodeMeta is the metadata of a director's entry in the member list, as JSON.
type nodeMeta struct {
	Incarnation uint64 `json:"b"`           // of this process
	Zone        int    `json:"z"`           // index of the zone in the platform's settings
	Leaving     bool   `json:"l,omitempty"` // the director shuts down; its end is not a failure
}
