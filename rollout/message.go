package rollout

import "tallyproxy/policy"

// MessageType says what a message asks of an agent. Its numbers are sent.
type MessageType int

// The message types.
const (
	Promise MessageType = iota // take the right to change
	Renew                      // extend the lease of that right
	Release                    // give the right back
	Prepare                    // check a change and store it
	Accept                     // accept an outcome
	Learn                      // an outcome was chosen; apply the waves that are allowed
	Query                      // tell what is known of a change
)

var messageTypeNames = [...]string{"promise", "renew", "release", "prepare", "accept", "learn", "ask"}

// String returns the name that tools print; it does not change with the constants' names.
func (t MessageType) String() string { return messageTypeNames[t] }

// Message is a request to an agent, from a coordinator or from another agent's Recovery.
type Message struct {
	Type         MessageType   `json:"verb"`              // what is asked
	Seq          int           `json:"seq"`               // the sender's step, repeated in the reply
	Ballot       Ballot        `json:"ballot"`            // the sender's; zero for Query
	Lease        policy.Micros `json:"lease,omitempty"`   // for Promise and Renew
	Change       *Change       `json:"change,omitempty"`  // for Promise, Prepare, Accept and Learn
	ChangeID     string        `json:"id,omitempty"`      // for Query, and for Learn where Change is nil
	Outcome      Outcome       `json:"outcome,omitempty"` // for Accept and Learn
	AllowedWaves int           `json:"waves,omitempty"`   // for Learn: waves up to this one may be applied
	Final        bool          `json:"final,omitempty"`   // for Learn: no further wave will be allowed
}

// Envelope is a message with its receiver.
type Envelope struct {
	To string // the agent's name
	Message
}

// Reply is an agent's answer to a message.
type Reply struct {
	Type      MessageType   `json:"verb"`              // of the message
	Seq       int           `json:"seq"`               // of the message
	OK        bool          `json:"ok"`                // the agent did what it was asked
	Reason    string        `json:"why,omitempty"`     // why not, where OK is false
	Promised  Ballot        `json:"ballot"`            // the highest ballot that the agent has promised
	HeldFor   policy.Micros `json:"held,omitempty"`    // since that ballot was promised
	LeaseLeft policy.Micros `json:"left,omitempty"`    // of that ballot's lease
	Entries   []Entry       `json:"entries,omitempty"` // of the change that was asked about, of all for Promise
}

// Command tells an agent's driver to apply a script to one of its directors and to read back whether the director runs it. The result
// goes to Agent.CommandDone.
type Command struct {
	ChangeID       string // the change that the script belongs to
	Instance       string // the director
	Script         string // the script to apply
	PreviousScript string // the script to restore where the director rejects the new one
}
