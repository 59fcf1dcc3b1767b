package queue_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovagelink.example/lovagelink/pkg/queue"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// entry is one item of the sorted list.
type entry struct {
	id       int
	rank     int
	deadline time.Time
}

// Without floors the queue pops items in the same order as a list that is sorted by rank, deadline and arrival.
func TestAgainstSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[int](0, 0, 0)
		var naive []entry
		items := make(map[int]*queue.Item[int])
		for id := range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				item := q.Pop()
				if item == nil {
					if len(naive) > 0 {
						t.Fatal("the queue is empty before the list")
					}
					continue
				}
				if item.Value != naive[0].id {
					t.Fatalf("popped %d, the list has %d first", item.Value, naive[0].id)
				}
				naive = naive[1:]
			case 1:
				if len(naive) == 0 {
					continue
				}
				at := rapid.IntRange(0, len(naive)-1).Draw(t, "remove")
				if !q.Remove(items[naive[at].id]) || q.Remove(items[naive[at].id]) {
					t.Fatal("an item is removed exactly once")
				}
				naive = slices.Delete(naive, at, at+1)
			default:
				e := entry{id, rapid.IntRange(0, 2).Draw(t, "rank"), start.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "deadline")))}
				items[id] = q.Push(start, id, e.rank, e.deadline)
				naive = append(naive, e)
				slices.SortStableFunc(naive, func(a, b entry) int {
					return cmp.Or(cmp.Compare(a.rank, b.rank), a.deadline.Compare(b.deadline))
				})
			}
			if q.Len() != len(naive) {
				t.Fatalf("length %d, the list has %d", q.Len(), len(naive))
			}
		}
	})
}

// Guards against starvation: while items of all ranks are waiting, each rank gets its floor of the starts.
func TestFloorsHoldInAnyFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floors := []float64{0, 0, 0}
		left := 1.0
		for i := range floors {
			floors[i] = rapid.Float64Range(0, left).Draw(t, "floor")
			left -= floors[i]
		}
		q := queue.New[int](floors...)
		const starts = 400
		for i := range starts {
			for rank := range floors {
				q.Push(start, i, rank, start.Add(time.Duration(i)))
			}
		}
		counts := make([]float64, len(floors))
		for range starts {
			counts[q.Pop().Rank]++
		}
		for rank, floor := range floors {
			if counts[rank] < floor*starts-6 {
				t.Fatalf("rank %d got %v of %d starts, its floor is %v", rank, counts[rank], starts, floor)
			}
		}
	})
}

func Example() {
	q := queue.New[string](0.5, 0.25)
	deadline := start.Add(time.Second)
	q.Push(start, "layout", 1, deadline)
	q.Push(start, "confirmation", 0, deadline)
	fmt.Println(q.Pop().Value)
	fmt.Println(q.Pop().Value)
	// Output:
	// confirmation
	// layout
}
