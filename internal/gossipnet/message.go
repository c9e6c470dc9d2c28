package gossipnet

import (
	"tallyproxy/gossip"
	"tallyproxy/membership"
	"tallyproxy/policy"
	"tallyproxy/relays"
)

// message is what one director sends to another as a user message of memberlist, as JSON. One of the fields after From is set.
type message struct {
	From            string                   `json:"f"`           // name of the sender
	LeaseRequest    *membership.LeaseRequest `json:"a,omitempty"` // for the view
	LeaseGrant      *membership.LeaseGrant   `json:"g,omitempty"` // for the view
	Hint            *membership.Hint         `json:"h,omitempty"` // about a cache node, broadcast
	Updates         []gossip.Update          `json:"w,omitempty"` // of the command channel, broadcast or sent
	Relay           *relays.Message          `json:"o,omitempty"` // between relays of the channel and those that poll them
	SnapshotRequest policy.Micros            `json:"q,omitempty"` // asks for a snapshot; the asker's time, which the reply returns
	SnapshotReply   *snapshotReply           `json:"r,omitempty"` // over a connection
}

// snapshotReply is the sender's state after it has received a request for it.
type snapshotReply struct {
	RequestedAt policy.Micros `json:"q"` // by the asker's clock, from the request
	Snapshot
}

// Snapshot is what one director knows that another which starts, or lost track, should know.
type Snapshot struct {
	From           string            `json:"f"`           // name of the sender, set by the Driver
	ChannelAge     policy.Micros     `json:"a"`           // since the sender's command channel last answered
	Updates        []gossip.Update   `json:"w"`           // in force
	UnhealthyNodes []membership.Hint `json:"b,omitempty"` // cache nodes
}

// nodeMeta is the metadata that each director adds to its entry in the member list, as JSON.
type nodeMeta struct {
	Incarnation uint64 `json:"b"`           // of this process
	Zone        int    `json:"z"`           // index in the platform's settings
	Leaving     bool   `json:"l,omitempty"` // it shuts down: its end is no failure
}
