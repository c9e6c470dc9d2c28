// Package membership decides how a director treats the other directors, its peers: which peers are
// present, on which side of a network partition this director is, how large its quota of each
// shared limit is, and which of the peers' hints about cache nodes justify a probe.
//
// The package is a state machine without I/O. Its driver (internal/gossipnet) provides the failure
// detector and the network, and passes the current time to each call. docs/peer.md explains why the
// quotas of all directors stay within bounds.
package membership

import (
	"maps"
	"slices"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// PartitionState is the side of a network partition that a director is on, determined by the number
// of present directors among those that it knew.
type PartitionState int

// The partition states.
const (
	Majority PartitionState = iota // more than half of the directors are present
	Minority                       // half of the directors or fewer are present
	Isolated                       // no other director is present
)

var partitionStateNames = [...]string{"most", "few", "alone"}

// String returns the name of the partition state in reports and logs.
func (s PartitionState) String() string { return partitionStateNames[s] }

// View is one director's view of its peers. It is not safe for concurrent use: the caller must hold
// a lock during each call.
type View struct {
	settings  Settings
	createdAt policy.Micros
	changedAt policy.Micros // when the set of present peers last changed

	// peers holds the known peers by name, MaxEntries at most. A failed or left peer is dropped
	// after FailedRetention.
	peers         map[string]*peer
	absent        map[string]*peer // peers that are not present, by name
	presentByZone map[int]int      // number of present peers by zone; empty zones have no entry
	presentPeers  int
	digest        uint64 // sum over this director and the present peers
	nameConflict  string // address of another process with this director's name, or empty

	grantors       []*peer // peers to ask for leases while digest equals grantorsDigest
	grantorsDigest uint64

	hintsSentAt     map[string]policy.Micros // by condition and node, at most MaxEntries
	probedAt        map[string]policy.Micros // by node, at most MaxEntries
	hintsSent       int                      // since hintWindowStart
	hintWindowStart policy.Micros
}

// New returns the view of a director that knows no peers.
func New(now policy.Micros, s Settings) *View {
	return &View{
		settings:        s,
		createdAt:       now,
		changedAt:       now,
		peers:           map[string]*peer{},
		absent:          map[string]*peer{},
		presentByZone:   map[int]int{},
		digest:          hash.Mix(hash.String(s.Name) ^ s.Incarnation),
		hintsSentAt:     map[string]policy.Micros{},
		probedAt:        map[string]policy.Micros{},
		hintWindowStart: now,
	}
}

// UpdatePeer records the state of a peer as reported by the failure detector. While a process is
// present, reports about an earlier process with the same name are ignored.
func (v *View) UpdatePeer(now policy.Micros, name string, incarnation uint64, zone int, state State) {
	if name == v.settings.Name || name == "" {
		return
	}
	p := v.peers[name]
	switch {
	case p == nil && len(v.peers) >= v.settings.MaxEntries && !v.evict(now):
		return
	case p == nil:
		p = &peer{name: name, nameHash: hash.String(name), incarnation: incarnation, zone: zone, state: Left, stateSince: now}
		v.peers[name], v.absent[name] = p, p
	case incarnation < p.incarnation && p.present():
		// While a later process with this name is present, a report about an earlier one is
		// ignored.
		return
	case incarnation != p.incarnation:
		// A lease granted to the earlier process still counts the peer. A lease granted by
		// that process is void.
		p.lease, p.pendingRequest = lease{}, 0
	}
	unchanged, digest := p.incarnation == incarnation && p.state == state, v.digest
	v.adjustCounts(p, -1)
	p.incarnation, p.zone, p.state = incarnation, zone, state
	v.adjustCounts(p, 1)
	if unchanged {
		return
	}
	p.stateSince = now
	if state == Suspected || v.digest == digest {
		// A suspected peer is still present, so the set of present peers is unchanged.
		return
	}
	if state == Up && p.lastChange > 0 {
		p.flaps = min(maxFlaps, p.recentFlaps(now, v.settings)+1)
	}
	p.lastChange = now
	v.changedAt = now
}

// adjustCounts adds a present peer to the counts and the digest of the present peers (sign 1) or
// removes it from them (sign -1). An absent peer is recorded in v.absent only. The digest is a sum
// over the name and incarnation of each present peer, so equal views have equal digests regardless
// of the order of their updates.
func (v *View) adjustCounts(p *peer, sign int) {
	if !p.present() {
		v.absent[p.name] = p
		return
	}
	delete(v.absent, p.name)
	v.presentByZone[p.zone] += sign
	v.presentPeers += sign
	v.digest += uint64(sign) * p.digestTerm()
	if v.presentByZone[p.zone] == 0 {
		delete(v.presentByZone, p.zone)
	}
}

// evict drops the peer that failed or left the longest time ago, to make room for a new one. Peers
// that may still use a quota are kept. evict returns false if no peer can be dropped.
func (v *View) evict(now policy.Micros) bool {
	var oldest *peer
	for _, name := range slices.Sorted(maps.Keys(v.absent)) {
		p := v.absent[name]
		if !v.mayUseQuota(now, p) && (oldest == nil || p.stateSince < oldest.stateSince) {
			oldest = p
		}
	}
	if oldest != nil {
		v.drop(oldest)
	}
	return oldest != nil
}

// drop removes an absent peer from the view.
func (v *View) drop(p *peer) {
	delete(v.peers, p.name)
	delete(v.absent, p.name)
}

// dropExpired drops the peers that have been absent for longer than FailedRetention.
func (v *View) dropExpired(now policy.Micros) {
	for _, p := range v.absent {
		if now-p.stateSince > v.settings.FailedRetention {
			v.drop(p)
		}
	}
}

// SetNameConflict records the address of another process with this director's name. An empty
// address ends the conflict. During a conflict this director uses no more than its fixed quota and
// grants no leases.
func (v *View) SetNameConflict(address string) { v.nameConflict = address }

// DigestReceived records the digest of a peer's view that arrived outside a lease message.
func (v *View) DigestReceived(now policy.Micros, name string, digest uint64) {
	if p := v.peers[name]; p != nil {
		p.digest, p.digestReceivedAt = digest, now
	}
}

// Digest returns the digest of the view. It is equal for two directors that consider the same
// processes present.
func (v *View) Digest() uint64 { return v.digest }

// StableFor returns the time since the set of present peers last changed.
func (v *View) StableFor(now policy.Micros) policy.Micros { return now - v.changedAt }

// Knows reports whether the view holds a peer with this name, in any state.
func (v *View) Knows(name string) bool { return v.peers[name] != nil }

// State returns the state of a peer; false if the view does not hold the peer.
func (v *View) State(name string) (State, bool) {
	if p := v.peers[name]; p != nil {
		return p.state, true
	}
	return Left, false
}

// ZonePeers returns the names of the peers in this director's zone that are up, in ascending order.
func (v *View) ZonePeers() (names []string) {
	for _, p := range v.peers {
		if p.state == Up && p.zone == v.settings.Zone {
			names = append(names, p.name)
		}
	}
	slices.Sort(names)
	return names
}

// NumMembers returns the number of present directors, including this one.
func (v *View) NumMembers() int { return 1 + v.presentPeers }

// PartitionState returns the partition state. It compares the number of present directors with the
// number of configured directors or the number of known directors that have not left, whichever is
// higher.
func (v *View) PartitionState() PartitionState {
	present, known := v.NumMembers(), 1
	for _, p := range v.peers {
		known += boolean.Int(p.state != Left)
	}
	known = max(known, v.settings.ConfiguredDirectors[ScopeFleet])
	switch {
	case present == 1 && known > 1:
		return Isolated
	case 2*present <= known:
		return Minority
	}
	return Majority
}
