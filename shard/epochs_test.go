package shard

import (
	"testing"

	"pgregory.net/rapid"
)

// TestEpochs runs random histories of three shards. It guards against an event that counts as
// applied while a shard holds an earlier decision, and against an event that is not applied
// although all shards have acknowledged it.
func TestEpochs(t *testing.T) {
	type iteration struct {
		latest int64   // last event when the iteration began
		held   []int64 // last event at each decision that is not sent yet
		active bool
	}
	rapid.Check(t, func(t *rapid.T) {
		e, shards := NewEpochs(3), make([]iteration, 3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "shard")
			s := &shards[i]
			switch step := rapid.IntRange(0, 3).Draw(t, "step"); {
			case step == 0:
				e.Publish()
			case step == 1 && !s.active:
				s.active, s.latest = true, e.Latest()
			case step == 2 && s.active: // a decision, held until the iteration ends
				s.held = append(s.held, e.Latest())
			case step == 3 && s.active:
				s.held, s.active = nil, false
				e.Acknowledge(i, s.latest)
			}
			for j, s := range shards {
				for _, decided := range s.held {
					if e.Applied() > decided {
						t.Fatalf("event %d is applied while shard %d holds a decision made at event %d", e.Applied(), j, decided)
					}
				}
			}
			if e.Applied() > e.Latest() {
				t.Fatal("an event was applied before it was published")
			}
		}
		latest := e.Latest()
		for i := range shards {
			if behind := e.Behind(latest); e.Applied() < latest && len(behind) == 0 {
				t.Fatal("an event is not applied, but no shard is behind")
			}
			e.Acknowledge(i, latest)
		}
		if e.Applied() != latest || len(e.Behind(latest)) > 0 {
			t.Fatalf("event %d is applied, want %d after all shards acknowledged it", e.Applied(), latest)
		}
	})
}
