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

// quota is a multiple of the fixed quota that may be used until a time.
type quota struct {
	value float64
	until policy.Micros // math.MaxInt64: without limit
}

var fixedQuota = quota{1, math.MaxInt64}

// remaining is how long a quota holds from now on; negative for without limit.
func (q quota) remaining(now policy.Micros) time.Duration {
	if q.until == math.MaxInt64 {
		return -1
	}
	return (q.until - now).Duration()
}

// Quota is what this director may use of a scope's limits now, as a multiple of the fixed quota. It takes no lock. The driver may be nil.
func (d *Driver) Quota(now policy.Micros, scope membership.Scope) float64 {
	if d == nil {
		return fixedQuota.value
	}
	if q := d.quotas[scope].Load(); now < q.until {
		return q.value
	}
	return fixedQuota.value
}

// publishQuotas puts the quotas of the view in force. A quota that falls is in force before it is logged, and one that rises is logged
// before it is in force, so that the log never shows less than was used. The caller holds the lock.
func (d *Driver) publishQuotas(now policy.Micros) {
	var quotas [2]quota
	renewed, changed := false, false
	for scope := range quotas {
		value, until := d.view.Quota(now, membership.Scope(scope))
		quotas[scope] = quota{value, until}
		before := d.quotas[scope].Load()
		renewed = renewed || until != before.until
		changed = changed || value != before.value
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

// logQuotas logs the quotas, and those whose lease is only renewed for debugging alone.
func logQuotas(now policy.Micros, quotas [2]quota, changed bool) {
	level := slog.LevelDebug
	if changed {
		level = slog.LevelInfo
	}
	zone, fleet := quotas[membership.ScopeZone], quotas[membership.ScopeFleet]
	slog.Log(context.Background(), level, logevent.Quota, "zone", zone.value, "zone_for", zone.remaining(now),
		"fleet", fleet.value, "fleet_for", fleet.remaining(now))
}
