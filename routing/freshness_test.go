package routing

import (
	"testing"

	"tallyproxy/policy"
)

// TestPurges: rule 5, the greatest age of a copy that may answer.
func TestPurges(t *testing.T) {
	cases := []struct {
		name   string
		fresh  policy.Micros
		object string
		group  int
		ago    policy.Micros
		oldest policy.Micros
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
			s.ContentTypes[0].TTL = c.fresh
			b := newTestRouter(s, 2, 1)
			request, _ := b.route("a")
			b.Purge(b.now, c.object, c.group, b.now-c.ago)
			if decision := b.finish(request, 0, policy.Rejected, policy.Unknown); decision.MaxAge != c.oldest || decision.Revalidate != (c.fresh > 0) {
				t.Errorf("later attempt of a request in hand: %+v", decision)
			}
			b.now += 7 * policy.Second
			b.Purge(b.now, "z", 1, b.now)
			if len(b.purges) != 1 {
				t.Errorf("%d purges kept", len(b.purges))
			}
			if b.Purge(b.now, "z", 1, 0); len(b.purges) != 0 {
				t.Error("a purge that no longer binds was kept")
			}
		})
	}
}
