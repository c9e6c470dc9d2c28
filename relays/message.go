package relays

import "tallyproxy/policy"

// Query asks a source how recent its state of the channel is. The source replies with a Response.
type Query struct {
	// SentAt is the time by the requester's clock. The response repeats it and describes the
	// source's state after that time.
	SentAt policy.Micros `json:"n"`
	// PurgeDigest identifies the recent purges that the requester knows; see gossip.Store.
	PurgeDigest uint64 `json:"w"`
}

// Response is a source's reply to a Query.
type Response struct {
	SentAt policy.Micros `json:"n"` // copied from the query
	// Age is the time since the source's list was last known to match the channel's. It is
	// negative if the source has no list in force.
	Age     policy.Micros `json:"a"`
	ListSum string        `json:"s"` // Sum of that list; empty if there is none
}

// Message is what one director sends to another. One of its fields is set.
type Message struct {
	Query    *Query     `json:"q,omitempty"` // asks a source for its state
	Response *Response  `json:"a,omitempty"` // reply to a query
	WantList string     `json:"w,omitempty"` // requests the list with this sum
	List     []Endpoint `json:"l,omitempty"` // the requested list
}
