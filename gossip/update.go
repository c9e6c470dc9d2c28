package gossip

import "tallyproxy/policy"

// Update is one event of the command channel: a purge of an object or a group, or the drain or
// removal of a node. Each director numbers the channel's events on its own, so an update is
// identified by its content without Age.
type Update struct {
	Object string `json:"o,omitempty"` // purge: this object; empty for a whole group
	Group  int    `json:"g,omitempty"` // purge: this group
	// PurgedAt is the time of a purge by the channel's clock: older copies are invalid. It is 0
	// in the update of a node.
	PurgedAt policy.Micros `json:"t,omitempty"`
	Node     string        `json:"n,omitempty"` // id of the node that drains or is removed
	Started  policy.Micros `json:"s,omitempty"` // start of the node that the update refers to
	Removed  bool          `json:"x,omitempty"` // the node is removed; otherwise it drains
	Age      policy.Micros `json:"a"`           // time since publication, as known to the sender
}

// key returns the update without its age, which identifies the update regardless of when it was
// received.
func (u Update) key() Update {
	u.Age = 0
	return u
}

// valid reports whether an update is either a purge or a node's, and not older than Retention.
func (u Update) valid(s Settings) bool {
	return u.Age >= 0 && u.Age <= s.Retention && (u.PurgedAt > 0) != (u.Node != "")
}

// NodeState is the state of a node as published by this director's channel.
type NodeState struct {
	Node    string               // id
	Started policy.Micros        // the node's latest start
	State   policy.EndpointState // ready, draining or removed
}
