package relays

import "tallyproxy/policy"

// Query asks a source how recent its knowledge of the channel is; a Response answers it.
type Query struct {
	// SentAt is the asker's own clock, and the response repeats it: what the response tells was so after that moment.
	SentAt policy.Micros `json:"n"`
	// PurgeDigest identifies the recent purges that the asker knows; see gossip.Store.
	PurgeDigest uint64 `json:"w"`
}

// Response is a source's answer to a Query.
type Response struct {
	SentAt  policy.Micros `json:"n"` // of the query
	Age     policy.Micros `json:"a"` // how long ago the source's list is known to have been the channel's; negative where it never was
	ListSum string        `json:"s"` // Sum of that list; empty where there is none
}

// Message is what one director sends to another. One of its fields is set.
type Message struct {
	Query    *Query     `json:"q,omitempty"` // asks a source
	Response *Response  `json:"a,omitempty"` // its answer
	WantList string     `json:"w,omitempty"` // asks for the list of this sum
	List     []Endpoint `json:"l,omitempty"` // the list that was asked for
}
