package shard

import (
	"testing"

	"pgregory.net/rapid"
)

// TestEpochs checks, over short histories of three shards, that an event is not applied while a shard holds something that was
// decided before it, and that it is once all shards have acknowledged it.
func TestEpochs(t *testing.T) {
	type turn struct {
		latest int64   // the last event when the turn began
		held   []int64 // the last event at each decision that is not sent yet
		active bool
	}
	rapid.Check(t, func(t *rapid.T) {
		e, shards := NewEpochs(3), make([]turn, 3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "shard")
			s := &shards[i]
			switch step := rapid.IntRange(0, 3).Draw(t, "step"); {
			case step == 0:
				e.Publish()
			case step == 1 && !s.active:
				s.active, s.latest = true, e.Latest()
			case step == 2 && s.active: // decided now, held until the turn ends
				s.held = append(s.held, e.Latest())
			case step == 3 && s.active:
				s.held, s.active = nil, false
				e.Acknowledge(i, s.latest)
			}
			for j, s := range shards {
				for _, decided := range s.held {
					if e.Applied() > decided {
						t.Fatalf("event %d is applied while shard %d holds what was decided at %d", e.Applied(), j, decided)
					}
				}
			}
			if e.Applied() > e.Latest() {
				t.Fatal("applied before it was published")
			}
		}
		latest := e.Latest()
		for i := range shards {
			if behind := e.Behind(latest); e.Applied() < latest && len(behind) == 0 {
				t.Fatal("not applied, and no shard is behind")
			}
			e.Acknowledge(i, latest)
		}
		if e.Applied() != latest || len(e.Behind(latest)) > 0 {
			t.Fatalf("%d applied of %d after all acknowledged it", e.Applied(), latest)
		}
	})
}
