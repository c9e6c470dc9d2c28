package routing

import (
	"maps"

	"tallyproxy/policy"
)

// purgeKey identifies what a purge covers: an object or, if the object is empty, a group, which
// may be policy.AllGroups.
type purgeKey struct {
	object string
	group  int
}

// Purge applies a purge to all later attempts, including those of requests that have already
// arrived. If at is 0, an earlier purge is revoked.
func (r *Router) Purge(now policy.Micros, object string, group int, at policy.Micros) {
	maps.DeleteFunc(r.purges, func(_ purgeKey, t policy.Micros) bool { return t+r.settings.PurgeRetention < now })
	key := purgeKey{object, group}
	if object != "" {
		key.group = policy.AllGroups
	}
	if r.purges[key] = max(r.purges[key], at); at == 0 {
		delete(r.purges, key)
	}
}

// maxAge returns the maximum age of a copy that may answer now, or 0 for the content type's TTL.
func (r *Router) maxAge(now policy.Micros, request *policy.Request) policy.Micros {
	purgedAt := max(
		r.purges[purgeKey{request.Object, policy.AllGroups}],
		r.purges[purgeKey{"", request.Group}],
		r.purges[purgeKey{"", policy.AllGroups}],
	)
	applies := purgedAt > 0 && purgedAt+r.settings.PurgeRetention >= now
	if age := max(1, now-purgedAt); applies && (request.Type.TTL == 0 || age < request.Type.TTL) {
		return age
	}
	return 0
}
