package timerwheel

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMatchesMap compares the wheel with a plain map, over random schedules, moves, cancellations
// and time steps. It guards against items that expire at the wrong time or in the wrong order.
func TestMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tick := rapid.SampledFrom([]int64{1, 7, 1000}).Draw(t, "tick")
		now := rapid.Int64Range(0, 1<<40).Draw(t, "start")
		w := New[int](tick, now)
		items, due := make([]*Item[int], 8), map[int]int64{}
		for i := range items {
			items[i] = &Item[int]{Value: i}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(items)-1).Draw(t, "item")
			span := int64(1) << rapid.IntRange(0, 45).Draw(t, "bits")
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				at := now + rapid.Int64Range(-span, span).Draw(t, "due")
				w.Schedule(items[i], at)
				due[i] = max((at+tick-1)/tick, now/tick+1)
			case 2:
				w.Cancel(items[i])
				delete(due, i)
			default:
				now += rapid.Int64Range(0, span).Draw(t, "step")
				var want, got []int
				for i, at := range due {
					if at <= now/tick {
						want = append(want, i)
					}
				}
				last := int64(0)
				w.Advance(now, func(i *Item[int]) {
					if due[i.Value] < last || i.Scheduled() {
						t.Fatalf("item %d, due at %d, expired after an item due at %d, or is still scheduled", i.Value, due[i.Value], last)
					}
					last = due[i.Value]
					got = append(got, i.Value)
				})
				slices.Sort(want)
				slices.Sort(got)
				if !slices.Equal(want, got) {
					t.Fatalf("at tick %d: %v expired, want %v", now/tick, got, want)
				}
				for _, i := range got {
					delete(due, i)
				}
			}
			if w.Len() != len(due) {
				t.Fatalf("%d items are scheduled, want %d", w.Len(), len(due))
			}
		}
	})
}

// TestScheduleDuringAdvance guards against a callback that cannot schedule its own item again.
func TestScheduleDuringAdvance(t *testing.T) {
	w := New[int](10, 0)
	item, expirations := &Item[int]{}, 0
	w.Schedule(item, 5)
	w.Advance(1000, func(i *Item[int]) {
		if expirations++; expirations < 5 {
			w.Schedule(i, 0)
		}
	})
	if expirations != 5 || w.Len() != 0 {
		t.Errorf("expired %d times, %d still scheduled", expirations, w.Len())
	}
}

// timerHeap holds timers in a heap of container/heap, for the benchmark.
type timerHeap []*heapItem

type heapItem struct {
	due   int64
	index int
}

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *timerHeap) Push(x any)        { x.(*heapItem).index = len(*h); *h = append(*h, x.(*heapItem)) }
func (h *timerHeap) Pop() any          { x := (*h)[len(*h)-1]; *h = (*h)[:len(*h)-1]; return x }

// BenchmarkTimers compares the wheel with container/heap for timers that are often moved and seldom
// expire, like those of requests.
func BenchmarkTimers(b *testing.B) {
	for _, timers := range []int{1000, 100_000} {
		name := map[int]string{1000: "held=1k", 100_000: "held=100k"}[timers]
		b.Run(name+"/wheel", func(b *testing.B) {
			w, r := New[int](1000, 0), rand.New(rand.NewPCG(1, 2))
			items := make([]Item[int], timers)
			for n := range b.N {
				w.Schedule(&items[n%timers], int64(n)+r.Int64N(6_000_000))
				w.Advance(int64(n), func(*Item[int]) {})
			}
		})
		b.Run(name+"/heap", func(b *testing.B) {
			var h timerHeap
			r := rand.New(rand.NewPCG(1, 2))
			items := make([]heapItem, timers)
			for n := range b.N {
				i := &items[n%timers]
				i.due = int64(n) + r.Int64N(6_000_000)
				if n < timers || i.index < 0 {
					heap.Push(&h, i)
				} else {
					heap.Fix(&h, i.index)
				}
				for h[0].due <= int64(n) {
					heap.Pop(&h).(*heapItem).index = -1
				}
			}
		})
	}
}
