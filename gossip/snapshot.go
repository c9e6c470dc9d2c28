package gossip

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

// Snapshot returns the updates that a newly started director needs: those of the last Retention,
// and the draining nodes of this director's list, regardless of how long they have been draining.
// The newest updates come first. At most MaxUpdates are returned.
func (s *Store) Snapshot(now policy.Micros) (updates []Update) {
	for u, publishedAt := range s.updates {
		if age := now - publishedAt; age >= 0 && age <= s.settings.Retention {
			u.Age = age
			updates = append(updates, u)
		}
	}
	for _, n := range s.nodes {
		u := Update{Node: n.Node, Started: n.Started}
		if n.State == policy.Draining && now-s.updates[u] > s.settings.Retention {
			updates = append(updates, u)
		}
	}
	slices.SortFunc(updates, func(x, y Update) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Node, y.Node), cmp.Compare(x.Object, y.Object), cmp.Compare(x.Group, y.Group),
			cmp.Compare(y.PurgedAt, x.PurgedAt), cmp.Compare(y.Started, x.Started), cmp.Compare(boolean.Int(y.Removed), boolean.Int(x.Removed)))
	})
	return updates[:min(len(updates), s.settings.MaxUpdates)]
}

// recentPurges caches the result of RecentPurges. It is valid until an update is added or the first
// of its purges is no longer recent.
type recentPurges struct {
	purges     []Update
	digest     uint64
	addedCount int // Store.addedCount when the result was computed
	validUntil policy.Micros
}

// RecentPurges returns the purges of the last third of Retention, without ages, and a digest of
// them. Directors that know the same purges have the same digest most of the time, so a different
// digest shows that a director lacks some of them. Earlier purges are excluded, because a director
// that has started since then does not need them. The caller must not modify the returned purges.
func (s *Store) RecentPurges(now policy.Micros) (purges []Update, digest uint64) {
	if s.recent.addedCount != s.addedCount || now > s.recent.validUntil {
		s.recent = s.collectRecentPurges(now)
	}
	return s.recent.purges, s.recent.digest
}

// collectRecentPurges computes the result of RecentPurges.
func (s *Store) collectRecentPurges(now policy.Micros) recentPurges {
	recent := recentPurges{addedCount: s.addedCount, validUntil: math.MaxInt64}
	for u, publishedAt := range s.updates {
		if u.PurgedAt > 0 && now-publishedAt <= s.settings.Retention/3 {
			recent.purges = append(recent.purges, u)
			recent.validUntil = min(recent.validUntil, publishedAt+s.settings.Retention/3)
		}
	}
	slices.SortFunc(recent.purges, func(x, y Update) int {
		return cmp.Or(cmp.Compare(y.PurgedAt, x.PurgedAt), cmp.Compare(x.Object, y.Object), cmp.Compare(x.Group, y.Group))
	})
	recent.purges = recent.purges[:min(len(recent.purges), s.settings.MaxUpdates)]
	digest := fnv.New64a()
	for _, u := range recent.purges {
		_, _ = fmt.Fprintln(digest, u.Object, u.Group, u.PurgedAt) // writing to a hash never fails
	}
	recent.digest = digest.Sum64()
	return recent
}

// RepairPurges returns the purges, with their ages, to send to a director with a different digest
// of RecentPurges. It excludes the newest purges, which may still be in transit to all directors,
// and the purges that either director's digest may exclude shortly.
func (s *Store) RepairPurges(now policy.Micros) (purges []Update) {
	recent, _ := s.RecentPurges(now)
	for _, u := range recent {
		if age := now - s.updates[u]; age >= s.settings.Retention/96 && age <= s.settings.Retention/6 {
			u.Age = age
			purges = append(purges, u)
		}
	}
	return purges
}
