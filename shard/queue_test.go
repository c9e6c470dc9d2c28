package shard

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// TestQueue guards against lost, duplicate or reordered values, against puts that ignore the limit,
// and against callers that still wait after Close.
func TestQueue(t *testing.T) {
	t.Run("in order, none lost, none twice", func(t *testing.T) {
		q := NewQueue[[2]int](16)
		var producers sync.WaitGroup
		for producer := range 4 {
			producers.Go(func() {
				for i := range 500 {
					if producer%2 == 0 {
						q.Put([2]int{producer, i})
					} else {
						q.PutUnbounded([2]int{producer, i})
					}
				}
			})
		}
		next, taken := [4]int{}, 0
		for taken < 2000 {
			<-q.Ready()
			for _, x := range q.TakeAll() {
				if x[1] != next[x[0]] {
					t.Fatalf("producer %d: got %d, want %d", x[0], x[1], next[x[0]])
				}
				next[x[0]]++
				taken++
			}
		}
		producers.Wait()
		if len(q.TakeAll()) > 0 {
			t.Error("values are left in the queue")
		}
	})
	t.Run("a bounded put waits, an unbounded one does not, and closing ends all waiting", func(t *testing.T) {
		q := NewQueue[int](2)
		q.Put(1)
		q.Put(2)
		put := make(chan bool)
		go func() { put <- q.Put(3) }()
		if !q.PutUnbounded(4) {
			t.Error("an unbounded put returned false")
		}
		select {
		case <-put:
			t.Error("Put did not wait for room")
		case <-time.After(20 * time.Millisecond):
		}
		if got := q.TakeAll(); !slices.Equal(got, []int{1, 2, 4}) {
			t.Errorf("took %v", got)
		}
		if !<-put {
			t.Error("Put returned false although there was room")
		}
		q.PutUnbounded(5)
		q.PutUnbounded(6)
		go func() { put <- q.Put(7) }()
		q.Close()
		if <-put || q.PutUnbounded(8) {
			t.Error("a put succeeded after Close")
		}
	})
}

// BenchmarkHandOver compares the queue with a channel, with four producers and one consumer.
func BenchmarkHandOver(b *testing.B) {
	for _, kind := range []string{"queue", "channel"} {
		b.Run(kind, func(b *testing.B) {
			done := make(chan struct{})
			q, c := NewQueue[int](1024), make(chan int, 1024)
			put := func(x int) { q.Put(x) }
			take := func() int { <-q.Ready(); return len(q.TakeAll()) }
			if kind == "channel" {
				put = func(x int) { c <- x }
				take = func() int { <-c; return 1 }
			}
			go func() {
				for n := 0; n < b.N; n += take() {
				}
				close(done)
			}()
			var producers sync.WaitGroup
			for producer := range 4 {
				producers.Go(func() {
					for i := producer; i < b.N; i += 4 {
						put(i)
					}
				})
			}
			<-done
			producers.Wait()
		})
	}
}
