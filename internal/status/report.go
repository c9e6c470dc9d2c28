package status

import (
	"time"

	"tallyproxy/gossip"
	"tallyproxy/membership"
	"tallyproxy/overload"
	"tallyproxy/relays"
	"tallyproxy/routing"
)

// Report is a director's status at one moment. Its JSON is read by tools and agents of other releases: a key that is
// there keeps its name and meaning.
type Report struct {
	Name     string    `json:"name"`     // of the director
	PID      int       `json:"pid"`      // of its process
	Started  time.Time `json:"started"`  // when the process began to serve
	Stopping bool      `json:"stopping"` // the signal to stop has come

	SettingsDigest string   `json:"settings"` // config.Digest of the operator's script that is in use; of no bytes without a script
	PlatformDigest string   `json:"platform"` // config.Digest of the platform's file that is in use
	Reloads        int      `json:"reloads"`  // reloads that took effect
	ReloadError    string   `json:"refused"`  // why the last reload was refused; empty if it took effect
	Cores          int      `json:"cores"`    // shards that the director runs
	EventsReceived int64    `json:"told"`     // number of the last event of the command channel that was received
	EventsApplied  int64    `json:"in_force"` // number of the last event that every shard has applied
	AvoidedNodes   []string `json:"avoided"`  // nodes that the operator's script treats as draining

	ClientConnections    int `json:"clients"`          // open connections from clients
	MaxClientConnections int `json:"most_clients"`     // the most that may be open together
	NodeConnections      int `json:"node_connections"` // open connections to cache nodes
	OpenRequests         int `json:"open"`             // requests without a final answer

	Counters      map[string]int64 `json:"counts"`    // since the start, by name
	DedupRecords  int              `json:"keys_held"` // idempotency keys that are remembered
	DedupRejected int              `json:"keys_full"` // requests since the start whose key found no room

	Overload   overload.Report        `json:"storm"`            // state of the overload controller
	NodeViews  []routing.EndpointView `json:"beliefs"`          // the routing state of every known node, by ID
	Membership *membership.Report     `json:"peers,omitempty"`  // view of the other directors; nil without gossip
	Relay      *relays.Report         `json:"follow,omitempty"` // role in polling the command channel; nil without gossip
	Gossip     *gossip.Report         `json:"word,omitempty"`   // age of the newest command received; nil without gossip
}
