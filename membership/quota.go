package membership

import (
	"math"

	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

// Scope is a set of directors that share a limit.
type Scope int

// The scopes. Their values index the counts in lease messages and must not change.
const (
	ScopeZone  Scope = iota // the directors of one zone, which share its caches and its fill link
	ScopeFleet              // all directors, which share the parents
)

// MaxQuotaFactor is the highest quota, as a multiple of the fixed quota. By routing's slow-start
// budget share, the directors together use 0.4 of the load that overloads a warming node. If all of
// them held the highest quota, in any partition of the fleet into groups, they would use 0.8 of it.
const MaxQuotaFactor = 2

// startupLeases is the number of lease durations for which a newly started director keeps the fixed
// quota, because peers that it does not know yet may be running.
const startupLeases = 4

// Count returns the number of directors that share the limits of a scope, including this one.
func (v *View) Count(now policy.Micros, scope Scope) int { return v.count(now, scope, v.settings.Zone) }

// count returns the number of directors that share the limits of the zone or of the fleet. It
// includes this director if it belongs to that scope.
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

// mayUseQuota reports whether a peer may be using its quota: the peer is present, or it failed so
// recently that a lease granted to it may still be valid, or this director has granted it a lease
// that is still counted.
func (v *View) mayUseQuota(now policy.Micros, p *peer) bool {
	if p.countedUntil > now {
		return true
	}
	return p.present() || p.state == Failed && now < p.stateSince+v.grantedLeaseTime()
}

// Quota returns the share of a scope's limits that this director may use now, as a multiple of the
// fixed quota (the limit divided by ConfiguredDirectors), and the time until which the share is
// valid without a renewal. Callers read the quota at each send, so that they do not use an expired
// lease.
//
// A quota above 1 is ConfiguredDirectors divided by the highest number of directors that this
// director or one of its grantors counts, up to MaxQuotaFactor. The quota is below 1, but at least
// 1/MaxQuotaFactor, if there are more directors than configured. A quota of 1 or less does not
// expire.
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

// requiredStability returns how long the view must have been unchanged before a quota is raised:
// StabilizationWindow, doubled for each recent return of the peer that flapped most. Quotas
// therefore change less often than an unstable view.
func (v *View) requiredStability(now policy.Micros) policy.Micros {
	flaps := 0.0
	for _, p := range v.peers {
		flaps = max(flaps, p.recentFlaps(now, v.settings))
	}
	return policy.Micros(float64(v.settings.StabilizationWindow) * math.Exp2(flaps))
}
