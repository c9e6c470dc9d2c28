package routing

import (
	"testing"

	"tallyproxy/policy"
)

// TestPurges checks the maximum age of a copy that may answer after a purge (rule 5), and that
// purges are removed once they no longer apply.
func TestPurges(t *testing.T) {
	cases := []struct {
		name       string
		ttl        policy.Micros
		object     string
		group      int
		purgeAge   policy.Micros
		wantMaxAge policy.Micros
	}{
		{"none", 0, "other", 1, policy.Second, 0},
		{"of the object", 0, "a", 7, policy.Second, policy.Second},
		{"of the group", 0, "", 7, 2 * policy.Second, 2 * policy.Second},
		{"of another group", 0, "", 8, policy.Second, 0},
		{"of all", 0, "", policy.AllGroups, 2 * policy.Second, 2 * policy.Second},
		{"right now", 0, "a", 7, 0, 1},
		{"all old copies are gone", 0, "a", 7, 7 * policy.Second, 0},
		{"older than fresh", policy.Second, "a", 7, 2 * policy.Second, 0},
		{"younger than fresh", 3 * policy.Second, "a", 7, 2 * policy.Second, 2 * policy.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ContentTypes[0].TTL = c.ttl
			r := newTestRouter(s, 2, 1)
			request, _ := r.route("a")
			r.Purge(r.now, c.object, c.group, r.now-c.purgeAge)
			if decision := r.finish(request, 0, policy.Rejected, policy.Unknown); decision.MaxAge != c.wantMaxAge || decision.Revalidate != (c.ttl > 0) {
				t.Errorf("later attempt of an open request: %+v", decision)
			}
			r.now += 7 * policy.Second
			r.Purge(r.now, "z", 1, r.now)
			if len(r.purges) != 1 {
				t.Errorf("%d purges kept", len(r.purges))
			}
			if r.Purge(r.now, "z", 1, 0); len(r.purges) != 0 {
				t.Error("a revoked purge was kept")
			}
		})
	}
}
