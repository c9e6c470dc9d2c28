package shard

import (
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// TestOwners compares the table with a plain map. It guards against an id with two owners, and
// against a release by a shard that is not the owner.
func TestOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners, model := NewOwners(), map[string]int{}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"", "a", "b", "4e44c11f7db91dac", "5c503ac3b63c0307"}).Draw(t, "id")
			shard := rapid.IntRange(0, 2).Draw(t, "shard")
			if rapid.Bool().Draw(t, "claim") {
				_, owned := model[id]
				if got := owners.Claim(id, shard); got == owned {
					t.Fatalf("claim of %q: %v, owned before: %v", id, got, owned)
				}
				if !owned {
					model[id] = shard
				}
			} else {
				owners.Release(id, shard)
				if owner, owned := model[id]; owned && owner == shard {
					delete(model, id)
				}
			}
			if owners.Len() != len(model) {
				t.Fatalf("%d ids are open, want %d", owners.Len(), len(model))
			}
		}
	})
}

// TestOwnersConcurrently guards against ids with two owners or none when all shards claim the same
// ids at once.
func TestOwnersConcurrently(t *testing.T) {
	owners := NewOwners()
	var claimers sync.WaitGroup
	won := make([]int, 8)
	for shard := range won {
		claimers.Go(func() {
			for i := range 1000 {
				if owners.Claim(string(rune('a'+i)), shard) {
					won[shard]++
				}
			}
		})
	}
	claimers.Wait()
	claims := 0
	for _, n := range won {
		claims += n
	}
	if claims != 1000 || owners.Len() != 1000 {
		t.Errorf("%d successful claims of 1000 ids, %d are open", claims, owners.Len())
	}
}
