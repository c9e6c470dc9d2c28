package rollout

import "tallyproxy/policy"

// MessageType is the type of a request to an agent. Its numeric values are sent.
type MessageType int

// The message types.
const (
	Promise MessageType = iota // request the right to change
	Renew                      // extend the lease of that right
	Release                    // give that right back
	Prepare                    // check a change and store it
	Accept                     // accept an outcome
	Learn                      // learn a chosen outcome and apply the allowed waves
	Query                      // return what is known about a change
)

var messageTypeNames = [...]string{"promise", "renew", "release", "prepare", "accept", "learn", "ask"}

// String returns the name that tools print. It must not change when a constant is renamed.
func (t MessageType) String() string { return messageTypeNames[t] }

// Message is a request to an agent, from a coordinator or from another agent's Recovery.
type Message struct {
	Type         MessageType   `json:"verb"`              // type of the request
	Seq          int           `json:"seq"`               // sender's step; repeated in the reply
	Ballot       Ballot        `json:"ballot"`            // the sender's ballot; zero for Query
	Lease        policy.Micros `json:"lease,omitempty"`   // for Promise and Renew
	Change       *Change       `json:"change,omitempty"`  // for Promise, Prepare, Accept and Learn
	ChangeID     string        `json:"id,omitempty"`      // for Query, or Learn without Change
	Outcome      Outcome       `json:"outcome,omitempty"` // for Accept and Learn
	AllowedWaves int           `json:"waves,omitempty"`   // for Learn: last allowed wave
	Final        bool          `json:"final,omitempty"`   // for Learn: no further wave will follow
}

// Envelope is a message and its recipient.
type Envelope struct {
	To string // name of the agent
	Message
}

// Reply is an agent's answer to a message.
type Reply struct {
	Type      MessageType   `json:"verb"`           // Type of the message
	Seq       int           `json:"seq"`            // Seq of the message
	OK        bool          `json:"ok"`             // the agent did what was requested
	Reason    string        `json:"why,omitempty"`  // why not, if OK is false
	Promised  Ballot        `json:"ballot"`         // highest ballot that the agent has promised
	HeldFor   policy.Micros `json:"held,omitempty"` // time since that ballot was promised
	LeaseLeft policy.Micros `json:"left,omitempty"` // remaining lease of that ballot
	// The entry of the requested change, or all entries in a reply to Promise.
	Entries []Entry `json:"entries,omitempty"`
}

// Command makes an agent's driver apply a script to one of the agent's directors and verify that
// the director runs it. The driver reports the result to Agent.CommandDone.
type Command struct {
	ChangeID       string // change that the script belongs to
	Instance       string // name of the director
	Script         string // script to apply
	PreviousScript string // script to restore if the director rejects the new one
}
