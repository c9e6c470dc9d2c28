package membership

import (
	"cmp"
	"slices"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// clockDrift is how much faster a clock may run than another: who grants a lease counts its holder for so much longer than the holder uses it.
const clockDrift = 1.0 / 64

// LeaseRequest asks a peer for a lease: to count the asker, whatever becomes of it, for LeaseDuration. A LeaseGrant answers it.
type LeaseRequest struct {
	RequestedAt policy.Micros `json:"Number"` // by the asker's clock: the lease counts from then
	Incarnation uint64        `json:"Born"`   // of the asker
	Zone        int           `json:"Zone"`   // of the asker
	Digest      uint64        `json:"Sum"`    // of the asker's view
}

// LeaseGrant says how many directors the grantor counts, the asker among them.
type LeaseGrant struct {
	RequestedAt policy.Micros `json:"Number"` // of the request
	Counts      [2]int        `json:"Count"`  // by Scope, in the asker's zone and in all
	Digest      uint64        `json:"Sum"`    // of the grantor's view
}

// Tick forgets peers that have been absent for long, and gives the requests for leases that are due, by the name of the peer. The driver
// calls it a few times in each RenewInterval.
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

// needsLease says whether a lease could raise a quota: fewer directors are counted than the settings name.
func (v *View) needsLease(now policy.Micros) bool {
	configured := v.settings.ConfiguredDirectors
	return v.nameConflict == "" &&
		(v.Count(now, ScopeZone) < configured[ScopeZone] || v.Count(now, ScopeFleet) < configured[ScopeFleet])
}

// currentGrantors are the RequiredGrants present peers that this director asks for leases, by rendezvous hash: the same ones while the
// view stands, and others for each director.
func (v *View) currentGrantors() []*peer {
	if v.grantorsDigest == v.digest {
		return v.grantors
	}
	v.grantors, v.grantorsDigest = v.grantors[:0], v.digest
	self := hash.String(v.settings.Name)
	higherScore := func(x, y *peer) int {
		return cmp.Or(cmp.Compare(hash.Mix(y.nameHash^self), hash.Mix(x.nameHash^self)), cmp.Compare(x.name, y.name))
	}
	for _, p := range v.peers {
		if !p.present() {
			continue
		}
		at, _ := slices.BinarySearchFunc(v.grantors, p, higherScore)
		if at < v.settings.RequiredGrants {
			v.grantors = slices.Insert(v.grantors, at, p)
			v.grantors = v.grantors[:min(len(v.grantors), v.settings.RequiredGrants)]
		}
	}
	return v.grantors
}

// HandleLeaseRequest grants a present peer a lease, and counts the peer for as long as the lease may run by any clock, whatever becomes of
// it meanwhile. False where none is granted.
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

// HandleLeaseGrant takes the answer to a request. The lease counts from before the request was sent, so it ends here before it ends at the
// grantor. Answers to earlier requests, and to an earlier process of this name, are ignored.
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

// grantedLeaseTime is how long the holder of a lease is counted, by the grantor's clock.
func (v *View) grantedLeaseTime() policy.Micros {
	duration := v.settings.LeaseDuration
	return duration + policy.Micros(float64(duration)*clockDrift) + 1
}
