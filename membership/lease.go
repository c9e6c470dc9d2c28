package membership

import (
	"cmp"
	"slices"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// clockDrift is the maximum by which one clock is assumed to run faster than another, as a
// fraction. A grantor counts the holder of a lease longer than the holder uses the lease by this
// fraction.
const clockDrift = 1.0 / 64

// LeaseRequest asks a peer for a lease: a commitment to count the requester for LeaseDuration, even
// if the requester fails during that time. The reply is a LeaseGrant.
type LeaseRequest struct {
	RequestedAt policy.Micros `json:"Number"` // start of the lease, by the requester's clock
	Incarnation uint64        `json:"Born"`   // of the requester
	Zone        int           `json:"Zone"`   // of the requester
	Digest      uint64        `json:"Sum"`    // of the requester's view
}

// LeaseGrant grants a lease. It states how many directors the grantor counts, including the
// requester.
type LeaseGrant struct {
	RequestedAt policy.Micros `json:"Number"` // copied from the request
	Counts      [2]int        `json:"Count"`  // by Scope, in the requester's zone and in all
	Digest      uint64        `json:"Sum"`    // of the grantor's view
}

// Tick drops the peers that have been absent for longer than FailedRetention, and returns the lease
// requests that are due, by peer name. The driver calls it several times in each RenewInterval.
func (v *View) Tick(now policy.Micros) (requests map[string]LeaseRequest) {
	v.dropExpired(now)
	if !v.needsLease(now) {
		return nil
	}
	requests = map[string]LeaseRequest{}
	for _, p := range v.currentGrantors() {
		if now-p.lastRequestAt >= v.settings.RenewInterval {
			p.lastRequestAt, p.pendingRequest = now, now
			requests[p.name] = LeaseRequest{
				RequestedAt: now, Incarnation: v.settings.Incarnation, Zone: v.settings.Zone, Digest: v.digest,
			}
		}
	}
	return requests
}

// needsLease reports whether a lease could raise a quota: there is no name conflict, and fewer
// directors are counted than configured.
func (v *View) needsLease(now policy.Micros) bool {
	configured := v.settings.ConfiguredDirectors
	return v.nameConflict == "" &&
		(v.Count(now, ScopeZone) < configured[ScopeZone] || v.Count(now, ScopeFleet) < configured[ScopeFleet])
}

// currentGrantors returns the present peers that this director asks for leases: RequiredGrants of
// them, or all if there are fewer. They are chosen by rendezvous hashing, so they stay the same
// while the view is unchanged, and differ between directors.
func (v *View) currentGrantors() []*peer {
	if v.grantorsDigest == v.digest {
		return v.grantors
	}
	v.grantors, v.grantorsDigest = v.grantors[:0], v.digest
	self := hash.String(v.settings.Name)
	compareScores := func(x, y *peer) int {
		return cmp.Or(cmp.Compare(hash.Mix(y.nameHash^self), hash.Mix(x.nameHash^self)), cmp.Compare(x.name, y.name))
	}
	for _, p := range v.peers {
		if !p.present() {
			continue
		}
		at, _ := slices.BinarySearchFunc(v.grantors, p, compareScores)
		if at < v.settings.RequiredGrants {
			v.grantors = slices.Insert(v.grantors, at, p)
			v.grantors = v.grantors[:min(len(v.grantors), v.settings.RequiredGrants)]
		}
	}
	return v.grantors
}

// HandleLeaseRequest grants a lease to a present peer. From then on the peer is counted for as long
// as the lease may be valid by any clock, even if the peer fails during that time. It returns false
// if no lease is granted.
func (v *View) HandleLeaseRequest(now policy.Micros, from string, request LeaseRequest) (LeaseGrant, bool) {
	p := v.peers[from]
	if p == nil || p.incarnation != request.Incarnation || !p.present() || v.nameConflict != "" {
		return LeaseGrant{}, false
	}
	p.countedUntil = now + v.grantedLeaseTime()
	p.digest, p.digestReceivedAt = request.Digest, now
	return LeaseGrant{
		RequestedAt: request.RequestedAt,
		Counts:      [2]int{ScopeZone: v.count(now, ScopeZone, request.Zone), ScopeFleet: v.count(now, ScopeFleet, request.Zone)},
		Digest:      v.digest,
	}, true
}

// HandleLeaseGrant accepts the reply to the pending lease request. The lease starts before the
// request is sent, so it ends here before it ends at the grantor. Replies to earlier requests, and
// to an earlier process with this name, are ignored.
func (v *View) HandleLeaseGrant(now policy.Micros, from string, grant LeaseGrant) {
	p := v.peers[from]
	if p == nil || !p.present() {
		return
	}
	if grant.RequestedAt > now || grant.RequestedAt < v.createdAt || p.pendingRequest != grant.RequestedAt {
		return
	}
	p.lease = lease{until: grant.RequestedAt + v.settings.LeaseDuration, counts: grant.Counts}
	p.digest, p.digestReceivedAt = grant.Digest, now
}

// grantedLeaseTime returns how long a grantor counts the holder of a lease, by the grantor's clock.
func (v *View) grantedLeaseTime() policy.Micros {
	duration := v.settings.LeaseDuration
	return duration + policy.Micros(float64(duration)*clockDrift) + 1
}
