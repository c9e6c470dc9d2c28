// Package logevent defines the names of all log events. Each log line has one of them under the key
// "event", followed by its details as key=value pairs. The on-call page explains each event to
// operators, and the fault tests read some of them.
package logevent

// Events of the director's start, reload and shutdown.
const (
	Started             = "started"               // the director listens for clients
	StartFailed         = "start_failed"          // the director ended with an error
	CoresLimited        = "cores_limited"         // fewer shards than the settings request
	Stopping            = "stopping"              // a stop signal arrived
	Stopped             = "stopped"               // all requests were answered
	Reloaded            = "reloaded"              // SIGHUP: the new configuration is in force
	ReloadRejected      = "reload_rejected"       // SIGHUP: invalid configuration, the old stays
	SettingsPrint       = "settings_print"        // output of print() in the operator's settings
	MemoryReleaseFailed = "memory_release_failed" // unused memory was not returned to the system
	PanicRecovered      = "panic_recovered"       // a panic ended one connection or one event
)

// Events of the command channel's polls and their results.
const (
	DiscoveryPollFailed     = "discovery_poll_failed"     // the command channel can't be read
	DiscoveryPollRecovered  = "discovery_poll_recovered"  // the command channel can be read again
	DiscoveryRestarted      = "discovery_restarted"       // the channel's cursor went back
	DiscoveryUnknownCommand = "discovery_unknown_command" // a command of unknown kind was skipped
	DiscoveryEvents         = "discovery_events"          // events were received
	DiscoveryUnreachable    = "discovery_unreachable"     // no known director reaches the channel
	DiscoveryReachable      = "discovery_reachable"       // a director reaches the channel again
)

// Events of pauses of the whole process.
const (
	ClockStall         = "clock_stall"          // the process was paused
	ClockStallResolved = "clock_stall_resolved" // the state can be trusted again after a pause
)

// Events of client connections.
const (
	AcceptFailed           = "accept_failed"            // a client connection could not be accepted
	BadRequest             = "bad_request"              // a request is invalid
	UnprocessableRequest   = "unprocessable_request"    // cache nodes agree: a request is invalid
	DownstreamMalformed    = "downstream_malformed"     // a client sent a malformed message
	DownstreamInputShed    = "downstream_input_shed"    // incomplete messages hold too much memory
	DownstreamWriteStalled = "downstream_write_stalled" // a client has too many answers left to read
	// The close of a connection was delayed because the process was descheduled; requests that
	// arrived during the delay are lost.
	HalfCloseDelayed = "half_close_delayed"
)

// Events of connections to cache nodes and of load.
const (
	UpstreamBadResponse = "upstream_bad_response" // a cache node sent a malformed response
	OverloadState       = "overload_state"        // the overload controller's state changed
	SlowStart           = "slow_start"            // a cache node that has just started, see state
)

// Events of single requests and connections, at debug level.
const (
	RequestEnded     = "request_ended"     // a request was rejected or failed, with the reason
	AttemptFailed    = "attempt_failed"    // an attempt did not succeed, with what follows it
	DownstreamClosed = "downstream_closed" // a client's connection was closed, with the reason
	UpstreamClosed   = "upstream_closed"   // a connection to a cache node was closed, likewise
	DebugSuppressed  = "debug_suppressed"  // lines of these events that were left out, see Detail
)

// Events of gossip with other directors.
const (
	GossipStarted        = "gossip_started"         // the member list listens
	GossipReceived       = "gossip_received"        // an update arrived from another director
	PeerState            = "peer_state"             // another director's state changed
	PeerNameConflict     = "peer_name_conflict"     // another process uses this director's name
	PeerNameReleased     = "peer_name_released"     // the name conflict has ended
	PeerListFailed       = "peer_list_failed"       // a list was not sent to a peer
	PeerJoinFailed       = "peer_join_failed"       // a peer could not be joined
	PeerMessageMalformed = "peer_message_malformed" // a message of a peer is malformed
	MembershipView       = "membership_view"        // the view of the members changed
	ViewUnconfirmed      = "view_unconfirmed"       // whether the state may be out of date
	Quota                = "quota"                  // usable share of the limits
	HintProbed           = "hint_probed"            // an endpoint was probed after a peer's hint
	WarmStart            = "warm_start"             // endpoint states were adopted from a peer
	RelayRole            = "relay_role"             // whether it polls the command channel
	EndpointListRelayed  = "endpoint_list_relayed"  // an endpoint list was received from a peer
	Memberlist           = "memberlist"             // a log line of the memberlist library
	MemberlistErrors     = "memberlist_errors"      // number of memberlist's error lines
)

// Events of the agent.
const (
	AgentStarted        = "agent_started"         // the agent listens
	GossipUnavailable   = "gossip_unavailable"    // the agent does not take part in gossip
	DirectorStartFailed = "director_start_failed" // a director could not be started
	DirectorRestarted   = "director_restarted"    // a director that had ended was started again
	AuditWriteFailed    = "audit_write_failed"    // an entry of the audit log was not written
	StoreWriteFailed    = "store_write_failed"    // the state was not stored
	ChangeApplied       = "change_applied"        // a change was put in force on a director
)
