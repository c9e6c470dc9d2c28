package membership

import (
	"math"

	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

// Scope is the set of directors that share a limit.
type Scope int

// The scopes. They index counts on the wire: their numbers stay.
const (
	ScopeZone  Scope = iota // the directors of one zone, which share its caches and its fill link
	ScopeFleet              // all directors, which share the parents
)

// MaxQuotaFactor is the highest quota as a multiple of the fixed one. By routing's slowStartBudgetShare the directors together use 0.4 of what
// overloads a warming node. Were all of them to hold the highest quota, in whatever groups they see each other, it would be 0.8.
const MaxQuotaFactor = 2

// startupLeases is the number of lease durations in which a director that has just started holds the fixed quota: peers that it has not
// met yet may be running.
const startupLeases = 4

// Count is how many directors share in a scope, this one among them.
func (v *View) Count(now policy.Micros, scope Scope) int { return v.count(now, scope, v.settings.Zone) }

// count is how many directors share in the zone, or in the fleet, this one among them where it belongs to it.
func (v *View) count(now policy.Micros, scope Scope, zone int) int {
	n := 1 + v.presentPeers
	if scope == ScopeZone {
		n = boolean.Int(zone == v.settings.Zone) + v.presentByZone[zone]
	}
	for _, p := range v.absent {
		if (scope == ScopeFleet || p.zone == zone) && v.mayUseQuota(now, p) {
			n++
		}
	}
	return n
}

// mayUseQuota says whether a peer may be using its quota: it is present, or failed so lately that a lease of its own may still run, or this
// director has granted it a lease.
func (v *View) mayUseQuota(now policy.Micros, p *peer) bool {
	if p.countedUntil > now {
		return true
	}
	return p.present() || p.state == Failed && now < p.stateSince+v.grantedLeaseTime()
}

// Quota is the share of a scope's limits that this director may use now, as a multiple of the fixed quota (one of ConfiguredDirectors), and
// until when it holds without a renewal. It is read at the moment of each send, so that a lease that has ended meanwhile is not used.
//
// Above 1 it is one of as many directors as are counted by this director and each grantor, whichever counts most, up to MaxQuotaFactor.
// With more directors than configured it is below 1. A quota of 1 or less holds without limit.
func (v *View) Quota(now policy.Micros, scope Scope) (quota float64, until policy.Micros) {
	count, configured := v.Count(now, scope), float64(v.settings.ConfiguredDirectors[scope])
	quota = min(1, max(1/float64(MaxQuotaFactor), configured/float64(count)))
	if quota < 1 || v.nameConflict != "" || float64(count) >= configured {
		return quota, math.MaxInt64
	}
	if v.StableFor(now) < v.requiredStability(now) || now-v.createdAt < startupLeases*v.settings.LeaseDuration {
		return 1, math.MaxInt64
	}
	until = math.MaxInt64
	granted := 0
	for _, p := range v.currentGrantors() {
		if l := p.lease; l.until > now {
			granted++
			until, count = min(until, l.until), max(count, l.counts[scope])
		}
	}
	if granted == 0 || granted < min(v.settings.RequiredGrants, v.presentPeers) || float64(count) >= configured {
		return 1, math.MaxInt64
	}
	return min(MaxQuotaFactor, configured/float64(count)), until
}

// requiredStability is how long the view must have been unchanged before a quota is raised: StabilizationWindow, doubled for each time that
// the peer which flapped most came back lately. So quotas change less often than an unstable view.
func (v *View) requiredStability(now policy.Micros) policy.Micros {
	flaps := 0.0
	for _, p := range v.peers {
		flaps = max(flaps, p.recentFlaps(now, v.settings))
	}
	return policy.Micros(float64(v.settings.StabilizationWindow) * math.Exp2(flaps))
}
