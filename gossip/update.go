package gossip

import "tallyproxy/policy"

// Update is one thing that the command channel has published: a purge of an object or a group, or the drain or removal of a node. Directors number
// the channel's events each on its own, so an update is identified by its content, without Age.
type Update struct {
	Object   string        `json:"o,omitempty"` // purge: of this object; empty for a whole group
	Group    int           `json:"g,omitempty"` // purge: of this group
	PurgedAt policy.Micros `json:"t,omitempty"` // purge: older copies are void; by the channel's clock; 0 for a node's update
	Node     string        `json:"n,omitempty"` // id of the node that drains, or is removed
	Started  policy.Micros `json:"s,omitempty"` // which start of the node is meant
	Removed  bool          `json:"x,omitempty"` // the node is removed; else it drains
	Age      policy.Micros `json:"a"`           // since the channel published it, as far as its sender knows
}

// key identifies an update whenever it was received.
func (u Update) key() Update {
	u.Age = 0
	return u
}

// valid says whether an update is either a purge or a node's, and new enough to be of use.
func (u Update) valid(s Settings) bool {
	return u.Age >= 0 && u.Age <= s.Retention && (u.PurgedAt > 0) != (u.Node != "")
}

// NodeState is what this director's own channel says of a node.
type NodeState struct {
	Node    string               // id
	Started policy.Micros        // its latest start
	State   policy.EndpointState // ready, draining or removed
}
