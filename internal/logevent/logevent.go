// Package logevent names the events of the program's log lines, in one place. A line's "event" is one of these; what it is about follows as
// key=value pairs. The on-call page says what each means to an operator, and the fault tests read some of them.
package logevent

// Events of the director's start, reload and shutdown.
const (
	Started             = "started"               // it listens
	StartFailed         = "start_failed"          // the start, or the run, ended with an error
	CoresLimited        = "cores_limited"         // fewer shards than the settings ask for
	Stopping            = "stopping"              // a signal to stop came
	Stopped             = "stopped"               // all requests were answered
	Reloaded            = "reloaded"              // SIGHUP: the new configuration is in force
	ReloadRejected      = "reload_rejected"       // SIGHUP: the new configuration is faulty, the old stays
	SettingsPrint       = "settings_print"        // print() in the operator's settings
	MemoryReleaseFailed = "memory_release_failed" // free memory was not given back to the system
	PanicRecovered      = "panic_recovered"       // a panic ended one connection or one event
)

// Events of polls of the command channel, and what comes of them.
const (
	DiscoveryPollFailed     = "discovery_poll_failed"     // the command channel can't be read
	DiscoveryPollRecovered  = "discovery_poll_recovered"  // it can be read again
	DiscoveryRestarted      = "discovery_restarted"       // its cursor went back
	DiscoveryUnknownCommand = "discovery_unknown_command" // a command of an unknown kind was passed over
	DiscoveryEvents         = "discovery_events"          // events came
	DiscoveryUnreachable    = "discovery_unreachable"     // no director that is known hears the channel
	DiscoveryReachable      = "discovery_reachable"       // one hears it again
)

// Events of pauses of the whole process.
const (
	ClockStall         = "clock_stall"          // the process stood still
	ClockStallResolved = "clock_stall_resolved" // its state may be trusted again
)

// Events of clients' connections.
const (
	AcceptFailed           = "accept_failed"            // a connection could not be accepted
	BadRequest             = "bad_request"              // a request can't be used
	UnprocessableRequest   = "unprocessable_request"    // cache nodes agree that they can't use a request
	DownstreamMalformed    = "downstream_malformed"     // a client sent what is no message
	DownstreamWriteStalled = "downstream_write_stalled" // a client does not read its answers
	HalfCloseDelayed       = "half_close_delayed"       // the machine held a connection's end up: requests that crossed it are lost
)

// Events of cache nodes' connections and load.
const (
	UpstreamBadResponse = "upstream_bad_response" // a cache node sent what can't be read
	OverloadState       = "overload_state"        // the overload controller changed its state
)

// Events of other directors.
const (
	GossipStarted        = "gossip_started"         // the member list listens
	GossipReceived       = "gossip_received"        // a purge came from another director
	PeerState            = "peer_state"             // another director joined, left, failed or is suspected
	PeerNameConflict     = "peer_name_conflict"     // another process uses this director's name
	PeerNameReleased     = "peer_name_released"     // it does so no more
	PeerListFailed       = "peer_list_failed"       // a list was not sent to a peer
	PeerJoinFailed       = "peer_join_failed"       // a peer could not be joined
	PeerMessageMalformed = "peer_message_malformed" // a peer's message can't be read
	MembershipView       = "membership_view"        // the view of the members changed
	ViewUnconfirmed      = "view_unconfirmed"       // whether the state of this director may be out of date
	Quota                = "quota"                  // the share of the limits that this director may use
	HintProbed           = "hint_probed"            // an endpoint was probed after a peer's hint
	WarmStart            = "warm_start"             // endpoint states were taken from a peer at the start
	RelayRole            = "relay_role"             // whether this director polls the command channel for others
	EndpointListRelayed  = "endpoint_list_relayed"  // an endpoint list was taken from peers
	Memberlist           = "memberlist"             // a line of the memberlist library
	MemberlistErrors     = "memberlist_errors"      // a count of its error lines
)

// Events of the agent.
const (
	AgentStarted        = "agent_started"         // the agent listens
	GossipUnavailable   = "gossip_unavailable"    // the agent takes no part in gossip
	DirectorStartFailed = "director_start_failed" // a director could not be started
	DirectorRestarted   = "director_restarted"    // a director that ended was started again
	AuditWriteFailed    = "audit_write_failed"    // an entry of the audit chain was not written
	StoreWriteFailed    = "store_write_failed"    // the state was not stored
	ChangeApplied       = "change_applied"        // a change was put in force at a director
)
