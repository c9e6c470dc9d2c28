package status

import (
	"time"

	"tallyproxy/gossip"
	"tallyproxy/membership"
	"tallyproxy/overload"
	"tallyproxy/relays"
	"tallyproxy/routing"
)

// Report is a director's status at one moment. Tools and agents of other releases read its JSON, so
// existing keys must keep their names and meanings.
type Report struct {
	// Name of the director.
	Name string `json:"name"`
	// Process ID of the director.
	PID int `json:"pid"`
	// Time at which the process began to serve.
	Started time.Time `json:"started"`
	// Whether the stop signal has arrived.
	Stopping bool `json:"stopping"`

	// config.Digest of the operator's script in use; of no bytes without a script.
	SettingsDigest string `json:"settings"`
	// config.Digest of the platform's file in use.
	PlatformDigest string `json:"platform"`
	// Number of reloads that took effect.
	Reloads int `json:"reloads"`
	// Reason why the last reload was rejected; empty if it took effect.
	ReloadError string `json:"refused"`
	// Number of shards that the director runs.
	Cores int `json:"cores"`
	// Number of the last command channel event received.
	EventsReceived int64 `json:"told"`
	// Number of the last event that all shards have applied.
	EventsApplied int64 `json:"in_force"`
	// Nodes that the operator's script treats as draining.
	AvoidedNodes []string `json:"avoided"`

	// Number of open client connections.
	ClientConnections int `json:"clients"`
	// Limit of open client connections.
	MaxClientConnections int `json:"most_clients"`
	// Number of open connections to cache nodes.
	NodeConnections int `json:"node_connections"`
	// Number of requests without a final answer.
	OpenRequests int `json:"open"`

	// Counters since the start, by name.
	Counters map[string]int64 `json:"counts"`
	// Number of idempotency keys that are remembered.
	DedupRecords int `json:"keys_held"`
	// Number of requests since the start whose key found no room.
	DedupRejected int `json:"keys_full"`

	// State of the overload controller.
	Overload overload.Report `json:"storm"`
	// Routing state of every known node, by ID.
	NodeViews []routing.EndpointView `json:"beliefs"`
	// View of the other directors; nil without gossip.
	Membership *membership.Report `json:"peers,omitempty"`
	// This director's role in polling the command channel; nil without gossip.
	Relay *relays.Report `json:"follow,omitempty"`
	// Age of the newest command received; nil without gossip.
	Gossip *gossip.Report `json:"word,omitempty"`
}
