package shard

import (
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Ids against a plain map: one owner at a time, and only it gives the id free.
func TestIds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids, plain := NewOwners(), map[string]int{}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"", "a", "b", "4e44c11f7db91dac", "5c503ac3b63c0307"}).Draw(t, "id")
			who := rapid.IntRange(0, 2).Draw(t, "shard")
			if rapid.Bool().Draw(t, "claim") {
				_, held := plain[id]
				if got := ids.Claim(id, who); got == held {
					t.Fatalf("%q claimed: %v, held before: %v", id, got, held)
				}
				if !held {
					plain[id] = who
				}
			} else {
				ids.Release(id, who)
				if owner, held := plain[id]; held && owner == who {
					delete(plain, id)
				}
			}
			if ids.Len() != len(plain) {
				t.Fatalf("%d held, want %d", ids.Len(), len(plain))
			}
		}
	})
}

// All at once ask for the same ids: each has one owner.
func TestIdsAtOnce(t *testing.T) {
	ids := NewOwners()
	var all sync.WaitGroup
	won := make([]int, 8)
	for who := range won {
		all.Go(func() {
			for i := range 1000 {
				if ids.Claim(string(rune('a'+i)), who) {
					won[who]++
				}
			}
		})
	}
	all.Wait()
	sum := 0
	for _, n := range won {
		sum += n
	}
	if sum != 1000 || ids.Len() != 1000 {
		t.Errorf("%d claims of 1000 ids, %d held", sum, ids.Len())
	}
}

// The epochs against what they promise, over all short histories of three shards: while a shard holds something that was
// decided before an event, that event is not in force; and once all have turned twice, it is.
func TestEpochs(t *testing.T) {
	type turn struct {
		seen int64 // told when it began
		held []int64
		on   bool
	}
	rapid.Check(t, func(t *rapid.T) {
		e, shards := NewEpochs(3), make([]turn, 3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "shard")
			s := &shards[i]
			switch what := rapid.IntRange(0, 3).Draw(t, "what"); {
			case what == 0:
				e.Publish()
			case what == 1 && !s.on:
				s.on, s.seen = true, e.Latest()
			case what == 2 && s.on: // decided now, in hand until the turn ends
				s.held = append(s.held, e.Latest())
			case what == 3 && s.on:
				s.held, s.on = nil, false
				e.Acknowledge(i, s.seen)
			}
			for j, s := range shards {
				for _, decided := range s.held {
					if e.Applied() > decided {
						t.Fatalf("%d is in force while shard %d holds what was decided at %d", e.Applied(), j, decided)
					}
				}
			}
			if e.Applied() > e.Latest() {
				t.Fatal("in force before it was told")
			}
		}
		told := e.Latest()
		for i := range shards {
			if b := e.Behind(told); e.Applied() < told && len(b) == 0 {
				t.Fatal("not in force, and nobody is behind")
			}
			e.Acknowledge(i, told)
		}
		if e.Applied() != told || len(e.Behind(told)) > 0 {
			t.Fatalf("%d in force of %d after all took it", e.Applied(), told)
		}
	})
}

func TestQueue(t *testing.T) {
	t.Run("in order, none lost, none twice", func(t *testing.T) {
		q := NewQueue[[2]int](16)
		var all sync.WaitGroup
		for who := range 4 {
			all.Go(func() {
				for i := range 500 {
					if who%2 == 0 {
						q.Put([2]int{who, i})
					} else {
						q.PutUnbounded([2]int{who, i})
					}
				}
			})
		}
		next, got := [4]int{}, 0
		for got < 2000 {
			<-q.Ready()
			for _, x := range q.TakeAll() {
				if x[1] != next[x[0]] {
					t.Fatalf("of %d came %d, want %d", x[0], x[1], next[x[0]])
				}
				next[x[0]]++
				got++
			}
		}
		all.Wait()
		if len(q.TakeAll()) > 0 {
			t.Error("something is left")
		}
	})
	t.Run("who can wait does, who can't does not, and closing frees all", func(t *testing.T) {
		q := NewQueue[int](2)
		q.Put(1)
		q.Put(2)
		waits := make(chan bool)
		go func() { waits <- q.Put(3) }()
		if !q.PutUnbounded(4) {
			t.Error("a push was refused")
		}
		select {
		case <-waits:
			t.Error("it did not wait for room")
		case <-time.After(20 * time.Millisecond):
		}
		if got := q.TakeAll(); !slices.Equal(got, []int{1, 2, 4}) {
			t.Errorf("took %v", got)
		}
		if !<-waits {
			t.Error("refused though there was room")
		}
		q.PutUnbounded(5)
		q.PutUnbounded(6)
		go func() { waits <- q.Put(7) }()
		q.Close()
		if <-waits || q.PutUnbounded(8) {
			t.Error("taken after the end")
		}
	})
}

func BenchmarkHandOver(b *testing.B) {
	for _, how := range []string{"queue", "channel"} {
		b.Run(how, func(b *testing.B) {
			done := make(chan struct{})
			q, c := NewQueue[int](1024), make(chan int, 1024)
			put := func(x int) { q.Put(x) }
			take := func() int { <-q.Ready(); return len(q.TakeAll()) }
			if how == "channel" {
				put = func(x int) { c <- x }
				take = func() int { <-c; return 1 }
			}
			go func() {
				for n := 0; n < b.N; n += take() {
				}
				close(done)
			}()
			var all sync.WaitGroup
			for who := range 4 {
				all.Go(func() {
					for i := who; i < b.N; i += 4 {
						put(i)
					}
				})
			}
			<-done
			all.Wait()
		})
	}
}
