// Package membership decides what a director makes of the other directors, its peers: who is present, on which side of a network partition
// this director is, how much of each shared limit is its quota, and which of the peers' hints about cache nodes is worth a probe.
//
// It is a state machine without I/O: the failure detector and the network are its driver's (internal/gossipnet), and each call is given
// the time. docs/peer.md has the argument why the quotas of all directors stay within bounds.
package membership

import (
	"maps"
	"slices"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// PartitionState is on which side of a network partition a director is, by the number of directors that it knew.
type PartitionState int

// The partition states.
const (
	Majority PartitionState = iota // with more than half of the directors
	Minority                       // with half of them or fewer
	Isolated                       // with no other director
)

var partitionStateNames = [...]string{"most", "few", "alone"}

// String is the partition state's name in reports and logs.
func (s PartitionState) String() string { return partitionStateNames[s] }

// View is one director's view of its peers. Calls must not overlap: the caller holds a lock over them.
type View struct {
	settings  Settings
	createdAt policy.Micros
	changedAt policy.Micros // when the set of present peers last changed

	peers         map[string]*peer // by name, bounded by MaxEntries; a failed or left peer is dropped after FailedRetention
	absent        map[string]*peer // those peers that are not present
	presentByZone map[int]int      // number of present peers; zones with none have no entry
	presentPeers  int
	digest        uint64 // sum over this director and the present peers
	nameConflict  string // address of another process under this director's name; empty for none

	grantors       []*peer // who is asked for leases in the view with the digest grantorsDigest
	grantorsDigest uint64

	hintsSentAt     map[string]policy.Micros // by condition and node, bounded by MaxEntries
	probedAt        map[string]policy.Micros // by node, bounded by MaxEntries
	hintsSent       int                      // in the window that began at hintWindowStart
	hintWindowStart policy.Micros
}

// New makes a view of a director that knows no peer.
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

// UpdatePeer takes the failure detector's state of a peer. An earlier process of the same name says nothing about a later one.
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
		return // of two processes under one name the later one counts, while it is present
	case incarnation != p.incarnation:
		// The lease granted to the earlier process still counts the peer; the lease granted by it is gone with it.
		p.lease, p.pendingRequest = lease{}, 0
	}
	same, digest := p.incarnation == incarnation && p.state == state, v.digest
	v.account(p, -1)
	p.incarnation, p.zone, p.state = incarnation, zone, state
	v.account(p, 1)
	if same {
		return
	}
	p.stateSince = now
	if state == Suspected || v.digest == digest {
		return // a suspicion leaves the set of present peers as it is
	}
	if state == Up && p.lastChange > 0 {
		p.flaps = min(maxFlaps, p.recentFlaps(now, v.settings)+1)
	}
	p.lastChange = now
	v.changedAt = now
}

// account adds a peer to the counts and the digest of those that are present (sign 1), or takes it out (sign -1). The digest is a sum over
// name and incarnation of each, so equal views have equal digests in whatever order they came about.
func (v *View) account(p *peer, sign int) {
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

// evict drops the peer that failed or left longest ago, so that a new one fits; false where no peer can be dropped.
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

// drop forgets an absent peer.
func (v *View) drop(p *peer) {
	delete(v.peers, p.name)
	delete(v.absent, p.name)
}

// dropExpired forgets the peers that have been absent for longer than FailedRetention.
func (v *View) dropExpired(now policy.Micros) {
	for _, p := range v.absent {
		if now-p.stateSince > v.settings.FailedRetention {
			v.drop(p)
		}
	}
}

// SetNameConflict records the address of another process under this director's name; empty where there is none any more. While there is
// one, this director uses no more than its fixed quota and grants no leases.
func (v *View) SetNameConflict(address string) { v.nameConflict = address }

// DigestReceived takes the digest of a peer's view where it came outside a lease message.
func (v *View) DigestReceived(now policy.Micros, name string, digest uint64) {
	if p := v.peers[name]; p != nil {
		p.digest, p.digestReceivedAt = digest, now
	}
}

// Digest is equal for two directors that see the same processes as present.
func (v *View) Digest() uint64 { return v.digest }

// StableFor is the time since the set of present peers last changed.
func (v *View) StableFor(now policy.Micros) policy.Micros { return now - v.changedAt }

// Knows says whether a peer is remembered, in whatever state.
func (v *View) Knows(name string) bool { return v.peers[name] != nil }

// State is a peer's; false where the peer is not remembered.
func (v *View) State(name string) (State, bool) {
	if p := v.peers[name]; p != nil {
		return p.state, true
	}
	return Left, false
}

// ZonePeers are the names of the peers of this director's zone that are up, in order.
func (v *View) ZonePeers() (names []string) {
	for _, p := range v.peers {
		if p.state == Up && p.zone == v.settings.Zone {
			names = append(names, p.name)
		}
	}
	slices.Sort(names)
	return names
}

// NumMembers is the number of directors that are present, this one among them.
func (v *View) NumMembers() int { return 1 + v.presentPeers }

// PartitionState compares the number of present directors with the number known or configured, whichever is higher.
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
