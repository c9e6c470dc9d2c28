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

// Snapshot is what a director that has just come should know: the updates of the last Retention, and the nodes of the own list that drain,
// however long they have. The newest come first, MaxUpdates at the most.
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

// recentPurges is the result of RecentPurges, good while no update is added and until the first of its purges is no longer recent.
type recentPurges struct {
	purges     []Update
	digest     uint64
	remembered int // the store's, when this was made
	validUntil policy.Micros
}

// RecentPurges are the purges of the last third of Retention, without ages, and a digest of them. The digest is about the same at all
// directors that know the same purges, and so shows which one lacks some. Earlier purges are left out, since a director that has started
// meanwhile need not know them. The caller must not change the purges.
func (s *Store) RecentPurges(now policy.Micros) (purges []Update, digest uint64) {
	if s.recent.remembered != s.remembered || now > s.recent.validUntil {
		s.recent = s.collectRecentPurges(now)
	}
	return s.recent.purges, s.recent.digest
}

func (s *Store) collectRecentPurges(now policy.Micros) recentPurges {
	recent := recentPurges{remembered: s.remembered, validUntil: math.MaxInt64}
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
		_, _ = fmt.Fprintln(digest, u.Object, u.Group, u.PurgedAt) // writing to a hash returns no error
	}
	recent.digest = digest.Sum64()
	return recent
}

// RepairPurges are the purges, with their ages, to send to a director whose digest of RecentPurges differs. The newest are left out, which may
// still be on their way to all, and so are those which either director's digest may leave out a moment later.
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
