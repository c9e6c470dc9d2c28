package gossipnet

import (
	"context"
	"log/slog"
	"math"
	"time"

	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
	"tallyproxy/policy"
)

// quota is a share of a limit, as a multiple of the fixed quota, that may be used until a time.
type quota struct {
	value float64
	until policy.Micros // math.MaxInt64: no time limit
}

var fixedQuota = quota{1, math.MaxInt64}

// remaining returns how long a quota stays valid; negative for no time limit.
func (q quota) remaining(now policy.Micros) time.Duration {
	if q.until == math.MaxInt64 {
		return -1
	}
	return (q.until - now).Duration()
}

// Quota returns the share of a scope's limits that this director may use now, as a multiple of the
// fixed quota. It takes no lock. For a nil Driver it returns the fixed quota.
func (d *Driver) Quota(now policy.Micros, scope membership.Scope) float64 {
	if d == nil {
		return fixedQuota.value
	}
	if q := d.quotas[scope].Load(); now < q.until {
		return q.value
	}
	return fixedQuota.value
}

// publishQuotas puts the quotas of the view in force. A quota that falls takes effect before it is
// logged, and one that rises is logged before it takes effect, so that the logged quota is never
// lower than the quota in use. The caller holds the lock.
func (d *Driver) publishQuotas(now policy.Micros) {
	var quotas [2]quota
	renewed, changed := false, false
	for scope := range quotas {
		value, until := d.view.Quota(now, membership.Scope(scope))
		quotas[scope] = quota{value, until}
		previous := d.quotas[scope].Load()
		renewed = renewed || until != previous.until
		changed = changed || value != previous.value
	}
	if !renewed && !changed {
		return
	}
	for scope := range quotas {
		if quotas[scope].value < d.quotas[scope].Load().value {
			d.quotas[scope].Store(&quotas[scope])
		}
	}
	logQuotas(now, quotas, changed)
	for scope := range quotas {
		d.quotas[scope].Store(&quotas[scope])
	}
}

// logQuotas logs the quotas. It logs at debug level if they did not change and only their leases
// were renewed.
func logQuotas(now policy.Micros, quotas [2]quota, changed bool) {
	level := slog.LevelDebug
	if changed {
		level = slog.LevelInfo
	}
	zone, fleet := quotas[membership.ScopeZone], quotas[membership.ScopeFleet]
	slog.Log(context.Background(), level, logevent.Quota, "zone", zone.value, "zone_for", zone.remaining(now),
		"fleet", fleet.value, "fleet_for", fleet.remaining(now))
}
