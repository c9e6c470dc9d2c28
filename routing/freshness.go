package routing

import (
	"maps"

	"tallyproxy/policy"
)

// purgeKey names what a purge covers: an object, or with no object a group, which may be policy.AllGroups.
type purgeKey struct {
	object string
	group  int
}

// Purge takes a purge, which binds all later attempts, those of requests in hand too. The time 0 takes an earlier purge back.
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

// maxAge is the greatest age of a copy that may answer now; 0 for the content type's TTL.
func (r *Router) maxAge(now policy.Micros, request *policy.Request) policy.Micros {
	purgedAt := max(
		r.purges[purgeKey{request.Object, policy.AllGroups}],
		r.purges[purgeKey{"", request.Group}],
		r.purges[purgeKey{"", policy.AllGroups}],
	)
	binds := purgedAt > 0 && purgedAt+r.settings.PurgeRetention >= now
	if age := max(1, now-purgedAt); binds && (request.Type.TTL == 0 || age < request.Type.TTL) {
		return age
	}
	return 0
}
